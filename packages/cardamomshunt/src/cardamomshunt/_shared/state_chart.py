"""State charts: loading, validation and transitions."""

import tomllib
from importlib import resources
from typing import Any


class TransitionError(Exception):
    """Report an event that the chart does not allow in a state."""


class StateChart:
    """Transitions of a state chart.

    A chart is a TOML document with `initial`, `final` (a list) and, for each state, a
    table `transitions.<state>` that maps events to next states.

    >>> chart = StateChart.load("connection")
    >>> chart.next_state(chart.initial, "opened")
    'idle'
    """

    def __init__(self, name: str, document: dict[str, Any]) -> None:
        self.name = name
        self.initial: str = document["initial"]
        self.final: frozenset[str] = frozenset(document["final"])
        self._next: dict[tuple[str, str], str] = {
            (state, event): target
            for state, table in document["transitions"].items()
            for event, target in table.items()
        }
        self.states = frozenset(document["transitions"]) | self.final
        self._check()

    @classmethod
    def load(cls, name: str) -> "StateChart":
        """Load the chart in `charts/<name>.toml` of this package."""
        path = resources.files("cardamomshunt").joinpath("charts", f"{name}.toml")
        return cls(name, tomllib.loads(path.read_text(encoding="utf-8")))

    def _check(self) -> None:
        unknown = {*self._next.values(), self.initial} - self.states
        if unknown:
            raise ValueError(f"chart {self.name}: unknown states {sorted(unknown)}")

    def next_state(self, state: str, event: str) -> str:
        """Return the state after an event; raise TransitionError if not allowed."""
        try:
            return self._next[state, event]
        except KeyError:
            raise TransitionError(
                f"chart {self.name}: event {event!r} in state {state!r}"
            ) from None

    def allows(self, state: str, event: str) -> bool:
        """Return whether an event is allowed in a state."""
        return (state, event) in self._next
