"""Effects of a consensus node, and messages deferred until writes are durable."""

from collections import deque

from cardamomshunt._consensus.messages import (
    ConsensusMessage,
    Entry,
    Snapshot,
    Vote,
)
from cardamomshunt._control.effects import (
    ControlEffect,
    EmitEvent,
    PersistEntries,
    PersistSnapshot,
    PersistVote,
    SendMessage,
)
from cardamomshunt._shared.events import EventNumber


class Outbox:
    """Collect effects and track which writes are durable.

    Writes become durable in the order in which they were issued.
    """

    def __init__(self, last_index: int) -> None:
        self.durable_index = last_index
        self._effects: list[ControlEffect] = []
        self._sequence = 0
        self._durable_sequence = 0
        self._vote_sequence = 0
        self._persisting: deque[list[int]] = deque()
        self._deferred: deque[tuple[int, SendMessage]] = deque()

    @property
    def is_durable(self) -> bool:
        """Return whether all writes issued so far are durable."""
        return self._durable_sequence >= self._sequence

    @property
    def is_log_durable(self) -> bool:
        """Return whether all entries and snapshots issued so far are durable."""
        return not self._persisting

    @property
    def is_vote_durable(self) -> bool:
        """Return whether the last vote is durable, and all that was issued before it."""
        return self._durable_sequence >= self._vote_sequence

    def pop_effects(self) -> list[ControlEffect]:
        """Return and remove the effects collected since the last call."""
        effects, self._effects = self._effects, []
        return effects

    def emit(self, number: EventNumber, subject: str, detail: str = "") -> None:
        """Emit an event."""
        self._effects.append(
            EmitEvent(number=number.value, subject=subject, detail=detail)
        )

    def send(self, address: str, message: ConsensusMessage) -> None:
        """Send a message at once."""
        self._effects.append(SendMessage(address=address, message=message))

    def send_durable(self, address: str, message: ConsensusMessage) -> None:
        """Send a message once all writes issued so far are durable."""
        effect = SendMessage(address=address, message=message)
        if self.is_durable:
            self._effects.append(effect)
        else:
            self._deferred.append((self._sequence, effect))

    def drop_deferred(self) -> None:
        """Discard the deferred messages, after the disk has failed."""
        self._deferred.clear()

    def persist_vote(self, vote: Vote) -> None:
        """Persist the term and the vote."""
        self._vote_sequence = self._next_sequence()
        self._effects.append(PersistVote(sequence=self._vote_sequence, vote=vote))

    def persist_entries(self, entries: list[Entry], last_index: int) -> None:
        """Persist entries of a log that now ends at `last_index`."""
        sequence = self._next_sequence()
        self._persisting.append([sequence, last_index])
        self._effects.append(PersistEntries(sequence=sequence, entries=entries))

    def persist_snapshot(
        self,
        snapshot: Snapshot,
        data: bytes,
        *,
        last_index: int,
        first_kept: int,
        is_reset: bool,
    ) -> None:
        """Persist an encoded snapshot of a log that now ends at `last_index`."""
        sequence = self._next_sequence()
        self._persisting.append([sequence, last_index])
        self._effects.append(
            PersistSnapshot(
                sequence=sequence,
                index=snapshot.index,
                data=data,
                first_kept=first_kept,
                is_reset=is_reset,
            )
        )

    def on_durable(self, sequence: int) -> None:
        """Record that writes up to `sequence` are durable; send deferred messages."""
        self._durable_sequence = max(self._durable_sequence, sequence)
        while self._persisting and self._persisting[0][0] <= sequence:
            self.durable_index = self._persisting.popleft()[1]
        while self._deferred and self._deferred[0][0] <= sequence:
            self._effects.append(self._deferred.popleft()[1])

    def truncate(self, last_index: int) -> None:
        """Record that the log was truncated, so that nothing later is durable."""
        self.durable_index = min(self.durable_index, last_index)
        for pending in self._persisting:
            pending[1] = min(pending[1], last_index)

    def _next_sequence(self) -> int:
        self._sequence += 1
        return self._sequence
