"""The cluster configuration."""

from cardamomshunt._configuration_document import (
    ClassSettings,
    ClusterConfiguration,
    DatabaseSettings,
    PolicySettings,
)
from cardamomshunt._configuration_patches import (
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
