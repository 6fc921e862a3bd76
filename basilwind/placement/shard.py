"""One shard: a pool's queue and workers in one availability zone."""

import math

import anyio

from basilwind.models import Reason, refused
from basilwind.placement.ejection import Ejector
from basilwind.placement.estimates import ResourceEstimates, RunTimes
from basilwind.placement.retry import RetryBudget
from basilwind.placement.slots import SlotTable, could_ever_fit
from basilwind.placement.wait_queue import WaitQueue

MIN_RETRY_AFTER_S = 0.2
MAX_RETRY_AFTER_S = 10.0
EXPECTED_WAIT_MARGIN = 1.5


class Shard:
    """Admits requests, queues them and reserves slots on workers for them.

    Args:
        pool: Pool of the shard.
        zone: Its availability zone.
        clock: Monotonic clock, in seconds.
    """

    def __init__(self, pool, zone, clock):
        self.pool = pool
        self.zone = zone
        self._clock = clock
        self.ejector = Ejector()
        self.slots = SlotTable(self.ejector)
        self.queue = WaitQueue()
        self.run_times = RunTimes()
        self.resource_estimates = ResourceEstimates()
        self._retry_budgets = {}

    def retry_budget(self, team):
        """Returns a team's ``RetryBudget``."""
        return self._retry_budgets.setdefault(team, RetryBudget())

    def update_hosts(self, hosts, is_placeable):
        """Sets the hosts of the shard; see ``SlotTable.update``."""
        self.slots.update(hosts, is_placeable)
        self.grant()

    def update_team(self, team, settings):
        """Updates a team's quota and limits from its settings."""
        share = self.queue.share(team)
        share.weight = float(settings.quota_slots)
        share.limit_slots = settings.limit_slots
        share.max_waiting = settings.max_waiting

    def refusal(self, spec, deadline, now):
        """Decides whether a request is admitted.

        Args:
            spec: The request.
            deadline: Its deadline, on the monotonic clock in seconds.
            now: Current time on the monotonic clock, in seconds.

        Returns:
            The refusal as an ``Outcome``, or None if the request is admitted.
        """
        if now >= deadline:
            return refused(Reason.DEADLINE_EXCEEDED)
        workers = self.slots.workers.values()
        if workers and not self._could_ever_fit(spec.demand):
            return refused(Reason.NEVER_FITS)
        if self.queue.is_full(spec.team):
            return refused(Reason.QUEUE_FULL, self.retry_after_s(spec))
        expected_s = self._expected_wait_s(spec) * EXPECTED_WAIT_MARGIN
        if not spec.urgent and now + expected_s > deadline:
            return refused(Reason.EXPECTED_WAIT_TOO_LONG, self.retry_after_s(spec))
        return None

    def retry_after_s(self, spec):
        """Returns after how many seconds a refused request may be retried."""
        wait_s = self._expected_wait_s(spec)
        return min(max(wait_s, MIN_RETRY_AFTER_S), MAX_RETRY_AFTER_S)

    async def acquire(self, spec, deadline):
        """Waits until slots of a worker are reserved for a request.

        Args:
            spec: The request.
            deadline: Longest wait, on the monotonic clock in seconds.

        Returns:
            The ``Ticket``, granted or returned, or None if the deadline passed
            first.
        """
        demand = self.resource_estimates.demand_for(spec)
        ticket = self.queue.enqueue(spec, self._clock(), demand)
        self.grant()
        try:
            if ticket.reservation is None:
                with anyio.move_on_after(max(deadline - self._clock(), 0.0)):
                    await ticket.granted.wait()
        except BaseException:
            self._drop_ticket(ticket)
            raise
        if ticket.reservation is None and not ticket.is_returned:
            self._drop_ticket(ticket)
            return None
        return ticket

    def release(self, ticket):
        """Releases the reservation of a granted ticket."""
        self.slots.release(ticket.reservation)
        self.queue.release(ticket)
        self.grant()

    def grant(self):
        """Grants waiting tickets while workers have free resources."""
        now = self._clock()
        self.queue.grant(lambda demand: self.slots.reserve(demand, now), now)

    def record_result(self, worker, is_success, now):
        """Records whether a worker's task succeeded; see ``Ejector``."""
        names = [
            name
            for name, worker_slots in self.slots.workers.items()
            if worker_slots.is_placeable
        ]
        self.ejector.record_result(worker, is_success, names, now)

    def free_slots(self, now):
        """Returns the number of free slots; see ``SlotTable.free_slots``."""
        return self.slots.free_slots(now)

    def _drop_ticket(self, ticket):
        if ticket.reservation is not None:
            self.release(ticket)
        else:
            self.queue.withdraw(ticket)

    def _could_ever_fit(self, demand):
        return any(
            could_ever_fit(worker.settings, demand)
            for worker in self.slots.workers.values()
        )

    def _expected_wait_s(self, spec):
        slots = self.slots.total_slots()
        if slots == 0 and self.slots.workers:
            return math.ldexp(MIN_RETRY_AFTER_S, 2)
        return self.run_times.expected_wait_s(spec, self.queue.waiting, slots)
