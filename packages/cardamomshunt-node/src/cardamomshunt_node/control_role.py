"""Daemon in the role `control`."""

import secrets

from cardamomshunt.events import EventNumber

from cardamomshunt_node._control_daemon import ControlDaemon
from cardamomshunt_node._keys import load_key_ring
from cardamomshunt_node._log_storage import LogStorage, StorageCorruptError
from cardamomshunt_node._settings import DaemonSettings
from cardamomshunt_node._telemetry import Telemetry


class ControlStartError(Exception):
    """Raised if a control node can't start, with the reason."""


async def run_control(settings: DaemonSettings) -> None:
    """Run a control node until SIGTERM; raise ControlStartError if it can't start."""
    if settings.data_folder is None:
        raise ControlStartError("data_folder is not set")
    keys = load_key_ring(settings.keys)
    telemetry = Telemetry(settings)
    storage = LogStorage(settings.data_folder)
    try:
        opened = storage.open(secrets.randbits(62) + 1)
    except StorageCorruptError as error:
        telemetry.emit(EventNumber.LOG_CORRUPT, settings.node, str(error))
        raise ControlStartError(str(error)) from error
    except OSError as error:
        raise ControlStartError(f"{settings.data_folder}: {error}") from error
    if opened.truncated_tail:
        telemetry.emit(
            EventNumber.LOG_TAIL_TRUNCATED, settings.node, opened.truncated_tail
        )
    if keys.is_empty:
        telemetry.emit(EventNumber.MESSAGES_UNSIGNED, settings.node)
    daemon = ControlDaemon(settings, keys, storage, opened, telemetry)
    try:
        await telemetry.start()
    except OSError as error:
        raise ControlStartError(f"metrics_address: {error}") from error
    telemetry.emit(EventNumber.CONTROL_STARTED, settings.node)
    try:
        await daemon.run()
    finally:
        storage.close()
        telemetry.emit(EventNumber.CONTROL_STOPPED, settings.node)
        await telemetry.stop()
