"""Makes this entry host's heartbeats and takes in those of others."""

from basilwind.membership.members import (
    CROSS_ZONE_HEARTBEAT_INTERVAL_S,
    HEARTBEAT_INTERVAL_S,
    Heartbeat,
)
from basilwind.membership.promises import MICROSECONDS

REPORT_AGE_S = 0.2


class HeartbeatExchange:
    """Connects ``Members`` and ``Promises`` with what heartbeats carry.

    Args:
        name: This entry host.
        zone: Its availability zone.
        incarnation: This process.
        members: ``Members``.
        promises: ``Promises``.
        report: Function from the present time to a ``LocalStatus``.
        may_miss_claims: Function that tells whether a claim may be unknown to a
            peer; see ``Ownership.may_miss_claims``.
    """

    def __init__(
        self, name, zone, incarnation, members, promises, report, may_miss_claims
    ):
        self._name = name
        self._zone = zone
        self._incarnation = incarnation
        self._members = members
        self._promises = promises
        self._report = report
        self._is_behind = may_miss_claims
        self._reported = None
        self._reported_at = 0.0

    def heartbeat_for(self, peer, now):
        """Returns the ``Heartbeat`` to send to a peer at ``now``."""
        report = self._recent_report(now)
        return Heartbeat(
            name=self._name,
            zone=self._zone,
            incarnation=self._incarnation,
            is_leaving=report.is_leaving,
            is_ready=report.is_ready,
            control_offset=report.control_offset,
            control_digest=report.control_digest,
            shards=report.shards,
            stamp=int(now * MICROSECONDS),
            echo=self._promises.stamp_of(peer),
            is_promising=self._may_promise(peer, now),
            journal_offset=report.journal_offset,
        )

    def _recent_report(self, now):
        if self._reported is None or now - self._reported_at > REPORT_AGE_S:
            self._reported, self._reported_at = self._report(now), now
        return self._reported

    def invalidate_status(self):
        """Makes the next heartbeat tell anew of this host."""
        self._reported = None

    def interval_s(self, zone):
        """Returns the interval of heartbeats to a zone's hosts, in seconds."""
        is_near = zone == self._zone
        return HEARTBEAT_INTERVAL_S if is_near else CROSS_ZONE_HEARTBEAT_INTERVAL_S

    def receive(self, heartbeat, now):
        """Takes in a peer's heartbeat that arrived at ``now``."""
        self._members.record(heartbeat, now)
        self._promises.receive(heartbeat)

    def _may_promise(self, peer, now):
        member = self._members.by_name.get(peer)
        if member is None or member.heartbeat.zone != self._zone:
            return False
        if self._is_behind(peer, member.heartbeat.journal_offset):
            return False
        return self._members.is_live(peer, now)
