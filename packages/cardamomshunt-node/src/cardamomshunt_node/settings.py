"""Settings of a daemon."""

from cardamomshunt_node._settings import (
    Address,
    ControlNodeAddress,
    DaemonSettings,
    KeyFile,
    SettingsError,
    SettingsInvalidError,
    load_settings,
)

__all__ = [
    "Address",
    "ControlNodeAddress",
    "DaemonSettings",
    "KeyFile",
    "SettingsError",
    "SettingsInvalidError",
    "load_settings",
]
