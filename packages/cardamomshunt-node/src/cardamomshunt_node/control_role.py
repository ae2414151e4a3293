"""The role `control` of the daemon."""

import secrets

import logbook
from cardamomshunt.control import EmitEvent
from cardamomshunt.events import EventNumber, Severity, entry_for

from cardamomshunt_node._control_daemon import ControlDaemon
from cardamomshunt_node._keys import load_key_ring
from cardamomshunt_node._log_storage import LogStorage, StorageCorruptError
from cardamomshunt_node._settings import DaemonSettings

_LEVELS = {
    Severity.INFO: logbook.INFO,
    Severity.WARNING: logbook.WARNING,
    Severity.ERROR: logbook.ERROR,
    Severity.CRITICAL: logbook.CRITICAL,
}
_log = logbook.Logger("control")


class ControlStartError(Exception):
    """Say why a control node can't start."""


def _log_event(event: EmitEvent) -> None:
    entry = entry_for(event.number)
    level = _LEVELS[entry.severity] if entry else logbook.INFO
    name = EventNumber(event.number).name.lower() if entry else "unknown"
    _log.log(
        level, "event={} {} {} {}", event.number, name, event.subject, event.detail
    )


async def run_control(settings: DaemonSettings) -> None:
    """Run a control node until SIGTERM; raise ControlStartError if it can't start."""
    if settings.data_folder is None:
        raise ControlStartError("data_folder is not set")
    keys = load_key_ring(settings.keys)
    storage = LogStorage(settings.data_folder)
    try:
        opened = storage.open(secrets.randbits(62) + 1)
    except StorageCorruptError as error:
        event = EmitEvent(
            number=EventNumber.LOG_CORRUPT.value,
            subject=settings.node,
            detail=str(error),
        )
        _log_event(event)
        raise ControlStartError(str(error)) from error
    except OSError as error:
        raise ControlStartError(f"{settings.data_folder}: {error}") from error
    if opened.cut:
        _log_event(
            EmitEvent(
                number=EventNumber.LOG_TAIL_TRUNCATED.value,
                subject=settings.node,
                detail=opened.cut,
            )
        )
    daemon = ControlDaemon(settings, keys, storage, opened, _log_event)
    try:
        with _handler(settings).applicationbound():
            await daemon.run()
    finally:
        storage.close()


def _handler(settings: DaemonSettings) -> logbook.Handler:
    if settings.log_file is None:
        return logbook.StderrHandler()
    return logbook.FileHandler(str(settings.log_file))
