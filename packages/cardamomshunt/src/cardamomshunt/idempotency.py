"""Rules for idempotency keys."""

from cardamomshunt._data_path.idempotency import (
    attempt_kind,
    refusal_of_key,
    repeat_rule,
)

__all__ = ["attempt_kind", "refusal_of_key", "repeat_rule"]
