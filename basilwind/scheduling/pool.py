"""The state of one pool and the orders to its workers that follow from it.

Each method applies an event and adds the jobs that it changes to ``dirty``. The caller
writes dirty jobs to the journal before it acts on the result.
"""

from contextlib import contextmanager
from dataclasses import dataclass

from basilwind.scheduling import health
from basilwind.scheduling.admission import (
    ACCEPTED,
    accept_if_free,
    refuse_for_s,
    useful_s,
    work_ahead,
)
from basilwind.scheduling.customer_queues import describe_rank
from basilwind.scheduling.demand import PoolReport, WorkerLoad
from basilwind.scheduling.eligibility import can_be_placed_later
from basilwind.scheduling.interruptions import may_interrupt
from basilwind.scheduling.jobs import JobState, TaskState
from basilwind.scheduling.largest_workers import LargestWorkers
from basilwind.scheduling.ordering import (
    is_late,
    is_overloaded,
    rank_step,
    slack_s,
)
from basilwind.scheduling.orders import StartOrder
from basilwind.scheduling.pacing import pace_worker
from basilwind.scheduling.placement import (
    Shortage,
    choose_reserved_worker,
    is_gang_waiting,
    is_usable,
    place_step,
    place_suspected_gang,
    place_suspects,
)
from basilwind.scheduling.policy import Ticket, workers_to_ask
from basilwind.scheduling.pool_stops import PoolStops
from basilwind.scheduling.quota import is_within
from basilwind.scheduling.quota_use import QuotaRound, measure_used
from basilwind.scheduling.reachability import reachable_workers
from basilwind.scheduling.reports import StartOutcome
from basilwind.scheduling.run_events import RequeueReason, worker_evidence
from basilwind.scheduling.snapshot import PoolSnapshot, WaitingStep, copy_worker

UNPLACED_AFTER_S = 0.5  # short tasks free capacity within a second
WITHHOLD_S = 3.0  # the planner renews it every 0.4 s; a new planner needs 3 s
UNKNOWN_WITHHOLDING_S = 1.5  # the planner relies on an owner's report for 1 s
# Late tasks that end sooner are not stopped, as stopping takes 0.2 or 0.9 s, depending
# on the deployment.
PREEMPTION_MIN_REMAINING_S = 0.5
BACKLOG_MAX_AGE_S = 0.2  # every daemon asks twice a second for each queue
# More hosts are asked for a step that is too large for its pool, and arrive within a
# few seconds if there are any. After that, they are asked for only now and then.
GROWTH_PATIENCE_S = 10.0
GROWTH_RETRY_S = 60.0


@dataclass(slots=True)
class JobDemand:
    """Current demand of a group of jobs, without long-running tasks.

    Attributes:
        waiting_work: Work of tasks that wait for a worker, core-seconds.
        running_cpu: CPU reserved on workers, millicores.
    """

    waiting_work: float = 0.0
    running_cpu: int = 0


class PoolState(PoolStops):
    """Schedules the jobs of a pool; see ``PoolJobs`` for the arguments."""

    # Requests of the fleet planner

    def withhold(self, worker_ids, now, wall_time, at_risk=(), is_new_planner=False):
        """Keeps new tasks off the given workers and moves tasks off them.

        Long-running tasks and late ones are stopped; other tasks run to their end. The
        given workers replace those of the last call, except those of another planner:
        its orders may still be under way.

        Args:
            worker_ids: Ids of the workers.
            now: Boot time in seconds.
            wall_time: Unix time in seconds.
            at_risk: Ids of workers whose runs an order for their hosts may still end;
                long-running tasks go elsewhere if they can.
            is_new_planner: Whether another planner made the last call.
        """
        wanted = frozenset(worker_ids)
        if is_new_planner:
            self._withheld_before_until = self._withheld_until
            self._withheld_before = frozenset(
                worker.worker_id
                for worker in self.workers.values()
                if worker.is_withheld
            )
        if now < self._withheld_before_until:
            wanted |= self._withheld_before
        self._withheld_until = now + WITHHOLD_S
        # Orders that follow from the previous owner's reports have been sent before.
        self._withholding_unknown_until = 0.0
        for worker in self.workers.values():
            worker.is_withheld = worker.worker_id in wanted
            worker.is_at_risk = worker.worker_id in at_risk
        self._drain_withheld(now, wall_time)

    def expect_withheld_workers(self, now):
        """Keeps long-running tasks waiting after a takeover, until the planner calls.

        The planner may be moving hosts that the previous owner reported as empty.

        Args:
            now: Boot time in seconds.
        """
        self._withholding_unknown_until = now + UNKNOWN_WITHHOLDING_S

    def _drain_withheld(self, now, wall_time):
        for worker in self.workers.values():
            if not worker.is_withheld:
                continue
            for task in worker.tasks.values():
                if task.is_stopping:
                    continue
                if task.spec.is_lasting:
                    task.is_stopping = may_interrupt(task, self.workers, now)
                elif self._is_worth_preempting(task, worker, now, wall_time):
                    task.is_stopping = True

    def _is_worth_preempting(self, task, worker, now, wall_time):
        """Returns whether a late task would occupy a withheld worker for too long."""
        if task.state is not TaskState.RUNNING or not self._is_late(
            task.job, wall_time
        ):
            return False
        run_time_s = self.run_times.expected_s(task.job.queue, task.spec.estimate_s)
        run_time_s *= self._place_waits.run_factor(task.spec, worker)
        elapsed_s = now - task.confirmed_at
        if run_time_s - elapsed_s > PREEMPTION_MIN_REMAINING_S:
            return True
        # A run that takes longer than expected is stopped only if more time is left
        # than is thrown away.
        remaining_s = self._place_waits.remaining_s(task, worker, now)
        return remaining_s > max(PREEMPTION_MIN_REMAINING_S, elapsed_s)

    def _expire_withholding(self, now):
        if now > self._withheld_until:
            for worker in self.workers.values():
                worker.is_withheld = worker.is_at_risk = False

    def pool_report(self, now, wall_time):
        """Returns the ``PoolReport`` for the planner."""
        urgent, late = self._measure_demand(now, wall_time)
        largest = self._largest_workers()
        quota_room = self._customers.quota_room(self.workers.values())
        long_running = [
            task
            for job in self.jobs.values()
            if job.is_live
            for task in job.tasks()
            if task.spec.is_lasting
            and self._is_in_demand(task.step, largest, now)
            and (task.is_active or quota_room.take(task.step, 1))
        ]
        return PoolReport(
            pool=self.name,
            workers=[
                WorkerLoad(
                    worker.worker_id,
                    worker.entry.cpu,
                    len(worker.tasks) + len(worker.unwanted_runs),
                    sum(
                        spec.is_lasting
                        for spec in (
                            *(task.spec for task in worker.tasks.values()),
                            *worker.unwanted_runs.values(),
                        )
                    ),
                    worker.is_withheld,
                )
                for worker in self.workers.values()
                if worker.is_clock_known
                and worker.is_listed
                and not worker.entry.is_draining
                and worker.ejected_until <= now
                and worker.unanswered_since is None
            ],
            urgent_work=urgent.waiting_work,
            late_work=late.waiting_work,
            urgent_cpu=urgent.running_cpu,
            late_cpu=late.running_cpu,
            lasting_cpu=sum(task.spec.reserved_cpu for task in long_running),
            lasting_memory=sum(task.spec.memory for task in long_running),
            lasting_waiting=sum(
                task.state is TaskState.WAITING
                and now - task.step.unplaced_since > UNPLACED_AFTER_S
                for task in long_running
                if task.step.unplaced_since is not None
            ),
            arrived=self._arrived_work,
            arrived_jobs=self._arrived_jobs,
        )

    def _largest_workers(self):
        return LargestWorkers(
            worker.entry for worker in self.workers.values() if worker.is_listed
        )

    @staticmethod
    def _is_in_demand(step, largest, now):
        """Returns whether a step's tasks call for workers.

        Those that are too large for the pool do so for a while only, as it may be that
        no host can run them.
        """
        if largest.can_fit_step(step.spec):
            return True
        if not largest.can_fit_grown(step.spec):
            return False
        unplaced_since = now if step.unplaced_since is None else step.unplaced_since
        return (now - unplaced_since) % GROWTH_RETRY_S < GROWTH_PATIENCE_S

    def _measure_demand(self, now, wall_time):
        """Returns the ``JobDemand`` of urgent work, and of late work."""
        # Ranking updates the totals of waiting work.
        self._rank_ready_steps(now, wall_time)
        urgent, late = JobDemand(self._urgent_waiting), JobDemand(self._late_waiting)
        for worker in self.workers.values():
            for task in worker.tasks.values():
                if not task.spec.is_lasting:
                    is_task_late = self._is_late(task.job, wall_time)
                    demand = late if is_task_late else urgent
                    demand.running_cpu += task.spec.reserved_cpu
        return urgent, late

    def _is_late(self, job, wall_time):
        queue = self._find_queue(job.queue)
        return queue is not None and is_late(job, queue, self.run_times, wall_time)

    def refuse_for_s(self, queue_name, now, wall_time):
        """Returns the seconds for which to refuse a queue's new jobs; 0 to accept."""
        queue = self._find_queue(queue_name)
        if queue is None:
            return 0.0
        cores = self._refresh_backlog(now, wall_time)
        if self._customers.has_work:
            return self.admit(queue_name, "", now, wall_time).refuse_for_s
        return refuse_for_s(queue, self._cached_backlog, cores, self.run_times)

    def admit(self, queue_name, customer, now, wall_time):
        """Decides on a new job of a customer.

        Args:
            queue_name: Name of the queue.
            customer: Name of the customer; empty for a job without one.
            now: Boot time in seconds.
            wall_time: Unix time in seconds.

        Returns:
            ``Admission``.
        """
        queue = self._find_queue(queue_name)
        if queue is None:
            return ACCEPTED
        cores = self._refresh_backlog(now, wall_time)
        admission = self._customers.admit(
            customer,
            cores,
            useful_s(queue, self.run_times),
            is_overloaded(self._urgent_waiting, cores),
            now,
        )
        return accept_if_free(admission, self._usable_workers(now))

    def _refresh_backlog(self, now, wall_time):
        """Measures the backlog unless that was done lately; returns usable cores."""
        cores = sum(worker.entry.cpu for worker in self._usable_workers(now)) / 1000
        if now - self._backlog_measured_at > BACKLOG_MAX_AGE_S:
            self._backlog_measured_at = now
            self._cached_backlog = self._measure_backlog(cores, wall_time)
        return cores

    def _measure_backlog(self, cores, wall_time):
        """Returns the work that goes before a new job, core-seconds."""
        largest = self._largest_workers()
        running_work = self._running_work()
        backlog = 0.0
        self._customers.start_measuring(self.workers.values())
        for job in self.jobs.values():
            queue = self._find_queue(job.queue) if job.is_live else None
            if queue is not None:
                running = running_work.get(job.job_id, 0.0)
                ahead = work_ahead(
                    self._unfinished_work(job, largest.can_fit),
                    running,
                    slack_s(job, queue, self.run_times, wall_time),
                    cores,
                )
                backlog += ahead
                self._customers.add_work(job, ahead, running)
        return backlog

    def snapshot(self, now, wall_time):
        """Returns a ``PoolSnapshot``; does not change the state.

        Args:
            now: Boot time in seconds.
            wall_time: Unix time in seconds.
        """
        workers = [copy_worker(worker) for worker in self.workers.values()]
        usable = [worker for worker in workers if is_usable(worker, now)]
        cores = sum(worker.entry.cpu for worker in usable) / 1000
        reachable = reachable_workers(usable, workers, now)
        open_workers, _ = self._crashes.isolate(reachable, now)
        may_have_unrecorded_runs = self.has_unrecorded_runs(now)
        with self._unchanged_estimates():
            waiting = [
                WaitingStep(
                    step.rank,
                    step,
                    self._is_held(step, now, may_have_unrecorded_runs),
                )
                for step in self._rank_ready_steps(now, wall_time)
            ]
            backlog = self._measure_backlog(cores, wall_time)
            customers = self._customers
        return PoolSnapshot(
            pool=self.name,
            workers=workers,
            reachable=reachable,
            open_workers=open_workers,
            cores=cores,
            waiting=waiting,
            backlog=backlog,
            is_overloaded=self._is_overloaded,
            holds_lasting=now < self._withholding_unknown_until,
            run_times=self.run_times,
            place_waits=self._place_waits.trial(now, wall_time, self._is_overloaded),
            customers=customers,
            task_work=lambda step: self._task_work(step.job.queue, step.spec),
        )

    @contextmanager
    def _unchanged_estimates(self):
        """Restores what ranking and measuring keep for the next scheduling round."""
        totals = self._urgent_waiting, self._late_waiting
        ready = dict(self._ready)
        steps = [
            (step, step.objective_estimate, step.tickets, step.rank) for step in ready
        ]
        customers, self._customers = self._customers, self._customers.copy()
        jobs = [(job, job.latest_start) for job in self.jobs.values()]
        try:
            yield
        finally:
            self._urgent_waiting, self._late_waiting = totals
            self._ready = ready
            self._customers = customers
            for step, estimate, tickets, rank in steps:
                step.objective_estimate = estimate
                step.tickets = tickets
                step.rank = rank
            for job, latest_start in jobs:
                job.latest_start = latest_start

    # Orders

    def schedule(self, now, wall_time):
        """Assigns waiting tasks to workers.

        Args:
            now: Boot time in seconds.
            wall_time: Unix time in seconds.

        Returns:
            List of ``StartOrder``; their jobs are dirty.
        """
        self._start_due_occurrences(wall_time)
        self._expire_withholding(now)
        workers = reachable_workers(
            self._usable_workers(now), self.workers.values(), now
        )
        cores = sum(worker.entry.cpu for worker in workers) / 1000
        # Excess jobs go behind all others, so they do not change the others' order.
        self._is_overloaded = is_overloaded(
            self._urgent_waiting - self._customers.excess_waiting, cores
        )
        workers, kept = self._crashes.isolate(workers, now)
        orders, shortages = [], []
        self._place_waits.begin_round(now, wall_time, self._is_overloaded)
        self.quota.begin_round(now)
        quota = QuotaRound(self.quota, measure_used(self, now), now)
        may_have_unrecorded_runs = self.has_unrecorded_runs(now)
        for step in self._rank_ready_steps(now, wall_time):
            if self._is_held(step, now, may_have_unrecorded_runs):
                continue
            if step.job.suspects and not step.spec.is_gang:
                # Its other tasks wait, as they may crash their workers, too.
                most = quota.most(step)
                placed = place_suspects(step, kept.get(step.job.job_id), now, most)
                quota.add(step, len(placed))
                orders += self._start_orders(step, placed, now)
                if placed:
                    step.unplaced_since = None
                elif step.unplaced_since is None:
                    step.unplaced_since = now
                continue
            if any(shortage.covers(step.spec) for shortage in shortages):
                continue
            if step.spec.is_gang and not is_gang_waiting(step):
                continue
            most = quota.most(step)
            if most == 0:
                step.unplaced_since = step.reserved_worker = None
                continue
            place = place_suspected_gang if step.job.suspects else place_step
            placed, is_short = place(step, workers, now, self._place_waits, most)
            quota.add(step, len(placed))
            orders += self._start_orders(step, placed, now)
            if not is_short or step.tickets is not None:
                step.unplaced_since = None
                continue
            if step.unplaced_since is None:
                step.unplaced_since = now
            can_be_placed = can_be_placed_later(step, workers)
            if step.spec.is_lasting:
                reserved = (
                    choose_reserved_worker(step, workers) if can_be_placed else None
                )
                step.reserved_worker = reserved
                workers = [worker for worker in workers if worker is not reserved]
            elif can_be_placed and not (
                step.spec.required_label or step.spec.most_per_worker
            ):
                shortages.append(
                    Shortage(step.spec.reserved_cpu, step.spec.memory, step.spec.gpu)
                )
        self._place_waits.end_round()
        return orders

    def _is_held(self, step, now, may_have_unrecorded_runs):
        """Returns whether a step waits for what a takeover left unknown."""
        if may_have_unrecorded_runs and self._may_have_unrecorded_runs(step):
            return True
        return step.spec.is_lasting and now < self._withholding_unknown_until

    def _may_have_unrecorded_runs(self, step):
        """Returns whether the previous owner may have started a step's waiting tasks.

        It has not if their last runs were still executing after the takeover.
        """
        return any(self.may_have_unrecorded_run(task) for task in step.tasks)

    def may_start_unrecorded(self, order):
        """Returns whether an order may be sent before its start is recorded.

        Load pattern: the store is away, an owner starts accepted work unrecorded, and
        its successor must find the runs. It waits for them with all jobs of which the
        journal has a record, and only with those, as others may have been accepted
        after the outage, when the previous owner was out of reach. The journal must
        have the worker as well, as the registry may have dropped it by then.

        Args:
            order: ``StartOrder``.
        """
        job = order.task.job
        # A crash of its worker could not be recorded either.
        return (
            job.is_recorded
            and not job.suspects
            and order.worker.worker_id in self.recorded_workers
        )

    def may_send(self, order, now):
        """Returns whether an order that had to wait for its record is still valid.

        A worker that does not answer may have started anew, with another clock.

        Args:
            order: ``StartOrder``.
            now: Boot time in seconds.
        """
        return (
            not order.task.is_stopping
            and order.task.job.is_live
            and order.worker.is_clock_known
            and order.worker.unanswered_since is None
            and not order.worker.is_over_capacity
            and self._has_quota(order.task, now)
        )

    def _has_quota(self, task, now):
        """Returns whether the quota by which a task was placed still holds.

        This process may have been paused since, or the grant lowered.
        """
        name = task.job.customer
        if self.quota.limit(name) is None:
            return True
        if not self.quota.may_start(name, now):
            return False
        return not self.quota.was_lowered_since(name, task.ordered_at) or is_within(
            measure_used(self, now)[name], self.quota.grant(name)
        )

    def _usable_workers(self, now):
        return [worker for worker in self.workers.values() if is_usable(worker, now)]

    def _start_due_occurrences(self, wall_time):
        for job_id in self._timed_jobs:
            for step in self.jobs[job_id].start_due_occurrences(wall_time):
                self._ready[step] = None

    def _rank_ready_steps(self, now, wall_time):
        """Returns the steps with waiting tasks, the most urgent first.

        Also drops steps without waiting tasks and updates the totals of waiting work.
        """
        ranked = []
        largest = self._largest_workers()
        quota_room = self._customers.quota_room(self.workers.values())
        self._urgent_waiting = self._late_waiting = 0.0
        self._customers.excess_waiting = 0.0
        for step in list(self._ready):
            waiting = len(step.waiting())
            if not waiting:
                del self._ready[step]
                continue
            queue = self._find_queue(step.job.queue)
            if queue is None:
                continue
            if queue.has_placement_policy and step.tickets is None:
                step.tickets = {}
            rank = rank_step(
                step, queue, self.run_times, wall_time, self._is_overloaded
            )
            ranked.append((rank, step))
            if not self._is_in_demand(step, largest, now):
                continue
            task_work = self._task_work(step.job.queue, step.spec)
            work = quota_room.demand(step, waiting, task_work)
            if rank.is_late:
                self._late_waiting += work
            else:
                self._urgent_waiting += work
                if rank.is_excess:
                    self._customers.excess_waiting += work
        ranked = self._customers.add_start_tags(
            ranked,
            lambda step: self._task_work(step.job.queue, step.spec),
            self._is_overloaded,
        )
        ranked.sort(key=lambda pair: pair[0])
        for rank, step in ranked:
            step.rank = rank
        return [step for _, step in ranked]

    def _start_orders(self, step, placed, now):
        """Marks placed tasks as starting and returns their ``StartOrder`` objects.

        The tasks of a gang share the run number and the newest checkpoint.
        """
        if not placed:
            return []
        gang_run = max(task.next_run for task in step.tasks)
        checkpoint = max(task.checkpoint for task in step.tasks)
        orders = []
        for task, worker in placed:
            task.state = TaskState.STARTING
            task.run = gang_run if step.spec.is_gang else task.next_run
            if step.spec.is_gang:
                task.checkpoint = checkpoint
            task.worker_id = worker.worker_id
            task.token = self.token
            task.ordered_at = now
            orders.append(StartOrder(task, task.run, worker))
        job = step.job
        work = len(orders) * self._task_work(job.queue, step.spec)
        self._customers.charge(step, work)
        self._report(
            "step placed",
            step=step.name,
            token=self.token,
            runs=[
                [order.task.index, order.run, order.worker.worker_id]
                for order in orders
            ],
            **describe_rank(step),
        )
        job.has_started = True
        if job.state is JobState.PENDING:
            job.state = JobState.RUNNING
        self.dirty.add(job.job_id)
        return orders

    def next_policy_query(self, now, wall_time):
        """Returns the next query to the placement policy.

        Returns:
            The most urgent ``StepRun`` that lacks tickets and the worker ids to ask
            about, or None.
        """
        if not any(step.tickets is not None for step in self._ready):
            return None
        workers = self._usable_workers(now)
        for step in self._rank_ready_steps(now, wall_time):
            if step.tickets is None:
                continue
            worker_ids = workers_to_ask(step, workers, now)
            if worker_ids:
                return step, worker_ids
        return None

    def apply_policy_answer(self, step, asked_worker_ids, tickets, valid_until):
        """Applies the placement policy's answer.

        Args:
            step: ``StepRun``.
            asked_worker_ids: Worker ids that were asked about.
            tickets: Texts of the granted tickets by worker id.
            valid_until: Boot time until which the tickets are valid.
        """
        step.denied_workers.update(set(asked_worker_ids) - set(tickets))
        for worker_id, text in tickets.items():
            step.tickets[worker_id] = Ticket(text, valid_until)

    def pace_orders(self, now):
        """Returns the ``PaceOrder`` objects that are due."""
        return [
            order
            for worker in self.workers.values()
            if worker.is_clock_known and worker.unanswered_since is None
            for order in pace_worker(worker, now)
        ]

    def apply_pace(self, order, now):
        """Records that a worker accepted a pace order."""
        order.worker.paced_at = now
        if order.task.run == order.run:
            order.task.pace_percent = order.pace_percent

    def apply_start_outcome(self, order, outcome, now):
        """Applies a worker's answer to a start order.

        Args:
            order: ``StartOrder``.
            outcome: ``StartOutcome``.
            now: Boot time in seconds.
        """
        task = order.task
        if task.run != order.run or task.state is not TaskState.STARTING:
            return
        if outcome is StartOutcome.STARTED:
            task.state = TaskState.RUNNING
            task.confirmed_at = now
            task.progressed_at = now
            return
        self._customers.refund(task.step, self._task_work(task.job.queue, task.spec))
        if outcome in (StartOutcome.UNHEALTHY, StartOutcome.UNREACHABLE):
            health.back_off(order.worker, now)
        elif outcome is StartOutcome.NO_TICKET:
            (task.step.tickets or {}).pop(order.worker.worker_id, None)
        self._requeue(
            [task],
            RequeueReason.START_REJECTED,
            now,
            outcome=outcome.value,
            **worker_evidence(order.worker, now),
        )

    def apply_unanswered_start(self, order):
        """Records that a start order got no answer; the worker may still execute it."""
        task = order.task
        if task.run == order.run and task.state is TaskState.STARTING:
            task.state = TaskState.UNCONFIRMED
            self._report(
                "start unanswered",
                task=task.name,
                run=task.run,
                worker=order.worker.worker_id,
                token=task.token,
            )
