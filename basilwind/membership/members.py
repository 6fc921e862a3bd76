"""Entry hosts known by their heartbeats."""

from dataclasses import dataclass, field

MISSED_HEARTBEAT_LIMIT = 4
HEARTBEAT_INTERVAL_S = 0.4
MEMBER_TIMEOUT_S = HEARTBEAT_INTERVAL_S * MISSED_HEARTBEAT_LIMIT
CROSS_ZONE_HEARTBEAT_INTERVAL_S = 2.0
CROSS_ZONE_MEMBER_TIMEOUT_S = 6.0


@dataclass(frozen=True, slots=True)
class ShardHint:
    """What an owner tells of a shard in its heartbeats.

    Attributes:
        pool: Pool of the shard.
        free_slots: Slots free now.
        waiting: Requests waiting now.
    """

    pool: str
    free_slots: int
    waiting: int


@dataclass(frozen=True, slots=True)
class Heartbeat:
    """A member's latest word of itself.

    Attributes:
        name: The entry host.
        zone: Its availability zone.
        incarnation: Its process.
        is_leaving: Whether it stops taking work.
        is_ready: Whether it has the state to place work.
        control_offset: Offset of its next control record.
        control_digest: Digest of its control state.
        shards: Shards it acts as owner of.
        stamp: The sender's monotonic clock when sent, in microseconds.
        echo: The latest stamp that the sender had from the receiver.
        is_promising: Whether the sender will not use a shard taken from the
            receiver for the length of a lease.
        journal_offset: Offset of the sender's next journal record.
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
    """An entry host as this one knows it.

    Attributes:
        heartbeat: Its latest heartbeat.
        heard_at: When that came, on the monotonic clock in seconds.
    """

    heartbeat: Heartbeat
    heard_at: float


@dataclass
class Members:
    """All entry hosts that have been heard of.

    Attributes:
        own_name: This entry host.
        own_zone: Its availability zone.
        by_name: Members by name, without this one.
    """

    own_name: str
    own_zone: str
    by_name: dict[str, Member] = field(default_factory=dict)

    def record(self, heartbeat, now):
        """Takes in a heartbeat that arrived at ``now``."""
        self.by_name[heartbeat.name] = Member(heartbeat, now)

    def is_live(self, name, now):
        """Whether an entry host has been heard of lately; true of this one."""
        if name == self.own_name:
            return True
        member = self.by_name.get(name)
        return member is not None and self._is_recent(member, now)

    def live(self, now):
        """Returns the latest heartbeat of each live member but this one."""
        return [
            member.heartbeat
            for member in self.by_name.values()
            if self._is_recent(member, now)
        ]

    def _is_recent(self, member, now):
        is_near = member.heartbeat.zone == self.own_zone
        timeout_s = MEMBER_TIMEOUT_S if is_near else CROSS_ZONE_MEMBER_TIMEOUT_S
        return now - member.heard_at < timeout_s

    def live_in_zone(self, zone, now):
        """Returns names of a zone's live members that take work."""
        return [
            heartbeat.name
            for heartbeat in self.live(now)
            if heartbeat.zone == zone
            and heartbeat.is_ready
            and not heartbeat.is_leaving
        ]

    def owner_of(self, pool, zone, now):
        """Returns the live member that acts as owner of a shard, or None."""
        for heartbeat in self.live(now):
            if heartbeat.zone == zone:
                if any(hint.pool == pool for hint in heartbeat.shards):
                    return heartbeat.name
        return None

    def hint_of(self, pool, zone, now):
        """Returns the ``ShardHint`` of a shard from its owner, or None."""
        for heartbeat in self.live(now):
            if heartbeat.zone == zone:
                for hint in heartbeat.shards:
                    if hint.pool == pool:
                        return hint
        return None


@dataclass(frozen=True, slots=True)
class LocalStatus:
    """What this entry host tells of itself.

    Attributes:
        is_leaving: Whether it stops taking work.
        is_ready: Whether it has the state to place work.
        control_offset: Offset of its next control record.
        control_digest: Digest of its control state.
        shards: Shards it acts as owner of.
        journal_offset: Offset of its next journal record.
    """

    is_leaving: bool
    is_ready: bool
    control_offset: int
    control_digest: str
    journal_offset: int
    shards: tuple[ShardHint, ...]
