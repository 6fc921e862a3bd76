"""Builds this entry host's heartbeats and processes those of other hosts."""

from basilwind.membership.members import (
    CROSS_ZONE_HEARTBEAT_INTERVAL_S,
    HEARTBEAT_INTERVAL_S,
    Heartbeat,
)
from basilwind.membership.promises import MICROSECONDS_PER_S

STATUS_MAX_AGE_S = 0.2


class HeartbeatExchange:
    """Builds outgoing heartbeats and records incoming ones.

    Args:
        own_name: Name of this entry host.
        own_zone: Availability zone of this entry host.
        incarnation: Id of this process.
        members: ``Members``; records when each host was last heard from.
        promises: ``Promises``; records what each peer promises.
        build_status: Function from the current time to a ``LocalStatus``.
        may_miss_claims: Function that tells whether a peer may not have read the
            latest claims; see ``Ownership.may_miss_claims``.
    """

    def __init__(
        self,
        own_name,
        own_zone,
        incarnation,
        members,
        promises,
        build_status,
        may_miss_claims,
    ):
        self._own_name = own_name
        self._own_zone = own_zone
        self._incarnation = incarnation
        self._members = members
        self._promises = promises
        self._build_status = build_status
        self._may_miss_claims = may_miss_claims
        self._status = None
        self._status_built_at = 0.0

    def heartbeat_for(self, peer, now):
        """Returns the ``Heartbeat`` to send to a peer at ``now``."""
        status = self._current_status(now)
        return Heartbeat(
            name=self._own_name,
            zone=self._own_zone,
            incarnation=self._incarnation,
            is_leaving=status.is_leaving,
            is_ready=status.is_ready,
            control_offset=status.control_offset,
            control_digest=status.control_digest,
            shards=status.shards,
            stamp=int(now * MICROSECONDS_PER_S),
            echo=self._promises.latest_stamp(peer),
            is_promising=self._may_promise(peer, now),
            journal_offset=status.journal_offset,
        )

    def _current_status(self, now):
        if self._status is None or now - self._status_built_at > STATUS_MAX_AGE_S:
            self._status, self._status_built_at = self._build_status(now), now
        return self._status

    def invalidate_status(self):
        """Makes the next heartbeat rebuild the status of this host."""
        self._status = None

    def interval_s(self, zone):
        """Returns the interval between heartbeats to a zone's hosts, in seconds."""
        is_same_zone = zone == self._own_zone
        return HEARTBEAT_INTERVAL_S if is_same_zone else CROSS_ZONE_HEARTBEAT_INTERVAL_S

    def receive(self, heartbeat, now):
        """Records a peer's heartbeat that arrived at ``now``."""
        self._members.record(heartbeat, now)
        self._promises.receive(heartbeat)

    def _may_promise(self, peer, now):
        member = self._members.by_name.get(peer)
        if member is None or member.heartbeat.zone != self._own_zone:
            return False
        if self._may_miss_claims(peer, member.heartbeat.journal_offset):
            return False
        return self._members.is_live(peer, now)
