"""Promises between a zone's entry hosts that extend leases during a log outage.

With each heartbeat to a live peer of its zone, an entry host promises not to use
a shard that it claims from now on until the length of a lease has passed. A host
makes no promise to a peer that may not have read the latest claims. A host that
holds such promises from all other entry hosts of the zone knows that no other
owner can be at work on its shards, so it keeps its leases without the log.
"""

import math

MICROSECONDS_PER_S = 1_000_000
PROMISE_MARGIN_S = 0.2


class Promises:
    """Promises received from the other entry hosts of the zone.

    Args:
        lease_s: Length of a promise, in seconds.
        get_zone_peers: Function that returns the names of the zone's other entry
            hosts, or None while they are unknown.
    """

    def __init__(self, lease_s, get_zone_peers):
        self._lease_s = lease_s
        self._get_zone_peers = get_zone_peers
        self._promised_until = {}
        self._latest_stamps = {}

    def latest_stamp(self, peer):
        """Returns the ``stamp`` of a peer's latest heartbeat; 0 if there was none."""
        return self._latest_stamps.get(peer, 0)

    def receive(self, heartbeat):
        """Records the stamp and the promise that a peer's heartbeat carries."""
        self._latest_stamps[heartbeat.name] = heartbeat.stamp
        if not heartbeat.is_promising or heartbeat.echo == 0:
            return
        # The echoed stamp was taken on this host's clock before the peer promised, so
        # no comparison of clocks is needed.
        until = heartbeat.echo / MICROSECONDS_PER_S + self._lease_s - PROMISE_MARGIN_S
        self._promised_until[heartbeat.name] = until

    def all_promised_until(self):
        """Returns the time until which the promises of all other hosts last.

        Returns:
            A time on the monotonic clock, in seconds; infinite for the only
            entry host of a zone; minus infinity if any promise is missing.
        """
        peers = self._get_zone_peers()
        if peers is None:
            return -math.inf
        return min(
            (self._promised_until.get(peer, -math.inf) for peer in peers),
            default=math.inf,
        )
