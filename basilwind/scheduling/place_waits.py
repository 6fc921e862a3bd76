"""Decides how long a step waits for workers in the right rack (delay scheduling).

A task whose data is in another rack, or whose step is spread over several racks, takes
``remote_factor`` times as long. Waiting is worthwhile while the expected wait costs
less than that. The decision is made anew in each scheduling round, so that tasks behind
a hot rack go elsewhere as soon as too many wait, and not all at once at a time limit.
"""

import heapq
import math
from dataclasses import dataclass

from basilwind.scheduling.eligibility import count_places, may_run
from basilwind.scheduling.ordering import slack_s

# A job that could run may have no task running for 3 s; a round is at most 0.25 s late.
MAX_WAIT_S = 1.5
MAX_LASTING_WAIT_S = 2.0  # paid once, while the place is used for minutes
# A step that was interrupted later than this after its last wait may wait again.
RENEWAL_S = 10.0


@dataclass(slots=True)
class PlaceWait:
    """Time that a step has spent waiting for a place.

    Attributes:
        rack: Rack that it waits for; empty for any that has room for the whole step.
        expected_s: Expected wait when the wait began, seconds.
        since: Boot time at which the present wait began, or None.
        waited_s: Time spent in earlier waits, seconds.
        ended_at: Boot time at which the last wait ended.
    """

    rack: str = ""
    expected_s: float = 0.0
    since: float | None = None
    waited_s: float = 0.0
    ended_at: float = -math.inf

    def total_s(self, now):
        """Returns the time spent waiting so far, seconds."""
        return self.waited_s + (now - self.since if self.since is not None else 0.0)


class RackQueue:
    """The places of a rack for a step, in the order in which they become free.

    Args:
        openings: Times until places become free, seconds.
        run_s: Run time of the tasks that take them, seconds.
        cpu: CPU of a place, millicores.

    Attributes:
        waiting: Number of tasks of the present step that wait for a place.
        expected_s: Expected wait of the first of them, seconds.
    """

    def __init__(self, openings, run_s, cpu):
        self.waiting = 0
        self.expected_s = 0.0
        self._cpu = max(1, cpu)
        # CPU of the waiting tasks that have got places here, millicores.
        self._cpu_ahead = 0
        self._limit_s = 0.0
        self._openings = list(openings)
        heapq.heapify(self._openings)
        self._run_s = run_s

    def begin(self, limit_s, cpu_ahead):
        """Begins with a step, after the places of the tasks that wait before it.

        Args:
            limit_s: Longest wait that is worthwhile, seconds.
            cpu_ahead: CPU of all tasks that wait for the rack so far, millicores.
        """
        self.waiting = 0
        self._limit_s = limit_s
        while self._cpu_ahead < cpu_ahead and self.pays():
            self._take()

    def pays(self, count=1):
        """Returns whether waiting for the next places is worthwhile.

        Args:
            count: Number of places that are needed together.
        """
        if len(self._openings) < count:
            return False
        if count == 1:
            return self._openings[0] <= self._limit_s
        return heapq.nsmallest(count, self._openings)[-1] <= self._limit_s

    def wait(self, count=1):
        """Notes tasks that wait for the next places, which they need together."""
        openings = [self._take() for _ in range(count)]
        if not self.waiting:
            self.expected_s = openings[-1]
        self.waiting += count

    def add_run(self):
        """Notes that a task begins to run in the rack and frees its place later."""
        heapq.heappush(self._openings, self._run_s)

    def _take(self):
        opening = self._openings[0]
        self._cpu_ahead += self._cpu
        heapq.heapreplace(self._openings, opening + self._run_s)
        return opening


class PlaceWaits:
    """Waits of a pool's steps for places in the right rack.

    Args:
        run_times: ``RunTimes``.
        remote_factor: Factor by which tasks take longer away from their rack.
        find_queue: Returns the ``Queue`` of a name, or None.
        report: Called with an event's name and fields.
    """

    def __init__(self, run_times, remote_factor, find_queue, report):
        self._run_times = run_times
        self._remote_factor = remote_factor
        self._find_queue = find_queue
        self._report = report
        self._now = self._wall_time = 0.0
        self._is_overloaded = False
        # Steps that wait, with how their wait ends if it ends in this round.
        self._open = {}
        # Steps that were left waiting in this round.
        self._deferred = set()
        # CPU of tasks that wait for a rack in this round, millicores by rack.
        self._cpu_ahead = {}
        # Values that hold for one round: expected ends by worker id, and openings.
        self._ends = {}
        self._openings = {}
        # ``RackQueue`` by size of the tasks and run time.
        self._queues = {}

    def trial(self, now, wall_time, is_overloaded):
        """Returns a ``PlaceWaits`` that logs nothing, for one round; see there."""
        waits = PlaceWaits(
            self._run_times,
            self._remote_factor,
            self._find_queue,
            lambda event, **fields: None,
        )
        waits.begin_round(now, wall_time, is_overloaded)
        return waits

    def begin_round(self, now, wall_time, is_overloaded):
        """Begins a scheduling round.

        Args:
            now: Boot time in seconds.
            wall_time: Unix time in seconds.
            is_overloaded: Whether the pool is full, so that a longer run delays others.
        """
        self._now = now
        self._wall_time = wall_time
        self._is_overloaded = is_overloaded
        if self._ends or self._cpu_ahead or self._openings:
            self._ends, self._cpu_ahead, self._openings = {}, {}, {}
            self._queues = {}

    def end_round(self):
        """Ends the waits of steps that were not left waiting, and logs them."""
        if not self._open:
            return
        for step, outcome in list(self._open.items()):
            if step not in self._deferred:
                self._end(step, outcome)
        self._deferred.clear()

    def _end(self, step, outcome):
        del self._open[step]
        wait = step.place_wait
        waited_s = self._now - wait.since
        wait.waited_s += waited_s
        wait.since = None
        wait.ended_at = self._now
        self._report(
            "place wait",
            step=step.name,
            rack=wait.rack,
            expected_s=round(wait.expected_s, 3),
            waited_s=round(waited_s, 3),
            outcome=outcome,
        )

    def run_factor(self, spec, worker):
        """Returns the factor by which a task takes longer on a worker."""
        is_remote = bool(spec.data_rack) and spec.data_rack != worker.entry.rack
        return max(1.0, self._remote_factor) if is_remote else 1.0

    def remaining_s(self, task, worker, now):
        """Returns the expected remaining run time of a task, seconds."""
        spec = task.spec
        factor = self.run_factor(spec, worker)
        elapsed_s = 0.0 if task.confirmed_at is None else now - task.confirmed_at
        return factor * self._run_times.remaining_s(
            task.job.queue, spec.image, spec.estimate_s, elapsed_s / factor
        )

    def limit_s(self, step):
        """Returns the longest expected wait that is worthwhile for a step, seconds."""
        if self._remote_factor <= 1.0:
            return 0.0
        spec, wait = step.spec, step.place_wait
        waited_s = 0.0
        if wait is not None and (
            wait.since is not None or self._now - wait.ended_at < RENEWAL_S
        ):
            waited_s = wait.total_s(self._now)
        if spec.is_lasting:
            return max(0.0, MAX_LASTING_WAIT_S - waited_s)
        queue = self._find_queue(step.job.queue)
        if queue is None:
            return 0.0
        saved_s = (self._remote_factor - 1) * self._run_s(step)
        if self._is_overloaded:
            saved_s *= 2  # others wait for the same core-seconds
        slack = slack_s(step.job, queue, self._run_times, self._wall_time)
        return max(0.0, min(MAX_WAIT_S - waited_s, saved_s, slack))

    def queue_for_data(self, step, workers):
        """Returns the ``RackQueue`` of a step's data rack; None if it is not to wait.

        Args:
            step: ``StepRun`` with a data rack.
            workers: ``WorkerView`` objects that it may use.
        """
        limit_s = self.limit_s(step)
        if limit_s <= 0.0:
            return None
        spec = step.spec
        near = [worker for worker in workers if worker.entry.rack == spec.data_rack]
        run_s = math.inf if spec.is_lasting else self._run_s(step)
        # Steps with tasks of one size share the queue, or each would take the places
        # of all tasks ahead anew.
        key = _size_key(step, near)
        queue = self._queues.get((key, run_s)) if key else None
        if queue is None:
            openings = self._rack_openings(step, near)
            queue = RackQueue(openings, run_s, spec.reserved_cpu)
            if key:
                self._queues[key, run_s] = queue
        queue.begin(limit_s, self._cpu_ahead.get(spec.data_rack, 0))
        return queue

    def room_wait_s(self, step, racks):
        """Returns the expected wait until a rack has room for a whole step, seconds.

        Args:
            step: ``StepRun``.
            racks: Lists of ``WorkerView`` by rack.

        Returns:
            The wait, or None if the step is not to wait for that.
        """
        limit_s = self.limit_s(step)
        if limit_s <= 0.0 or not racks:
            return None
        wait_s = min(self._room_wait_s(step, members) for members in racks.values())
        return wait_s if wait_s <= limit_s else None

    def _room_wait_s(self, step, workers):
        """Returns the expected wait until the workers of a rack have room for a step.

        Returns:
            Seconds, infinite if that is beyond the longest wait.
        """
        missing = len(step.waiting()) - count_places(step, workers)
        if missing <= 0:
            return 0.0
        openings = self._rack_openings(step, workers)
        return openings[missing - 1] if missing <= len(openings) else math.inf

    def defer(self, step, rack, expected_s, count):
        """Notes that tasks of a step wait for a place in this round.

        Args:
            step: ``StepRun``.
            rack: Rack that they wait for; empty for any.
            expected_s: Expected wait, seconds.
            count: Number of tasks.
        """
        wait = step.place_wait
        if wait is None or (
            wait.since is None and self._now - wait.ended_at >= RENEWAL_S
        ):
            wait = step.place_wait = PlaceWait()
        if wait.since is None:
            wait.rack, wait.expected_s, wait.since = rack, expected_s, self._now
        self._open[step] = "given up"
        self._deferred.add(step)
        self.add_ahead(step, count)

    def add_ahead(self, step, count):
        """Counts tasks that wait for their data rack, also for want of any worker."""
        rack = step.spec.data_rack
        if rack and count:
            cpu = self._cpu_ahead.get(rack, 0)
            self._cpu_ahead[rack] = cpu + count * max(1, step.spec.reserved_cpu)

    def settle(self, step, placed):
        """Notes that a step is not left waiting by choice in this round.

        Args:
            step: ``StepRun``.
            placed: Pairs of placed task and worker.
        """
        if step not in self._open:
            return
        self._deferred.discard(step)
        if not placed:
            self._open[step] = "given up"
            return
        racks = {worker.entry.rack for _, worker in placed}
        wanted = step.place_wait.rack
        is_near = racks == {wanted} if wanted else len(racks) == 1
        self._open[step] = "near" if is_near else "remote"

    def _run_s(self, step):
        return self._run_times.expected_s(step.job.queue, step.spec.estimate_s)

    def _rack_openings(self, step, workers):
        """Returns the sorted times until further tasks fit into a rack, seconds."""
        spec = step.spec
        key = _size_key(step, workers)
        if key in self._openings:
            return self._openings[key]
        openings = sorted(
            opening
            for worker in workers
            if may_run(step, worker)
            for opening in self._worker_openings(spec, worker)
        )
        if key is not None:
            self._openings[key] = openings
        return openings

    def _worker_openings(self, spec, worker):
        """Returns the times until further tasks fit on a worker, seconds, sorted."""
        cpu, memory, gpu = worker.free_cpu, worker.free_memory, worker.free_gpu
        fits = _count_slots(spec, cpu, memory, gpu)
        openings = []
        for remaining_s, ending in self._worker_ends(worker):
            cpu += ending.reserved_cpu
            memory += ending.memory
            gpu += ending.gpu
            fits_then = _count_slots(spec, cpu, memory, gpu)
            openings += [remaining_s] * (fits_then - fits)
            fits = fits_then
        return openings

    def _worker_ends(self, worker):
        """Returns remaining times (seconds) and ``StepSpec`` of what ends on a worker.

        Only ends within the longest wait matter.
        """
        ends = self._ends.get(worker.worker_id)
        if ends is None:
            remaining = (
                (self.remaining_s(task, worker, self._now), task.spec)
                for task in worker.tasks.values()
                if not task.spec.is_lasting
            )
            ends = self._ends[worker.worker_id] = sorted(
                (pair for pair in remaining if pair[0] <= MAX_LASTING_WAIT_S),
                key=lambda pair: pair[0],
            )
        return ends


def _size_key(step, workers):
    """Returns what steps have in common that find the same places in a rack, or None.

    Args:
        step: ``StepRun``.
        workers: ``WorkerView`` objects of one rack that it may use.
    """
    spec = step.spec
    if not workers or spec.most_per_worker or step.tickets is not None:
        return None
    size = spec.reserved_cpu, spec.memory, spec.gpu
    return workers[0].entry.rack, len(workers), spec.required_label, *size


def _count_slots(spec, free_cpu, free_memory, free_gpu):
    """Returns how many tasks of a size fit, also those of other steps."""
    slots = min(
        (
            free // need
            for free, need in (
                (free_cpu, spec.reserved_cpu),
                (free_memory, spec.memory),
                (free_gpu, spec.gpu),
            )
            if need
        ),
        default=0,
    )
    if spec.most_per_worker:
        slots = min(slots, spec.most_per_worker)
    return max(0, slots)
