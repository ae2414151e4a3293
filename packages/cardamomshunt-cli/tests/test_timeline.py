"""The merged timeline is in causal order, and its HTML page is self-contained."""

import random
import re
import xml.etree.ElementTree as ElementTree
from collections.abc import Callable
from pathlib import Path
from typing import Any

import pytest
from cardamomshunt.events import EventNumber
from cardamomshunt.hybrid_clock import SKEW_MAX_MS, HybridClock
from cardamomshunt.operator_messages import TimelineEvent, TimelineReply
from cardamomshunt_cli._timeline import Timeline, event_id, merge_events
from cardamomshunt_cli._timeline_chart import primary_spans, render_html
from click.testing import Result

_START_MS = 1_700_000_000_000


def _history(
    random_state: random.Random, skews_ms: list[float]
) -> tuple[list[TimelineReply], list[tuple[str, str]]]:
    """Simulate messages between nodes with skewed clocks.

    Returns the nodes' events and the pairs of causes and effects.
    """
    clocks = [HybridClock() for _ in skews_ms]
    events: list[list[TimelineEvent]] = [[] for _ in skews_ms]
    pairs = []
    for step in range(200):
        sender, receiver = random_state.sample(range(len(clocks)), 2)
        wall_ms = _START_MS + step * 5
        cause = _event(clocks, events, sender, wall_ms + skews_ms[sender], "")
        receiver_wall_ms = wall_ms + skews_ms[receiver]
        clocks[receiver].observe(receiver_wall_ms, cause.hlc)
        effect = _event(clocks, events, receiver, receiver_wall_ms, event_id(cause))
        pairs.append((event_id(cause), event_id(effect)))
    replies = [
        TimelineReply(node=f"n{index}", events=items)
        for index, items in enumerate(events)
    ]
    return replies, pairs


def _event(
    clocks: list[HybridClock],
    events: list[list[TimelineEvent]],
    node: int,
    wall_ms: float,
    cause: str,
) -> TimelineEvent:
    event = TimelineEvent(
        hlc=clocks[node].now(wall_ms), node=f"n{node}", number=110, cause=cause
    )
    events[node].append(event)
    return event


@pytest.mark.parametrize("skew_ms", [0.0, 5_000.0, 10 * SKEW_MAX_MS])
@pytest.mark.parametrize("seed", range(3))
def test_no_effect_before_its_cause(seed: int, skew_ms: float) -> None:
    """With larger skews than accepted, hybrid times alone put effects before causes."""
    random_state = random.Random(seed)
    replies, pairs = _history(random_state, [0.0, skew_ms, -skew_ms])
    random_state.shuffle(replies)
    merged = merge_events(replies)
    position = {event_id(event): index for index, event in enumerate(merged)}
    assert len(merged) == 400
    assert all(position[cause] < position[effect] for cause, effect in pairs)
    for node in ("n0", "n1", "n2"):
        times = [event.hlc for event in merged if event.node == node]
        assert times == sorted(times)
    if skew_ms > SKEW_MAX_MS:
        by_time = sorted(merged, key=lambda event: event.hlc)
        naive = {event_id(event): index for index, event in enumerate(by_time)}
        assert any(naive[cause] > naive[effect] for cause, effect in pairs)


def test_contradictory_causes_drop_no_event() -> None:
    first = TimelineEvent(hlc=1, node="a", number=110, cause="b@2")
    second = TimelineEvent(hlc=2, node="b", number=110, cause="a@1")
    replies = [TimelineReply(node="a", events=[first, second])]
    assert merge_events(replies) == [first, second]


def _failover() -> list[TimelineEvent]:
    steps = (
        (0, "proxy-1", EventNumber.WRITES_HELD, "", "orders"),
        (40, "control-1", EventNumber.PRIMARY_SUSPECTED, "orders-1", "orders"),
        (60, "control-1", EventNumber.FENCING_STARTED, "orders-1", "orders"),
        (300, "proxy-1", EventNumber.REQUEST_REFUSED, "<no_primary>", "orders"),
        (400, "control-1", EventNumber.PROMOTION_DONE, "orders-2", "orders"),
        (450, "proxy-1", EventNumber.REQUEST_RETRIED, "r1", "orders"),
        (500, "proxy-1", EventNumber.WRITES_RESUMED, "", "orders"),
    )
    return [
        TimelineEvent(
            hlc=(_START_MS + offset_ms) << 16,
            node=node,
            number=int(number),
            subject=subject,
            database=database,
        )
        for offset_ms, node, number, subject, database in steps
    ]


def test_chart_shows_the_primaries() -> None:
    spans = primary_spans(_failover(), _START_MS + 500)
    assert [span.primary for span in spans] == ["orders-1", None, "orders-2"]
    assert [span.end_ms - span.start_ms for span in spans[1:]] == [400, 100]


def test_page_is_self_contained() -> None:
    timeline = Timeline(
        events=_failover(),
        answered=["control-1", "proxy-1"],
        silent_addresses=["127.0.0.1:9"],
        n_dropped={},
    )
    page = render_html(timeline, "Failover of <orders>")
    assert "no events from 127.0.0.1:9" in page
    assert "<orders>" not in page and "<no_primary>" not in page
    assert not re.search(r"<script|src=|href=|url\(|@import", page)
    svg = page[page.index("<svg") : page.index("</svg>") + 6]
    shapes = ElementTree.fromstring(svg)
    titles = "".join(text.text or "" for text in shapes.iter() if "title" in text.tag)
    assert "no primary, 400 ms" in titles and "<no_primary>" in titles


def test_unresponsive_daemons_are_named(
    host: Any, ctl: Callable[..., Result], tmp_path: Path
) -> None:
    events = _failover()
    control = [event for event in events if event.node == "control-1"]
    entry = [event for event in events if event.node == "proxy-1"]
    proxy = host.daemon("proxy-1", is_leader=False)
    proxy.timeline = TimelineReply(node="proxy-1", events=entry)
    leader = host.daemon("control-1")
    leader.timeline = TimelineReply(node="control-1", events=control, n_dropped=3)
    dead = host.free_address()
    leader.nodes = [host.proxy_status(proxy.address)]
    result = ctl([leader.address, dead], "timeline", "--database", "orders")
    assert result.exit_code == 0, result.output
    assert f"no events from {dead}" in result.output
    assert "3 older events are no longer available" in result.output
    shown = [line for line in result.output.splitlines() if "orders" in line]
    assert len(shown) == len(events) and "114 WRITES_HELD" in shown[0]
    page = tmp_path / "failover.html"
    assert ctl([leader.address], "timeline", "--html", str(page)).exit_code == 0
    assert "orders-2" in page.read_text()
