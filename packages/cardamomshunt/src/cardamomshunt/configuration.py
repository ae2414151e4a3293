"""The cluster configuration."""

from cardamomshunt._configuration_document import (
    ClassSettings,
    ClusterConfiguration,
    DatabaseSettings,
    PolicySettings,
)

__all__ = [
    "ClassSettings",
    "ClusterConfiguration",
    "DatabaseSettings",
    "PolicySettings",
]
