"""Finds a job on a path, and the pools that have to learn of its cancellation.

Load pattern: the operator moves a path to another pool while this daemon can't follow,
since the store turns it away, one of its connections is silent, or it was suspended.
Callers then ask it about jobs that its peers have accepted for a pool to which the path
does not lead here. It may deny or promise something only on one of these grounds:

- the owner of a pool has the job; then no other pool of the path has it,
- this daemon has read the configuration, and the list of routes, recently enough,
- a peer that the store serves has done so on its behalf.
"""

import enum
from dataclasses import dataclass
from itertools import islice

import anyio

from basilwind.entry.peer_messages import PathPoolsResponse
from basilwind.errors import NotOwner, NotStarted
from basilwind.scheduling.jobs import JobStatus

OWNER_TIMEOUT_S = 0.3  # an owner answers in 2 ms, or in 24 ms between regions
MAX_PEERS = 2  # a third one would answer too late for most callers


class Grounds(enum.Enum):
    """Why the pools that get a cancellation are known to be all that matter."""

    OWNER = "owner"
    CONFIGURATION = "configuration"
    PEER = "peer"


@dataclass(frozen=True, slots=True)
class CancelTargets:
    """The pools that have to learn of a job's cancellation.

    Attributes:
        pools: Names of the pools.
        grounds: ``Grounds``.
        job: ``JobStatus`` that the owner of one of them has told, or None.
    """

    pools: frozenset[str]
    grounds: Grounds
    job: JobStatus | None


class JobLocator:
    """Finds the pools that have a job, or may have it.

    Args:
        services: ``Services``.
        peers: ``PeerClient``.
    """

    def __init__(self, services, peers):
        self._services = services
        self._peers = peers

    async def find(self, queue, job_id, must_confirm=True):
        """Returns the ``JobStatus`` of a job, or None if no pool has it.

        Args:
            queue: ``Queue`` of this daemon's configuration.
            job_id: Id of the job.
            must_confirm: Whether a caller will be told that an unknown job does not
                exist.

        Raises:
            NotOwner: The job was not found, but a pool without an owner may have it.
            NotStarted: The job was not found, but a pool may be unknown here.
        """
        job = await self._peers.job_state(queue.pool, job_id, must_confirm)
        if job is not None:
            return job
        pools, is_configuration_read = await self._path_pools_for_denial(queue)
        # A queue that had this path may have been renamed or left out since.
        configured = self._services.configuration.current.pools.keys()
        unanswered = None
        for pool in (pools | configured) - {queue.pool}:
            try:
                job = await self._peers.job_state(pool, job_id, must_confirm)
            except NotOwner as error:
                is_unknown_here = pool in pools and not is_configuration_read
                if is_unknown_here or self._services.arbiter.has_owner(pool):
                    unanswered = error
                continue
            if job is not None:
                return job
        if unanswered is not None:
            raise unanswered
        return None

    async def _path_pools_for_denial(self, queue):
        """Returns the pools of a path, and whether this daemon has read them itself."""
        now = self._services.clock()
        read = self._services.configuration.latest_read
        if read.denies_jobs(now):
            await self._services.routes.refresh(now)
            return path_pools(self._services, queue.path), True
        pools, grounds = await self._confirm_pools(queue.path, now)
        return pools, grounds is Grounds.CONFIGURATION

    async def cancel_targets(self, queue, job_id, asked_at):
        """Returns the ``CancelTargets`` of a job.

        A job that is accepted later, because its submission is still on its way, gets
        the cancellation from the pool that declines it.

        Args:
            queue: ``Queue`` of this daemon's configuration.
            job_id: Id of the job.
            asked_at: Boot time at which the caller's request arrived.

        Raises:
            NotStarted: A pool that has the job may be unknown here.
        """
        known = path_pools(self._services, queue.path)
        job = None
        configured = self._services.configuration.current.pools.keys()
        for group in ({queue.pool}, (known | configured) - {queue.pool}):
            found = await self._ask_owners(group, job_id)
            for pool, status in found.items():
                if status.path == queue.path:
                    return CancelTargets(frozenset({pool}), Grounds.OWNER, status)
            job = job or next((found[pool] for pool in found if pool in known), None)
        pools, grounds = await self._confirm_pools(queue.path, asked_at)
        return CancelTargets(frozenset(pools | {queue.pool}), grounds, job)

    async def _ask_owners(self, pools, job_id):
        """Returns the ``JobStatus`` of a job by pools that have it."""
        found = {}

        async def ask(pool):
            with anyio.move_on_after(OWNER_TIMEOUT_S):
                try:
                    status = await self._peers.job_state(pool, job_id)
                except NotOwner:
                    return
                if status is not None:
                    found[pool] = status

        async with anyio.create_task_group() as tasks:
            for pool in pools:
                tasks.start_soon(ask, pool)
        return found

    async def _confirm_pools(self, path, asked_at):
        """Returns all pools with jobs that a path got by a time, and the ``Grounds``.

        Raises:
            NotStarted: Neither this daemon nor a peer could read the configuration.
        """
        sources = [
            (self._read_pools, Grounds.CONFIGURATION),
            (self._ask_peers, Grounds.PEER),
        ]
        if self._services.store_monitor.is_suspected:
            sources.reverse()
        for source, grounds in sources:
            pools = await source(path, asked_at)
            if pools is not None:
                return pools, grounds
        raise NotStarted("the configuration may be out of date; try again")

    async def _read_pools(self, path, asked_at):
        try:
            return await read_path_pools(self._services, path, asked_at)
        except NotStarted:
            return None

    async def _ask_peers(self, path, asked_at):
        for claim in islice(self._services.outage.relays(), MAX_PEERS):
            answer = await self._peers.path_pools(claim, path)
            if answer is not None:
                return set(answer.pools)
        return None


def path_pools(services, path):
    """Returns the pools of a path as far as this daemon knows.

    Args:
        services: ``Services``.
        path: ``Queue.path``.
    """
    queues = services.configuration.current.queues.values()
    current = {queue.pool for queue in queues if queue.path == path}
    return current | services.routes.pools_of_path(path)


async def read_path_pools(services, path, asked_at):
    """Returns all pools with jobs that a path got by a time.

    Args:
        services: ``Services``.
        path: ``Queue.path``.
        asked_at: Boot time in seconds.

    Raises:
        NotStarted: The configuration or the list of routes could not be read.
    """
    configuration = services.configuration
    if not configuration.latest_read.leads_to_all_pools(asked_at):
        await configuration.confirm(asked_at)
    if not configuration.latest_read.leads_to_all_pools(asked_at):
        raise NotStarted("the configuration could not be read")
    await services.routes.refresh(asked_at)
    return path_pools(services, path)


async def path_pools_response(services, request):
    """Returns the ``PathPoolsResponse`` to a peer that the store does not serve.

    Raises:
        NotStarted: This daemon could not read the pools either.
    """
    path = request.host_header, request.path_prefix
    pools = await read_path_pools(services, path, services.clock())
    return PathPoolsResponse(sorted(pools))
