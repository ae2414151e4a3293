"""Fake disk in memory that may lose writes which are not synced."""

from random import Random

from cardamomshunt.consensus import (
    Entry,
    FormationRecord,
    RestoredState,
    Snapshot,
    Vote,
)
from cardamomshunt.control import (
    PersistEffect,
    PersistEntries,
    PersistFormation,
    PersistSnapshot,
    PersistVote,
)


class FakeDisk:
    """Disk of a control node, with its durable state and its pending writes."""

    def __init__(self, incarnation: int) -> None:
        self.incarnation = incarnation
        self.pending_writes: list[PersistEffect] = []
        self._vote = Vote()
        self._snapshot = Snapshot()
        self._entries: list[Entry] = []
        self._formation: FormationRecord | None = None

    def sync(self) -> int | None:
        """Make all pending writes durable.

        Return the sequence of the last one, or None if none is pending.
        """
        if not self.pending_writes:
            return None
        sequence = self.pending_writes[-1].sequence
        for effect in self.pending_writes:
            self._write(effect)
        self.pending_writes = []
        return sequence

    def crash(self, random: Random) -> None:
        """Make a random number of the first pending writes durable; lose the rest."""
        n_written = random.randint(0, len(self.pending_writes))
        for effect in self.pending_writes[:n_written]:
            self._write(effect)
        self.pending_writes = []

    def restore(self) -> RestoredState:
        """Return the durable state that a restarted node reads."""
        return RestoredState(
            self.incarnation,
            self._vote,
            self._snapshot,
            list(self._entries),
            self._formation,
        )

    def _write(self, effect: PersistEffect) -> None:
        if isinstance(effect, PersistVote):
            self._vote = effect.vote
        elif isinstance(effect, PersistFormation):
            self._formation = effect.record
        elif isinstance(effect, PersistEntries):
            first = effect.entries[0].index
            retained = [entry for entry in self._entries if entry.index < first]
            self._entries = retained + effect.entries
        elif isinstance(effect, PersistSnapshot):
            self._snapshot = Snapshot.decode(effect.data)
            first_kept = effect.first_kept
            self._entries = [
                entry
                for entry in self._entries
                if entry.index >= first_kept and not effect.is_reset
            ]
