"""Configuration and topology of a proxy, whose versions never decrease."""

from collections.abc import Callable
from typing import Any

import msgspec
from cardamomshunt.configuration import ClusterConfiguration
from cardamomshunt.messages import Change, ConfigurationUpdate, TopologyUpdate

from cardamomshunt_node._proxy_state_files import StateFiles


class UnusableUpdateError(Exception):
    """Raised when a configuration update can't be applied; the text is the reason."""


def apply_changes(
    configuration: ClusterConfiguration, version: int, changes: list[Change]
) -> ClusterConfiguration:
    """Return a changed configuration; raise UnusableUpdateError if it is invalid.

    >>> changes = [Change(path="databases.orders.lookup.max_age_ms", value=500.0)]
    >>> after = apply_changes(ClusterConfiguration(), 7, changes)
    >>> after.version, after.database("orders").lookup.max_age_ms
    (7, 500.0)
    """
    document: dict[str, Any] = msgspec.to_builtins(configuration)
    for change in changes:
        _set_path(document, change)
    document["version"] = version
    try:
        return msgspec.convert(document, ClusterConfiguration)
    except msgspec.ValidationError as error:
        raise UnusableUpdateError(str(error)) from error


def _set_path(document: dict[str, Any], change: Change) -> None:
    *parents, name = change.path.split(".")
    table = document
    for parent in parents:
        table = table.setdefault(parent, {})
        if not isinstance(table, dict):
            raise UnusableUpdateError(f"{change.path}: {parent} is not a table")
    if change.value is None:
        table.pop(name, None)
    else:
        table[name] = change.value


class VersionedState:
    """Track the newest configuration and topology, and publish newer versions."""

    def __init__(
        self,
        files: StateFiles,
        on_configuration: Callable[[ClusterConfiguration], None],
        on_topology: Callable[[TopologyUpdate], None],
    ) -> None:
        self._files = files
        self._on_configuration = on_configuration
        self._on_topology = on_topology
        self.configuration = ClusterConfiguration()
        self.topology = TopologyUpdate(version=0, databases=[])

    def load(self) -> None:
        """Load and publish the versions that were stored before the last stop."""
        configuration = self._files.load_configuration()
        if configuration is not None:
            self.configuration = configuration
            self._on_configuration(configuration)
        topology = self._files.load_topology()
        if topology is not None:
            self.topology = topology
            self._on_topology(topology)

    async def stop(self) -> None:
        """Wait until all updates are stored."""
        await self._files.stop()

    def update_configuration(self, update: ConfigurationUpdate) -> bool:
        """Apply a newer configuration; False for an older one, or one after a gap.

        After a gap, control sends the missing changes in reply to the next heartbeat.
        Raise UnusableUpdateError if the configuration is invalid.
        """
        if update.version <= self.configuration.version:
            return False
        if update.base_version is None:
            try:
                configuration = ClusterConfiguration.from_json(update.snapshot)
            except msgspec.MsgspecError as error:
                raise UnusableUpdateError(str(error)) from error
            configuration.version = update.version
        elif update.base_version == self.configuration.version:
            configuration = apply_changes(
                self.configuration, update.version, update.changes
            )
        else:
            return False
        self.configuration = configuration
        self._files.store_configuration(configuration)
        self._on_configuration(configuration)
        return True

    def update_topology(self, update: TopologyUpdate) -> bool:
        """Apply a newer topology; False for an older one."""
        if update.version <= self.topology.version:
            return False
        self.topology = update
        self._files.store_topology(update)
        self._on_topology(update)
        return True
