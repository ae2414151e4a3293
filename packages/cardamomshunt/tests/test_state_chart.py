"""Tests of the validation of state charts and of events that they do not allow."""

import pytest
from cardamomshunt.state_chart import StateChart, TransitionError


@pytest.mark.parametrize("name", ["connection", "request"])
def test_chart_has_no_dead_end(name: str) -> None:
    chart = StateChart.load(name)
    for state in chart.states - chart.final:
        assert any(chart.allows(state, e) for e in ("close", "refuse", "abandon"))


@pytest.mark.parametrize(
    ("name", "state", "event"),
    [
        ("connection", "active", "start"),
        ("connection", "closed", "opened"),
        ("connection", "resetting", "start"),
        ("request", "completed", "refuse"),
        ("request", "queued", "hedge"),
    ],
)
def test_event_outside_the_chart_raises(name: str, state: str, event: str) -> None:
    with pytest.raises(TransitionError):
        StateChart.load(name).next_state(state, event)


def test_unknown_target_is_reported() -> None:
    document = {"initial": "a", "final": [], "transitions": {"a": {"go": "b"}}}
    with pytest.raises(ValueError, match="unknown states"):
        StateChart("broken", document)
