"""Announcements of an instance to entry VMs."""

import asyncio
import contextlib
from collections.abc import Callable

import aiohttp
import msgspec
from cardamomshunt.messages import Announcement, InstanceAddress

from cardamomshunt_testing._standin_member import Member
from cardamomshunt_testing._standin_settings import AnnouncementTarget

_TIMEOUT_MS = 1_000.0


class Announcer:
    """Post announcements to each entry VM, and pass its tokens to the member."""

    def __init__(self, member: Member, port_for_zone: Callable[[str], int]):
        self._member = member
        self._port_for_zone = port_for_zone
        self._tasks: list[asyncio.Task[None]] = []
        self._wake_ups: list[tuple[asyncio.Event, asyncio.Event]] = []

    def start(self) -> None:
        """Start one sender per entry VM."""
        for target in self._member.settings.announce_to:
            urgent, changed = asyncio.Event(), asyncio.Event()
            self._wake_ups.append((urgent, changed))
            self._tasks.append(asyncio.create_task(self._run(target, urgent, changed)))

    async def stop(self) -> None:
        """Stop announcing."""
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    def on_change(self, is_urgent: bool) -> None:
        """Announce urgent changes (role, term, leaving) at once, positions soon."""
        for urgent, changed in self._wake_ups:
            changed.set()
            if is_urgent:
                urgent.set()

    async def _run(
        self,
        target: AnnouncementTarget,
        urgent: asyncio.Event,
        changed: asyncio.Event,
    ) -> None:
        timeout = aiohttp.ClientTimeout(total=_TIMEOUT_MS / 1_000)
        async with aiohttp.ClientSession(timeout=timeout) as client:
            while True:
                urgent.clear()
                changed.clear()
                await self._member.faults.running.wait()
                if not self._member.faults.is_partitioned("", target.zone):
                    await self._post(client, target)
                await self._wait(urgent, changed)

    async def _wait(self, urgent: asyncio.Event, changed: asyncio.Event) -> None:
        settings = self._member.settings
        min_interval_s = settings.position_announce_interval_ms / 1_000
        remaining_s = settings.announce_interval_ms / 1_000 - min_interval_s
        if await _is_set_within(urgent, min_interval_s) or changed.is_set():
            return
        await _is_set_within(changed, max(remaining_s, 0.0))

    async def _post(
        self, client: aiohttp.ClientSession, target: AnnouncementTarget
    ) -> None:
        delay_s = self._delay_s(target.zone)
        body = msgspec.json.encode(self.announcement(target))
        url = f"http://{target.address}/v1/announcement"
        headers = {"Content-Type": "application/json"}
        if delay_s:
            await asyncio.sleep(delay_s)
        with contextlib.suppress(
            aiohttp.ClientError, TimeoutError, ValueError, OSError
        ):
            async with client.post(url, data=body, headers=headers) as response:
                if response.status != 200:
                    return
                answer = await response.json()
            if delay_s:
                await asyncio.sleep(delay_s)
            if self._member.faults.running.is_set():
                self._member.on_token(target.address, str(answer.get("token", "")))

    def _delay_s(self, zone: str) -> float:
        settings = self._member.settings
        return 0.0 if zone == settings.zone else settings.zone_delay_ms / 1_000

    def announcement(self, target: AnnouncementTarget) -> Announcement:
        """Return the announcement of the instance for one entry VM."""
        member = self._member
        settings = member.settings
        port = self._port_for_zone(target.zone)
        return Announcement(
            group=settings.group,
            instance=settings.instance,
            incarnation=member.incarnation,
            zone=settings.zone,
            address=InstanceAddress(settings.host, port),
            role=member.role,
            term=member.term,
            log_position=member.log_position,
            applied_position=member.applied_position,
            committed_position=member.committed_position,
            n_slots=settings.n_slots,
            n_connections_max=settings.n_connections_max,
            is_leaving=member.faults.is_leaving,
            echo=member.echo(target.address),
        )


async def _is_set_within(event: asyncio.Event, timeout_s: float) -> bool:
    try:
        async with asyncio.timeout(timeout_s):
            await event.wait()
    except TimeoutError:
        return False
    return True
