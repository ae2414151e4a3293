"""Rules for running and repeating requests with and without an idempotency key."""

from cardamomshunt._data_path.effects import AttemptKind, Request, RequestKind
from cardamomshunt._data_path.retries import RepeatRule
from cardamomshunt._shared.verdict import Refusal, RefusalReason, Verdict

# Repeating these has no effect: a BEGIN whose connection is lost leaves no transaction
# behind, and a second outcome query revokes the same key again.
_REPEATABLE_KINDS = frozenset(
    {
        RequestKind.READ,
        RequestKind.BEGIN,
        RequestKind.BEGIN_READ_ONLY,
        RequestKind.OUTCOME_QUERY,
    }
)


def repeat_rule(request: Request) -> RepeatRule:
    """Return when a request outside a transaction may be sent again."""
    if request.kind in _REPEATABLE_KINDS:
        return RepeatRule.HARMLESS
    if request.hints.idempotency_key is not None:
        return RepeatRule.KEYED
    return RepeatRule.NEVER


def attempt_kind(request: Request) -> AttemptKind:
    """Return how a request outside a transaction is run."""
    if request.kind is RequestKind.OUTCOME_QUERY:
        return AttemptKind.QUERY_OUTCOME
    if request.kind in _REPEATABLE_KINDS:
        return AttemptKind.PLAIN
    if request.hints.idempotency_key is not None:
        return AttemptKind.IDEMPOTENT_WRITE
    return AttemptKind.ACKNOWLEDGED_WRITE


def check_idempotency_key(
    request: Request, *, is_in_transaction: bool
) -> Refusal | None:
    """Return a refusal if a request's key is unsupported or missing, or None.

    The key of a plain read has no effect, as reads are repeatable anyway.
    """
    has_key = request.hints.idempotency_key is not None
    if request.kind is RequestKind.OUTCOME_QUERY:
        return None if has_key else _bad_key("an outcome query needs a key")
    if not has_key or request.kind in (RequestKind.READ, RequestKind.ROLLBACK):
        return None
    if is_in_transaction:
        return _bad_key("idempotency_key is not supported inside a transaction")
    if request.kind is not RequestKind.WRITE:
        return _bad_key("idempotency_key is supported for single writes only")
    return None


def _bad_key(detail: str) -> Refusal:
    return Refusal(Verdict.NOT_RUN, RefusalReason.BAD_HINT, detail)
