"""Tests of the division of streams into lines."""

import pytest
from cardamomshunt_node._line_buffer import LineBuffer, LineTooLongError

_SIZE_MAX_BYTES = 16


@pytest.mark.parametrize("step_bytes", [1, 2, 3, 100])
@pytest.mark.parametrize(
    ("data", "lines", "is_empty"),
    [
        (b"a\r\nb\r\n", [b"a", b"b"], True),
        (b"a\nb\r\n", [b"a\nb"], True),
        (b"a\rb\r\n", [b"a\rb"], True),
        (b"a\r\r\n", [b"a\r"], True),
        (b"a\n\r\r\n\r\n", [b"a\n\r", b""], True),
        (b"a\r\nb", [b"a"], False),
        (b"a\r", [], False),
    ],
)
def test_only_both_characters_end_a_line(data, lines, is_empty, step_bytes):
    # Guards against lines that end elsewhere because of how the stream was divided.
    buffer = LineBuffer(_SIZE_MAX_BYTES)
    found = []
    for start in range(0, len(data), step_bytes):
        found += buffer.feed(data[start : start + step_bytes])
    assert (found, buffer.is_empty) == (lines, is_empty)


def test_a_line_without_an_end_is_refused():
    # Guards against memory that a peer fills with one endless line.
    buffer = LineBuffer(_SIZE_MAX_BYTES)
    with pytest.raises(LineTooLongError, match="16 bytes"):
        for _ in range(9):
            buffer.feed(b"ab")


@pytest.mark.parametrize("step_bytes", [1, 15, 16, 17, 18, 100])
@pytest.mark.parametrize(
    ("data", "is_accepted"),
    [
        (b"a" * 16 + b"\r\n", True),
        (b"a" * 15 + b"\r\r\n", True),
        (b"b\r\n" + b"a" * 16 + b"\r\n", True),
        (b"a" * 17 + b"\r\n", False),
        (b"a" * 16 + b"\r\r\n", False),
        (b"a" * 16 + b"\rb\r\n", False),
        (b"b\r\n" + b"a" * 17 + b"\r\n", False),
        (b"a" * 17, False),
    ],
)
def test_the_limit_of_a_line_excludes_its_end(data, is_accepted, step_bytes):
    # Guards against a limit that depends on how the stream was divided into reads.
    buffer = LineBuffer(_SIZE_MAX_BYTES)
    found = []
    try:
        for start in range(0, len(data), step_bytes):
            found += buffer.feed(data[start : start + step_bytes])
    except LineTooLongError:
        assert not is_accepted
    else:
        assert is_accepted
        assert found == data.split(b"\r\n")[:-1]
