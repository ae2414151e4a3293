"""Settings of one instance of the stand-in database group."""

from pathlib import Path

import msgspec
import yaml


class PeerSettings(msgspec.Struct, kw_only=True, forbid_unknown_fields=True):
    """Address of another instance of the group."""

    instance: str
    zone: str
    host: str = "127.0.0.1"
    replication_port: int


class AnnouncementTarget(msgspec.Struct, kw_only=True, forbid_unknown_fields=True):
    """Address of the announcement listener of an entry VM."""

    zone: str
    address: str


class StandinSettings(msgspec.Struct, kw_only=True, forbid_unknown_fields=True):
    """Settings of one instance.

    `zone_ports` are further MySQL ports for callers of other zones. The announcements
    to an entry VM of such a zone name its port, so that delays and partitions between
    zones affect MySQL connections too.
    With `reads_wait_for_majority`, a read outside of transactions on the primary waits
    until a majority stores all that it may have seen, as semi-synchronous servers do.
    With `is_first_primary`, the instance starts the log of the group with `schema` in
    term 1.
    With `data_folder`, term and log survive a restart. Without it, an instance counts
    as new only if all peers reply within `first_start_timeout_ms` that it is unknown
    to them; otherwise it rejoins with an empty log and waits out
    `rejoin_quarantine_ms`.
    """

    group: str
    instance: str
    zone: str
    host: str = "127.0.0.1"
    port: int = 0
    zone_ports: dict[str, int] = {}
    replication_port: int = 0
    control_port: int = 0
    peers: list[PeerSettings] = []
    announce_to: list[AnnouncementTarget] = []
    n_slots: int = 5
    n_connections_max: int = 35
    connect_delay_ms: float = 0.0
    replication_lag_ms: float = 0.0
    service_time_ms: float = 0.0
    zone_delay_ms: float = 0.0
    announce_interval_ms: float = 100.0
    position_announce_interval_ms: float = 50.0
    rejoin_quarantine_ms: float = 2_000.0
    first_start_timeout_ms: float = 15_000.0
    reads_wait_for_majority: bool = False
    is_first_primary: bool = False
    schema: list[str] = []
    data_folder: str | None = None

    @property
    def n_majority(self) -> int:
        """Return the number of instances that form a majority of the group."""
        return (len(self.peers) + 1) // 2 + 1


def load_settings(path: Path) -> StandinSettings:
    """Read a YAML file; raise msgspec.ValidationError if it is malformed."""
    return msgspec.convert(yaml.safe_load(path.read_text()), StandinSettings)
