"""Tests that servers run the very text that callers sent, on every path of it."""

import pytest
from cardamomshunt_platform._lines import LineProtocol

# What may follow the name of a prepared statement: a last field extends to the end of
# the line, so that blanks and separators belong to it.
TAILS = {
    "item": " k1",
    "data": " k1 two stools",
    "blank_after_data": " k1 pkhktfnqzixv ",
    "blanks_after_data": " k1 two stools   ",
    "blank_before_data": " k1  two stools",
    "blanks_within_data": " k1 two   stools",
    "only_blanks_as_data": " k1   ",
    "blank_after_item": " k1 ",
    "blank_before_item": "  k1 two",
    "nothing": "",
    "only_a_blank": " ",
    "only_blanks": "   ",
    "tab_at_the_end": " k1 two\t",
    "line_feed_at_the_end": " k1 two\n",
    "carriage_return_and_blank_at_the_end": " k1 two\r ",
    "other_separators": " k1 \x0b\x0c\x1c\x85\u2028\u00a0",
}


async def _run(caller, deployment, text, request="w1"):
    """Run a statement; return the last line of its answer, and what servers ran."""
    runs_before = len(deployment.group.runs)
    lines = await caller.execute(text, request)
    return lines[-1], deployment.group.runs[runs_before:]


@pytest.mark.parametrize("tail", TAILS.values(), ids=TAILS.keys())
async def test_a_prepared_statement_keeps_all_that_follows_its_name(deployment, tail):
    # Guards against a write that a server runs with other data than its caller sent.
    caller = await deployment.open_session()
    await caller.execute("PREPARE s1 WRITE q2c")
    for opening in (None, "BEGIN"):
        if opening is not None:
            await caller.execute(opening)
        answer, [run] = await _run(caller, deployment, f"EXECUTE s1{tail}")
        assert answer == "COMPLETE proof-i-3-w1"
        word, name, *_ = run.text.split(" ")
        assert (run.request, word) == ("w1", "EXECUTE")
        assert run.text == f"EXECUTE {name}{tail}"


@pytest.mark.parametrize(
    "name", ["s1", "E", "k1", "p1", "\u00e9\u00df\u0130", "a\tb", "a\nb"]
)
async def test_only_the_name_is_replaced(deployment, name):
    # Guards against data that is changed as it holds the name or looks like a statement.
    caller = await deployment.open_session()
    await caller.execute(f"PREPARE {name} WRITE q2c")
    tail = f" k1 {name} EXECUTE {name}\nEXECUTE {name}"
    answer, [run] = await _run(caller, deployment, f"EXECUTE {name}{tail}")
    assert answer == "COMPLETE proof-i-3-w1"
    server_name = run.text.split(" ")[1]
    assert run.text == f"EXECUTE {server_name}{tail}"


@pytest.mark.parametrize("tail", TAILS.values(), ids=TAILS.keys())
async def test_a_plain_statement_keeps_all_that_follows_its_word(deployment, tail):
    # Guards against a statement that a server runs with other text than was sent.
    caller = await deployment.open_session()
    for opening in (None, "BEGIN"):
        if opening is not None:
            await caller.execute(opening)
        for word in ("READ", "WRITE"):
            answer, runs = await _run(caller, deployment, f"{word}{tail}")
            if tail in ("", " "):
                # There is no item, so that nothing may run.
                assert answer.startswith("ERROR MALFORMED")
                assert not runs
                continue
            assert answer == "COMPLETE proof-i-3-w1"
            assert [(r.request, r.text) for r in runs] == [("w1", f"{word}{tail}")]


@pytest.mark.parametrize("blanks", ["", " ", "  "])
async def test_a_session_value_keeps_its_blanks(deployment, blanks):
    # Guards against statements that run with another value than was acknowledged.
    caller = await deployment.open_session()
    assert await caller.execute(f"SET lang sw{blanks}") == ["COMPLETE -"]
    await caller.execute("WRITE k1 two", "w1")
    assert deployment.group.runs[-1].values == {"lang": f"sw{blanks}"}


@pytest.mark.parametrize("blanks", ["", " ", "  "])
async def test_prepared_statements_that_differ_in_blanks_stay_apart(deployment, blanks):
    # Guards against a name that runs the statement that another caller prepared.
    first = await deployment.open_session()
    await first.execute("PREPARE s1 WRITE q2c")
    await first.execute("EXECUTE s1 k1 one", "w1")
    second = await deployment.open_session()
    await second.execute(f"PREPARE s1 WRITE q2c{blanks}")
    await second.execute("EXECUTE s1 k1 two", "w2")
    names = [run.text.split(" ")[1] for run in deployment.group.runs[-2:]]
    assert (names[0] == names[1]) == (not blanks)


def _sent_lines(deployment):
    """Return the trace of the first entry VM, by request."""
    events = deployment.events("entry-1")
    return {e["request"]: e for e in events if e["event"] == "statement_sent"}


@pytest.mark.parametrize("deployment", [{"is_statement_traced": True}], indirect=True)
async def test_the_trace_shows_sizes_and_no_text(deployment):
    # Guards against a change of a statement that the log can't show, and against data
    # of callers in the log.
    caller = await deployment.open_session()
    await caller.execute("WRITE k1 secret", "w1")
    await caller.execute("PREPARE secret_name WRITE q2c")
    await caller.execute("EXECUTE secret_name k1 secret\u00e9  ", "w2")
    await caller.execute("BEGIN")
    await caller.execute("READ k1", "r1")
    await caller.execute("COMMIT", "c1")
    lines = _sent_lines(deployment)
    assert lines.keys() >= {"w1", "w2", "r1", "c1"}
    for request in ("w1", "r1", "c1"):
        assert lines[request]["sent_bytes"] == lines[request]["received_bytes"]
    line = lines["w2"]
    assert (line["statement"], line["caller_name_bytes"]) == ("execute", 11)
    n_received = len("EXECUTE secret_name k1 secret\u00e9  ".encode())
    assert line["received_bytes"] == n_received
    assert line["sent_bytes"] == n_received - 11 + len(line["server_name"])
    assert "secret" not in (deployment.folder / "entry-1.log").read_text()


@pytest.mark.parametrize("deployment", [{"is_statement_traced": True}], indirect=True)
@pytest.mark.parametrize(
    ("method", "text"),
    [("execute_text", "EXECUTE s1 k1 two  "), ("statement", "WRITE k1 two  ")],
)
async def test_the_trace_shows_a_codec_that_changes_text(
    deployment, monkeypatch, method, text
):
    # Guards against a trace that takes what was received for what is sent.
    codec = getattr(LineProtocol, method)

    def strip(*arguments):
        made = codec(*arguments)
        return made.rstrip() + b"\r\n" if isinstance(made, bytes) else made.rstrip()

    caller = await deployment.open_session()
    await caller.execute("PREPARE s1 WRITE q2c")
    monkeypatch.setattr(LineProtocol, method, strip)
    await caller.execute(text, "w1")
    line = _sent_lines(deployment)["w1"]
    kept_bytes = line["received_bytes"] - line["caller_name_bytes"]
    assert line["sent_bytes"] != kept_bytes + len(line["server_name"])


async def test_no_trace_is_written_without_the_option(deployment):
    # Guards against a log line for each statement in a deployment that did not ask.
    await (await deployment.open_session()).execute("WRITE k1 two", "w1")
    assert not _sent_lines(deployment)


@pytest.mark.parametrize(
    ("text", "answer", "sent", "state"),
    [
        ("COMMIT", "COMPLETE proof-i-3-c1", ["COMMIT"], "I"),
        ("COMMIT ", "COMPLETE proof-i-3-c1", ["COMMIT "], "I"),
        ("COMMIT  x", "COMPLETE proof-i-3-c1", ["COMMIT  x"], "I"),
        # The proxy answers these itself.
        ("ROLLBACK", "COMPLETE -", [], "I"),
        ("ROLLBACK ", "COMPLETE -", [], "I"),
        ("ROLLBACK x", "COMPLETE -", [], "I"),
        # No words of the protocol: nothing runs, and the transaction stays open.
        ("COMMIT\t", "ERROR MALFORMED unknown statement", [], "T"),
        ("commit", "ERROR MALFORMED unknown statement", [], "T"),
        (" COMMIT", "ERROR MALFORMED unknown statement", [], "T"),
        ("ROLLBACK\n", "ERROR MALFORMED unknown statement", [], "T"),
        ("WAITFOR 1.0 READ k1", "ERROR MALFORMED unknown statement", [], "T"),
        ("", "ERROR MALFORMED unknown statement", [], "T"),
    ],
)
async def test_the_end_of_a_transaction_is_sent_as_it_came(
    deployment, text, answer, sent, state
):
    # Guards against an end that is guessed, and against one with another text.
    caller = await deployment.open_session()
    await caller.execute("BEGIN")
    await caller.execute("WRITE k1 two", "w1")
    found, runs = await _run(caller, deployment, text, "c1")
    assert (found, [run.text for run in runs], caller.state) == (answer, sent, state)
    is_committed = "w1" in deployment.group.requests_committed()
    assert is_committed == bool(sent)


@pytest.mark.parametrize(
    ("text", "answer", "state"),
    [
        ("BEGIN", "COMPLETE -", "T"),
        ("BEGIN ", "COMPLETE -", "T"),
        ("BEGIN READ", "COMPLETE -", "T"),
        ("BEGIN READ ", "ERROR MALFORMED unknown statement", "I"),
        ("BEGIN  READ", "ERROR MALFORMED unknown statement", "I"),
        ("BEGIN WRITE", "ERROR MALFORMED unknown statement", "I"),
        ("SET lang", "COMPLETE -", "I"),
        ("SET lang ", "COMPLETE -", "I"),
        ("SET", "ERROR MALFORMED unknown statement", "I"),
        ("SET  sw", "ERROR MALFORMED unknown statement", "I"),
        ("PREPARE s1 WRITE", "ERROR MALFORMED unknown statement", "I"),
        ("PREPARE s1  WRITE q2c", "ERROR MALFORMED unknown statement", "I"),
        ("DEALLOCATE s1", "ERROR UNKNOWN s1", "I"),
        ("DEALLOCATE kept ", "ERROR UNKNOWN kept", "I"),
        ("DEALLOCATE kept x", "ERROR UNKNOWN kept x", "I"),
    ],
)
async def test_a_statement_that_the_proxy_answers(deployment, text, answer, state):
    # Guards against a transaction or a value other than the caller asked for.
    caller = await deployment.open_session()
    await caller.execute("PREPARE kept READ q2c")
    assert await caller.execute(text) == [answer]
    assert caller.state == state
    assert (await caller.execute("EXECUTE kept k1"))[-1].startswith("COMPLETE proof")
    await caller.execute("READ k1", "r1")
    run = deployment.group.runs[-1]
    expected = {"lang": ""} if text.startswith("SET lang") else {}
    assert (run.request, run.values) == ("r1", expected)
