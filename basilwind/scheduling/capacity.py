"""Autoscaling: how many hosts each pool needs, and which hosts to move.

Load pattern: demand comes in bursts that hit one queue after another. During a burst
a queue receives several times its mean load for some seconds, more than its pool can
serve, and almost nothing between bursts. Moving a host takes seconds, so the planner
sizes a pool by its backlog, by the work that will arrive during the move, and by
bursts predicted from earlier ones. Running work keeps the hosts it occupies and no
more: surplus hosts are missing in the pool that the next burst hits, and idle hosts
cost money every second.
"""

import math
from dataclasses import dataclass, field

import msgspec

BACKLOG_DRAIN_S = 1.1  # slack of a mean job: 0.6 s plus 0.6 of its 1 s critical path
HEADROOM = 1.2  # jobs in flight during a burst vary by 10%; two standard deviations
HOST_MOVE_S = 1.9  # a move (1.5 s), a planning round and the worker's registration
MIN_HOSTS = 2  # kept in a pool whose next burst can be predicted
INITIAL_FLOOR_SHARE = 0.5  # of an even share of all hosts, until bursts are known
# Long-running tasks are large and leave gaps that no other one fits into.
LONG_RUNNING_OVERHEAD = 1.3
IDLE_RELEASE_S = 0.8  # hosts are briefly idle between two steps of a job
LATE_BACKLOG_DRAIN_S = 4.0  # late jobs are worth little, and only for up to 5 s more
RATE_AVERAGING_S = 0.5  # long enough to distinguish a burst from single jobs
BURST_CONFIRM_S = 1.0  # two simultaneous jobs look like a burst for 0.9 s
BURST_RATE_SHARE = 0.35  # of the expected peak rate; bursts reach 4 times the mean
MIN_BURST_HOSTS = 3  # a smaller demand may be a single large job
PREEMPTION_MARGIN = 1  # hosts by which shares may be off before work is interrupted
BUSY_DEMAND_SHARE = 0.25  # a single burst takes a third of all hosts
FORECAST_TOLERANCE_S = 1.5  # how late a predicted burst may begin


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
    cpu: int
    tasks: int
    long_running: int
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
    urgent_work: float
    late_work: float
    urgent_cpu: int
    late_cpu: int
    lasting_cpu: int
    lasting_memory: int
    lasting_waiting: int
    arrived: float
    arrived_jobs: int


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


@dataclass(frozen=True, slots=True)
class Move:
    """A host to be moved between pools.

    Attributes:
        worker_id: Worker on the host; empty for any spare host.
        source: Pool that the host leaves.
        target: Pool that the host joins.
    """

    worker_id: str
    source: str
    target: str


def share_hosts(needs, hosts):
    """Distributes hosts among pools in proportion to their needs.

    Args:
        needs: Number of hosts needed, by pool.
        hosts: Number of hosts available.

    Returns:
        Number of hosts by pool; equal to ``needs`` if there are enough hosts.
    """
    total = sum(needs.values())
    if total <= hosts or not total:
        return dict(needs)
    shares = {pool: need * hosts // total for pool, need in needs.items()}
    left = hosts - sum(shares.values())
    for pool in sorted(needs, key=lambda pool: shares[pool] - needs[pool])[:left]:
        shares[pool] += 1
    return shares


class _DonorHosts:
    """Hosts that pools can give up: spare ones, then idle ones, then busy ones."""

    def __init__(self, spare_pool, spare):
        self._spare_pool = spare_pool
        self._spare = spare
        self._idle = []
        self._busy = []

    def add(self, report, keep_urgent, keep, idle_since):
        """Adds the hosts that a pool can give up.

        Args:
            report: ``PoolReport``.
            keep_urgent: Number of hosts that its urgent work needs.
            keep: Number of hosts that all its work needs.
            idle_since: Boot time since which a worker has had no tasks, by worker id.
        """
        count = len(report.workers)
        idle = sorted((since, worker_id) for worker_id, since in idle_since.items())
        idle = idle[: max(0, count - keep)]
        self._idle += [(report.pool, worker_id, since) for since, worker_id in idle]
        taken = {worker_id for _, worker_id in idle}
        busy = sorted(
            (not load.is_withheld, load.tasks, load.worker_id)
            for load in report.workers
            if not load.long_running and load.worker_id not in taken
        )
        busy = busy[: max(0, count - keep_urgent - len(idle))]
        self._busy += [(report.pool, worker_id) for _, _, worker_id in busy]

    def take(self, pool, wanted, may_interrupt):
        """Returns up to ``wanted`` moves to a pool.

        Args:
            pool: Pool that needs hosts.
            wanted: Number of hosts that it needs.
            may_interrupt: Whether hosts that run late work may be taken.
        """
        moves = []
        while len(moves) < wanted:
            if self._spare > 0:
                self._spare -= 1
                moves.append(Move("", self._spare_pool, pool))
                continue
            host = self._pop(self._idle, pool)
            if host is None and may_interrupt:
                host = self._pop(self._busy, pool)
            if host is None:
                break
            moves.append(Move(host[1], host[0], pool))
        return moves

    def _pop(self, hosts, pool):
        """Removes and returns the first host of another pool, or returns None."""
        for index, host in enumerate(hosts):
            if host[0] != pool:
                return hosts.pop(index)
        return None

    def release_idle(self, now):
        """Returns moves to the spare pool for hosts that have been idle long enough."""
        return [
            Move(worker_id, pool, self._spare_pool)
            for pool, worker_id, since in self._idle
            if now - since >= IDLE_RELEASE_S
        ]


class CapacityPlanner:
    """Decides in each planning round which hosts to move.

    Args:
        spare_pool: Pool whose hosts are switched off until they are moved.
        host_cpu: CPU capacity of a host, millicores.
        host_memory: Memory of a host, megabytes.
    """

    def __init__(self, spare_pool, host_cpu, host_memory):
        self._spare_pool = spare_pool
        self._host_cpu = host_cpu
        self._host_memory = host_memory
        self._trends = {}
        self._needs = {}
        self._is_short = False
        self._host_count = 0

    def _estimate_need(self, report, now):
        """Updates a pool's trend and estimates how many hosts the pool needs.

        Returns:
            Number of hosts for urgent work, and number of hosts for all work.
        """
        trend = self._trends.setdefault(report.pool, DemandTrend())
        min_burst_rate = max(
            MIN_BURST_HOSTS * self._host_cpu / 1000,
            BURST_RATE_SHARE * self._expected_peak(trend),
        )
        trend.observe(report, min_burst_rate, now)
        cores = sum(load.cpu for load in report.workers) / 1000
        long_running_cores = report.lasting_cpu / 1000
        backlog_growth = (
            max(0.0, trend.arrival_rate - (cores - long_running_cores)) * HOST_MOVE_S
        )
        running_cores = HEADROOM * report.urgent_cpu / 1000
        urgent_cores = (
            running_cores + (report.urgent_work + backlog_growth) / BACKLOG_DRAIN_S
        )
        if self._is_burst_expected(report.pool, now):
            urgent_cores = max(urgent_cores, self._expected_peak(trend))
        long_running_hosts = self._hosts_for_long_running(report)
        urgent_hosts = max(
            (urgent_cores + long_running_cores) * 1000 / self._host_cpu,
            long_running_hosts,
        )
        late = report.late_work / LATE_BACKLOG_DRAIN_S + report.late_cpu / 1000
        late *= 1000 / self._host_cpu
        self._needs[report.pool] = urgent_hosts
        return math.ceil(urgent_hosts), math.ceil(urgent_hosts + late)

    def _hosts_for_long_running(self, report):
        """Returns how many hosts the memory of long-running tasks requires.

        While one of these tasks fits on no worker, the pool needs another host.
        """
        if report.lasting_waiting:
            return len(report.workers) + 1
        return LONG_RUNNING_OVERHEAD * report.lasting_memory / self._host_memory

    def needs(self):
        """Returns the number of hosts that each pool's last report called for."""
        return {pool: round(need, 1) for pool, need in self._needs.items()}

    def burst_starts_of(self, pool):
        """Returns the boot times at which a pool's bursts began."""
        return list(self._trends[pool].burst_starts)

    @property
    def is_busy(self):
        """Whether demand is so high that another burst would need all other hosts."""
        return sum(self._needs.values()) > BUSY_DEMAND_SHARE * self._host_count

    def is_pool_short(self, report):
        """Returns whether a pool with one host less would have fewer than it needs."""
        return self._needs.get(report.pool, 0.0) > len(report.workers) - 1

    def _floor(self, pool, hosts):
        """Returns the minimum number of hosts of a pool.

        Args:
            pool: Name of the pool.
            hosts: Number of all hosts, including spare ones.
        """
        if self._burst_period_s(pool) is not None:
            return MIN_HOSTS
        return max(MIN_HOSTS, round(hosts / len(self._trends) * INITIAL_FLOOR_SHARE))

    def plan_moves(self, reports, spare, incoming, now):
        """Decides which hosts to move as soon as they run no tasks.

        Args:
            reports: ``PoolReport`` of each pool.
            spare: Number of spare hosts that are available.
            incoming: Number of hosts being moved to each pool.
            now: Boot time in seconds.

        Returns:
            List of ``Move``; moves from the spare pool have an empty worker id.
        """
        needs = {report.pool: self._estimate_need(report, now) for report in reports}
        hosts = spare + sum(incoming.values())
        hosts += sum(len(report.workers) for report in reports)
        self._host_count = hosts
        supply = {
            report.pool: len(report.workers) + incoming.get(report.pool, 0)
            for report in reports
        }
        shares = share_hosts({pool: need[0] for pool, need in needs.items()}, hosts)
        self._is_short = sum(need[0] for need in needs.values()) > hosts
        donors = _DonorHosts(self._spare_pool, spare)
        for report in reports:
            urgent, total = needs[report.pool]
            floor = self._floor(report.pool, hosts)
            idle = self._trends[report.pool].idle_since
            keep = shares[report.pool] + (PREEMPTION_MARGIN if self._is_short else 0)
            donors.add(report, max(keep, floor), max(total, floor), idle)
        moves = []
        for pool, share in sorted(
            shares.items(), key=lambda item: supply[item[0]] - item[1]
        ):
            moves += donors.take(pool, share - supply[pool], may_interrupt=True)
        for pool, (urgent, total) in needs.items():
            wanted = total - max(supply[pool], urgent)
            moves += donors.take(pool, wanted, may_interrupt=False)
        return moves + donors.release_idle(now)

    def _expected_peak(self, trend):
        """Returns the peak rate to expect of a burst, judged by earlier bursts.

        A pool with fewer than two bursts counts as at least as busy as the mean pool.
        """
        if len(trend.burst_starts) > 1:
            return trend.peak_arrival_rate
        others = [
            other.peak_arrival_rate
            for other in self._trends.values()
            if other is not trend and other.burst_starts
        ]
        return max(
            trend.peak_arrival_rate, sum(others) / len(others) if others else 0.0
        )

    def _burst_period_s(self, pool):
        """Returns the time between two bursts of a pool, or None if unknown.

        Before a pool's second burst the period is extrapolated from the first bursts
        of all pools, which follow one another.
        """
        starts = self._trends[pool].burst_starts
        if len(starts) > 1:
            return starts[-1] - starts[-2]
        firsts = sorted(
            trend.burst_starts[0]
            for trend in self._trends.values()
            if trend.burst_starts
        )
        if len(firsts) < len(self._trends) or len(firsts) < 2:
            return None
        return (firsts[-1] - firsts[0]) / (len(firsts) - 1) * len(firsts)

    def _is_burst_expected(self, pool, now):
        """Returns whether a burst is due within the time that a move takes."""
        period_s = self._burst_period_s(pool)
        starts = self._trends[pool].burst_starts
        if period_s is None or not starts:
            return False
        due = starts[-1] + period_s
        return due - HOST_MOVE_S <= now <= due + FORECAST_TOLERANCE_S
