"""Replication progress of the followers, as tracked by the leader."""

from dataclasses import dataclass

from cardamomshunt._consensus.messages import Member

NEVER_MS = float("-inf")


def majority(n: int) -> int:
    """Return the number of votes that form a majority of n voters.

    >>> [majority(n) for n in (1, 2, 3, 4, 5)]
    [1, 2, 2, 3, 3]
    """
    return n // 2 + 1


@dataclass(slots=True)
class Progress:
    """Replication progress of one follower, tracked since a time."""

    next_index: int
    since_ms: float
    match_index: int = 0
    in_flight_until_ms: float = NEVER_MS
    heartbeat_due_ms: float = NEVER_MS
    last_acked_sent_ms: float = NEVER_MS
    last_complete_sent_ms: float = NEVER_MS
    snapshot_offset: int = 0

    @property
    def has_answered(self) -> bool:
        """Return whether the follower has acknowledged a message of this leader."""
        return self.last_acked_sent_ms > NEVER_MS

    def on_contact(self, sent_ms: float, *, is_complete: bool) -> None:
        """Record the answer to a message; it is complete if all writes were durable."""
        self.last_acked_sent_ms = max(self.last_acked_sent_ms, sent_ms)
        if is_complete:
            self.last_complete_sent_ms = max(self.last_complete_sent_ms, sent_ms)

    def stalled_ms(self, now_ms: float) -> float:
        """Return for how long the follower has confirmed no write to its disk."""
        return now_ms - max(self.last_complete_sent_ms, self.since_ms)

    def silent_ms(self, now_ms: float) -> float:
        """Return for how long the follower has acknowledged nothing."""
        return now_ms - max(self.last_acked_sent_ms, self.since_ms)

    def may_send(self, now_ms: float) -> bool:
        """Return whether no entries are in flight."""
        return now_ms >= self.in_flight_until_ms


class Followers:
    """Track the replication progress of each follower.

    Progress is bound to the incarnation of a disk: it starts again when the follower
    returns with an empty disk.
    """

    def __init__(self, node: str) -> None:
        self._node = node
        self._progress: dict[str, Progress] = {}
        self._incarnations: dict[str, int] = {}

    def clear(self) -> None:
        """Discard all progress, at a change of role."""
        self._progress = {}

    def update(self, now_ms: float, members: list[Member], last_index: int) -> None:
        """Track exactly these members; reset the progress of a new incarnation."""
        known = self._progress
        others = [member for member in members if member.node != self._node]
        self._progress = {}
        for member in others:
            old = known.get(member.node)
            is_same = self._incarnations.get(member.node) == member.incarnation
            self._progress[member.node] = (
                old if old and is_same else Progress(last_index, since_ms=now_ms)
            )
        self._incarnations = {member.node: member.incarnation for member in others}

    def of(self, node: str) -> Progress:
        """Return the progress of a follower, which must be a member."""
        return self._progress[node]

    def get(self, node: str) -> Progress | None:
        """Return the progress of a follower, or None if it is not a member."""
        return self._progress.get(node)

    def match_index(self, node: str) -> int:
        """Return the last index at which a follower's log is known to match."""
        progress = self._progress.get(node)
        return progress.match_index if progress else 0

    def heartbeats_due_ms(self) -> list[float]:
        """Return when each follower's next heartbeat is due."""
        return [item.heartbeat_due_ms for item in self._progress.values()]

    def quorum_contact_ms(self, now_ms: float, voters: list[Member]) -> float:
        """Return the send time of the latest heartbeat acknowledged by a majority."""
        times = sorted(
            (
                now_ms
                if member.node == self._node
                else self._progress[member.node].last_acked_sent_ms
                for member in voters
            ),
            reverse=True,
        )
        return times[majority(len(times)) - 1] if times else NEVER_MS

    def majority_match_index(self, voters: list[Member], own_durable_index: int) -> int:
        """Return the last index that is durable on a majority of the voters."""
        matches = sorted(
            (
                own_durable_index
                if member.node == self._node
                else self.match_index(member.node)
                for member in voters
            ),
            reverse=True,
        )
        return matches[majority(len(matches)) - 1] if matches else 0
