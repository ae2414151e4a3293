"""Tests that the checks of the soak notice changed statements and rows."""

import pytest
from soak_callers import History, Statement
from soak_checks import check_all
from standin import Group, LineServer, Provider, Run


def _check(statement_fields, run_fields):
    """Check one statement of a caller and one run of a server."""
    statement = Statement("r1", 1, "in_transaction", "", "entry-1", 0.0)
    run = Run("i-1", "r1", "", 1, (1, 0), {}, True, "")
    for record, fields in ((statement, statement_fields), (run, run_fields)):
        for name, value in fields.items():
            setattr(record, name, value)
    group = Group("db", 1)
    group.requests_committed = list
    group.runs.append(run)
    found = check_all(History([statement]), group, Provider("", [group]), {})
    return [violation.partition(":")[0] for violation in found]


@pytest.mark.parametrize(
    ("sent", "ran", "kinds"),
    [
        ("WRITE k1 a ", "WRITE k1 a ", []),
        ("WRITE k1 a ", "WRITE k1 a", ["UNASKED"]),
        ("WRITE k1  a", "WRITE k1 a", ["UNASKED"]),
        ("EXECUTE s1 k1 a ", "EXECUTE p7 k1 a ", ["UNASKED"]),
    ],
)
def test_a_plain_statement_runs_as_it_was_sent(sent, ran, kinds):
    # Guards against a check that passes over statements with changed text.
    assert _check({"text": sent}, {"text": ran}) == kinds


@pytest.mark.parametrize(
    ("ran", "prepared", "kinds"),
    [
        ("EXECUTE p7 k1 a ", "WRITE q2c ", []),
        ("EXECUTE p7 k1 a", "WRITE q2c ", ["UNASKED"]),
        ("EXECUTE p7  k1 a ", "WRITE q2c ", ["UNASKED"]),
        ("EXECUTE p7 k1 a ", "WRITE q2c", ["UNASKED"]),
        ("EXECUTE p7 k1 a ", "READ q2c ", ["UNASKED"]),
        ("WRITE k1 a ", "", ["UNASKED"]),
    ],
)
def test_a_prepared_statement_runs_as_it_was_sent(ran, prepared, kinds):
    # Guards against a check that passes over the statement behind another name.
    sent = {"text": "EXECUTE s1 k1 a ", "prepared": "WRITE q2c "}
    assert _check(sent, {"text": ran, "prepared": prepared}) == kinds


@pytest.mark.parametrize(
    ("request_id", "text", "kinds"),
    [
        ("service-check", "READ k0", []),
        ("service-check", "READ k1", ["UNASKED"]),
        ("other", "READ k0", ["UNASKED"]),
        ("-", "COMMIT", ["UNASKED"]),
    ],
)
def test_no_statement_runs_that_no_caller_sent(request_id, text, kinds):
    # Guards against a check that passes over runs with the id of no caller.
    assert _check({}, {"request": request_id, "text": text}) == kinds


@pytest.mark.parametrize(
    ("rows", "kinds"), [(["ROW a "], []), (["ROW a"], ["ROWS"]), ([], ["ROWS"])]
)
def test_rows_arrive_as_they_were_returned(rows, kinds):
    # Guards against a check that passes over changed and missing rows.
    lines = [*rows, "COMPLETE proof-i-1-r1"]
    sent = {"text": "READ k1", "lines": lines}
    assert _check(sent, {"text": "READ k1", "rows": ["ROW a "]}) == kinds


@pytest.mark.parametrize(
    ("asked", "answer", "is_broken"),
    [
        ("", "COMPLETE proof", False),
        ("i-1", "COMPLETE proof", False),
        ("i-2", "COMPLETE proof", True),
        ("i-2", "ERROR INDOUBT", False),
    ],
)
async def test_nothing_is_acknowledged_once_a_successor_is_asked_for(
    asked, answer, is_broken
):
    # Guards against a check that passes over commits between the call of the promotion
    # and its effect, which the successor lacks.
    group = Group("db", 1)
    group.servers = [LineServer(group, f"i-{n}", "127.0.0.1", "z1") for n in (1, 2)]
    group.servers[0].is_primary = True
    if asked:
        group.on_promotion_asked(asked)
    group.commit(group.servers[0], "k1", "a", "r1")
    write = Statement("r1", 1, "write", "WRITE k1 a", "entry-1", 0.0, lines=[answer])
    found = check_all(History([write]), group, Provider("", [group]), {1: "orders"})
    assert any(text.startswith("ONE") for text in found) is is_broken
