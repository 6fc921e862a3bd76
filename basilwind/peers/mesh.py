"""Links to all other entry hosts."""

import anyio

from basilwind.peers.link import PeerLink


class Mesh:
    """Keeps one ``PeerLink`` to each peer that the settings name.

    Args:
        own_name: This entry host.
        membership: ``HeartbeatExchange`` that makes and takes in heartbeats.
        clock: Monotonic clock, in seconds.
    """

    def __init__(self, own_name, membership, clock):
        self._own_name = own_name
        self._membership = membership
        self._clock = clock
        self._links = {}

    @property
    def links(self):
        """Links by the name of the peer."""
        return self._links

    def link(self, name):
        """Returns the link to a peer, or None if it is not known."""
        return self._links.get(name)

    async def run(self, peers):
        """Keeps the links until cancelled.

        Args:
            peers: ``PeerSettings`` of the peers.
        """
        async with anyio.create_task_group() as tasks:
            for peer in peers:
                if peer.name == self._own_name:
                    continue
                interval_s = self._membership.interval_s(peer.zone)
                link = PeerLink(peer, self._heartbeat_to(peer.name), interval_s)
                self._links[peer.name] = link
                tasks.start_soon(link.run)

    def _heartbeat_to(self, name):
        return lambda: self._membership.heartbeat_for(name, self._clock())
