"""Rows that `make measure` prints, one JSON object per line."""

import msgspec

from cardamomshunt_testing._load_checks import CheckResult
from cardamomshunt_testing._load_history import OperationKind
from cardamomshunt_testing._load_runner import LoadRun


class Row(msgspec.Struct, kw_only=True):
    """One measured value; None means that the event never happened."""

    size: str
    system: str
    scenario: str
    metric: str
    value: float | None
    unit: str
    n_samples: int
    seed: int


class RowWriter:
    """Collect and print the rows of one scenario."""

    def __init__(self, rows: list[Row], size: str, system: str, scenario: str):
        self._rows = rows
        self._names = {"size": size, "system": system, "scenario": scenario}

    def add(
        self, metric: str, value: float | None, unit: str, n_samples: int, seed: int
    ) -> None:
        """Add and print a row."""
        rounded = None if value is None else round(value, 4)
        row = Row(
            **self._names,
            metric=metric,
            value=rounded,
            unit=unit,
            n_samples=n_samples,
            seed=seed,
        )
        self._rows.append(row)
        print(msgspec.json.encode(row).decode(), flush=True)

    def add_run(self, run: LoadRun, checks: CheckResult) -> None:
        """Add and print the rows that all load scenarios have."""
        seed = run.settings.seed
        for name, kind in (
            ("age_tolerant", OperationKind.LOOKUP),
            ("read_your_writes", OperationKind.OWN_READ),
        ):
            share, n_reads = run.replica_share(kind)
            metric = f"replica_read_share_{name}"
            self.add(metric, share if n_reads else None, "share", n_reads, seed)
        n_lookups = sum(item.kind is OperationKind.LOOKUP for item in run.operations)
        n_unanswered = run.n_unanswered(OperationKind.LOOKUP)
        self.add("n_unanswered_lookups", n_unanswered, "count", n_lookups, seed)
        for name, percentile in (("p50", 50), ("p99", 99), ("p99_9", 99.9)):
            value_us = run.latency.get_value_at_percentile(percentile)
            n_samples = run.latency.get_total_count()
            self.add(f"latency_{name}_ms", value_us / 1_000, "ms", n_samples, seed)
        n_operations = len(run.operations)
        self.add("n_stale_reads", checks.n_stale_reads, "count", n_operations, seed)
        n_acknowledged = checks.n_acknowledged
        self.add("n_lost", len(checks.lost), "count", n_acknowledged, seed)
        self.add("n_doubled", len(checks.doubled), "count", n_acknowledged, seed)
        n_violations = len(checks.ran_despite_not_run)
        self.add("n_ran_despite_not_run", n_violations, "count", n_operations, seed)
        self.add("n_not_issued", run.n_not_issued, "count", n_operations, seed)
