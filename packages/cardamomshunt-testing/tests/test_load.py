"""Tests of the load generator; each check must detect a history that violates it."""

import pytest
from cardamomshunt_testing._standin_group import StandinGroup, group_settings
from cardamomshunt_testing.load import (
    KITI_BORA,
    LoadRun,
    LoadSettings,
    Operation,
    OperationKind,
    OperationVerdict,
    check_history,
    parse_refusal,
    read_final_counts,
    write_gap_ms,
)
from cardamomshunt_testing.naive import NaiveInstance, NaiveProxy, NaiveSettings

ANSWERED = OperationVerdict.ANSWERED
NOT_RUN = OperationVerdict.NOT_RUN
MAY_HAVE_RUN = OperationVerdict.MAY_HAVE_RUN


def operation(
    kind: str,
    key: str,
    start_ms: float,
    end_ms: float,
    *,
    value: int | None = None,
    verdict: OperationVerdict = ANSWERED,
    session: str = "s1",
    max_age_ms: float | None = None,
) -> Operation:
    return Operation(
        kind=OperationKind(kind),
        session=session,
        start_ms=start_ms,
        end_ms=end_ms,
        verdict=verdict,
        key=key,
        value=value,
        max_age_ms=max_age_ms,
    )


VALID_HISTORY = [
    operation("order", "o1", 0, 10),
    operation("own_read", "o1", 11, 12, value=1),
    operation("order", "o2", 20, 30, verdict=NOT_RUN),
    operation("order", "o2", 40, 50),
    operation("order", "o3", 60, 70, verdict=NOT_RUN),
    operation("order", "o4", 80, 90, verdict=MAY_HAVE_RUN),
    operation("restock", "i1", 0, 5, value=1, session="r"),
    operation("restock", "i1", 100, 110, value=2, session="r"),
    operation("lookup", "i1", 150, 160, value=1, max_age_ms=50),
    operation("lookup", "i1", 170, 180, value=2, max_age_ms=50),
    operation("own_read", "o1", 5, 9, value=0, session="s2"),
]


def test_valid_history_passes():
    result = check_history(VALID_HISTORY, {"o1": 1, "o2": 1, "o4": 1})
    assert result.n_acknowledged == 2
    assert result == type(result)(n_acknowledged=2)


@pytest.mark.parametrize(
    ("extra", "counts", "field", "keys"),
    [
        ([], {"o2": 1}, "lost", ["o1"]),
        ([], {"o1": 2, "o2": 1}, "doubled", ["o1"]),
        ([], {"o1": 1, "o2": 1, "o4": 2}, "doubled", ["o4"]),
        ([], {"o1": 1, "o2": 1, "o3": 1}, "ran_despite_not_run", ["o3"]),
        (
            [operation("own_read", "o2", 51, 52, value=0)],
            {"o1": 1, "o2": 1},
            "stale_own_reads",
            ["o2"],
        ),
        (
            [operation("lookup", "i1", 181, 190, value=1, max_age_ms=500)],
            {"o1": 1, "o2": 1},
            "backward_reads",
            ["i1"],
        ),
        (
            [operation("lookup", "i1", 161, 165, value=1, max_age_ms=50, session="s2")],
            {"o1": 1, "o2": 1},
            "age_violations",
            ["i1"],
        ),
    ],
)
def test_invalid_histories_are_detected(extra, counts, field, keys):
    result = check_history([*VALID_HISTORY, *extra], counts)
    assert getattr(result, field) == keys


def test_reads_that_overlap_the_write_are_not_stale():
    overlapping = [
        operation("own_read", "o1", 5, 12, value=0),
        operation("lookup", "i1", 159, 165, value=1, max_age_ms=50, session="s2"),
    ]
    result = check_history([*VALID_HISTORY, *overlapping], {"o1": 1, "o2": 1})
    assert result.n_stale_reads == 0


@pytest.mark.parametrize(
    ("code", "text", "verdict", "may_retry"),
    [
        (
            1105,
            "cardamomshunt verdict=MAY_HAVE_RUN reason=connection_lost retry=no: x",
            MAY_HAVE_RUN,
            False,
        ),
        (
            1105,
            "cardamomshunt verdict=NOT_RUN reason=too_stale retry=yes: x",
            NOT_RUN,
            True,
        ),
        (1040, "Too many connections", NOT_RUN, True),
        (2013, "Lost connection", OperationVerdict.UNKNOWN, False),
    ],
)
def test_refusals_are_parsed(code, text, verdict, may_retry):
    refusal = parse_refusal(code, text)
    assert (refusal.verdict, refusal.may_retry) == (verdict, may_retry)


def test_write_gap_ignores_orders_begun_before_the_fault():
    history = [
        operation("order", "o1", 90, 130),
        operation("order", "o2", 110, 400),
        operation("order", "o3", 500, 510),
    ]
    assert write_gap_ms(history, after_ms=100) == 300
    assert write_gap_ms(history, after_ms=600) is None


@pytest.mark.parametrize("system", ["naive-primary", "naive-split"])
async def test_load_runs_against_naive_proxies(system):
    groups = []
    for name, schema in KITI_BORA.schemas.items():
        zones = ["zone-a", "zone-b", "zone-c"]
        groups.append(StandinGroup(group_settings(name, zones, schema=schema)))
    databases = {}
    for group in groups:
        await group.start()
        databases[next(iter(group.settings.values())).group] = [
            NaiveInstance(instance=item.instance, port=item.port)
            for item in group.settings.values()
        ]
    proxy = NaiveProxy(
        NaiveSettings(system=system, caller_address="127.0.0.1:0", databases=databases)
    )
    await proxy.start()
    settings = LoadSettings(
        entry_vms=[("127.0.0.1", proxy.edge.port)],
        rate=200,
        duration_s=1.0,
        # A session for each operation, as the run skips those that find all sessions
        # busy, which happens on a busy machine.
        n_sessions=200,
        has_idempotency=False,
    )
    run = LoadRun(KITI_BORA, settings)
    await run.run()
    counts = {}
    for group in groups:
        addresses = [("127.0.0.1", item.port) for item in group.settings.values()]
        counts.update(await read_final_counts(addresses))
    result = check_history(run.operations, counts)
    await proxy.stop()
    for group in groups:
        await group.stop()
    assert run.n_answered == 200
    assert (result.lost, result.doubled) == ([], [])
    assert result.n_acknowledged > 10
    share, n_reads = run.replica_share(OperationKind.LOOKUP)
    assert n_reads > 50
    assert share == (1.0 if system == "naive-split" else 0.0)
