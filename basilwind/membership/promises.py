"""Promises between a zone's entry hosts that keep leases while the log is out.

By each heartbeat an entry host promises a live peer of its zone not to use a
shard claimed from now on for the length of a lease. It promises nothing to a
peer that may not know of the latest claims. A peer that holds such promises of
all others knows that no other owner can be at work.
"""

import math

MICROSECONDS = 1_000_000
PROMISE_MARGIN_S = 0.2


class Promises:
    """Promises received from the other entry hosts of one zone.

    Args:
        lease_s: Length of a promise, in seconds.
        zone_peers: Function that returns the names of the zone's other entry
            hosts, or None while they are not known.
    """

    def __init__(self, lease_s, zone_peers):
        self._lease_s = lease_s
        self._zone_peers = zone_peers
        self._received = {}
        self._stamps = {}

    def stamp_of(self, peer):
        """Returns the latest stamp that came from a peer."""
        return self._stamps.get(peer, 0)

    def receive(self, heartbeat):
        """Takes in a peer's heartbeat."""
        self._stamps[heartbeat.name] = heartbeat.stamp
        if not heartbeat.is_promising or heartbeat.echo == 0:
            return
        until = heartbeat.echo / MICROSECONDS + self._lease_s - PROMISE_MARGIN_S
        self._received[heartbeat.name] = until

    def unanimous_until(self):
        """Returns until when all other entry hosts of the zone have promised.

        Returns:
            A time on the monotonic clock, in seconds; infinite for the only
            entry host of a zone; minus infinity without all promises.
        """
        peers = self._zone_peers()
        if peers is None:
            return -math.inf
        return min(
            (self._received.get(peer, -math.inf) for peer in peers), default=math.inf
        )
