"""Leader's side of the replication: what each follower is sent, and when."""

import zlib
from dataclasses import dataclass

from cardamomshunt._consensus.followers import Followers, Progress, SnapshotCopy
from cardamomshunt._consensus.log import ReplicatedLog
from cardamomshunt._consensus.log_bounds import entry_bytes
from cardamomshunt._consensus.messages import (
    AppendEntries,
    AppendReply,
    Entry,
    Member,
    SnapshotChunk,
    SnapshotReply,
)
from cardamomshunt._consensus.options import ConsensusOptions
from cardamomshunt._consensus.outbox import Outbox
from cardamomshunt._consensus.snapshot_transfer import SnapshotSource


@dataclass(slots=True, frozen=True)
class Lead:
    """Time, term and commit index at which a leader sends."""

    now_ms: float
    term: int
    commit_index: int


class Replication:
    """Send entries, snapshots and heartbeats within each follower's window.

    Heartbeats hold no entries, and name an index at which the follower's log matches as
    far as is known, so that they need not wait for entries that are on their way.
    """

    def __init__(
        self,
        incarnation: int,
        log: ReplicatedLog,
        followers: Followers,
        snapshots: SnapshotSource,
        outbox: Outbox,
        options: ConsensusOptions,
    ) -> None:
        self._incarnation = incarnation
        self._log = log
        self._followers = followers
        self._snapshots = snapshots
        self._outbox = outbox
        self._options = options

    def run_due(self, lead: Lead, member: Member) -> None:
        """Send a heartbeat that is due, and again what counts as lost."""
        progress = self._followers.of(member.node)
        self._expire(lead, progress)
        if lead.now_ms >= progress.heartbeat_due_ms:
            self.send_heartbeat(lead, member)
        self.send_pending(lead, member)

    def _expire(self, lead: Lead, progress: Progress) -> None:
        if progress.window.expire(lead.now_ms):
            progress.rewind(lead.now_ms, progress.match_index + 1)
        copy = progress.copy
        if copy is None or not copy.window.expire(lead.now_ms):
            return
        copy.rewind(lead.now_ms, copy.acknowledged_bytes)
        is_outdated = copy.snapshot.index < self._log.snapshot.index
        if is_outdated and progress.silent_ms(lead.now_ms) > (
            self._options.retire_after_ms
        ):
            progress.copy = None

    def send_heartbeat(self, lead: Lead, member: Member) -> None:
        """Send the term and the commit index."""
        progress = self._followers.of(member.node)
        progress.heartbeat_due_ms = lead.now_ms + self._options.heartbeat_ms
        prev_index = progress.known_index
        prev_term = self._log.term_at(prev_index)
        if prev_term is None:
            prev_index, prev_term = self._log.base_index, self._log.base_term
        message = self._append_entries(lead, prev_index, prev_term, [])
        self._outbox.send(member.peer_address, message)

    def send_pending(self, lead: Lead, member: Member) -> None:
        """Send entries, or chunks of a snapshot, as far as the window has room."""
        progress = self._followers.of(member.node)
        if progress.copy is not None or self._is_compacted(progress.next_index - 1):
            self._send_chunks(lead, member, progress)
            return
        while entries := self._next_entries(progress.next_index):
            size_bytes = sum(map(entry_bytes, entries))
            if not progress.may_send(size_bytes):
                return
            self._send_entries(lead, member, progress, entries)
            progress.window.on_sent(lead.now_ms, entries[-1].index, size_bytes)

    def _is_compacted(self, index: int) -> bool:
        return index < self._log.base_index or self._log.term_at(index) is None

    def _next_entries(self, index: int) -> list[Entry]:
        """Return entries for one message, which a large one fills by itself."""
        found = self._log.entries_from(index, self._options.n_entries_per_message)
        room_bytes = self._options.chunk_size_bytes
        for number, entry in enumerate(found):
            room_bytes -= entry_bytes(entry)
            if room_bytes < 0:
                return found[: max(number, 1)]
        return found

    def _send_entries(
        self, lead: Lead, member: Member, progress: Progress, entries: list[Entry]
    ) -> None:
        prev_index = progress.next_index - 1
        prev_term = self._log.term_at(prev_index)
        assert prev_term is not None
        message = self._append_entries(lead, prev_index, prev_term, entries)
        self._outbox.send(member.peer_address, message, is_bulk=True)
        progress.next_index = entries[-1].index + 1

    def _append_entries(
        self, lead: Lead, prev_index: int, prev_term: int, entries: list[Entry]
    ) -> AppendEntries:
        return AppendEntries(
            term=lead.term,
            incarnation=self._incarnation,
            prev_index=prev_index,
            prev_term=prev_term,
            commit_index=lead.commit_index,
            sent_ms=lead.now_ms,
            entries=entries,
        )

    def _send_chunks(self, lead: Lead, member: Member, progress: Progress) -> None:
        if progress.copy is None:
            snapshot = self._log.snapshot
            data = self._snapshots.encode(snapshot)
            progress.copy = SnapshotCopy(snapshot, data, zlib.crc32(data))
            progress.window.clear()
        copy = progress.copy
        while copy.next_offset < len(copy.data):
            end = min(copy.next_offset + self._options.chunk_size_bytes, len(copy.data))
            if not copy.window.may_send(end - copy.next_offset):
                return
            chunk = self._chunk(lead, copy, end)
            self._outbox.send(member.peer_address, chunk, is_bulk=True)
            copy.window.on_sent(lead.now_ms, end, end - copy.next_offset)
            copy.next_offset = end

    def _chunk(self, lead: Lead, copy: SnapshotCopy, end: int) -> SnapshotChunk:
        return SnapshotChunk(
            term=lead.term,
            incarnation=self._incarnation,
            snapshot_index=copy.snapshot.index,
            snapshot_term=copy.snapshot.term,
            offset=copy.next_offset,
            size_bytes=len(copy.data),
            checksum=copy.checksum,
            data=copy.data[copy.next_offset : end],
            sent_ms=lead.now_ms,
        )

    def on_append_reply(self, lead: Lead, member: Member, message: AppendReply) -> bool:
        """Record a reply; return whether more of the log is known to match."""
        progress = self._followers.of(member.node)
        progress.last_acked_sent_ms = max(progress.last_acked_sent_ms, message.sent_ms)
        progress.on_disk_state(lead.now_ms, message.is_disk_full)
        if not message.is_success:
            self._on_refused(lead, progress, message)
            return False
        has_advanced = message.match_index > progress.match_index
        progress.on_match(lead.now_ms, message.match_index)
        return has_advanced

    def _on_refused(self, lead: Lead, progress: Progress, message: AppendReply) -> None:
        """Continue where the follower's log may match, unless that is outdated."""
        is_outdated = (
            message.sent_ms < progress.rewound_ms
            or message.prev_index <= progress.match_index
        )
        if is_outdated or progress.copy is not None:
            return
        next_index = min(message.match_index + 1, message.prev_index)
        progress.rewind(lead.now_ms, max(progress.match_index + 1, next_index))

    def on_snapshot_reply(
        self, lead: Lead, member: Member, message: SnapshotReply
    ) -> None:
        """Record how much of a snapshot a follower has, and send more of it."""
        progress = self._followers.of(member.node)
        progress.last_acked_sent_ms = max(progress.last_acked_sent_ms, message.sent_ms)
        copy = progress.copy
        if copy is None or copy.snapshot.index != message.snapshot_index:
            return
        if message.sent_ms < copy.rewound_ms:
            return
        copy.window.on_acknowledged(lead.now_ms, message.next_offset)
        if message.next_offset < copy.acknowledged_bytes:
            # The follower has restarted, which loses the chunks that it had.
            copy.rewind(lead.now_ms, message.next_offset)
        copy.acknowledged_bytes = message.next_offset
        self.send_pending(lead, member)
