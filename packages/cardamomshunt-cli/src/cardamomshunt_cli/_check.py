"""Check settings files, one by one and against one another."""

import os
from collections import defaultdict
from ipaddress import ip_address
from pathlib import Path

import msgspec
from cardamomshunt_node.keys import KeyFileError, load_key_ring
from cardamomshunt_node.settings import (
    DaemonSettings,
    SettingsInvalidError,
    load_settings,
)


class CheckResult(msgspec.Struct, kw_only=True):
    """Errors and warnings found in settings files."""

    files: list[str]
    errors: list[str]
    warnings: list[str]


def check_files(paths: list[Path], is_local: bool) -> CheckResult:
    """Check files; with `is_local`, also key files and data folders on this machine."""
    result = CheckResult(files=[str(path) for path in paths], errors=[], warnings=[])
    loaded: dict[Path, DaemonSettings] = {}
    for path in paths:
        try:
            loaded[path] = load_settings(path)
        except SettingsInvalidError as error:
            result.errors += [str(item) for item in error.errors]
    for path, settings in loaded.items():
        result.warnings += [f"{path}: {text}" for text in _warnings(settings)]
        if is_local:
            result.errors += [f"{path}: {text}" for text in _local_errors(settings)]
    result.errors += _conflicts(loaded)
    return result


def _warnings(settings: DaemonSettings) -> list[str]:
    warnings = []
    if not settings.keys:
        warnings.append("no keys: anyone on the network can send messages")
        for name, text in _addresses(settings).items():
            host = text.rpartition(":")[0]
            if not _is_loopback(host):
                warnings.append(f"{name} {text} is not loopback and there are no keys")
    if len(settings.control_nodes) % 2 == 0:
        n_nodes = len(settings.control_nodes)
        warnings.append(
            f"{n_nodes} control nodes: one fewer tolerates as many failures"
        )
    return warnings


def _is_loopback(host: str) -> bool:
    try:
        return ip_address(host).is_loopback
    except ValueError:
        return host == "localhost"


def _local_errors(settings: DaemonSettings) -> list[str]:
    errors = []
    try:
        load_key_ring(settings.keys)
    except KeyFileError as error:
        errors.append(f"keys: {error}")
    folder = settings.data_folder
    if folder is not None and not (folder.is_dir() and os.access(folder, os.W_OK)):
        errors.append(f"data_folder: {folder} is not a writable folder")
    return errors


def _addresses(settings: DaemonSettings) -> dict[str, str]:
    names = ("peer", "operator", "metrics", "caller", "announcement")
    found = {name: getattr(settings, f"{name}_address") for name in names}
    return {
        f"{name}_address": str(address)
        for name, address in found.items()
        if address is not None and address.port
    }


def _conflicts(loaded: dict[Path, DaemonSettings]) -> list[str]:
    """Return errors for node names and addresses that several files use."""
    owners: dict[str, list[str]] = defaultdict(list)
    for path, settings in loaded.items():
        owners[f"node name {settings.node}"].append(str(path))
        for name, address in _addresses(settings).items():
            owners[f"address {address}"].append(f"{path} ({name})")
    errors = [
        f"{what} is used by {' and by '.join(users)}"
        for what, users in owners.items()
        if len(users) > 1
    ]
    return errors + _control_disagreements(loaded)


def _control_disagreements(loaded: dict[Path, DaemonSettings]) -> list[str]:
    """Return errors for files whose control nodes differ from the first file's."""
    first: tuple[Path, DaemonSettings] | None = None
    errors = []
    for path, settings in loaded.items():
        if first is None:
            first = (path, settings)
        elif set(settings.control_nodes) != set(first[1].control_nodes):
            errors.append(f"{path}: control_nodes differ from those of {first[0]}")
    return errors
