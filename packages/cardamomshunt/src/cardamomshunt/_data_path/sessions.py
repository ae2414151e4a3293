"""Watermarks of sessions, and the requirements of the next read."""

from collections import OrderedDict
from dataclasses import dataclass

from cardamomshunt._data_path.effects import SessionHints
from cardamomshunt._data_path.freshness import BoundHistory, ReadRequirement
from cardamomshunt._shared.position import ZERO, LogPosition

N_NAMED_SESSIONS_MAX = 20_000  # about 5 MB; eviction is safe, see SessionStore


@dataclass(slots=True)
class Session:
    """Watermark of a session in one database.

    The exact position of a read is unknown, as the instance may have applied more than
    it last reported. `unconfirmed_read_ms` is the time at which the latest read
    returned that no confirmed bound covers yet. All such reads were served by
    `last_instance`.
    """

    position: LogPosition = ZERO
    unconfirmed_read_ms: float | None = None
    last_instance: str = ""
    last_incarnation: int = -1
    last_term: int = -1

    def on_write(self, position: LogPosition | None, now_ms: float) -> None:
        """Record an acknowledged write; its position covers all earlier reads."""
        if position is None:
            self.unconfirmed_read_ms = now_ms
            self.last_instance = ""
            return
        self.position = max(self.position, position)
        self.unconfirmed_read_ms = None

    def on_read(
        self,
        now_ms: float,
        reported: LogPosition,
        instance: str,
        incarnation: int,
        term: int,
    ) -> None:
        """Record a read that returned at `now_ms`."""
        self.position = max(self.position, reported)
        self.unconfirmed_read_ms = now_ms
        self.last_instance = instance
        self.last_incarnation = incarnation
        self.last_term = term

    def on_exact_read(self, position: LogPosition) -> None:
        """Record a read whose instance reported its position with the answer."""
        self.position = max(self.position, position)

    def resolve(self, bounds: BoundHistory) -> None:
        """Raise the position to a bound that covers the last read, if one is known."""
        if self.unconfirmed_read_ms is None:
            return
        position = bounds.first_since(self.unconfirmed_read_ms)
        if position is not None:
            self.position = max(self.position, position)
            self.unconfirmed_read_ms = None


def read_requirement(
    session: Session, hints: SessionHints, max_age_ms: float, now_ms: float
) -> ReadRequirement:
    """Return the requirements of a read that arrives now.

    A named session may have written through any entry VM until now. Its read therefore
    needs a bound that is not older than its arrival, unless the caller passes its own
    watermark.
    """
    age = max_age_ms if max_age_ms > 0 else None
    position = max(session.position, hints.watermark or ZERO)
    if hints.session is not None:
        since = now_ms if hints.watermark is None else None
        return ReadRequirement(position, since, age)
    return ReadRequirement(
        position,
        session.unconfirmed_read_ms,
        age,
        session.last_instance,
        session.last_incarnation,
        session.last_term,
    )


class SessionStore:
    """Store the watermarks of named sessions, and evict the least recently used ones.

    They are only needed for `SELECT @cardamomshunt_watermark`. A read of a named
    session has the stronger requirement anyway, so sessions stay consistent after an
    eviction.
    """

    def __init__(self, *, n_sessions_max: int = N_NAMED_SESSIONS_MAX) -> None:
        self._n_sessions_max = n_sessions_max
        self._sessions: OrderedDict[tuple[str, str], Session] = OrderedDict()

    def __len__(self) -> int:
        return len(self._sessions)

    def get(self, name: str, database: str) -> Session:
        """Return a session; create it if it is unknown."""
        key = (name, database)
        session = self._sessions.get(key)
        if session is None:
            session = self._sessions[key] = Session()
            if len(self._sessions) > self._n_sessions_max:
                self._sessions.popitem(last=False)
        else:
            self._sessions.move_to_end(key)
        return session
