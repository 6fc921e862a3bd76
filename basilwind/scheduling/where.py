"""Tells where a new job would go, and why.

The decisions are those of a scheduling round, tried on a ``PoolSnapshot``. Each
function of ``REASONS`` tells about one of them.
"""

import copy
from collections import Counter
from dataclasses import dataclass, replace

import msgspec

from basilwind.scheduling.admission import (
    ACCEPTED,
    Admission,
    RefusalReason,
    accept_if_free,
    is_too_large,
    refuse_for_s,
    useful_s,
)
from basilwind.scheduling.eligibility import can_be_placed_later, may_run
from basilwind.scheduling.fleet import Configuration, Queue, Resources
from basilwind.scheduling.jobs import Job
from basilwind.scheduling.ordering import rank_step
from basilwind.scheduling.placement import (
    Shortage,
    choose_reserved_worker,
    is_gang_waiting,
    is_usable,
    place_step,
    score_worker,
)
from basilwind.scheduling.snapshot import PoolSnapshot

TRIAL_JOB_ID = "0" * 16
MAX_TASKS_TOLD = 20  # more of them don't help to understand the decision


class Reason(msgspec.Struct, frozen=True):
    """A row of the answer.

    Attributes:
        topic: The decision that it is about.
        text: What was decided, and why.
    """

    topic: str
    text: str


@dataclass(frozen=True, slots=True)
class QuotaUse:
    """Quota of a customer with a maximum in the pool.

    Attributes:
        used: ``Resources`` that may be running.
        grant: ``Resources`` that the pool was granted.
        maximum: ``Resources`` that all pools together may use.
        may_start: Whether the grant may be used now.
    """

    used: Resources
    grant: Resources
    maximum: Resources
    may_start: bool


@dataclass(frozen=True, slots=True)
class Trial:
    """A job that is tried and not submitted.

    Attributes:
        snapshot: ``PoolSnapshot``; placing reserves its workers.
        configuration: ``Configuration`` of the owner, or None.
        queue: ``Queue``.
        job: ``Job`` that no pool has.
        now: Boot time in seconds.
        wall_time: Unix time in seconds.
        quota: ``QuotaUse`` of the job's customer, or None if it has no maximum.
    """

    snapshot: PoolSnapshot
    configuration: Configuration | None
    queue: Queue
    job: Job
    now: float
    wall_time: float
    quota: QuotaUse | None = None

    def rank(self, steps):
        """Ranks steps of the job among those that wait in the pool.

        Returns:
            The ``Rank`` that each step would have, and the ``WaitingStep`` objects of
            the pool with the ranks that they would have, the most urgent first.
        """
        snapshot = self.snapshot
        # Start tags depend on which customers wait, and so on the job.
        ranked = [
            (replace(waiting.rank, start_tag=0.0), waiting.step)
            for waiting in snapshot.waiting
        ]
        for step in steps:
            rank = rank_step(
                step,
                self.queue,
                snapshot.run_times,
                self.wall_time,
                snapshot.is_overloaded,
            )
            ranked.append((rank, step))
        ranked = snapshot.customers.copy().add_start_tags(
            ranked, snapshot.task_work, snapshot.is_overloaded
        )
        ranks = {step: rank for rank, step in ranked}
        waiting = [replace(w, rank=ranks[w.step]) for w in snapshot.waiting]
        waiting.sort(key=lambda waiting: waiting.rank)
        return {step: ranks[step] for step in steps}, waiting

    def admit(self):
        """Returns the ``Admission`` of the job if customers have work in the pool."""
        snapshot, job = self.snapshot, self.job
        customers = snapshot.customers
        if not job.customer and not customers.has_work:
            wait_s = refuse_for_s(
                self.queue, snapshot.backlog, snapshot.cores, snapshot.run_times
            )
            return Admission(wait_s, RefusalReason.BACKLOG) if wait_s else ACCEPTED
        admission = customers.copy().admit(
            job.customer,
            snapshot.cores,
            useful_s(self.queue, snapshot.run_times),
            snapshot.is_overloaded,
            self.now,
        )
        return accept_if_free(admission, snapshot.reachable)


def explain_placement(trial):
    """Returns the ``Reason`` list of all ``REASONS``."""
    return [reason for explain in REASONS for reason in explain(trial)]


def _explain_queue(trial):
    yield Reason("queue", f"{trial.queue.name}, priority {trial.queue.priority}")
    yield Reason("pool", trial.snapshot.pool)


def _explain_customer(trial):
    customers = trial.configuration.customers if trial.configuration else None
    name = trial.job.customer
    if customers is None:
        text = "the configuration has no customers"
    elif trial.queue.is_public:
        text = "the queue is public, so its jobs belong to none"
    elif not name:
        text = "none was named; a call without a key is refused"
    elif name not in customers:
        text = f"{name!r} is not in the configuration; its calls are refused"
    else:
        text = f"{name}, weight {customers[name].weight:g}"
    yield Reason("customer", text)


def _explain_quota(trial):
    quota = trial.quota
    if quota is None:
        return
    if is_too_large(trial.job.spec, quota.maximum):
        yield Reason("quota", "refused: a task or gang is larger than the maximum")
    for name in ("cpu", "memory", "gpu"):
        maximum = getattr(quota.maximum, name)
        if maximum:
            used, grant = getattr(quota.used, name), getattr(quota.grant, name)
            text = f"{name}: {used} used of {grant} granted here, maximum {maximum}"
            yield Reason("quota", text)
    if not quota.may_start:
        text = "nothing starts: no grant by the maximum in force, or no fresh version"
        yield Reason("quota", text)


def _explain_admission(trial):
    snapshot = trial.snapshot
    admission = trial.admit()
    measured = f"backlog {snapshot.backlog:.1f} core-s, {snapshot.cores:.1f} cores"
    decision = "accept"
    if admission.reason is not None:
        reason, wait_s = admission.reason.value, admission.refuse_for_s
        decision = f"refuse for {wait_s:.1f} s, reason {reason}"
    yield Reason("admission", f"{decision}: {measured}")


def _explain_overload(trial):
    if trial.snapshot.is_overloaded:
        text = "yes: new jobs go newest first, those of several customers by share"
        yield Reason("overload", text)
    else:
        yield Reason("overload", "no")


def _explain_steps(trial):
    """Places the steps that are ahead of the job, and then its own."""
    spec = trial.job.spec
    if spec.is_timed and spec.first_due_s > trial.wall_time:
        due_in_s = spec.first_due_s - trial.wall_time
        yield Reason("due", f"in {due_in_s:.1f} s; placed below as if it were now")
    ready = trial.job.start_occurrence(0)
    ranks, waiting = trial.rank(ready)
    placements = _Placements(trial, waiting)
    for step in sorted(ready, key=ranks.get):
        yield from placements.explain(step, ranks[step])
    for step in trial.job.occurrences[0]:
        if step not in ready:
            earlier = ", ".join(map(str, step.spec.after))
            yield Reason(f"step {step.number}", f"starts after step {earlier}")


# In the order of the rows. A decision of another part is told by a function here.
REASONS = [
    _explain_queue,
    _explain_customer,
    _explain_quota,
    _explain_admission,
    _explain_overload,
    _explain_steps,
]


class _Placements:
    """Places steps in the order of their ranks, as a scheduling round does.

    Steps of jobs that may have crashed workers are left out, as they get workers of
    their own.

    Args:
        trial: ``Trial``.
        waiting: ``WaitingStep`` objects of the pool, the most urgent first.
    """

    def __init__(self, trial, waiting):
        self._trial = trial
        self._workers = list(trial.snapshot.open_workers)
        self._waiting = list(waiting)
        self._shortages = []
        self._ahead = 0
        # ``PlaceWait`` of the step that was placed last, or None.
        self._wait = None

    def explain(self, step, rank):
        """Places a step after those that are ahead of it; returns reasons."""
        topic = f"step {step.number}"
        self._place_ahead(rank)
        late = ", too late for its objective" if rank.is_late else ""
        reasons = [Reason(topic, f"{self._ahead} waiting steps ahead{late}")]
        if step.spec.is_lasting and self._trial.snapshot.holds_lasting:
            text = "no worker: the planner has not called since the takeover"
            return [*reasons, Reason(topic, text)]
        if self._trial.queue.has_placement_policy:
            text = "no worker yet: the placement policy is asked first"
            return [*reasons, Reason(topic, text)]
        if any(shortage.covers(step.spec) for shortage in self._shortages):
            text = "no worker: tasks ahead that are not larger found no capacity"
            return [*reasons, Reason(topic, text)]
        placed = self._place(step)
        reasons += self._describe_placed(step, placed)
        missing = step.spec.count - len(placed)
        if missing and self._wait is not None:
            rack = self._wait.rack or "any that fits the whole step"
            text = (
                f"{missing} tasks wait for a place in their rack ({rack}), "
                f"expected {self._wait.expected_s:.1f} s"
            )
            reasons.append(Reason(topic, text))
        elif missing:
            reasons.append(Reason(topic, self._describe_missing(step, missing)))
        return reasons

    def _place_ahead(self, rank):
        while self._waiting and self._waiting[0].rank <= rank:
            waiting = self._waiting.pop(0)
            self._ahead += 1
            step = waiting.step
            if waiting.is_held or step.job.suspects:
                continue
            if any(shortage.covers(step.spec) for shortage in self._shortages):
                continue
            if not step.spec.is_gang or is_gang_waiting(step):
                self._place(step)

    def _place(self, step):
        """Reserves workers; returns pairs of task and worker."""
        spec = step.spec
        # A step of the pool keeps the wait that it really has.
        place_wait = copy.copy(step.place_wait)
        placed, is_short = place_step(
            step, self._workers, self._trial.now, self._trial.snapshot.place_waits
        )
        self._wait = step.place_wait
        step.place_wait = place_wait
        if not is_short or step.tickets is not None:
            return placed
        if not can_be_placed_later(step, self._workers):
            return placed
        if spec.is_lasting:
            reserved = choose_reserved_worker(step, self._workers)
            self._workers = [
                worker for worker in self._workers if worker is not reserved
            ]
        elif not (spec.required_label or spec.most_per_worker):
            self._shortages.append(Shortage(spec.reserved_cpu, spec.memory, spec.gpu))
        return placed

    @staticmethod
    def _describe_placed(step, placed):
        """Returns a reason for each placed task, with its worker's score."""
        for task, worker in placed:
            worker.release(task)
        reasons = []
        for task, worker in placed:
            score = ", ".join(
                str(int(part)) for part in score_worker(step.spec, worker)
            )
            text = f"worker {worker.worker_id}, score ({score})"
            reasons.append(Reason(f"task {step.number}.{task.index}", text))
            worker.reserve(task)
        hidden = len(reasons) - MAX_TASKS_TOLD
        if hidden > 0:
            text = f"{hidden} more tasks have a worker"
            return [*reasons[:MAX_TASKS_TOLD], Reason(f"step {step.number}", text)]
        return reasons

    def _describe_missing(self, step, missing):
        obstacles = Counter(
            self._find_obstacle(step, worker) for worker in self._trial.snapshot.workers
        )
        listed = ", ".join(
            f"{count} {obstacle}" for obstacle, count in obstacles.most_common()
        )
        return f"no worker for {missing} tasks; workers: {listed or 'none'}"

    def _find_obstacle(self, step, worker):
        """Returns the first reason why a worker gets no further task of a step."""
        for obstacle, applies in _OBSTACLES:
            if applies(step, worker, self._trial.now):
                return obstacle
        if worker not in self._trial.snapshot.reachable:
            return "seem out of reach"
        if worker not in self._trial.snapshot.open_workers:
            return "kept for a job that may crash workers"
        if worker not in self._workers:
            return "reserved for a long-running step"
        return "free, but the step does not fit as a whole or in one rack"


# Each with the condition under which a worker gets no further task of a step.
_OBSTACLES = [
    ("not in the registry", lambda step, worker, now: not worker.is_listed),
    ("draining", lambda step, worker, now: worker.entry.is_draining),
    ("withheld by the planner", lambda step, worker, now: worker.is_withheld),
    ("replaced", lambda step, worker, now: worker.is_replaced),
    ("without a report", lambda step, worker, now: not worker.is_clock_known),
    ("with starts to revoke", lambda step, worker, now: bool(worker.revoked_starts)),
    ("ejected", lambda step, worker, now: worker.ejected_until > now),
    ("silent", lambda step, worker, now: not is_usable(worker, now)),
    (
        "without the label",
        lambda step, worker, now: (
            step.spec.required_label
            and step.spec.required_label not in worker.entry.labels
        ),
    ),
    (
        "at the step's limit or on probation",
        lambda step, worker, now: not may_run(step, worker),
    ),
    (
        "without capacity",
        lambda step, worker, now: not worker.has_capacity_for(step.spec),
    ),
]
