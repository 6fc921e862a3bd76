"""Decides which of a path's pools gets a job.

Daemons with different configurations may accept the same job at the same time, and the
first attempt of a caller may be stored long after a later one. A daemon therefore has
the owners of all other pools of the path decline a job before it stores the job for the
pool of its own configuration. Each version of the configuration leads to one pool, and
a pool accepts a declined job again only by a later version, so just one pool gets it.
"""

import anyio

from basilwind.errors import NotOwner

OWNER_RETRY_S = 0.1  # a pool gets a new owner within seconds


class PoolArbiter:
    """Has pools decline jobs that another pool is to get.

    Args:
        routes: ``RouteHistory``.
        configuration: ``ConfigurationWatcher``.
        decline: Coroutine function that has a pool's owner decline a job; see
            ``PeerClient.decline``.
        clock: Returns boot time.
    """

    def __init__(self, routes, configuration, decline, clock):
        self._routes = routes
        self._configuration = configuration
        self._decline = decline
        self._clock = clock

    def has_owner(self, pool):
        """Returns whether the configuration has a pool whose jobs some daemon owns."""
        known = self._configuration.current.pools.get(pool)
        return known is not None and not known.is_spare

    async def is_in_other_pool(self, queue, target, job_id, version, deadline):
        """Returns whether another pool of a queue's path has a job.

        If not, none of them accepts it any more, except by a later configuration.

        Args:
            queue: ``Queue``.
            target: Name of the pool that is to get the job.
            job_id: Id of the job.
            version: Version of the configuration by which the path leads there.
            deadline: Boot time until which owners are waited for.

        Raises:
            NotOwner: A pool's owner did not answer in time.
            NotStarted: The pools of the path could not be read.
        """
        await self._routes.refresh(self._clock())
        for pool in self._routes.pools(queue) - {target}:
            if await self._is_in_pool(pool, target, job_id, version, deadline):
                return True
        return False

    async def _is_in_pool(self, pool, target, job_id, version, deadline):
        while True:
            try:
                return await self._decline(pool, job_id, version, target) is not None
            except NotOwner:
                if not self.has_owner(pool):
                    # It gets no owner any more who could start the job.
                    return False
                if self._clock() + OWNER_RETRY_S > deadline:
                    raise
            await anyio.sleep(OWNER_RETRY_S)
