"""Snapshots of the control state, for the log and for peers."""

import uuid

import msgspec

from basilwind.checked_json import decode_json
from basilwind.control.records import SnapshotRecord
from basilwind.control.state import ControlState, HostPhase, HostState, WaveState
from basilwind.errors import RecordInvalid
from basilwind.settings.generated.fleet import FleetSettings
from basilwind.settings.generated.team import TeamSettings
from basilwind.settings.tree import SettingsTree

MAX_PART_CHARS = 128 * 1024


class _HostSnapshot(msgspec.Struct, array_like=True):
    name: str
    pool: str
    phase: HostPhase
    version: int
    acknowledged: list[str]
    reason: str
    wave: str


class _Snapshot(msgspec.Struct, array_like=True):
    next_offset: int
    digest: str
    fleet: FleetSettings | None
    teams: dict[str, TeamSettings]
    versions: dict[str, int]
    hosts: list[_HostSnapshot]
    queue_pools: dict[str, str]
    pool_zones: dict[str, list[str]]
    recent_ids: list[str]
    waves: list[WaveState]


def encode_state(state):
    """Returns a control state encoded as text, without its audit trail."""
    snapshot = _Snapshot(
        next_offset=state.next_offset,
        digest=state.digest,
        fleet=state.tree.fleet,
        teams=state.tree.teams,
        versions=state.versions,
        hosts=[
            _HostSnapshot(
                host.name,
                host.pool,
                host.phase,
                host.version,
                sorted(host.acknowledged),
                host.reason,
                host.wave,
            )
            for host in state.hosts.values()
        ],
        queue_pools=state.queue_pools,
        pool_zones={name: list(zones) for name, zones in state.pool_zones.items()},
        recent_ids=list(state.recent_ids),
        waves=list(state.waves.values()),
    )
    return msgspec.json.encode(snapshot).decode()


def decode_state(text):
    """Returns the ``ControlState`` that a text encodes.

    Raises:
        RecordInvalid: The text is not a snapshot, or its settings do not declare all
            of its hosts.
    """
    snapshot = decode_json(text, _Snapshot, "snapshot", RecordInvalid)
    state = ControlState(
        next_offset=snapshot.next_offset,
        digest=snapshot.digest,
        tree=SettingsTree(snapshot.fleet, snapshot.teams),
        versions=snapshot.versions,
        queue_pools=snapshot.queue_pools,
        pool_zones={n: tuple(zones) for n, zones in snapshot.pool_zones.items()},
        recent_ids=dict.fromkeys(snapshot.recent_ids),
    )
    state.put_hosts(_decode_hosts(snapshot))
    state.waves = {wave.name: wave for wave in snapshot.waves}
    return state


def _decode_hosts(snapshot):
    declared = {host.name: host for host in snapshot.fleet.hosts if snapshot.fleet}
    hosts = {}
    for host in snapshot.hosts:
        if host.name not in declared:
            raise RecordInvalid(
                f"snapshot has a host {host.name!r} that its settings do not declare"
            )
        hosts[host.name] = HostState(
            settings=declared[host.name],
            pool=host.pool,
            phase=host.phase,
            version=host.version,
            acknowledged=frozenset(host.acknowledged),
            reason=host.reason,
            wave=host.wave,
        )
    return hosts


def make_snapshot_records(state, author, at):
    """Returns the list of ``SnapshotRecord`` that encodes a control state.

    Args:
        state: The ``ControlState``.
        author: Name of the daemon that publishes the records.
        at: Current time, in seconds since the Unix epoch.
    """
    text = encode_state(state)
    parts = [text[i : i + MAX_PART_CHARS] for i in range(0, len(text), MAX_PART_CHARS)]
    return [
        SnapshotRecord(
            id=uuid.uuid4().hex,
            author=author,
            at=at,
            offset=state.next_offset,
            digest=state.digest,
            part=index,
            parts=len(parts),
            data=part,
        )
        for index, part in enumerate(parts)
    ]


class SnapshotAssembler:
    """Collects the parts of snapshots until one snapshot is complete."""

    def __init__(self):
        self._parts = {}

    def add(self, record):
        """Adds a part.

        Args:
            record: ``SnapshotRecord``.

        Returns:
            The ``ControlState``, once all parts from one author have been added;
            None until then.

        Raises:
            RecordInvalid: The complete snapshot does not parse, or its contents
                contradict its own offset or digest.
        """
        key = (record.author, record.offset, record.digest, record.parts)
        parts = self._parts.setdefault(key, {})
        parts[record.part] = record.data
        if len(parts) < record.parts:
            return None
        del self._parts[key]
        state = decode_state("".join(parts[index] for index in range(record.parts)))
        if (state.next_offset, state.digest) != (record.offset, record.digest):
            raise RecordInvalid("snapshot contents do not match its offset and digest")
        return state
