"""Replication progress of the followers, as tracked by the leader."""

from dataclasses import dataclass, field

from cardamomshunt._consensus.messages import Member, Snapshot
from cardamomshunt._consensus.replication_window import ReplicationWindow

NEVER_MS = float("-inf")


def majority(n: int) -> int:
    """Return the number of votes that form a majority of n voters.

    >>> [majority(n) for n in (1, 2, 3, 4, 5)]
    [1, 2, 2, 3, 3]
    """
    return n // 2 + 1


@dataclass(slots=True)
class SnapshotCopy:
    """Transfer of one snapshot to a follower.

    The snapshot stays the same though a newer one is taken meanwhile, so that the copy
    comes to an end. Replies to chunks sent before `rewound_ms` are outdated.
    """

    snapshot: Snapshot
    data: bytes
    checksum: int
    next_offset: int = 0
    acknowledged_bytes: int = 0
    rewound_ms: float = NEVER_MS
    window: ReplicationWindow = field(default_factory=ReplicationWindow)

    def rewind(self, now_ms: float, offset: int) -> None:
        """Continue at an offset."""
        self.next_offset = offset
        self.rewound_ms = now_ms
        self.window.clear()


@dataclass(slots=True)
class Progress:
    """Replication progress of one follower, tracked since a time.

    Entries before `next_index` are sent. While `is_probing`, it is not known up to where
    the logs match, and one message at a time is sent. Replies to messages sent before
    `rewound_ms` are outdated.
    """

    next_index: int
    since_ms: float
    match_index: int = 0
    heartbeat_due_ms: float = NEVER_MS
    last_acked_sent_ms: float = NEVER_MS
    is_probing: bool = True
    disk_full_since_ms: float | None = None
    rewound_ms: float = NEVER_MS
    window: ReplicationWindow = field(default_factory=ReplicationWindow)
    copy: SnapshotCopy | None = None
    _probed_index: int = 0

    def __post_init__(self) -> None:
        self._probed_index = self.next_index - 1

    @property
    def has_answered(self) -> bool:
        """Return whether the follower has acknowledged a message of this leader."""
        return self.last_acked_sent_ms > NEVER_MS

    @property
    def known_index(self) -> int:
        """Return the index at which the logs match, or are next compared."""
        return self._probed_index if self.is_probing else self.match_index

    @property
    def is_disk_full(self) -> bool:
        """Return whether the follower's last reply said that its disk is full."""
        return self.disk_full_since_ms is not None

    def on_disk_state(self, now_ms: float, is_full: bool) -> None:
        """Record whether the follower's disk is full."""
        if not is_full:
            self.disk_full_since_ms = None
        elif self.disk_full_since_ms is None:
            self.disk_full_since_ms = now_ms

    def full_ms(self, now_ms: float) -> float:
        """Return for how long the follower's disk has been full."""
        since_ms = self.disk_full_since_ms
        return 0.0 if since_ms is None else now_ms - since_ms

    def silent_ms(self, now_ms: float) -> float:
        """Return for how long the follower has acknowledged nothing."""
        return now_ms - max(self.last_acked_sent_ms, self.since_ms)

    def may_send(self, size_bytes: int) -> bool:
        """Return whether entries of a size may be sent now."""
        if self.is_probing and self.window.in_flight_bytes:
            return False
        return self.window.may_send(size_bytes)

    def on_match(self, now_ms: float, index: int) -> None:
        """Record that the logs match up to an index."""
        self.match_index = max(self.match_index, index)
        self.next_index = max(self.next_index, self.match_index + 1)
        self.is_probing = False
        self.window.on_acknowledged(now_ms, self.match_index)
        if self.copy is not None and self.match_index >= self.copy.snapshot.index:
            self.copy = None

    def rewind(self, now_ms: float, next_index: int) -> None:
        """Continue at an index, after a loss or a refusal."""
        self.next_index = next_index
        self._probed_index = next_index - 1
        self.is_probing = True
        self.rewound_ms = now_ms
        self.window.clear()


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
