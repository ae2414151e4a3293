"""Log positions, ordered by term and then by number."""

import msgspec


class LogPosition(msgspec.Struct, frozen=True, order=True, array_like=True):
    """Position in the log of a database group.

    The term is compared first, so that a position of an older term is never newer than
    one of a later term, whatever its number.

    >>> LogPosition(3, 100) < LogPosition(4, 50)
    True
    """

    term: int
    position: int

    def __str__(self) -> str:
        return f"{self.term}:{self.position}"

    @classmethod
    def parse(cls, text: str) -> "LogPosition":
        """Parse `term:position`; raise ValueError for any other form.

        >>> LogPosition.parse("4:50")
        LogPosition(term=4, position=50)
        """
        term, separator, position = text.partition(":")
        if not (separator and term.isdecimal() and position.isdecimal()):
            raise ValueError(f"expected term:position, got {text!r}")
        return cls(int(term), int(position))


ZERO = LogPosition(0, 0)
