"""History of the operations that callers ran."""

import enum
import re

import msgspec

_REFUSAL = re.compile(
    r"cardamomshunt verdict=(?P<verdict>\w+) reason=(?P<reason>\w+) retry=(?P<retry>\w+):"
)


class OperationKind(enum.Enum):
    """Kind of an operation."""

    LOOKUP = "lookup"
    OWN_READ = "own_read"
    ORDER = "order"
    DISPATCH = "dispatch"
    RESTOCK = "restock"


class OperationVerdict(enum.Enum):
    """Outcome of an operation for its caller.

    UNKNOWN is any error without a verdict: the statement may or may not have run.
    """

    ANSWERED = "answered"
    NOT_RUN = "not_run"
    MAY_HAVE_RUN = "may_have_run"
    UNKNOWN = "unknown"


class Operation(msgspec.Struct, kw_only=True):
    """Record of one attempt; times are monotonic, `end_ms` is infinite while it runs.

    `key` identifies the order or the stock item; `value` is the version read or
    written, or the number of rows that a read of an order found.
    """

    kind: OperationKind
    session: str
    start_ms: float
    end_ms: float = float("inf")
    verdict: OperationVerdict = OperationVerdict.UNKNOWN
    reason: str = ""
    may_retry: bool = False
    key: str
    value: int | None = None
    max_age_ms: float | None = None
    route: str = ""
    detail: str = ""


class Refusal(msgspec.Struct, frozen=True):
    """Refusal that an error text describes."""

    verdict: OperationVerdict
    reason: str
    may_retry: bool


def parse_refusal(code: int, text: str) -> Refusal:
    """Parse the refusal of a statement from its error.

    >>> text = "cardamomshunt verdict=NOT_RUN reason=overloaded retry=yes: queue full"
    >>> parse_refusal(1105, text).may_retry
    True
    >>> parse_refusal(2013, "Lost connection").verdict.value
    'unknown'
    """
    match = _REFUSAL.search(text)
    if match is None:
        is_refused_connection = code in (1040, 1053, 2003)
        verdict = OperationVerdict.UNKNOWN
        if is_refused_connection:
            verdict = OperationVerdict.NOT_RUN
        return Refusal(verdict, f"error_{code}", is_refused_connection)
    verdicts = {
        "NOT_RUN": OperationVerdict.NOT_RUN,
        "MAY_HAVE_RUN": OperationVerdict.MAY_HAVE_RUN,
        "RAN": OperationVerdict.ANSWERED,
    }
    verdict = verdicts.get(match["verdict"], OperationVerdict.UNKNOWN)
    return Refusal(verdict, match["reason"], match["retry"] == "yes")
