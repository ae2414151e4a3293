"""Cluster configuration and its changes."""

from cardamomshunt._configuration.document import (
    ClassSettings,
    ClusterConfiguration,
    DatabaseSettings,
    PolicySettings,
)
from cardamomshunt._configuration.patches import (
    PatchInvalidError,
    apply_changes,
    difference,
)

__all__ = [
    "ClassSettings",
    "ClusterConfiguration",
    "DatabaseSettings",
    "PatchInvalidError",
    "PolicySettings",
    "apply_changes",
    "difference",
]
