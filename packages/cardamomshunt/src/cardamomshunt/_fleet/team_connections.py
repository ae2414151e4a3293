"""Decisions about the connections of teams to one server."""

import enum
from collections import Counter
from collections.abc import Collection, Mapping
from dataclasses import dataclass, field
from typing import Protocol, TypeVar

# An opening occupies a slot of the server, so that the work of a team with waiters is
# interrupted for another team at most once in this many releases.
_N_RELEASES_PER_REPLACEMENT = 4
# Share of its time after which a waiter takes precedence over equal ones of other teams.
_LATE_SHARE = 0.5


@dataclass(slots=True, order=True)
class TeamWaiter:
    """Statement that waits for a connection; the lowest one is served first.

    `priority` is that of the route, `order` the order of arrival.
    """

    priority: int
    deadline_ms: float
    order: int
    team: str = field(compare=False)
    since_ms: float = field(compare=False)

    def is_late(self, now_ms: float) -> bool:
        """Return whether half of the time until the deadline is over."""
        wait_ms = (self.deadline_ms - self.since_ms) * _LATE_SHARE
        return now_ms >= self.since_ms + wait_ms


class IdleConnection(Protocol):
    """Connection without a statement; it serves only its own team."""

    @property
    def team(self) -> str:
        """Return the team under whose name the connection was opened."""

    @property
    def last_used_ms(self) -> float:
        """Return when the connection last sent a statement."""


_Waiter = TypeVar("_Waiter", bound=TeamWaiter)
_Connection = TypeVar("_Connection", bound=IdleConnection)


class AcquireAction(enum.Enum):
    """What to do for a statement that needs a connection."""

    REUSE = "reuse"
    OPEN = "open"
    EVICT = "evict"
    WAIT = "wait"


class ReleaseAction(enum.Enum):
    """What to do with a released connection."""

    KEEP = "keep"
    HAND_OVER = "hand_over"
    REPLACE = "replace"


def choose_acquire_action(
    team: str, idle: Collection[IdleConnection], n_free: int
) -> AcquireAction:
    """Return what to do for a statement of a team.

    `n_free` is how many connections may still be opened. After an eviction the choice
    is made again, so that a pool above a lowered quota does not open any.

    >>> choose_acquire_action("desk", [], n_free=0)
    <AcquireAction.WAIT: 'wait'>
    """
    if any(connection.team == team for connection in idle):
        return AcquireAction.REUSE
    if n_free > 0:
        return AcquireAction.OPEN
    return AcquireAction.EVICT if idle else AcquireAction.WAIT


def choose_evicted(team: str, idle: Collection[_Connection]) -> _Connection | None:
    """Return the least recently used idle connection of another team, or None."""
    others = [connection for connection in idle if connection.team != team]
    return min(others, key=lambda item: item.last_used_ms, default=None)


def best_uncovered_waiter(
    waiters: Collection[_Waiter], n_opening: Mapping[str, int]
) -> _Waiter | None:
    """Return the best waiter for whom no connection is being opened, or None."""
    n_covered = Counter(n_opening)
    for waiter in sorted(waiters):
        if n_covered[waiter.team] <= 0:
            return waiter
        n_covered[waiter.team] -= 1
    return None


class ReleaseRule:
    """Decide who gets a released connection of a team.

    A waiter of the same team gets it, unless a waiter of another team has a better
    priority, or an equal one and little time left. A team whose queue never empties
    would keep its connections forever otherwise.
    """

    __slots__ = ("_n_handed_over",)

    def __init__(self) -> None:
        self._n_handed_over = _N_RELEASES_PER_REPLACEMENT

    def decide(
        self,
        team: str,
        waiters: Collection[_Waiter],
        n_opening: Mapping[str, int],
        now_ms: float,
        is_backing_off: bool = False,
    ) -> tuple[ReleaseAction, _Waiter | None]:
        """Return what to do with a team's connection, and for which waiter.

        While openings are backed off, a connection that is still useful is not closed.
        """
        own = min((item for item in waiters if item.team == team), default=None)
        others = [item for item in waiters if item.team != team]
        if own is None:
            best = best_uncovered_waiter(others, n_opening)
            if best is None:
                return ReleaseAction.KEEP, None
            return ReleaseAction.REPLACE, best
        urgent = [
            item
            for item in others
            if item.priority < own.priority
            or (item.priority == own.priority and item.is_late(now_ms))
        ]
        best = best_uncovered_waiter(urgent, n_opening)
        self._n_handed_over += 1
        is_too_soon = self._n_handed_over < _N_RELEASES_PER_REPLACEMENT
        if best is None or is_too_soon or is_backing_off:
            return ReleaseAction.HAND_OVER, own
        self._n_handed_over = 0
        return ReleaseAction.REPLACE, best
