"""The status of a daemon, as shown to operators."""

import resource

import msgspec


class ShardStatus(msgspec.Struct):
    """Status of one shard.

    Attributes:
        pool: Pool of the shard.
        acts: Whether this daemon acts as the shard's owner.
        owner: Owner according to the journal; empty if released.
        epoch: Epoch of the ownership.
        free_slots: Free slots, as known to this daemon.
        total_slots: Slots of all workers that take work.
        waiting: Requests waiting.
        ejected: Workers that are ejected because their tasks fail.
    """

    pool: str
    acts: bool
    owner: str
    epoch: int
    free_slots: int
    total_slots: int
    waiting: int
    ejected: list[str]


class PeerStatus(msgspec.Struct):
    """Status of one peer.

    Attributes:
        name: Name of the entry host.
        zone: Its availability zone.
        is_live: Whether its heartbeats have arrived lately.
        control_offset: Offset of its next control record.
        has_same_state: Whether its control state is the same; true while its
            offset differs, since states cannot be compared then.
    """

    name: str
    zone: str
    is_live: bool
    control_offset: int
    has_same_state: bool


class HostStatus(msgspec.Struct):
    """Status of one host.

    Attributes:
        name: Name of the host.
        zone: Its availability zone.
        pool: Its pool.
        phase: Its phase.
        version: Offset of the control record that last changed it.
        acknowledged: Entry hosts that have acknowledged its drain.
    """

    name: str
    zone: str
    pool: str
    phase: str
    version: int
    acknowledged: list[str]


class DaemonStatus(msgspec.Struct):
    """Status of one daemon.

    Attributes:
        name: Name of the entry host.
        zone: Its availability zone.
        ready: Why it accepts no requests; empty if it does.
        control_offset: Offset of its next control record.
        control_digest: Digest of its control state.
        versions: Version of each settings subtree.
        log_available: Whether the latest read of the control stream succeeded.
        journal_offset: Offset of the next journal record.
        journal_pending: Entries that wait to be written to the log.
        journal_appends: Number of appends to the journal.
        control_bytes_sent: Bytes sent to peers since the start.
        control_bytes_received: Bytes received from peers since the start.
        cpu_s: Processor time used, in seconds.
        resident_kb: Peak resident set size, in KB.
        uptime_s: Time since the daemon started, in seconds.
        shards: ``ShardStatus`` of the zone's shards.
        peers: ``PeerStatus`` of known peers.
        hosts: ``HostStatus`` of the fleet's hosts.
    """

    name: str
    zone: str
    ready: str
    control_offset: int
    control_digest: str
    versions: dict[str, int]
    log_available: bool
    journal_offset: int
    journal_pending: int
    journal_appends: int
    control_bytes_sent: int
    control_bytes_received: int
    cpu_s: float
    resident_kb: int
    uptime_s: float
    shards: list[ShardStatus]
    peers: list[PeerStatus]
    hosts: list[HostStatus]


def make_status(daemon, now):
    """Returns the ``DaemonStatus`` of a daemon.

    Args:
        daemon: The ``Daemon``.
        now: Current time on the monotonic clock, in seconds.
    """
    usage = resource.getrusage(resource.RUSAGE_SELF)
    links = daemon.mesh.links.values()
    control = daemon.control
    return DaemonStatus(
        name=daemon.name,
        zone=daemon.zone,
        ready=daemon.not_ready_reason(),
        control_offset=control.next_offset,
        control_digest=control.state.digest,
        versions=dict(control.state.versions),
        log_available=control.follower.is_available,
        journal_offset=daemon.journal.next_offset,
        journal_pending=daemon.journal.pending,
        journal_appends=daemon.journal.appends,
        control_bytes_sent=sum(link.bytes_sent for link in links)
        + daemon.peer_server.bytes_sent,
        control_bytes_received=sum(link.bytes_received for link in links)
        + daemon.peer_server.bytes_received,
        cpu_s=usage.ru_utime + usage.ru_stime,
        resident_kb=usage.ru_maxrss,
        uptime_s=now - daemon.started_at,
        shards=[_shard(daemon, pool, now) for pool in daemon.dispatcher.services],
        peers=[_peer(daemon, name, now) for name in sorted(daemon.members.by_name)],
        hosts=[_host(host) for host in control.state.hosts.values()],
    )


def _shard(daemon, pool, now):
    shard = daemon.dispatcher.shard(pool)
    owner = daemon.journal.state.ownership(pool)
    return ShardStatus(
        pool=pool,
        acts=daemon.ownership.acts_for(pool, now),
        owner="" if owner.is_released else owner.holder,
        epoch=owner.epoch,
        free_slots=shard.free_slots(now),
        total_slots=shard.slots.total_slots(),
        waiting=shard.queue.waiting,
        ejected=shard.ejector.ejected(now),
    )


def _peer(daemon, name, now):
    heartbeat = daemon.members.by_name[name].heartbeat
    control = daemon.control
    is_comparable = heartbeat.control_offset == control.next_offset
    return PeerStatus(
        name=name,
        zone=heartbeat.zone,
        is_live=daemon.members.is_live(name, now),
        control_offset=heartbeat.control_offset,
        has_same_state=not is_comparable
        or heartbeat.control_digest == control.state.digest,
    )


def _host(host):
    return HostStatus(
        name=host.name,
        zone=host.settings.zone,
        pool=host.pool,
        phase=host.phase.value,
        version=host.version,
        acknowledged=sorted(host.acknowledged),
    )
