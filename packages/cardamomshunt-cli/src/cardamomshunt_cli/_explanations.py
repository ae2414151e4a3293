"""Explanations of refusal reasons and events."""

from dataclasses import dataclass

from cardamomshunt.events import EventNumber, entry_for
from cardamomshunt.verdict import RefusalReason

from cardamomshunt_cli._exit_codes import CommandError, ExitCode


@dataclass(slots=True, frozen=True)
class Explanation:
    """Meaning and consequence of a refusal reason or an event, and what to do."""

    name: str
    meaning: str
    consequence: str
    action: str


_REASONS = {
    RefusalReason.BAD_HINT: (
        "a hint is malformed or has an unknown name",
        "the request did not run",
        "correct the caller; the error message names the hint",
    ),
    RefusalReason.UNKNOWN_DATABASE: (
        "the database is not served here",
        "the request did not run",
        "check the name; if it is correct, check that its servers announce themselves",
    ),
    RefusalReason.UNSUPPORTED_STATEMENT: (
        "the proxy can't run this statement safely",
        "the request did not run",
        "change the statement as described in docs/callers.md",
    ),
    RefusalReason.DEADLINE_EXCEEDED: (
        "the request's deadline passed",
        "the verdict says whether it may have run",
        "none for single requests; many point to slow servers or an overload",
    ),
    RefusalReason.OVERLOADED: (
        "the queue is full, or the request could not be answered in time",
        "the request did not run; lookups are shed before orders",
        "if it lasts, add replicas or reduce the load",
    ),
    RefusalReason.TOO_STALE: (
        "no reachable server is provably fresh enough for the read",
        "the read did not run",
        "none while a zone is partitioned; otherwise check the replica lag",
    ),
    RefusalReason.NO_PRIMARY: (
        "the database had no primary within the deadline",
        "the write did not run",
        "none; control replaces the primary. Act if it lasts longer than 10 s",
    ),
    RefusalReason.NO_BACKEND: (
        "no backend server of the database is usable",
        "the request did not run",
        "start the servers of the group, or restore the network to them",
    ),
    RefusalReason.SHUTTING_DOWN: (
        "the entry VM is draining",
        "the request did not run",
        "none; the caller reconnects to another entry VM",
    ),
    RefusalReason.CONNECTION_LOST: (
        "the backend connection was lost during the request",
        "the verdict says whether it may have run",
        "none; callers with an idempotency key repeat the request",
    ),
    RefusalReason.NOT_ACKNOWLEDGED: (
        "the write ran on the primary but no majority acknowledged it in time",
        "the write may survive or may be rolled back (MAY_HAVE_RUN)",
        "run `SELECT cardamomshunt_outcome('key')`; check the replicas if it lasts",
    ),
    RefusalReason.TRANSACTION_LOST: (
        "the transaction ended with its connection or its primary",
        "nothing of it is committed, unless the verdict is MAY_HAVE_RUN",
        "none; the caller starts the transaction again",
    ),
    RefusalReason.IDEMPOTENCY_KEY_REUSED: (
        "the idempotency key belongs to another statement",
        "the request did not run",
        "correct the caller: each statement needs a key of its own",
    ),
    RefusalReason.IDEMPOTENCY_KEY_REVOKED: (
        "an earlier outcome query for this key was answered NOT_RUN",
        "the request did not run and never will under this key",
        "the caller uses a new key",
    ),
    RefusalReason.CANCELLED: (
        "the caller cancelled the request or disconnected",
        "the verdict says whether it may have run",
        "none",
    ),
    RefusalReason.TOO_MANY_CONNECTIONS: (
        "the entry VM has reached its limit of caller connections",
        "the connection was refused",
        "add an entry VM, or find the caller that leaks connections",
    ),
}


# Reasons of the line protocol, as named in the event `team_refused`.
_TEAM_REASONS = {
    "team_rate_limit": (
        "the team reached its rate limit, counted over all entry VMs",
        "the operation did not run; the error says when a token comes",
        "raise the team's limit, or find what sends more than usual",
    ),
    "team_share_missing": (
        "the entry VM holds no token and got none from the control leader in time",
        "the operation did not run and may be retried",
        "check that the control nodes have a leader that the entry VM reaches",
    ),
}


def explainable_names() -> list[str]:
    """Return all names that `explain` accepts."""
    reasons = [reason.value for reason in RefusalReason]
    events = [str(int(number)) for number in EventNumber]
    return [*reasons, *_TEAM_REASONS, *events, *(number.name for number in EventNumber)]


def explain(name: str) -> Explanation:
    """Explain a refusal reason, an event number or an event name."""
    requested = name.strip().lower()
    for reason, (meaning, consequence, action) in _REASONS.items():
        if reason.value == requested:
            return Explanation(f"reason {requested}", meaning, consequence, action)
    if requested in _TEAM_REASONS:
        return Explanation(f"reason {requested}", *_TEAM_REASONS[requested])
    number = _event_number(requested)
    entry = entry_for(number) if number is not None else None
    if entry is None:
        raise CommandError(
            f"{name!r} is neither a refusal reason nor an event; see docs/events.md",
            ExitCode.USAGE,
        )
    return Explanation(
        f"event {int(entry.number)} {entry.number.name} ({entry.severity.value})",
        entry.what,
        entry.consequence,
        entry.action or "None.",
    )


def _event_number(name: str) -> int | None:
    if name.isdecimal():
        return int(name)
    number = EventNumber.__members__.get(name.upper())
    return None if number is None else int(number)
