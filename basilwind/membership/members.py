"""The entry hosts that this one has received heartbeats from."""

from dataclasses import dataclass, field

MISSED_HEARTBEAT_LIMIT = 4
HEARTBEAT_INTERVAL_S = 0.4
MEMBER_TIMEOUT_S = HEARTBEAT_INTERVAL_S * MISSED_HEARTBEAT_LIMIT
CROSS_ZONE_HEARTBEAT_INTERVAL_S = 2.0
CROSS_ZONE_MEMBER_TIMEOUT_S = 6.0


@dataclass(frozen=True, slots=True)
class ShardHint:
    """Load of a shard, as its owner reports it in heartbeats.

    Attributes:
        pool: Pool of the shard.
        free_slots: How many slots were free when the heartbeat was built.
        waiting: How many requests were waiting then.
    """

    pool: str
    free_slots: int
    waiting: int


@dataclass(frozen=True, slots=True)
class Heartbeat:
    """The state that an entry host sends to its peers at regular intervals.

    Attributes:
        name: Name of the sender.
        zone: Availability zone of the sender.
        incarnation: Id of the sender's process; a restart changes it.
        is_leaving: Whether the sender is shutting down and takes no new work.
        is_ready: Whether the sender has the state that it needs to place work.
        control_offset: Offset of the next control record that the sender applies.
        control_digest: Digest of the sender's control state.
        shards: Shards that the sender serves as their owner.
        stamp: The sender's monotonic clock at sending, in microseconds.
        echo: The latest ``stamp`` that the sender received from the receiver; 0 if
            none.
        is_promising: Whether the sender promises not to use a shard that it claims
            from the receiver for the length of a lease; see ``Promises``.
        journal_offset: Offset of the next journal record that the sender applies.
    """

    name: str
    zone: str
    incarnation: str
    is_leaving: bool = False
    is_ready: bool = False
    control_offset: int = 0
    control_digest: str = ""
    shards: tuple[ShardHint, ...] = ()
    stamp: int = 0
    echo: int = 0
    is_promising: bool = False
    journal_offset: int = 0


@dataclass
class Member:
    """Another entry host and its latest heartbeat.

    Attributes:
        heartbeat: Its latest heartbeat.
        received_at: When that heartbeat arrived, on the monotonic clock in seconds.
    """

    heartbeat: Heartbeat
    received_at: float


@dataclass
class Members:
    """The latest heartbeat of every other entry host, of all zones.

    Attributes:
        own_name: Name of this entry host.
        own_zone: Availability zone of this entry host.
        by_name: Members by name, without this entry host.
    """

    own_name: str
    own_zone: str
    by_name: dict[str, Member] = field(default_factory=dict)

    def record(self, heartbeat, now):
        """Stores a heartbeat that arrived at ``now`` in place of the previous one."""
        self.by_name[heartbeat.name] = Member(heartbeat, now)

    def is_live(self, name, now):
        """Whether a host's latest heartbeat is recent; always true for this host."""
        if name == self.own_name:
            return True
        member = self.by_name.get(name)
        return member is not None and self._is_recent(member, now)

    def live(self, now):
        """Returns the latest heartbeat of every live member except this host."""
        return [
            member.heartbeat
            for member in self.by_name.values()
            if self._is_recent(member, now)
        ]

    def _is_recent(self, member, now):
        is_same_zone = member.heartbeat.zone == self.own_zone
        timeout_s = MEMBER_TIMEOUT_S if is_same_zone else CROSS_ZONE_MEMBER_TIMEOUT_S
        return now - member.received_at < timeout_s

    def live_in_zone(self, zone, now):
        """Returns the names of a zone's live members that accept work."""
        return [
            heartbeat.name
            for heartbeat in self.live(now)
            if heartbeat.zone == zone
            and heartbeat.is_ready
            and not heartbeat.is_leaving
        ]

    def owner_of(self, pool, zone, now):
        """Returns the name of the live member that serves a shard, or None."""
        for heartbeat in self.live(now):
            if heartbeat.zone == zone:
                if any(hint.pool == pool for hint in heartbeat.shards):
                    return heartbeat.name
        return None

    def hint_of(self, pool, zone, now):
        """Returns the ``ShardHint`` from the live owner of a shard, or None."""
        for heartbeat in self.live(now):
            if heartbeat.zone == zone:
                for hint in heartbeat.shards:
                    if hint.pool == pool:
                        return hint
        return None


@dataclass(frozen=True, slots=True)
class LocalStatus:
    """The part of a heartbeat that is the same for every receiver.

    Attributes:
        is_leaving: Whether this host is shutting down and takes no new work.
        is_ready: Whether this host has the state that it needs to place work.
        control_offset: Offset of the next control record to apply.
        control_digest: Digest of the control state.
        journal_offset: Offset of the next journal record to apply.
        shards: Shards that this host serves as their owner.
    """

    is_leaving: bool
    is_ready: bool
    control_offset: int
    control_digest: str
    journal_offset: int
    shards: tuple[ShardHint, ...]
