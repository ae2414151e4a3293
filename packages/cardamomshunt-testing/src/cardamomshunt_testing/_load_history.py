"""Records of what callers did and saw."""

import enum
import re

import msgspec

_REFUSAL = re.compile(
    r"cardamomshunt verdict=(?P<verdict>\w+) reason=(?P<reason>\w+) retry=(?P<retry>\w+):"
)


class OperationKind(enum.Enum):
    """Name what an operation does."""

    LOOKUP = "lookup"
    OWN_READ = "own_read"
    ORDER = "order"
    DISPATCH = "dispatch"
    RESTOCK = "restock"


class OperationVerdict(enum.Enum):
    """Name how an operation ended for its caller.

    UNKNOWN is any error without a verdict: the statement may have run or not.
    """

    ANSWERED = "answered"
    NOT_RUN = "not_run"
    MAY_HAVE_RUN = "may_have_run"
    UNKNOWN = "unknown"


class Operation(msgspec.Struct, kw_only=True):
    """Record one attempt of a caller; times are monotonic, and endless while it runs.

    `key` names the order or the stock item; `value` is the version read or written, and
    for reads of an order how often it was found.
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
    """Hold what an error text says about its request."""

    verdict: OperationVerdict
    reason: str
    may_retry: bool


def parse_refusal(code: int, text: str) -> Refusal:
    """Read the verdict from an error.

    >>> text = "cardamomshunt verdict=NOT_RUN reason=overloaded retry=yes: queue full"
    >>> parse_refusal(1105, text).may_retry
    True
    >>> parse_refusal(2013, "Lost connection").verdict.value
    'unknown'
    """
    found = _REFUSAL.search(text)
    if found is None:
        is_refused_dial = code in (1040, 1053, 2003)
        verdict = OperationVerdict.UNKNOWN
        if is_refused_dial:
            verdict = OperationVerdict.NOT_RUN
        return Refusal(verdict, f"error_{code}", is_refused_dial)
    named = {
        "NOT_RUN": OperationVerdict.NOT_RUN,
        "MAY_HAVE_RUN": OperationVerdict.MAY_HAVE_RUN,
        "RAN": OperationVerdict.ANSWERED,
    }
    verdict = named.get(found["verdict"], OperationVerdict.UNKNOWN)
    return Refusal(verdict, found["reason"], found["retry"] == "yes")
