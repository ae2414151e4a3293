"""Cluster configuration as a typed document."""

import msgspec

from cardamomshunt._data_path.effects import RequestClass


class ClassSettings(msgspec.Struct, kw_only=True):
    """Limits of one request class of a database.

    `max_age_ms` is the age of data that reads without a hint accept; 0 requires
    read-your-writes. `reserved_share` is the fraction of the primary's slots that is
    reserved for the class under overload.
    """

    deadline_ms: float = 2_000.0
    max_age_ms: float = 0.0
    n_queued_max: int = 200
    reserved_share: float = 0.1


class DatabaseSettings(msgspec.Struct, kw_only=True):
    """Limits of one database by request class."""

    order: ClassSettings = msgspec.field(
        default_factory=lambda: ClassSettings(deadline_ms=4_000.0, reserved_share=0.5)
    )
    lookup: ClassSettings = msgspec.field(
        default_factory=lambda: ClassSettings(reserved_share=0.2)
    )
    dispatch: ClassSettings = msgspec.field(default_factory=ClassSettings)

    def for_class(self, request_class: RequestClass) -> ClassSettings:
        """Return the settings of a request class."""
        settings: ClassSettings = getattr(self, request_class.value)
        return settings


class PolicySettings(msgspec.Struct, kw_only=True):
    """Policy that applies to all databases."""

    detection_ms: float = 600.0
    # Covers one announcement of a changed position: 50 ms and the network latency.
    catch_up_wait_ms: float = 80.0
    await_majority_ms: float = 1_500.0
    n_connections_floor: int = 2
    idempotency_retention_s: float = 604_800.0
    retry_budget_ratio: float = 0.1
    hedge_after_ms: float = 0.0


class ClusterConfiguration(msgspec.Struct, kw_only=True):
    """Versioned configuration that patches change."""

    version: int = 0
    policy: PolicySettings = msgspec.field(default_factory=PolicySettings)
    databases: dict[str, DatabaseSettings] = {}

    def database(self, name: str) -> DatabaseSettings:
        """Return the settings of a database, or the defaults if it has none.

        >>> ClusterConfiguration().database("orders").order.deadline_ms
        4000.0
        """
        return self.databases.get(name) or DatabaseSettings()

    def to_json(self) -> str:
        """Return the document as JSON."""
        return msgspec.json.encode(self).decode()

    @classmethod
    def from_json(cls, text: str) -> "ClusterConfiguration":
        """Decode a document; raise msgspec.ValidationError if it is malformed."""
        return msgspec.json.decode(text, type=cls)
