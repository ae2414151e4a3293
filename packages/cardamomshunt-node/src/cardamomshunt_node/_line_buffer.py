"""Division of a stream of bytes into the lines of the session protocol."""

LINE_END = b"\r\n"


class LineTooLongError(ValueError):
    """Raised when a line without its end exceeds the size limit."""


class LineBuffer:
    """Collect received bytes, and split off the lines that are complete.

    A carriage return or a line feed alone is part of the last field of a line. The
    limit holds for lines without their ends, however the stream was divided into reads.
    """

    def __init__(self, size_max_bytes: int) -> None:
        self._size_max_bytes = size_max_bytes
        self._rest = b""

    @property
    def is_empty(self) -> bool:
        """Return whether no part of a line waits for its end."""
        return not self._rest

    def feed(self, data: bytes) -> list[bytes]:
        """Return the complete lines without their ends; raise LineTooLongError."""
        if self._rest:
            data = self._rest + data
        *lines, self._rest = data.split(LINE_END)
        # A carriage return at the end may be the first half of the line's end.
        n_rest_bytes = len(self._rest) - self._rest.endswith(b"\r")
        if max([n_rest_bytes, *map(len, lines)]) > self._size_max_bytes:
            raise LineTooLongError(f"a line exceeds {self._size_max_bytes} bytes")
        return lines
