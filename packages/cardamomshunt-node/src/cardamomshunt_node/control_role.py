"""The role `control` of the daemon."""

import secrets

from cardamomshunt.events import EventNumber

from cardamomshunt_node._control_daemon import ControlDaemon
from cardamomshunt_node._event_log import EventLog
from cardamomshunt_node._keys import load_key_ring
from cardamomshunt_node._log_storage import (
    LogStorage,
    OpenedStorage,
    StorageCorruptError,
)
from cardamomshunt_node._settings import DaemonSettings


class ControlStartError(Exception):
    """Say why a control node can't start."""


async def run_control(settings: DaemonSettings) -> None:
    """Run a control node until SIGTERM; raise ControlStartError if it can't start."""
    keys = load_key_ring(settings.keys)
    events = EventLog(settings.node, log_file=settings.log_file)
    if keys.is_empty:
        events.emit(EventNumber.MESSAGES_UNSIGNED, settings.node)
    try:
        storage, opened = _open_storage(settings, events)
        try:
            await ControlDaemon(settings, keys, storage, opened, events).run()
        finally:
            storage.close()
    finally:
        events.close()


def _open_storage(
    settings: DaemonSettings, events: EventLog
) -> tuple[LogStorage, OpenedStorage]:
    if settings.data_folder is None:
        raise ControlStartError("data_folder is not set")
    storage = LogStorage(settings.data_folder)
    try:
        opened = storage.open(secrets.randbits(62) + 1)
    except StorageCorruptError as error:
        events.emit(EventNumber.LOG_CORRUPT, settings.node, str(error))
        raise ControlStartError(str(error)) from error
    except OSError as error:
        raise ControlStartError(f"{settings.data_folder}: {error}") from error
    if opened.cut:
        events.emit(EventNumber.LOG_TAIL_TRUNCATED, settings.node, opened.cut)
    return storage, opened
