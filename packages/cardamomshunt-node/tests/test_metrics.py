"""Metrics are served with the documented names and a limited number of series."""

import aiohttp
from cardamomshunt.effects import RequestClass
from cardamomshunt.verdict import Refusal, RefusalReason, Verdict
from cardamomshunt_node import _metrics
from cardamomshunt_node.metrics import NodeMetrics, ReadBound, ReadRoute
from cardamomshunt_node.transport import TransportCounters


async def _scrape(metrics: NodeMetrics) -> str:
    await metrics.start("127.0.0.1", 0)
    try:
        async with (
            aiohttp.ClientSession() as session,
            session.get(metrics.url) as response,
        ):
            return await response.text()
    finally:
        await metrics.stop()


async def test_scrape() -> None:
    metrics = NodeMetrics("proxy-1", "proxy", "nairobi-a")
    metrics.count_read("orders", ReadRoute.REPLICA, ReadBound.AGE)
    metrics.count_refusal(
        "orders", Refusal(Verdict.NOT_RUN, RefusalReason.OVERLOADED, "queue full")
    )
    metrics.observe_duration("orders", RequestClass.LOOKUP, 12.0)
    metrics.on_write_blocked("orders", 1_000.0)
    assert metrics.on_write_acknowledged("orders", 1_800.0) == 800.0
    metrics.add_refresher(
        lambda: metrics.set_transport_counters(TransportCounters(sent_bytes=77))
    )
    with metrics.measure_control_cpu():
        sum(range(1_000))
    text = await _scrape(metrics)
    for name, labels, value in (
        ("reads_total", ('bound="age"', 'route="replica"', "zone="), "1"),
        ("refusals_total", ('reason="overloaded"', 'verdict="NOT_RUN"'), "1"),
        ("write_gap_ms_count", ('database="orders"',), "1.0"),
        ("control_bytes_total", ('direction="sent"',), "77"),
        ("process_resident_memory_bytes", ('node="proxy-1"',), ""),
        ("control_cpu_seconds_total", (), ""),
    ):
        assert any(
            line.startswith(f"cardamomshunt_{name}{{")
            and all(label in line for label in labels)
            and line.endswith(value)
            for line in text.splitlines()
        ), (name, text)


async def test_made_up_names_add_no_series() -> None:
    metrics = NodeMetrics("proxy-1", "proxy", "nairobi-a")
    for index in range(_metrics.N_DATABASES_MAX + 50):
        metrics.count_read(f"db{index}", ReadRoute.PRIMARY, ReadBound.SESSION)
    text = await _scrape(metrics)
    assert text.count("cardamomshunt_reads_total{") == _metrics.N_DATABASES_MAX + 1
