"""Log of numbered events."""

from cardamomshunt_node._event_log import (
    N_EVENTS_MAX,
    N_REPEATS_MAX,
    REPEAT_WINDOW_MS,
    EventLog,
)

__all__ = [
    "N_EVENTS_MAX",
    "N_REPEATS_MAX",
    "REPEAT_WINDOW_MS",
    "EventLog",
]
