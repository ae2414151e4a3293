"""HTTP control port of a stand-in instance, for faults and counters.

`GET /status` returns counters, and `GET /keys` how often each `order_id` is stored.
Faults are started and ended by `POST` with an optional JSON body:
`/freeze`, `/thaw`, `/cut-connections`, `/cut {"instances": [], "zones": []}`, `/heal`,
`/lag {"lag_ms": 5000}`, `/leave`, `/return`, `/slow {"factor": 10}`.
"""

from collections.abc import Callable
from typing import TYPE_CHECKING, Any

from aiohttp import web

if TYPE_CHECKING:
    from cardamomshunt_testing._standin_instance import StandinInstance


class FaultControl:
    """Serve the control port."""

    def __init__(self, instance: "StandinInstance"):
        self._instance = instance
        self._runner: web.AppRunner | None = None
        self.port = 0

    async def start(self) -> None:
        """Start to listen."""
        application = web.Application()
        application.router.add_get("/status", self._status)
        application.router.add_get("/keys", self._keys)
        application.router.add_post("/{fault}", self._inject_fault)
        self._runner = web.AppRunner(application, access_log=None)
        await self._runner.setup()
        settings = self._instance.settings
        site = web.TCPSite(self._runner, settings.host, settings.control_port)
        await site.start()
        self.port = self._runner.addresses[0][1]

    async def stop(self) -> None:
        """Stop listening."""
        if self._runner is not None:
            await self._runner.cleanup()

    async def _status(self, request: web.Request) -> web.Response:
        return web.json_response(self._instance.status())

    async def _keys(self, request: web.Request) -> web.Response:
        return web.json_response(self._instance.count_keys())

    async def _inject_fault(self, request: web.Request) -> web.Response:
        body = await request.json() if request.can_read_body else {}
        instance = self._instance
        faults: dict[str, Callable[[dict[str, Any]], None]] = {
            "freeze": lambda body: instance.freeze(),
            "thaw": lambda body: instance.thaw(),
            "cut-connections": lambda body: instance.blackhole_connections(),
            "cut": lambda body: instance.partition(
                set(body.get("instances", [])), set(body.get("zones", []))
            ),
            "heal": lambda body: instance.end_partitions(),
            "lag": lambda body: instance.set_lag(float(body["lag_ms"])),
            "leave": lambda body: instance.set_leaving(True),
            "return": lambda body: instance.set_leaving(False),
            "slow": self._slow,
        }
        fault = faults.get(request.match_info["fault"])
        if fault is None:
            raise web.HTTPNotFound
        fault(body)
        return web.json_response({"ok": True})

    def _slow(self, body: dict[str, Any]) -> None:
        self._instance.faults.slow_factor = float(body["factor"])
