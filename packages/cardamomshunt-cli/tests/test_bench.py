"""`bench` ends after its duration and counts failures separately from answers."""

import asyncio
import json
from typing import Any

import asyncmy
import pytest
from cardamomshunt_cli._bench import BenchOptions, BenchReport, run_bench
from cardamomshunt_cli.main import main
from cardamomshunt_testing._ports import free_ports
from click.testing import CliRunner
from mysql_mimic import MysqlServer, Session
from mysql_mimic.results import ensure_result_set


class _Session(Session):
    async def handle_query(self, sql: str, attrs: dict[str, str]) -> Any:
        if "refused" in sql:
            raise ValueError("refused")
        if "last_route" in sql:
            return await ensure_result_set(([("replica",)], ["route"]))
        if " FROM t" in sql:
            return await ensure_result_set(([(1,)], ["one"]))
        return await super().handle_query(sql, attrs)


async def _run(statements: tuple[str, ...], rate: float | None) -> BenchReport:
    port = free_ports(1)[0]
    server = MysqlServer(session_factory=_Session)
    await server.start_server(host="127.0.0.1", port=port)
    try:
        return await run_bench(
            BenchOptions(
                host="127.0.0.1",
                port=port,
                user="root",
                password="",
                database="",
                statements=statements,
                n_connections=2,
                duration_s=0.5,
                rate=rate,
            )
        )
    finally:
        server.close()
        await server.wait_closed()


async def test_rate_and_route() -> None:
    report = await _run(("SELECT 1 FROM t",), 100.0)
    assert 30 <= report.n_answered <= 52 and not report.n_failed
    assert report.replica_share == 1.0
    assert report.latency_ms["p50"] <= report.latency_ms["max"] < 2_000


async def test_the_duration_starts_with_open_connections(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against a report without statements where connections open slowly."""
    connect = asyncmy.connect

    async def connect_slowly(**options: Any) -> Any:
        await asyncio.sleep(0.7)
        return await connect(**options)

    monkeypatch.setattr(asyncmy, "connect", connect_slowly)
    report = await _run(("SELECT 1 FROM t",), 100.0)
    assert 30 <= report.n_answered <= 52 and not report.n_failed
    assert 0.4 <= report.elapsed_s < 0.7


async def test_failures_are_not_answers() -> None:
    report = await _run(("SELECT refused FROM t",), None)
    assert not report.n_answered and report.n_failed


@pytest.mark.parametrize(
    ("arguments", "exit_code"),
    [(["--duration", "0.3s"], 3), (["--duration", "2h"], 2), (["--rate", "0"], 2)],
)
def test_bounds(arguments: list[str], exit_code: int) -> None:
    port = str(free_ports(1)[0])
    result = CliRunner().invoke(main, ["--json", "bench", "--port", port, *arguments])
    assert result.exit_code == exit_code, result.output
    if exit_code == 3:
        assert json.loads(result.stdout)["n_failed"] > 0
