"""Validation, application and comparison of configuration changes."""

import difflib
import re
from dataclasses import dataclass
from typing import TypeAlias

import msgspec

from cardamomshunt._configuration.document import (
    ClassSettings,
    ClusterConfiguration,
    DatabaseSettings,
    PolicySettings,
)
from cardamomshunt._control.operator_messages import FieldError
from cardamomshunt._shared.messages import Change

Value: TypeAlias = str | int | float | bool | None
_REQUEST_CLASSES = ("order", "lookup", "dispatch")
_DATABASE_NAME = re.compile(r"[A-Za-z0-9_$-]{1,64}")


@dataclass(slots=True, frozen=True)
class _Range:
    """Allowed values of a numeric field."""

    low: float
    high: float
    is_integer: bool = False

    def check(self, value: Value) -> str:
        """Return why a value is not allowed, or an empty string."""
        kinds = (int,) if self.is_integer else (int, float)
        expected = f"expected {self} from {self.low:g} to {self.high:g}, got {value!r}"
        if isinstance(value, bool) or not isinstance(value, kinds):
            return expected
        return "" if self.low <= value <= self.high else expected

    def __str__(self) -> str:
        return "a whole number" if self.is_integer else "a number"


_POLICY_RANGES = {
    "detection_ms": _Range(100, 60_000),
    "catch_up_wait_ms": _Range(0, 5_000),
    "await_majority_ms": _Range(10, 60_000),
    "n_connections_floor": _Range(1, 100, is_integer=True),
    "idempotency_retention_s": _Range(60, 31_536_000),
    "retry_budget_ratio": _Range(0, 1),
    "hedge_after_ms": _Range(0, 60_000),
}
_CLASS_RANGES = {
    "deadline_ms": _Range(10, 600_000),
    "max_age_ms": _Range(0, 3_600_000),
    "n_queued_max": _Range(1, 100_000, is_integer=True),
    "reserved_share": _Range(0, 1),
}


class PatchInvalidError(Exception):
    """Patch with at least one invalid change; `errors` has all errors."""

    def __init__(self, errors: list[FieldError]) -> None:
        super().__init__("; ".join(f"{e.path}: {e.reason}" for e in errors))
        self.errors = errors


def _unknown_name_reason(name: str, known: tuple[str, ...]) -> str:
    nearest = difflib.get_close_matches(name, known, n=1, cutoff=0.0)
    return f"unknown name {name!r}; the nearest is {nearest[0]!r}"


def _check_field(name: str, value: Value, ranges: dict[str, _Range]) -> str:
    if name not in ranges:
        return _unknown_name_reason(name, tuple(ranges))
    return "" if value is None else ranges[name].check(value)


def _check_change(document: ClusterConfiguration, change: Change) -> str:
    """Return why a change is invalid by itself, or an empty string."""
    parts = change.path.split(".")
    if parts[0] not in ("policy", "databases"):
        return _unknown_name_reason(parts[0], ("policy", "databases"))
    if parts[0] == "policy":
        if len(parts) != 2:
            return "expected policy.<field>"
        return _check_field(parts[1], change.value, _POLICY_RANGES)
    if len(parts) not in (2, 3, 4):
        return "expected databases.<name>.<class>.<field>"
    if not _DATABASE_NAME.fullmatch(parts[1]):
        return "expected a name of 1 to 64 letters, digits, _, $ or -"
    if len(parts) > 2 and parts[2] not in _REQUEST_CLASSES:
        return _unknown_name_reason(parts[2], _REQUEST_CLASSES)
    if len(parts) == 4:
        return _check_field(parts[3], change.value, _CLASS_RANGES)
    if change.value is not None:
        return "only a field can be set; a table can only be removed"
    return "" if parts[1] in document.databases else "the document has no such table"


def _check_reserved_shares(
    document: ClusterConfiguration, names: set[str]
) -> list[FieldError]:
    errors = []
    for name in sorted(names & set(document.databases)):
        settings = document.databases[name]
        total = sum(
            getattr(settings, request_class).reserved_share
            for request_class in _REQUEST_CLASSES
        )
        # The floating-point sum of shares such as 0.7 + 0.2 + 0.1 may exceed 1.
        if total > 1.0 + 1e-9:
            reason = f"the reserved shares add up to {total:g}; expected at most 1"
            errors.append(FieldError(path=f"databases.{name}", reason=reason))
    return errors


def _set_value(document: ClusterConfiguration, change: Change) -> None:
    parts = change.path.split(".")
    if parts[0] == "policy":
        default = getattr(PolicySettings(), parts[1])
        value = _coerce(change.value, default, _POLICY_RANGES[parts[1]])
        setattr(document.policy, parts[1], value)
        return
    name = parts[1]
    if len(parts) == 2:
        document.databases.pop(name, None)
        return
    settings = document.databases.setdefault(name, DatabaseSettings())
    if len(parts) == 3:
        setattr(settings, parts[2], getattr(DatabaseSettings(), parts[2]))
        return
    table: ClassSettings = getattr(settings, parts[2])
    default = getattr(getattr(DatabaseSettings(), parts[2]), parts[3])
    setattr(table, parts[3], _coerce(change.value, default, _CLASS_RANGES[parts[3]]))


def _coerce(value: Value, default: Value, allowed: _Range) -> Value:
    """Convert a checked value to the type of its field, so that all nodes agree."""
    if value is None:
        return default
    return value if allowed.is_integer else float(value)


def _copy_for_changes(
    document: ClusterConfiguration, changes: list[Change]
) -> ClusterConfiguration:
    """Copy a document; only the databases in `changes` are copied deeply."""
    databases = dict(document.databases)
    for name in _changed_databases(changes) & set(databases):
        databases[name] = msgspec.convert(
            msgspec.to_builtins(databases[name]), DatabaseSettings
        )
    return ClusterConfiguration(
        version=document.version,
        policy=msgspec.structs.replace(document.policy),
        databases=databases,
    )


def _changed_databases(changes: list[Change]) -> set[str]:
    paths = [change.path.split(".") for change in changes]
    return {parts[1] for parts in paths if parts[0] == "databases" and len(parts) > 1}


def apply_changes(
    document: ClusterConfiguration, changes: list[Change], version: int
) -> ClusterConfiguration:
    """Return the changed document; raise PatchInvalidError with all errors.

    >>> change = Change(path="policy.detection_ms", value=800)
    >>> apply_changes(ClusterConfiguration(), [change], 1).policy.detection_ms
    800.0
    """
    errors = []
    seen: set[str] = set()
    for change in changes:
        reason = _check_change(document, change)
        if not reason and change.path in seen:
            reason = "changed twice in one patch"
        if reason:
            errors.append(FieldError(path=change.path, reason=reason))
        seen.add(change.path)
    if not changes:
        errors.append(FieldError(path="", reason="the patch has no changes"))
    if errors:
        raise PatchInvalidError(errors)
    changed = _copy_for_changes(document, changes)
    for change in changes:
        _set_value(changed, change)
    errors = _check_reserved_shares(changed, _changed_databases(changes))
    if errors:
        raise PatchInvalidError(errors)
    changed.version = version
    return changed


def difference(old: ClusterConfiguration, new: ClusterConfiguration) -> list[Change]:
    """Return the changes that lead from one document to another.

    >>> old = ClusterConfiguration()
    >>> new = apply_changes(old, [Change(path="policy.hedge_after_ms", value=9)], 1)
    >>> difference(new, old)
    [Change(path='policy.hedge_after_ms', value=0.0)]
    """
    changes = [
        Change(path=f"policy.{name}", value=getattr(new.policy, name))
        for name in _POLICY_RANGES
        if getattr(new.policy, name) != getattr(old.policy, name)
    ]
    for name in sorted(set(old.databases) | set(new.databases)):
        changes.extend(
            _database_difference(name, old.databases.get(name), new.databases.get(name))
        )
    return changes


def _database_difference(
    name: str, old: DatabaseSettings | None, new: DatabaseSettings | None
) -> list[Change]:
    if old == new:
        return []
    if new is None:
        return [Change(path=f"databases.{name}", value=None)]
    base = old or DatabaseSettings()
    changes = [
        Change(
            path=f"databases.{name}.{request_class}.{field}",
            value=getattr(getattr(new, request_class), field),
        )
        for request_class in _REQUEST_CLASSES
        for field in _CLASS_RANGES
        if getattr(getattr(new, request_class), field)
        != getattr(getattr(base, request_class), field)
    ]
    if not changes:
        path = f"databases.{name}.order.deadline_ms"
        changes.append(Change(path=path, value=new.order.deadline_ms))
    return changes
