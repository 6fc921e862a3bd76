"""The state of one pool and the orders that follow from it.

Each method applies an event and records which jobs have to be journalled; the
caller makes them durable before it acts on them.
"""

from dataclasses import dataclass

from basilwind.scheduling import health
from basilwind.scheduling.admission import refuse_for_s
from basilwind.scheduling.capacity import PoolReport, WorkerLoad
from basilwind.scheduling.jobs import JobState, TaskState
from basilwind.scheduling.ordering import is_late, is_overloaded, rank_step
from basilwind.scheduling.orders import StartOrder, StopOrder
from basilwind.scheduling.pacing import pace_worker
from basilwind.scheduling.placement import (
    Shortage,
    gang_is_whole,
    is_usable,
    place_step,
    reserve_for_later,
)
from basilwind.scheduling.policy import Ticket, workers_to_ask
from basilwind.scheduling.reports import StartOutcome
from basilwind.scheduling.worker_book import WorkerBook

SHORT_S = 0.5  # short tasks leave room within a second
STOP_RETRY_S = 0.7  # a stop takes up to 0.2 or 0.9 s in the site files
WITHHOLD_S = 3.0  # the planner renews it each 0.4 s, a successor in 3 s
UNSURE_S = 0.3  # time for a hold to show a run whose start got no answer
PREEMPT_S = 0.5  # a stop takes 0.2 or 0.9 s in the site files
BACKLOG_AGE_S = 0.2  # every daemon asks twice a second for each queue


@dataclass(slots=True)
class Demand:
    """What a group of jobs asks of a pool now; lasting tasks are not counted.

    Attributes:
        waiting_work: Work of tasks that wait for a worker, core-seconds.
        running_cpu: Thousandths of a core that their tasks have on workers.
    """

    waiting_work: float = 0.0
    running_cpu: int = 0


class PoolState(WorkerBook):
    """Decides what a pool's workers are ordered; see ``JobBook`` for its arguments."""

    # What the fleet planner asks

    def withhold(self, worker_ids, now, wall):
        """Keeps new tasks off some workers; moves lasting and late ones away."""
        wanted = frozenset(worker_ids)
        self._withheld_until = now + WITHHOLD_S
        for worker in self.workers.values():
            worker.is_withheld = worker.worker_id in wanted
        self._empty_withheld(now, wall)

    def _empty_withheld(self, now, wall):
        for worker in self.workers.values():
            if not worker.is_withheld:
                continue
            for task in worker.tasks.values():
                if task.is_stopping:
                    continue
                if task.spec.is_lasting:
                    # The task itself is at work until it is stopped.
                    task.is_stopping = self._away(task.step) < task.spec.may_miss
                elif self._is_worth_preempting(task, now, wall):
                    task.is_stopping = True

    def _is_worth_preempting(self, task, now, wall):
        """Tells whether a late task would hold a wanted machine up for long."""
        if task.state is not TaskState.RUNNING or not self._is_late(task.job, wall):
            return False
        runs_s = self.run_times.estimate(task.job.queue, task.spec.estimate_s)
        return task.confirmed_at + runs_s - now > PREEMPT_S

    def _expire_withholding(self, now):
        if now > self._withheld_until:
            for worker in self.workers.values():
                worker.is_withheld = False

    def pool_report(self, now, wall):
        """Returns the ``PoolReport`` for the planner."""
        urgent, late = self._demand(wall)
        lasting = [
            task
            for job in self.jobs.values()
            if job.is_live
            for task in job.tasks()
            if task.spec.is_lasting
        ]
        return PoolReport(
            pool=self.name,
            workers=[
                WorkerLoad(
                    worker.worker_id,
                    worker.entry.cpu,
                    len(worker.tasks),
                    sum(task.spec.is_lasting for task in worker.tasks.values()),
                    worker.is_withheld,
                )
                for worker in self.workers.values()
                if worker.is_clock_known
                and worker.is_listed
                and not worker.entry.is_draining
                and worker.avoid_until <= now
                and worker.unanswered_since is None
            ],
            urgent_work=urgent.waiting_work,
            late_work=late.waiting_work,
            urgent_cpu=urgent.running_cpu,
            late_cpu=late.running_cpu,
            lasting_cpu=sum(task.spec.reserved_cpu for task in lasting),
            lasting_memory=sum(task.spec.memory for task in lasting),
            lasting_waiting=sum(
                task.state is TaskState.WAITING
                and now - task.step.short_since > SHORT_S
                for task in lasting
                if task.step.short_since is not None
            ),
            arrived=self._arrived,
            arrived_jobs=self._arrived_jobs,
        )

    def _demand(self, wall):
        """Returns the ``Demand`` of jobs that can be in time, and of late ones."""
        # Ranking sums up what waits.
        self._ranked(wall)
        urgent, late = Demand(self._urgent_waiting), Demand(self._late_waiting)
        for worker in self.workers.values():
            for task in worker.tasks.values():
                if not task.spec.is_lasting:
                    is_behind = self._is_late(task.job, wall)
                    demand = late if is_behind else urgent
                    demand.running_cpu += task.spec.reserved_cpu
        return urgent, late

    def _is_late(self, job, wall):
        queue = self._find_queue(job.queue)
        return queue is not None and is_late(job, queue, self.run_times, wall)

    def refuse_for_s(self, queue_name, now, wall):
        """Returns for how long new jobs of a queue are refused; 0 to accept them."""
        queue = self._find_queue(queue_name)
        if queue is None:
            return 0.0
        cores = sum(worker.entry.cpu for worker in self._usable_workers(now)) / 1000
        if now - self._backlog_at > BACKLOG_AGE_S:
            self._backlog_at = now
            self._known_backlog = self._backlog()
        return refuse_for_s(queue, self._known_backlog, cores, self.run_times)

    # Orders

    def schedule(self, now, wall):
        """Assigns waiting tasks to workers.

        Args:
            now: Boot time in seconds.
            wall: Unix time in seconds.

        Returns:
            List of ``StartOrder``; their jobs are dirty.
        """
        self._open_due(wall)
        self._expire_withholding(now)
        workers = self._usable_workers(now)
        cores = sum(worker.entry.cpu for worker in workers) / 1000
        self._is_overloaded = is_overloaded(self._urgent_waiting, cores)
        orders, shortages = [], []
        is_guarded = self.has_unrecorded_runs(now)
        for step in self._ranked(wall):
            if is_guarded and step.job.job_id in self._restored:
                continue
            if any(shortage.covers(step.spec) for shortage in shortages):
                continue
            if step.spec.is_gang and not gang_is_whole(step):
                continue
            placed, is_short = place_step(step, workers, now)
            orders += self._start_orders(step, placed, now)
            if not is_short or step.tickets is not None:
                step.short_since = None
                continue
            if step.short_since is None:
                step.short_since = now
            if step.spec.is_lasting:
                kept = reserve_for_later(step, workers)
                step.kept_worker = kept
                workers = [worker for worker in workers if worker is not kept]
            elif not (step.spec.required_label or step.spec.most_per_worker):
                shortages.append(Shortage(step.spec.reserved_cpu, step.spec.memory))
        return orders

    def _usable_workers(self, now):
        return [worker for worker in self.workers.values() if is_usable(worker, now)]

    def _open_due(self, wall):
        for job_id in self._timed:
            for step in self.jobs[job_id].open_due_occurrences(wall):
                self._ready[step] = None

    def _ranked(self, wall):
        """Returns the waiting steps, the most urgent first."""
        ranked = []
        self._urgent_waiting = self._late_waiting = 0.0
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
            rank = rank_step(step, queue, self.run_times, wall, self._is_overloaded)
            ranked.append((rank, step))
            work = waiting * self._work_of(step.job.queue, step.spec)
            if rank.is_late:
                self._late_waiting += work
            else:
                self._urgent_waiting += work
        ranked.sort(key=lambda row: row[0])
        return [step for _, step in ranked]

    def _start_orders(self, step, placed, now):
        if not placed:
            return []
        gang_run = max(task.run for task in step.tasks) + 1
        checkpoint = max(task.checkpoint for task in step.tasks)
        orders = []
        for task, worker in placed:
            task.state = TaskState.STARTING
            task.run = gang_run if step.spec.is_gang else task.run + 1
            if step.spec.is_gang:
                task.checkpoint = checkpoint
            task.worker_id = worker.worker_id
            task.token = self.token
            task.ordered_at = now
            orders.append(StartOrder(task, task.run, worker))
        job = step.job
        self._report(
            "step placed",
            step=step.name,
            runs=[[order.task.index, order.run] for order in orders],
            workers=sorted({order.worker.worker_id for order in orders}),
        )
        job.has_begun = True
        if job.state is JobState.PENDING:
            job.state = JobState.RUNNING
        self.dirty.add(job.job_id)
        return orders

    def next_policy_query(self, now, wall):
        """Returns the most urgent step to ask the policy about, and the workers.

        Returns:
            ``StepRun`` and worker ids, or None.
        """
        if not any(step.tickets is not None for step in self._ready):
            return None
        workers = self._usable_workers(now)
        for step in self._ranked(wall):
            if step.tickets is None:
                continue
            worker_ids = workers_to_ask(step, workers, now)
            if worker_ids:
                return step, worker_ids
        return None

    def apply_policy_answer(self, step, asked, tickets, until):
        """Applies the policy's answer.

        Args:
            step: ``StepRun``.
            asked: Worker ids that were asked about.
            tickets: Texts of tickets by worker id.
            until: End of their validity; boot time.
        """
        step.denied.update(set(asked) - set(tickets))
        for worker_id, text in tickets.items():
            step.tickets[worker_id] = Ticket(text, until)

    def pace_orders(self, now):
        """Returns the pace orders that are due, a list of ``PaceOrder``."""
        return [
            order
            for worker in self.workers.values()
            if worker.is_clock_known and worker.unanswered_since is None
            for order in pace_worker(worker, now)
        ]

    def apply_pace(self, order, now):
        """Notes that a worker took a pace order."""
        order.worker.paced_at = now
        if order.task.run == order.run:
            order.task.pace = order.percent

    def apply_start_outcome(self, order, outcome, now):
        """Applies a worker's answer to a start order."""
        task = order.task
        if task.run != order.run or task.state is not TaskState.STARTING:
            return
        if outcome is StartOutcome.STARTED:
            task.state = TaskState.RUNNING
            task.confirmed_at = now
            task.progressed_at = now
            return
        if outcome in (StartOutcome.UNHEALTHY, StartOutcome.UNREACHABLE):
            health.note_busy(order.worker, now)
        elif outcome is StartOutcome.NO_TICKET:
            (task.step.tickets or {}).pop(order.worker.worker_id, None)
        self._report(
            "start rejected",
            task=task.name,
            run=order.run,
            worker=order.worker.worker_id,
            outcome=outcome.value,
        )
        self._release(task)

    def apply_unanswered_start(self, order):
        """Notes that a start order got no answer: it may be carried out late."""
        task = order.task
        if task.run == order.run and task.state is TaskState.STARTING:
            task.state = TaskState.UNSURE
            self._report(
                "start unanswered",
                task=task.name,
                run=task.run,
                worker=order.worker.worker_id,
            )

    def apply_stop_answer(self, order, now):
        """Notes that a worker took a stop: the run is ended or never starts."""
        task = order.worker.tasks.get(order.task_name)
        if task is None or task.run != order.run:
            return
        # Only the first answer counts: holds last longer than the pause between
        # stops, so a later one would always follow the newest hold.
        if task.stop_answered_at is None:
            task.stop_answered_at = now

    def stop_orders(self, now):
        """Returns the stops that are due, a list of ``StopOrder``."""
        orders, self._strays = self._strays, []
        for worker in self.workers.values():
            if not worker.is_clock_known:
                continue
            for task in worker.tasks.values():
                is_doubtful = (
                    task.state is TaskState.UNSURE
                    and task.stop_answered_at is None
                    and task.token == self.token
                    and now - task.ordered_at > UNSURE_S
                )
                if not (task.is_stopping or is_doubtful):
                    continue
                if task.stop_sent_at and now - task.stop_sent_at < STOP_RETRY_S:
                    continue
                if task.state is TaskState.STARTING:
                    continue
                task.stop_sent_at = now
                orders.append(StopOrder(task.name, task.run, worker))
        return orders
