"""Tests of messages of about the size limit, which servers have as well."""

import pytest
from cardamomshunt_node._session_protocol import MESSAGE_SIZE_MAX_BYTES
from standin import to_bytes

_REQUEST = "w1"


def text_of_limit(start: str) -> str:
    """Return a statement whose message has exactly the size limit."""
    n_bytes = MESSAGE_SIZE_MAX_BYTES - len(to_bytes(f"QUERY {_REQUEST} {start}"))
    return start + "x" * n_bytes


def served(deployment):
    return [run.text for run in deployment.group.runs if run.request == _REQUEST]


def n_bytes_received_max(deployment):
    return max(server.n_line_bytes_max for server in deployment.group.servers)


@pytest.mark.parametrize(
    ("database", "text"),
    [
        ("orders", text_of_limit("WRITE k1 ")),
        ("orders", text_of_limit("READ k1")),
        # A replica would need the bound as well.
        ("stock", text_of_limit("READ k1")),
        ("dispatch", text_of_limit("READ k1")),
    ],
    ids=["write", "read", "bounded_read", "read_your_writes"],
)
async def test_a_plain_statement_of_the_limit_runs(deployment, database, text):
    # Guards against a bound that makes a message longer than servers take.
    caller = await deployment.open_session(database)
    await caller.execute("WRITE k2 x")
    assert (await caller.execute(text, _REQUEST))[-1].startswith("COMPLETE proof")
    assert served(deployment) == [text]
    assert n_bytes_received_max(deployment) == MESSAGE_SIZE_MAX_BYTES


@pytest.mark.parametrize(
    ("database", "mode", "name"),
    [
        ("orders", "WRITE", "s"),
        ("orders", "READ", "s"),
        ("stock", "READ", "long_name"),
        ("dispatch", "READ", "long_name"),
    ],
)
@pytest.mark.parametrize("opening", ["", "BEGIN"])
async def test_an_execution_of_the_limit_runs_or_is_refused(
    deployment, database, mode, name, opening
):
    # Guards against a longer name that makes a message longer than servers take.
    caller = await deployment.open_session(database)
    await caller.execute("WRITE k2 x")
    assert await caller.execute(f"PREPARE {name} {mode} q2c") == ["COMPLETE -"]
    if opening:
        await caller.execute(opening)
    text = text_of_limit(f"EXECUTE {name} k1 ")
    answer = await caller.execute(text, _REQUEST)
    state = caller.state
    if len(name) >= len("p1"):
        assert answer[-1].startswith("COMPLETE proof")
        assert [run.partition(" k1 ")[2] for run in served(deployment)] == [
            text.partition(" k1 ")[2]
        ]
    else:
        assert answer[-1].startswith("ERROR TOOLARGE")
        assert served(deployment) == []
    assert state == ("T" if opening else "I")
    assert (await caller.execute("READ k2"))[-1].startswith("COMPLETE")
    assert n_bytes_received_max(deployment) <= MESSAGE_SIZE_MAX_BYTES


async def test_session_values_and_shapes_of_the_limit_are_sent_or_refused(deployment):
    # Guards against a session whose statements all fail, as its state can't be sent.
    caller = await deployment.open_session()
    # An empty request id makes the caller's message one byte shorter than the proxy's.
    n_bytes = MESSAGE_SIZE_MAX_BYTES - len("QUERY  SET lang ")
    [answer] = await caller.execute_raw(f"QUERY  SET lang {'x' * n_bytes}")
    assert answer.startswith("ERROR TOOLARGE")
    start = "PREPARE s READ "
    shape = "x" * (MESSAGE_SIZE_MAX_BYTES - len(f"QUERY  {start}"))
    assert await caller.execute_raw(f"QUERY  {start}{shape}") == ["COMPLETE -"]
    [answer] = await caller.execute("EXECUTE s k1", _REQUEST)
    assert answer.startswith("ERROR TOOLARGE")
    value = "x" * (n_bytes - 1)
    assert await caller.execute_raw(f"QUERY  SET lang {value}") == ["COMPLETE -"]
    assert (await caller.execute("WRITE k1 x", _REQUEST))[-1].startswith("COMPLETE")
    assert deployment.group.runs[-1].values == {"lang": value}
    assert n_bytes_received_max(deployment) <= MESSAGE_SIZE_MAX_BYTES
