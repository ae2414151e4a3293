"""Addresses and keys of the daemons that a command contacts."""

from dataclasses import dataclass, field
from pathlib import Path

from cardamomshunt.messages import NodeRole
from cardamomshunt_node.keys import KeyFileError, KeyRing, load_key_ring
from cardamomshunt_node.settings import (
    DaemonSettings,
    KeyFile,
    SettingsInvalidError,
    load_settings,
)

from cardamomshunt_cli._exit_codes import CommandError, ExitCode

NO_TARGET_TEXT = (
    "no daemon address: give --control HOST:PORT (repeat it for each control node), "
    "or --settings FILE of any daemon, or set CARDAMOMCTL_CONTROL"
)


@dataclass(slots=True)
class Deployment:
    """Operator addresses (`host:port`) and the key ring of a deployment."""

    control_addresses: list[str] = field(default_factory=list)
    entry_addresses: list[str] = field(default_factory=list)
    keys: KeyRing = field(default_factory=lambda: KeyRing([]))

    def require_target(self) -> None:
        """Raise CommandError if no daemon address is known."""
        if not self.control_addresses and not self.entry_addresses:
            raise CommandError(NO_TARGET_TEXT, ExitCode.USAGE)


@dataclass(slots=True, frozen=True)
class TargetOptions:
    """Command-line options that identify a deployment, before files are read."""

    control: tuple[str, ...] = ()
    entry: tuple[str, ...] = ()
    settings: tuple[Path, ...] = ()
    keys: tuple[str, ...] = ()
    is_json: bool = False


def load_deployment(options: TargetOptions) -> Deployment:
    """Read settings and key files; raise CommandError if one can't be used."""
    control = [_validate_address(text) for text in options.control]
    entry = [_validate_address(text) for text in options.entry]
    key_files = [_parse_key_file(text) for text in options.keys]
    for path in options.settings:
        settings = _load_settings(path)
        control += [str(node.operator_address) for node in settings.control_nodes]
        if settings.role is NodeRole.PROXY:
            entry.append(str(settings.operator_address))
        key_files += settings.keys
    try:
        keys = load_key_ring(tuple(dict.fromkeys(key_files)))
    except KeyFileError as error:
        raise CommandError(f"can't read key: {error}", ExitCode.USAGE) from error
    return Deployment(list(dict.fromkeys(control)), list(dict.fromkeys(entry)), keys)


def _load_settings(path: Path) -> DaemonSettings:
    try:
        return load_settings(path)
    except SettingsInvalidError as error:
        raise CommandError(str(error), ExitCode.USAGE) from error


def _validate_address(text: str) -> str:
    host, _, port = text.rpartition(":")
    if not host or not port.isdecimal():
        raise CommandError(f"expected HOST:PORT, got {text!r}", ExitCode.USAGE)
    return text


def _parse_key_file(text: str) -> KeyFile:
    key_id, separator, path = text.partition("=")
    if not separator:
        raise CommandError(f"expected KEY_ID=FILE, got {text!r}", ExitCode.USAGE)
    return KeyFile(key_id, Path(path))
