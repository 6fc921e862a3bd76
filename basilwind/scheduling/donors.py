"""Which hosts a pool can give up to another one, and in which order.

Load pattern: while a burst hits one pool, the others keep hosts that wait for their own
burst. Whoever waits now goes first: spare hosts are taken, then idle ones, then those
that are kept idle for later bursts, and at last those that run late work.
"""

from dataclasses import dataclass

IDLE_RELEASE_S = 0.8  # hosts are briefly idle between two steps of a job
MIN_HOSTS = 2  # kept in every pool


@dataclass(frozen=True, slots=True)
class Move:
    """A host to be moved between pools.

    Attributes:
        worker_id: Worker on the host; empty for any spare host.
        source: Pool that the host leaves.
        target: Pool that the host joins.
    """

    worker_id: str
    source: str
    target: str


def share_hosts(needs, hosts):
    """Distributes hosts among pools in proportion to their needs.

    Args:
        needs: Number of hosts needed, by pool.
        hosts: Number of hosts available.

    Returns:
        Number of hosts by pool; equal to ``needs`` if there are enough hosts.
    """
    total = sum(needs.values())
    if total <= hosts or not total:
        return dict(needs)
    shares = {pool: need * hosts // total for pool, need in needs.items()}
    left = hosts - sum(shares.values())
    for pool in sorted(needs, key=lambda pool: shares[pool] - needs[pool])[:left]:
        shares[pool] += 1
    return shares


class DonorHosts:
    """Hosts that pools can give up: spare, idle, reserved and busy ones, in this order.

    Reserved hosts are idle ones that a pool keeps for its next burst.
    """

    def __init__(self, spare_pool, spare):
        self._spare_pool = spare_pool
        self._spare = spare
        self._idle = []
        self._reserved = []
        self._busy = []

    def add(self, report, keep_urgent, keep, floor, idle_since):
        """Adds the hosts that a pool can give up.

        Args:
            report: ``PoolReport``.
            keep_urgent: Number of hosts that its urgent work needs.
            keep: Number of hosts that all its work needs.
            floor: Number of hosts that it keeps for its next burst.
            idle_since: Boot time since which a worker has had no tasks, by worker id.
        """
        count = len(report.workers)
        idle = sorted((since, worker_id) for worker_id, since in idle_since.items())
        free = max(0, count - max(keep, floor))
        available = max(free, count - max(keep, MIN_HOSTS))
        self._reserved += [(report.pool, host[1]) for host in idle[free:available]]
        idle = idle[:free]
        self._idle += [(report.pool, worker_id, since) for since, worker_id in idle]
        taken = {worker_id for _, worker_id in idle}
        busy = sorted(
            (not load.is_withheld, load.tasks, load.worker_id)
            for load in report.workers
            if not load.long_running and load.worker_id not in taken
        )
        busy = busy[: max(0, count - max(keep_urgent, floor) - len(idle))]
        self._busy += [(report.pool, worker_id) for _, _, worker_id in busy]

    def take(self, pool, wanted, may_interrupt):
        """Returns up to ``wanted`` moves to a pool.

        Args:
            pool: Pool that needs hosts.
            wanted: Number of hosts that it needs.
            may_interrupt: Whether reserved hosts and those that run late work may be
                taken.
        """
        moves = []
        while len(moves) < wanted:
            if self._spare > 0:
                self._spare -= 1
                moves.append(Move("", self._spare_pool, pool))
                continue
            host = self._pop(self._idle, pool)
            if host is None and may_interrupt:
                host = self._pop(self._reserved, pool) or self._pop(self._busy, pool)
            if host is None:
                break
            moves.append(Move(host[1], host[0], pool))
        return moves

    def _pop(self, hosts, pool):
        """Removes and returns the first host of another pool, or returns None."""
        for index, host in enumerate(hosts):
            if host[0] != pool:
                return hosts.pop(index)
        return None

    def release_idle(self, now):
        """Returns moves to the spare pool for hosts that have been idle long enough."""
        return [
            Move(worker_id, pool, self._spare_pool)
            for pool, worker_id, since in self._idle
            if now - since >= IDLE_RELEASE_S
        ]
