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
from cardamomshunt_node._settings_schema import settings_schema

__all__ = [
    "Address",
    "ControlNodeAddress",
    "DaemonSettings",
    "KeyFile",
    "SettingsError",
    "SettingsInvalidError",
    "load_settings",
    "settings_schema",
]
