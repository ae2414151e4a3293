"""Rules for idempotency keys."""

from cardamomshunt._data_path.idempotency import (
    attempt_kind,
    check_idempotency_key,
    repeat_rule,
)

__all__ = ["attempt_kind", "check_idempotency_key", "repeat_rule"]
