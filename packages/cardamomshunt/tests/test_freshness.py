"""Tests of confirmed bounds and watermarks, which must be conservative."""

import pytest
from cardamomshunt.effects import SessionHints
from cardamomshunt.freshness import BoundHistory, ReadRequirement
from cardamomshunt.position import ZERO, LogPosition
from cardamomshunt.sessions import Session, SessionStore, read_requirement
from hypothesis import given, settings
from hypothesis import strategies as st

POSITIONS = st.builds(LogPosition, st.integers(1, 3), st.integers(0, 30))


@settings(max_examples=200, deadline=None, derandomize=True, database=None)
@given(
    bounds=st.lists(st.tuples(POSITIONS, st.integers(0, 40)), max_size=40),
    applied=POSITIONS,
    since=st.integers(0, 40),
)
def test_history_agrees_with_a_plain_list(
    bounds: list[tuple[LogPosition, int]], applied: LogPosition, since: int
) -> None:
    """Compares with a list of all bounds that were newer than those before them."""
    history = BoundHistory()
    accepted = [bound for bound in bounds if history.add(bound[0], float(bound[1]))]
    times = [time for position, time in accepted if position <= applied]
    assert history.as_of_ms(applied) == max(times, default=None)
    positions = [position for position, time in accepted if time >= since]
    assert history.first_since(float(since)) == min(positions, default=None)


def test_long_history_stays_bounded_and_conservative() -> None:
    history = BoundHistory()
    for index in range(5_000):
        history.add(LogPosition(1, index), float(index))
    assert len(history) <= 256
    for applied in (10, 2_000, 4_990):
        as_of_ms = history.as_of_ms(LogPosition(1, applied))
        assert as_of_ms is None or as_of_ms <= applied
    assert history.as_of_ms(LogPosition(1, 4_990)) == 4_990.0


@pytest.mark.parametrize(
    ("hints", "position", "since_ms"),
    [
        (SessionHints(), LogPosition(1, 5), None),
        (SessionHints(watermark=LogPosition(1, 9)), LogPosition(1, 9), None),
        (SessionHints(watermark=LogPosition(1, 2)), LogPosition(1, 5), None),
        (SessionHints(session="s"), LogPosition(1, 5), 7.0),
        (
            SessionHints(session="s", watermark=LogPosition(1, 9)),
            LogPosition(1, 9),
            None,
        ),
    ],
)
def test_requirement(
    hints: SessionHints, position: LogPosition, since_ms: float | None
) -> None:
    session = Session(position=LogPosition(1, 5))
    requirement = read_requirement(session, hints, 0.0, 7.0)
    assert (requirement.position, requirement.bound_since_ms) == (position, since_ms)


def test_write_covers_the_reads_before_it() -> None:
    session = Session()
    session.on_read(3.0, LogPosition(1, 4), "r1", 1, 1)
    assert session.unconfirmed_read_ms == 3.0
    session.on_write(LogPosition(1, 9), 5.0)
    assert (session.position, session.unconfirmed_read_ms) == (LogPosition(1, 9), None)


def test_write_without_position_needs_a_later_bound() -> None:
    session = Session()
    session.on_write(None, 5.0)
    requirement = read_requirement(session, SessionHints(), 0.0, 6.0)
    assert requirement.bound_since_ms == 5.0
    assert requirement.last_instance == ""


def test_only_a_bound_that_is_not_older_resolves_a_read() -> None:
    history = BoundHistory()
    requirement = ReadRequirement(position=ZERO, bound_since_ms=10.0)
    history.add(LogPosition(1, 5), 9.0)
    requirement.resolve(history)
    assert requirement.bound_since_ms == 10.0
    history.add(LogPosition(1, 6), 10.0)
    requirement.resolve(history)
    assert requirement.bound_since_ms is None
    assert requirement.position == LogPosition(1, 6)


def test_named_sessions_are_bounded() -> None:
    store = SessionStore(n_sessions_max=3)
    for index in range(9):
        store.get(f"s{index}", "orders")
    assert len(store) == 3
