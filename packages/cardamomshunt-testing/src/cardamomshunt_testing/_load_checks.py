"""Checks of a recorded history against the state of the final primary."""

from bisect import bisect_right
from collections import defaultdict
from collections.abc import Iterable, Mapping

import msgspec

from cardamomshunt_testing._load_history import (
    Operation,
    OperationKind,
    OperationVerdict,
)

_WRITE_KINDS = (OperationKind.ORDER, OperationKind.DISPATCH)


class CheckResult(msgspec.Struct, kw_only=True):
    """Hold what the checks found; each list names the keys concerned."""

    n_acknowledged: int = 0
    lost: list[str] = []
    doubled: list[str] = []
    ran_despite_not_run: list[str] = []
    stale_own_reads: list[str] = []
    backward_reads: list[str] = []
    age_violations: list[str] = []

    @property
    def n_stale_reads(self) -> int:
        """Count the reads that broke a promise of freshness."""
        return sum(
            map(len, (self.stale_own_reads, self.backward_reads, self.age_violations))
        )


def check_history(
    operations: Iterable[Operation], final_counts: Mapping[str, int]
) -> CheckResult:
    """Check a history; `final_counts` tells how often each key is stored at the end."""
    ordered = sorted(operations, key=lambda item: item.start_ms)
    result = CheckResult()
    _check_writes(ordered, final_counts, result)
    _check_own_reads(ordered, result)
    _check_backward_reads(ordered, result)
    _check_ages(ordered, result)
    return result


def _check_writes(
    ordered: list[Operation], final_counts: Mapping[str, int], result: CheckResult
) -> None:
    by_key: dict[str, set[OperationVerdict]] = defaultdict(set)
    for item in ordered:
        if item.kind in _WRITE_KINDS:
            by_key[item.key].add(item.verdict)
    for key, verdicts in by_key.items():
        n_stored = final_counts.get(key, 0)
        is_acknowledged = OperationVerdict.ANSWERED in verdicts
        result.n_acknowledged += is_acknowledged
        if is_acknowledged and n_stored == 0:
            result.lost.append(key)
        if n_stored > 1:
            result.doubled.append(key)
        if verdicts == {OperationVerdict.NOT_RUN} and n_stored:
            result.ran_despite_not_run.append(key)


def _check_own_reads(ordered: list[Operation], result: CheckResult) -> None:
    """Find reads that miss an order which their session had placed before."""
    acknowledged: dict[tuple[str, str], float] = {}
    for item in ordered:
        if item.kind in _WRITE_KINDS and item.verdict is OperationVerdict.ANSWERED:
            known = acknowledged.get((item.session, item.key), item.end_ms)
            acknowledged[item.session, item.key] = min(known, item.end_ms)
    for item in ordered:
        if item.kind is not OperationKind.OWN_READ or item.value is None:
            continue
        acknowledged_ms = acknowledged.get((item.session, item.key))
        if acknowledged_ms is None or acknowledged_ms > item.start_ms:
            continue
        if item.value < 1:
            result.stale_own_reads.append(item.key)


def _check_backward_reads(ordered: list[Operation], result: CheckResult) -> None:
    """Find reads older than what the same session had read or written before."""
    seen: dict[tuple[str, str], list[tuple[float, int]]] = defaultdict(list)
    reads = (OperationKind.LOOKUP, OperationKind.OWN_READ)
    for item in ordered:
        if item.kind not in reads or item.value is None:
            continue
        earlier = seen[item.session, item.key]
        floor = max(
            (value for end_ms, value in earlier if end_ms <= item.start_ms), default=0
        )
        if item.value < floor:
            result.backward_reads.append(item.key)
        earlier.append((item.end_ms, item.value))


def _check_ages(ordered: list[Operation], result: CheckResult) -> None:
    """Find lookups that miss a restock acknowledged longer ago than their age bound."""
    ends: dict[str, list[float]] = defaultdict(list)
    versions: dict[str, list[int]] = defaultdict(list)
    restocks = sorted(
        (
            item
            for item in ordered
            if item.kind is OperationKind.RESTOCK
            and item.verdict is OperationVerdict.ANSWERED
            and item.value is not None
        ),
        key=lambda item: item.end_ms,
    )
    for item in restocks:
        newest = versions[item.key][-1] if versions[item.key] else 0
        ends[item.key].append(item.end_ms)
        versions[item.key].append(max(newest, item.value or 0))
    for item in ordered:
        if item.kind is not OperationKind.LOOKUP or item.value is None:
            continue
        bound_ms = item.start_ms - (item.max_age_ms or 0.0)
        index = bisect_right(ends[item.key], bound_ms)
        if index and item.value < versions[item.key][index - 1]:
            result.age_violations.append(item.key)
