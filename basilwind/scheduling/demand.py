"""Supply and demand of a pool, as its owner reports them, and their trend.

Load pattern: demand comes in bursts that hit one queue after another. A burst raises a
queue's arrival rate to several times its mean for some seconds. Single large jobs must
not be taken for one.
"""

import math
from dataclasses import dataclass, field

import msgspec

from basilwind.checked_json import Count, Duration

RATE_AVERAGING_S = 0.5  # long enough to distinguish a burst from single jobs
BURST_RISE_S = 2.0  # from the start of a burst until the backlog tells its size
BURST_CONFIRM_S = 1.0  # two simultaneous jobs look like a burst for 0.9 s


class WorkerLoad(msgspec.Struct, array_like=True):
    """Load of one worker.

    Attributes:
        worker_id: Id of the worker.
        cpu: CPU capacity, millicores.
        tasks: Number of tasks that run or may run on it.
        long_running: Number of those tasks that are long-running.
        is_withheld: Whether it gets no new tasks.
    """

    worker_id: str
    cpu: Count
    tasks: Count
    long_running: Count
    is_withheld: bool = False


class PoolReport(msgspec.Struct):
    """Supply and demand of a pool, as its owner reports it to the planner.

    Demand is split into urgent work, of jobs that can still meet their objective, and
    late work, of jobs that cannot. The field names are part of the messages between
    daemons.

    Attributes:
        pool: Name of the pool.
        workers: Its usable and withheld workers.
        urgent_work: Urgent work waiting for a worker, core-seconds.
        late_work: Late work waiting for a worker, core-seconds.
        urgent_cpu: CPU reserved on workers for urgent work, millicores; excludes
            long-running tasks.
        late_cpu: CPU reserved on workers for late work, millicores; excludes
            long-running tasks.
        lasting_cpu: CPU that long-running tasks need, millicores.
        lasting_memory: Memory that long-running tasks need, megabytes.
        lasting_waiting: Number of long-running tasks that fit on no worker.
        arrived: Work of all jobs accepted so far, core-seconds.
        arrived_jobs: Number of jobs accepted so far.
    """

    pool: str
    workers: list[WorkerLoad]
    urgent_work: Duration
    late_work: Duration
    urgent_cpu: Count
    late_cpu: Count
    lasting_cpu: Count
    lasting_memory: Count
    lasting_waiting: Count
    arrived: Duration
    arrived_jobs: Count


@dataclass
class DemandTrend:
    """Demand of a pool over time, learned from its reports.

    Attributes:
        arrival_rate: Recent arrival rate of work, cores: jobs per second times the
            mean work of a job, because single jobs differ by a factor of ten.
        peak_arrival_rate: Highest rate during a burst, cores.
        burst_starts: Boot times at which bursts began.
        idle_since: Boot time since which a worker has had no tasks, by worker id.
    """

    arrival_rate: float = 0.0
    peak_arrival_rate: float = 0.0
    burst_starts: list[float] = field(default_factory=list)
    idle_since: dict[str, float] = field(default_factory=dict)
    _jobs_per_s: float = 0.0
    _jobs: int = 0
    _observed_at: float = 0.0
    _high_since: float | None = None
    _is_in_burst: bool = False

    def observe(self, report, min_burst_rate, now):
        """Updates the trend with a report.

        Args:
            report: ``PoolReport``.
            min_burst_rate: Lowest rate that counts as a burst, cores.
            now: Boot time in seconds.
        """
        if self._observed_at and report.arrived_jobs >= self._jobs:
            elapsed_s = max(1e-3, now - self._observed_at)
            jobs_per_s = (report.arrived_jobs - self._jobs) / elapsed_s
            weight = 1 - math.exp(-elapsed_s / RATE_AVERAGING_S)
            self._jobs_per_s += weight * (jobs_per_s - self._jobs_per_s)
        self._jobs, self._observed_at = report.arrived_jobs, now
        work_per_job = report.arrived / max(1, report.arrived_jobs)
        self.arrival_rate = self._jobs_per_s * work_per_job
        self._detect_burst(self.arrival_rate > min_burst_rate, now)
        idle = {load.worker_id for load in report.workers if not load.tasks}
        self.idle_since = {
            worker_id: self.idle_since.get(worker_id, now) for worker_id in idle
        }

    def is_rising(self, now):
        """Returns whether the rate became as high as in a burst a short time ago."""
        return self._high_since is not None and now - self._high_since < BURST_RISE_S

    def _detect_burst(self, is_high, now):
        """Records the start of a burst once the rate has stayed high long enough."""
        if not is_high:
            self._high_since = None
            self._is_in_burst = False
            return
        if self._high_since is None:
            self._high_since = now
        if now - self._high_since < BURST_CONFIRM_S:
            return
        self.peak_arrival_rate = max(self.peak_arrival_rate, self.arrival_rate)
        if not self._is_in_burst:
            self._is_in_burst = True
            self.burst_starts.append(self._high_since)
