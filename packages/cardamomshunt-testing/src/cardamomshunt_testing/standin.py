"""Stand-in instance: `python -m cardamomshunt_testing.standin --settings FILE`."""

import asyncio
import signal
from pathlib import Path

import click

from cardamomshunt_testing._standin_instance import StandinInstance
from cardamomshunt_testing._standin_settings import (
    AnnouncementTarget,
    PeerSettings,
    StandinSettings,
    load_settings,
)

__all__ = [
    "AnnouncementTarget",
    "PeerSettings",
    "StandinInstance",
    "StandinSettings",
    "load_settings",
]


async def _run(settings: StandinSettings) -> None:
    instance = StandinInstance(settings)
    stopped = asyncio.Event()
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, stopped.set)
    await instance.start()
    print(f"{settings.instance} ready on {settings.host}:{instance.port}", flush=True)
    await stopped.wait()
    await instance.stop()


@click.command()
@click.option("--settings", type=click.Path(path_type=Path, exists=True), required=True)
def main(settings: Path) -> None:
    """Run one instance in the foreground until SIGTERM."""
    asyncio.run(_run(load_settings(settings)))


if __name__ == "__main__":
    main()
