"""Arbitrary bytes of statements, and the paths on which they reach servers."""

from hypothesis import strategies as st
from standin import to_text

# Bytes that end fields or lines, begin words of the protocol, or are no UTF-8 alone.
_SPECIAL = [
    b" ",
    b"  ",
    b"\t",
    b"\r",
    b"\n",
    b"\0",
    b"\x0b\x0c\x1c",
    "\u0085\u00a0\u2028\ufeff".encode(),
    b"\x80\xff\xc3",
    b"\xed\xb3\xbf",
    b"WAITFOR 9.9 ",
    b"\nQUERY x WRITE k9 v",
]
_LINE_END = b"\r\n"


def field_bytes(min_size: int = 0) -> st.SearchStrategy[str]:
    """Draw the last field of a line, decoded without a loss."""
    parts = st.lists(st.sampled_from(_SPECIAL) | st.binary(max_size=6), max_size=5)
    fields = parts.map(b"".join).filter(lambda data: _LINE_END not in data)
    return fields.filter(lambda data: len(data) >= min_size).map(to_text)


async def run_paths(caller, group, data: str) -> None:
    """Send data on each path of a session, and compare what a server was given.

    The session is open on a database that is read at the primary.
    """
    await _check_values(caller, group, data)
    await caller.execute(f"PREPARE s1 WRITE {data}x")
    await caller.execute(f"PREPARE s2 READ {data}x")
    for opening, closing in ((None, None), ("BEGIN", "COMMIT")):
        if opening is not None:
            assert await caller.execute(opening) == ["COMPLETE -"]
        await _check_statements(caller, group, data)
        if closing is not None:
            assert (await caller.execute(closing))[-1].startswith("COMPLETE proof")


async def _check_values(caller, group, data: str) -> None:
    assert await caller.execute(f"SET lang {data}") == ["COMPLETE -"]
    assert await caller.execute(f"SET plain{data and ' '}{data}") == ["COMPLETE -"]
    await caller.execute("WRITE k1 x", "v1")
    assert group.runs[-1].values == {"lang": data, "plain": data}


async def _check_statements(caller, group, data: str) -> None:
    for request, text in (("w1", f"WRITE k1 {data}"), ("r1", f"READ k1 {data}")):
        [run] = await _run(caller, group, request, text)
        assert run.text == text
    for name, mode in (("s1", "WRITE"), ("s2", "READ")):
        [run] = await _run(caller, group, "e1", f"EXECUTE {name} k1 {data}")
        server_name = run.text.split(" ")[1]
        assert run.text == f"EXECUTE {server_name} k1 {data}"
        assert run.prepared == f"{mode} {data}x"


async def _run(caller, group, request: str, text: str):
    runs_before = len(group.runs)
    answer = await caller.execute(text, request)
    assert answer[-1].startswith("COMPLETE proof"), answer
    runs = group.runs[runs_before:]
    assert {run.request for run in runs} == {request}
    return runs
