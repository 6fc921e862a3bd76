"""Small settings for tests."""

from basilwind.api.auth import hash_token
from basilwind.settings import (
    BudgetSettings,
    FleetSettings,
    HostSettings,
    PoolSettings,
    QueueSettings,
    TeamSettings,
    ZoneSettings,
)
from basilwind.settings.tree import SettingsTree

ZONES = ("zone-a", "zone-b")
POOLS = ("pool-a", "pool-b")


def make_fleet(hosts_per_shard=2, zones=ZONES, pools=POOLS):
    """Returns fleet settings with ``hosts_per_shard`` in each pool and zone."""
    hosts = [
        HostSettings(
            name=f"{zone}-{pool}-{index}",
            zone=zone,
            rack=f"{zone}-rack-{index // 2}",
            pool=pool,
            address=f"127.0.0.1:{1000 + 100 * z + 10 * p + index}",
        )
        for z, zone in enumerate(zones)
        for p, pool in enumerate(pools)
        for index in range(hosts_per_shard)
    ]
    return FleetSettings(
        zones=[ZoneSettings(z, "region", [f"{z}-e1", f"{z}-e2"]) for z in zones],
        pools=[PoolSettings(pool, list(zones)) for pool in pools],
        hosts=hosts,
    )


def make_team(pool="pool-a", max_out=1, **options):
    """Returns the settings of a team with one queue ``work``."""
    return TeamSettings(
        tokens=[hash_token("secret")],
        queues=[QueueSettings("work", pool)],
        budgets=[BudgetSettings(pool, max_out)],
        **options,
    )


def make_tree(max_out=1):
    """Returns a settings tree with a team for each pool."""
    teams = {f"team-{pool}": make_team(pool, max_out) for pool in POOLS}
    return SettingsTree(make_fleet(), teams)
