"""Tests of the helpers of the demo and the measurements."""

import os
import signal
import time

import msgspec
import pytest
from cardamomshunt_testing._measure_failover import _add_gaps
from cardamomshunt_testing._measure_plot import save_plot
from cardamomshunt_testing._measure_rows import Row, RowWriter
from cardamomshunt_testing._ports import free_ports
from cardamomshunt_testing._processes import Processes
from cardamomshunt_testing.demo import DemoResult


def test_ports_of_several_calls_are_different():
    ports = [port for _ in range(200) for port in free_ports(5)]
    assert len(set(ports)) == 1_000


async def test_children_are_stopped_even_when_frozen(tmp_path):
    processes = Processes(tmp_path)
    processes.start("child", ["sleep", "60"])
    pid = processes.pid("child")
    processes.signal("child", signal.SIGSTOP)
    started = time.monotonic()
    await processes.stop()
    assert time.monotonic() - started < 2
    with pytest.raises(ProcessLookupError):
        os.kill(pid, 0)


async def test_child_that_ends_by_itself_is_reported(tmp_path):
    processes = Processes(tmp_path)
    processes.start("child", ["sh", "-c", "echo broken settings; exit 3"])
    while not processes.exited():
        time.sleep(0.01)
    assert processes.log_tail("child") == "broken settings"
    await processes.stop()


@pytest.mark.parametrize(
    ("gaps", "median", "worst"),
    [([10.0, 30.0, 20.0], 20.0, 30.0), ([10.0, None, 20.0], 20.0, None)],
)
def test_gap_that_never_ended_counts_as_the_worst(capsys, gaps, median, worst):
    rows: list[Row] = []
    _add_gaps(RowWriter(rows, "zarqa", "cardamomshunt", "failover"), "gap", gaps, 7)
    assert [(row.metric, row.value) for row in rows] == [
        ("gap_median_ms", median),
        ("gap_worst_ms", worst),
    ]
    printed = [msgspec.json.decode(line) for line in capsys.readouterr().out.split()]
    assert set(printed[0]) == {
        *("size", "system", "scenario", "metric", "value", "unit", "n_samples", "seed")
    }


def test_plot_is_written_for_rows_without_a_value(tmp_path):
    row = Row(
        size="zarqa",
        system="naive-primary",
        scenario="failover",
        metric="failover_gap_worst_ms",
        value=None,
        unit="ms",
        n_samples=1,
        seed=1,
    )
    save_plot([row], tmp_path)
    assert {item.name for item in tmp_path.iterdir()} == {"measure.png", "measure.svg"}


@pytest.mark.parametrize(
    ("changes", "is_failed"),
    [
        ({}, False),
        ({"n_lost": 1}, True),
        ({"n_doubled": 1}, True),
        ({"n_stale_reads": 1}, True),
        ({"failover_gap_ms": None}, True),
        ({"n_acknowledged": 0}, True),
    ],
)
def test_demo_fails_on_every_violated_guarantee(changes, is_failed):
    result = DemoResult(
        replica_read_share=0.9,
        failover_gap_ms=700.0,
        n_acknowledged=100,
        n_lost=0,
        n_doubled=0,
        n_stale_reads=0,
    )
    assert bool(msgspec.structs.replace(result, **changes).failure()) == is_failed
