"""Connections from this entry host to all others."""

import anyio

from basilwind.peers.link import PeerLink


class Mesh:
    """Keeps a ``PeerLink`` to each peer in the settings.

    Args:
        own_name: Name of this entry host.
        heartbeat_exchange: ``HeartbeatExchange`` that creates and receives heartbeats.
        clock: Monotonic clock, in seconds.
    """

    def __init__(self, own_name, heartbeat_exchange, clock):
        self._own_name = own_name
        self._heartbeat_exchange = heartbeat_exchange
        self._clock = clock
        self._links = {}

    @property
    def links(self):
        """``PeerLink`` objects by name of the peer."""
        return self._links

    def link(self, name):
        """Returns the ``PeerLink`` to a peer, or None if the peer is not known."""
        return self._links.get(name)

    async def run(self, peers):
        """Keeps connections to the peers until cancelled.

        Args:
            peers: ``PeerSettings`` of all entry hosts; this one is skipped.
        """
        async with anyio.create_task_group() as tasks:
            for peer in peers:
                if peer.name == self._own_name:
                    continue
                interval_s = self._heartbeat_exchange.interval_s(peer.zone)
                link = PeerLink(peer, self._heartbeat_to(peer.name), interval_s)
                self._links[peer.name] = link
                tasks.start_soon(link.run)

    def _heartbeat_to(self, name):
        return lambda: self._heartbeat_exchange.heartbeat_for(name, self._clock())
