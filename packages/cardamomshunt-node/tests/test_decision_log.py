"""Tests of the structured log of daemons."""

import json
import os

import pytest
from cardamomshunt_node._decision_log import DecisionLog


@pytest.fixture
def written():
    """Return a log, and the function that reads its lines."""
    reader, writer = os.pipe()
    log = DecisionLog("entry-1", writer)
    yield log, lambda: os.read(reader, 65_536).decode().splitlines()
    os.close(reader)
    os.close(writer)


@pytest.mark.parametrize(
    ("reason", "logged"),
    [
        ("x" * 300, "x" * 300),
        ("x" * 1_000_000, "x" * 256 + "..."),
        ("\udcff" * 1_000_000, r"\xff" * 64 + "..."),
        ("\n" * 1_000_000, "\n" * 256 + "..."),
    ],
    ids=["short", "long", "no_utf_8", "escaped"],
)
def test_a_line_of_the_log_is_bounded(written, reason, logged):
    # Guards against a queue of lines that holds names of the size of a message.
    log, read_lines = written
    log.write("refused", reason=reason, elapsed_ms=3)
    [line] = read_lines()
    assert len(line) < 4_096
    fields = json.loads(line)
    assert (fields["reason"], fields["elapsed_ms"]) == (logged, 3)
