"""Validation rules that span the subtrees of a settings tree."""

from basilwind.errors import SettingsError


def check_tree(tree):
    """Checks a whole settings tree.

    Args:
        tree: ``SettingsTree``.

    Raises:
        SettingsError: A rule is violated; the message says what to change.
    """
    if tree.fleet is None:
        raise SettingsError("the fleet subtree is missing; publish it first")
    _check_fleet(tree.fleet)
    for team, settings in tree.teams.items():
        check_team(team, settings, tree.fleet)


def check_team(team, settings, fleet):
    """Checks the subtree of a team against that of the fleet.

    Args:
        team: Name of the team.
        settings: ``TeamSettings``.
        fleet: ``FleetSettings``.

    Raises:
        SettingsError: A rule is violated; the message says what to change.
    """
    pools = {pool.name for pool in fleet.pools}
    _require_unique((queue.name for queue in settings.queues), f"teams/{team}.queues")
    for index, queue in enumerate(settings.queues):
        _require_known(queue.pool, pools, f"teams/{team}.queues[{index}].pool")
    for index, budget in enumerate(settings.budgets):
        _require_known(budget.pool, pools, f"teams/{team}.budgets[{index}].pool")


def _check_fleet(fleet):
    zones = {zone.name for zone in fleet.zones}
    pools = {pool.name: pool for pool in fleet.pools}
    _require_unique((zone.name for zone in fleet.zones), "zones")
    _require_unique((pool.name for pool in fleet.pools), "pools")
    _require_unique((host.name for host in fleet.hosts), "hosts")
    _require_unique((host.address for host in fleet.hosts), "hosts")
    entry_hosts = (name for zone in fleet.zones for name in zone.entry_hosts)
    _require_unique(entry_hosts, "zones.entry_hosts")
    for index, pool in enumerate(fleet.pools):
        for zone in pool.zones:
            _require_known(zone, zones, f"pools[{index}].zones")
    for index, host in enumerate(fleet.hosts):
        _require_known(host.zone, zones, f"hosts[{index}].zone")
        _require_known(host.pool, pools, f"hosts[{index}].pool")
        if host.zone not in pools[host.pool].zones:
            message = (
                f"pool {host.pool!r} does not span availability zone {host.zone!r}"
            )
            raise SettingsError(f"{message}; add the zone to it", f"hosts[{index}]")


def _require_known(name, known, path):
    if name in known:
        return
    choices = ", ".join(sorted(known))
    raise SettingsError(f"{name!r} is not declared; use one of: {choices}", path)


def _require_unique(names, path):
    seen = set()
    for name in names:
        if name in seen:
            raise SettingsError(
                f"{name!r} is declared twice; remove or rename one", path
            )
        seen.add(name)
