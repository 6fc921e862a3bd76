"""Settings: models generated from JSON Schema, file loading and validation."""

from basilwind.settings.generated.daemon import DaemonSettings, PeerSettings
from basilwind.settings.generated.fleet import (
    FleetSettings,
    HostSettings,
    PoolSettings,
    ZoneSettings,
)
from basilwind.settings.generated.team import (
    BudgetSettings,
    GivesUpEnum,
    QueueSettings,
    TeamSettings,
)

__all__ = [
    "BudgetSettings",
    "DaemonSettings",
    "FleetSettings",
    "GivesUpEnum",
    "HostSettings",
    "PeerSettings",
    "PoolSettings",
    "QueueSettings",
    "TeamSettings",
    "ZoneSettings",
]
