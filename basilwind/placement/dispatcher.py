"""Dispatches requests and job queries to the services of this daemon's shards."""

from basilwind.models import Reason, refused
from basilwind.peers.messages import JobReply
from basilwind.placement.executions import ExecutionRegistry, ExecutionState
from basilwind.placement.jobs import JobService
from basilwind.placement.service import ShardService
from basilwind.placement.shard import Shard


class RequestDispatcher:
    """Holds a ``ShardService`` and a ``JobService`` for each of this zone's pools.

    Args:
        zone_context: ``ZoneContext`` of the zone.
    """

    def __init__(self, zone_context):
        self._zone_context = zone_context
        self._services = {}
        self._jobs = {}
        self.executions = ExecutionRegistry()

    @property
    def services(self):
        """``ShardService`` by pool, whether or not this daemon owns the shard."""
        return self._services

    def shard(self, pool):
        """Returns the ``Shard`` of a pool, or None."""
        service = self._services.get(pool)
        return service.shard if service is not None else None

    @property
    def unfinished_count(self):
        """How many requests and running jobs this daemon has not finished."""
        running = sum(jobs.running_count for jobs in self._jobs.values())
        in_flight = sum(service.unsettled_count for service in self._services.values())
        return len(self.executions) + running + in_flight

    def return_waiting_requests(self):
        """Returns all requests that wait for a worker, to be routed again."""
        for service in self._services.values():
            service.shard.queue.return_all()

    def add_pool(self, pool):
        """Starts serving a pool."""
        shard = Shard(pool, self._zone_context.name, self._zone_context.clock)
        service = ShardService(shard, self._zone_context)
        jobs = JobService(service, self._zone_context)
        self._services[pool] = service
        self._jobs[pool] = jobs
        self._zone_context.tasks.start_soon(jobs.run)

    async def run_execution(self, handoff, execution):
        """Runs a request, or accepts a job, whose execution is open here.

        Args:
            handoff: The ``Handoff``.
            execution: Its ``Execution``.

        Returns:
            The ``Outcome``, or None if the entry host that sent the request has
            recalled it.
        """
        outcome = refused(Reason.NO_OWNER)
        try:
            outcome = await self._run(handoff, execution)
        finally:
            is_recalled = execution.state is ExecutionState.RECALLED
            self.executions.finish(execution, outcome, self._zone_context.clock())
        return None if is_recalled and not execution.is_cancelled else outcome

    async def answer_job_query(self, query):
        """Returns the ``JobReply`` to a query about jobs of this host's shards."""
        if query.label:
            cancelled = 0
            for jobs in self._jobs.values():
                cancelled += await jobs.cancel_label(query.team, query.label)
            return JobReply(True, "cancelling", cancelled=cancelled)
        jobs = self._jobs.get(query.job_id.partition("~")[0])
        if jobs is None:
            return JobReply(found=False)
        if query.cancel:
            return await jobs.cancel(query.job_id, query.team)
        return jobs.reply(query.job_id, query.team)

    async def _run(self, handoff, execution):
        spec = handoff.spec
        deadline = self._zone_context.clock() + handoff.remaining_s
        service = self._services.get(spec.pool)
        if service is None:
            return refused(Reason.NO_OWNER)
        if handoff.is_job:
            jobs = self._jobs[spec.pool]
            return await jobs.accept(spec, handoff.job_id, deadline)
        return await service.serve(spec, deadline, execution)
