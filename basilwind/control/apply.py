"""Applies the records of the control stream to the control state."""

import hashlib
from dataclasses import replace
from functools import singledispatch

from basilwind.control import records
from basilwind.control.budget import hosts_out, tightest_budget
from basilwind.control.records import (
    HostAction,
    HostRecord,
    SettingsRecord,
    SnapshotRecord,
    WaveRecord,
)
from basilwind.control.state import (
    MAX_RECENT_RECORD_IDS,
    AuditEntry,
    HostPhase,
    HostState,
)
from basilwind.control.waves import (
    apply_wave,
    check_wave_drain,
    record_wave_progress,
)
from basilwind.errors import RecordInvalid, SettingsError
from basilwind.settings.checks import check_tree
from basilwind.settings.generated.fleet import FleetSettings
from basilwind.settings.loader import convert
from basilwind.settings.tree import (
    FLEET,
    SettingsTree,
    model_of_subtree,
    team_of_subtree,
)


def apply_bytes(state, offset, data):
    """Applies one record of the control stream.

    Args:
        state: ``ControlState``, changed in place.
        offset: Offset of the record; a record already applied is ignored.
        data: The record's bytes.

    Returns:
        The ``AuditEntry`` of the record, or None if it was already applied.
    """
    if offset < state.next_offset:
        return None
    entry = _apply(state, offset, data)
    state.next_offset = offset + 1
    state.digest = _next_digest(state.digest, offset, data, entry.accepted)
    state.audit.append(entry)
    return entry


def _apply(state, offset, data):
    try:
        record = records.decode_record(data)
    except RecordInvalid as error:
        return AuditEntry(offset, 0.0, "", "invalid", "", 0, False, str(error))
    try:
        _reject_duplicate(state, record)
        reason = apply_record(record, state, offset)
        return _audit_entry(record, offset, True, reason or "")
    except (RecordInvalid, SettingsError) as error:
        return _audit_entry(record, offset, False, str(error))


def _reject_duplicate(state, record):
    if record.id in state.recent_ids:
        raise RecordInvalid("duplicate of an earlier record")
    state.recent_ids[record.id] = None
    if len(state.recent_ids) > MAX_RECENT_RECORD_IDS:
        del state.recent_ids[next(iter(state.recent_ids))]


def _next_digest(digest, offset, data, accepted):
    text = b"%s %d %d " % (digest.encode(), offset, accepted)
    return hashlib.sha256(text + data).hexdigest()[:32]


@singledispatch
def apply_record(record, state, offset):
    """Applies a decoded record; each type of record has its own implementation.

    Args:
        record: The record.
        state: ``ControlState``, changed in place if the record is accepted.
        offset: Offset of the record.

    Returns:
        The author's reason, for the audit trail, or None.

    Raises:
        RecordInvalid: The record is rejected.
        SettingsError: The settings in the record are rejected.
    """
    raise RecordInvalid(f"records of type {type(record).__name__} are not applied")


@apply_record.register
def _(record: SettingsRecord, state, offset):
    version = state.versions.get(record.subtree, 0)
    if record.base_version != version:
        raise RecordInvalid(
            f"made from version {record.base_version}, but version {version} is in"
            " force; plan again and re-apply"
        )
    settings = convert(record.document, model_of_subtree(record.subtree))
    tree = SettingsTree(state.tree.fleet, dict(state.tree.teams))
    tree.put(record.subtree, settings)
    check_tree(tree)
    _check_queue_pools(state, record.subtree, settings)
    if record.subtree == FLEET:
        _check_pool_zones(state, settings)
        _check_removed_hosts(state, settings)
    _check_budgets(state, tree)
    state.tree = tree
    state.versions[record.subtree] = offset
    _record_declared_names(state, record.subtree, settings)
    if record.subtree == FLEET:
        _update_hosts(state, settings, offset)


def _check_queue_pools(state, subtree, settings):
    if isinstance(settings, FleetSettings):
        return
    team = team_of_subtree(subtree)
    for queue in settings.queues:
        pool = state.queue_pools.get(f"{team}/{queue.name}", queue.pool)
        if pool != queue.pool:
            message = f"queue {queue.name!r} belongs to pool {pool!r} for its life"
            raise SettingsError(f"{message}; declare a queue of another name")


def _check_pool_zones(state, fleet):
    for pool in fleet.pools:
        zones = state.pool_zones.get(pool.name, tuple(pool.zones))
        if set(zones) != set(pool.zones):
            message = f"pool {pool.name!r} spans {', '.join(zones)} for its life"
            raise SettingsError(f"{message}; declare a pool of another name")


def _check_removed_hosts(state, fleet):
    kept = {host.name for host in fleet.hosts}
    for host in state.hosts.values():
        if host.name not in kept and host.phase in (
            HostPhase.ACTIVE,
            HostPhase.DRAINING,
        ):
            message = f"host {host.name!r} is {host.phase}; drain it before removing it"
            raise SettingsError(message)


def _check_budgets(state, tree):
    # A tighter budget is accepted only if the hosts that are out already meet it.
    for team, settings in tree.teams.items():
        for budget in settings.budgets:
            out = hosts_out(state, budget.pool)
            previous = state.tree.teams.get(team)
            if out > budget.max_out and _is_tightened(previous, budget):
                raise SettingsError(
                    f"{out} hosts of pool {budget.pool!r} are out, over the new budget"
                    f" of {budget.max_out}; wait for them to return"
                )


def _is_tightened(previous, budget):
    if previous is None:
        return True
    limits = [old.max_out for old in previous.budgets if old.pool == budget.pool]
    return not limits or budget.max_out < min(limits)


def _record_declared_names(state, subtree, settings):
    if isinstance(settings, FleetSettings):
        for pool in settings.pools:
            state.pool_zones[pool.name] = tuple(pool.zones)
        return
    team = team_of_subtree(subtree)
    for queue in settings.queues:
        state.queue_pools[f"{team}/{queue.name}"] = queue.pool


def _update_hosts(state, fleet, offset):
    hosts = {}
    for settings in fleet.hosts:
        known = state.hosts.get(settings.name)
        if known is None:
            hosts[settings.name] = HostState(settings, settings.pool, version=offset)
        else:
            hosts[settings.name] = replace(known, settings=settings)
    state.put_hosts(hosts)


@apply_record.register
def _(record: WaveRecord, state, offset):
    return apply_wave(state, record, offset)


@apply_record.register
def _(record: SnapshotRecord, state, offset):
    if record.offset > offset or not 0 <= record.part < record.parts:
        raise RecordInvalid("snapshot of a later offset, or a part out of range")


@apply_record.register
def _(record: HostRecord, state, offset):
    host = state.hosts.get(record.host)
    if host is None:
        raise RecordInvalid(f"no host {record.host!r}")
    if record.version != host.version:
        raise RecordInvalid(
            f"made for version {record.version} of the host, which is at"
            f" {host.version}; look again and retry"
        )
    changed = _ACTIONS[record.action](state, host, record)
    # Acknowledgements keep the version, so that all entry hosts can acknowledge the
    # same version in any order.
    if record.action is not HostAction.ACKNOWLEDGE:
        changed = replace(changed, version=offset)
    state.put_host(changed)
    record_wave_progress(state, host, record.action, offset)
    return record.reason


def _drain(state, host, record):
    _check_phase(host, HostPhase.ACTIVE)
    if record.wave:
        check_wave_drain(state, record)
    limit = tightest_budget(state, host.pool)
    out = hosts_out(state, host.pool)
    if limit is not None and out + 1 > limit.max_out:
        raise RecordInvalid(
            f"team {limit.team!r} allows {limit.max_out} hosts of pool"
            f" {host.pool!r} out, and {out} are; wait for one to return"
        )
    return replace(
        host,
        phase=HostPhase.DRAINING,
        acknowledged=frozenset(),
        reason=record.reason,
        wave=record.wave,
    )


def _acknowledge(state, host, record):
    _check_phase(host, HostPhase.DRAINING)
    entry_hosts = state.entry_hosts_of(host.settings.zone)
    if record.entry_host not in entry_hosts:
        raise RecordInvalid(f"{record.entry_host!r} is not an entry host of the zone")
    acknowledged = host.acknowledged | {record.entry_host}
    phase = HostPhase.DRAINED if entry_hosts <= acknowledged else host.phase
    return replace(host, acknowledged=acknowledged, phase=phase)


def _undrain(state, host, record):
    _check_phase(host, HostPhase.DRAINING, HostPhase.DRAINED)
    return _returned_to_service(host)


def _reboot(state, host, record):
    _check_phase(host, HostPhase.DRAINED)
    return replace(host, phase=HostPhase.REBOOTING)


def _return(state, host, record):
    _check_phase(host, HostPhase.REBOOTING, HostPhase.FAILED)
    return _returned_to_service(host)


def _move(state, host, record):
    _check_phase(host, HostPhase.DRAINED)
    zones = state.pool_zones.get(record.to_pool)
    if zones is None or record.to_pool == host.pool:
        raise RecordInvalid(f"no other pool {record.to_pool!r} to move to")
    if host.settings.zone not in zones:
        raise RecordInvalid(f"pool {record.to_pool!r} does not span the host's zone")
    peers = state.hosts_of(host.pool, host.settings.zone)
    if len(peers) <= 1:
        message = f"the last host of pool {host.pool!r} in its zone has to stay"
        raise RecordInvalid(message)
    return _returned_to_service(replace(host, pool=record.to_pool))


def _fail(state, host, record):
    _check_phase(
        host,
        HostPhase.ACTIVE,
        HostPhase.DRAINING,
        HostPhase.DRAINED,
        HostPhase.REBOOTING,
    )
    return replace(host, phase=HostPhase.FAILED, reason=record.reason)


def _returned_to_service(host):
    return replace(
        host, phase=HostPhase.ACTIVE, acknowledged=frozenset(), reason="", wave=""
    )


def _check_phase(host, *phases):
    if host.phase not in phases:
        wanted = " or ".join(phases)
        raise RecordInvalid(f"host {host.name!r} is {host.phase}, not {wanted}")


_ACTIONS = {
    HostAction.DRAIN: _drain,
    HostAction.ACKNOWLEDGE: _acknowledge,
    HostAction.UNDRAIN: _undrain,
    HostAction.REBOOT: _reboot,
    HostAction.RETURN: _return,
    HostAction.MOVE: _move,
    HostAction.FAIL: _fail,
}


def _audit_entry(record, offset, accepted, reason):
    return AuditEntry(
        offset=offset,
        at=record.at,
        author=record.author,
        action=_action_of(record),
        target=_target_of(record),
        from_version=_from_version(record),
        accepted=accepted,
        reason=reason,
        record_id=record.id,
    )


def _action_of(record):
    if isinstance(record, HostRecord):
        return record.action.value
    if isinstance(record, WaveRecord):
        return f"wave {record.action.value}"
    return "settings" if isinstance(record, SettingsRecord) else "snapshot"


def _target_of(record):
    if isinstance(record, HostRecord):
        return record.host
    if isinstance(record, WaveRecord):
        return record.wave
    return record.subtree if isinstance(record, SettingsRecord) else ""


def _from_version(record):
    if isinstance(record, HostRecord | WaveRecord):
        return record.version
    return record.base_version if isinstance(record, SettingsRecord) else 0
