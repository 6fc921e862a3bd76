"""Replays loads of customers on a pool's state, with admission and retries."""

import heapq
from dataclasses import dataclass, field

from basilwind.scheduling.admission import retry_after_s
from basilwind.scheduling.fleet import Customer, Resources
from basilwind.scheduling.reports import EndKind
from tests.scheduling.model import PoolModel, make_job

STEP_S = 0.1
RUN_S = 1.0  # run time of every task


@dataclass
class Offer:
    """A job that a caller offers until it is accepted."""

    customer: str
    spec: object
    offered_at: float
    refusals: list = field(default_factory=list)
    accepted_at: float | None = None
    started_at: float | None = None


class LoadReplay:
    """A pool of workers with 8 cores each, whose customers send jobs.

    Args:
        fail: Called with a message if an invariant of the model is violated.
        weights: Weight of each customer.
        workers: Number of workers.
        maximum_cpu: CPU limit of each customer by name, millicores.

    Attributes:
        model: ``PoolModel``.
        offers: ``Offer`` by job id.
    """

    def __init__(self, fail, weights, workers=2, maximum_cpu=()):
        limits = dict(maximum_cpu)
        customers = {
            name: Customer(name, weight, Resources(limits.get(name, 0)))
            for name, weight in weights.items()
        }
        self.model = PoolModel(fail, workers=workers, find_customer=customers.get)
        self.model.hold()
        self.offers = {}
        self._due = dict.fromkeys(weights, 0.0)
        self._retries = []

    def play(
        self,
        seconds,
        rates,
        make_spec=lambda number: make_job(count=1, cpu=2000, memory=100),
        retries=False,
        on_step=lambda second: None,
    ):
        """Plays a load.

        Args:
            seconds: Length of the load.
            rates: Jobs per second of each customer, numbers or functions of the second.
            make_spec: Returns the spec of the job with a number.
            retries: Whether refused callers return when they are told to.
            on_step: Called with the second before each step of 0.1 s.
        """
        begin = self.model.now
        while self.model.now < begin + seconds:
            second = self.model.now - begin
            on_step(second)
            for name, rate in rates.items():
                rate = rate(second) if callable(rate) else rate
                self._due[name] += rate * STEP_S
                while self._due[name] >= 1.0:
                    self._due[name] -= 1.0
                    job_id = f"{len(self.offers):016x}"
                    spec = make_spec(len(self.offers))
                    self.offers[job_id] = Offer(name, spec, self.model.now)
                    self._offer(job_id, retries)
            while self._retries and self._retries[0][0] <= self.model.now:
                self._offer(heapq.heappop(self._retries)[1], retries)
            self._step()

    def of(self, *customers):
        """Returns the offers of some customers."""
        return [offer for offer in self.offers.values() if offer.customer in customers]

    def _offer(self, job_id, retries):
        offer, now = self.offers[job_id], self.model.now
        admission = self.model.state.admit("q", offer.customer, now, now)
        if not admission.reason:
            offer.accepted_at = now
            self.model.submit(job_id, offer.spec, offer.customer)
            return
        offer.refusals.append(admission.reason)
        if retries:
            wait_s = retry_after_s(job_id, admission.refuse_for_s)
            heapq.heappush(self._retries, (now + wait_s, job_id))

    def _step(self):
        self.model.schedule()
        for job_id, job in self.model.state.jobs.items():
            offer = self.offers[job_id]
            if job.has_started and offer.started_at is None:
                offer.started_at = self.model.now
        self.model.advance(STEP_S)
        for task in self.model.all_tasks():
            worker = self.model.workers.get(task.worker_id)
            if task.confirmed_at is not None and worker and worker.is_reachable:
                is_over = self.model.now - task.confirmed_at >= RUN_S - 0.01
                if is_over and task.name in worker.runs:
                    worker.end(task.name, EndKind.DONE)
        self.model.hold()


def started_share(offers):
    """Returns the share of offered jobs that were started."""
    return sum(offer.started_at is not None for offer in offers) / len(offers)
