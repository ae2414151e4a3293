"""Watermarks of sessions, and what they require of the next read."""

from collections import OrderedDict
from dataclasses import dataclass

from cardamomshunt._data_path.effects import SessionHints
from cardamomshunt._data_path.freshness import BoundHistory, ReadRequirement
from cardamomshunt._shared.position import ZERO, LogPosition

N_NAMED_SESSIONS_MAX = 20_000  # about 5 MB; forgetting one is safe, see SessionStore


@dataclass(slots=True)
class Session:
    """Hold what a session wrote and read in one database.

    The exact position of a read is unknown: the instance may have applied more than
    it last reported. `unconfirmed_read_ms` is the return of the latest read that no
    confirmed bound covers yet; all such reads were served by `last_instance`.
    """

    position: LogPosition = ZERO
    unconfirmed_read_ms: float | None = None
    last_instance: str = ""
    last_incarnation: int = -1
    last_term: int = -1

    def on_write(self, position: LogPosition | None, now_ms: float) -> None:
        """Note an acknowledged write; it covers all reads before it."""
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
        """Note a read that returned at `now_ms`."""
        self.position = max(self.position, reported)
        self.unconfirmed_read_ms = now_ms
        self.last_instance = instance
        self.last_incarnation = incarnation
        self.last_term = term

    def on_exact_read(self, position: LogPosition) -> None:
        """Note a read whose instance reported its position with the answer."""
        self.position = max(self.position, position)

    def resolve(self, bounds: BoundHistory) -> None:
        """Cover the last read by a bound not older than it, if one is known."""
        if self.unconfirmed_read_ms is None:
            return
        position = bounds.first_since(self.unconfirmed_read_ms)
        if position is not None:
            self.position = max(self.position, position)
            self.unconfirmed_read_ms = None


def read_requirement(
    session: Session, hints: SessionHints, max_age_ms: float, now_ms: float
) -> ReadRequirement:
    """Return what a read that arrives now requires.

    A session that roams may have written anywhere until now, so that its read needs
    a bound not older than its arrival, unless the caller knows its own watermark.
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
    """Keep the watermarks of named sessions, least recently used first out.

    They only serve `SELECT @cardamomshunt_watermark`: a read of a named session takes
    the stronger requirement anyway, so that a forgotten session stays consistent.
    """

    def __init__(self, *, n_sessions_max: int = N_NAMED_SESSIONS_MAX) -> None:
        self._n_sessions_max = n_sessions_max
        self._sessions: OrderedDict[tuple[str, str], Session] = OrderedDict()

    def __len__(self) -> int:
        return len(self._sessions)

    def get(self, name: str, database: str) -> Session:
        """Return a session, which is new if it is not known."""
        key = (name, database)
        session = self._sessions.get(key)
        if session is None:
            session = self._sessions[key] = Session()
            if len(self._sessions) > self._n_sessions_max:
                self._sessions.popitem(last=False)
        else:
            self._sessions.move_to_end(key)
        return session
