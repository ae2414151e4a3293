"""Plot of the measured rows."""

from pathlib import Path

import matplotlib

from cardamomshunt_testing._measure_rows import Row

matplotlib.use("Agg")

import matplotlib.pyplot as plt  # noqa: E402

_PANELS = (
    ("normal", "replica_read_share_age_tolerant", "Age-tolerant reads by replicas"),
    ("normal", "replica_read_share_read_your_writes", "Own reads by replicas"),
    ("normal", "n_stale_reads", "Stale reads (normal load)"),
    ("overload", "goodput_share", "Goodput at 2x load / capacity"),
    ("normal", "latency_p99_ms", "Latency p99 (ms, normal load)"),
    ("failover", "failover_gap_worst_ms", "Worst failover gap (ms)"),
)


def save_plot(rows: list[Row], folder: Path) -> None:
    """Write the plot as PNG and SVG."""
    folder.mkdir(parents=True, exist_ok=True)
    figure, axes = plt.subplots(2, 3, figsize=(13, 7))
    for axis, (scenario, metric, title) in zip(axes.flat, _PANELS, strict=True):
        chosen = [
            row for row in rows if row.scenario == scenario and row.metric == metric
        ]
        labels = [f"{row.size}\n{row.system}" for row in chosen]
        values = [0.0 if row.value is None else row.value for row in chosen]
        bars = axis.bar(range(len(chosen)), values)
        texts = ["never" if row.value is None else f"{row.value:g}" for row in chosen]
        axis.bar_label(bars, texts, fontsize=7)
        axis.set_xticks(range(len(chosen)), labels, fontsize=6, rotation=30)
        axis.set_title(title, fontsize=9)
    figure.tight_layout()
    for suffix in ("png", "svg"):
        figure.savefig(folder / f"measure.{suffix}")
    plt.close(figure)
