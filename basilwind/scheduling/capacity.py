"""Autoscaling: how many hosts each pool needs, and which hosts to move.

Load pattern: demand comes in bursts that hit one queue after another. During a burst
a queue receives several times its mean load for some seconds, more than its pool can
serve, and almost nothing between bursts. Moving a host takes seconds, so the planner
sizes a pool by its backlog, by the work that will arrive during the move, and by
earlier bursts, both when one is predicted and as soon as one shows. Running work keeps
the hosts it occupies and no more: surplus hosts are missing in the pool that the next
burst hits, and idle hosts cost money every second.
"""

import math

from basilwind.scheduling.demand import DemandTrend
from basilwind.scheduling.donors import MIN_HOSTS, DonorHosts, share_hosts

BACKLOG_DRAIN_S = 1.1  # slack of a mean job: 0.6 s plus 0.6 of its 1 s critical path
HEADROOM = 1.2  # jobs in flight during a burst vary by 10%; two standard deviations
HOST_MOVE_S = 1.9  # a move (1.5 s), a planning round and the worker's registration
INITIAL_FLOOR_SHARE = 0.5  # of an even share of all hosts, until bursts are known
# Long-running tasks are large and leave gaps that no other one fits into.
LONG_RUNNING_OVERHEAD = 1.3
LATE_BACKLOG_DRAIN_S = 4.0  # late jobs are worth little, and only for up to 5 s more
BURST_RATE_SHARE = 0.35  # of the expected peak rate; bursts reach 4 times the mean
MIN_BURST_HOSTS = 3  # a smaller demand may be a single large job
PREEMPTION_MARGIN = 1  # hosts by which shares may be off before work is interrupted
BUSY_DEMAND_SHARE = 0.25  # a single burst takes a third of all hosts
FIRST_PEAK_SHARE = 0.25  # of all hosts; what a burst needs at least
# Of a pool's hosts; with less in use, a high rate is that of single large jobs.
RISING_LOAD_SHARE = 0.6
KEPT_BURSTS = 2  # of a pool, for a new planner; they tell the period
FORECAST_TOLERANCE_S = 1.5  # how late a predicted burst may begin


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
        if self._is_burst_expected(report.pool, now) or (
            trend.is_rising(now)
            and report.urgent_cpu > RISING_LOAD_SHARE * (1000 * cores)
        ):
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

    def bursts(self):
        """Returns peak rate, in cores, and boot times of the last bursts, by pool."""
        return {
            pool: (trend.peak_arrival_rate, trend.burst_starts[-KEPT_BURSTS:])
            for pool, trend in self._trends.items()
            if trend.burst_starts
        }

    def restore_bursts(self, bursts):
        """Adopts the bursts that a previous planner has seen; see ``bursts``."""
        for pool, (peak_arrival_rate, starts) in bursts.items():
            self._trends[pool] = DemandTrend(
                peak_arrival_rate=peak_arrival_rate, burst_starts=list(starts)
            )

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
        donors = DonorHosts(self._spare_pool, spare)
        for report in reports:
            urgent, total = needs[report.pool]
            floor = self._floor(report.pool, hosts)
            idle = self._trends[report.pool].idle_since
            keep = shares[report.pool] + (PREEMPTION_MARGIN if self._is_short else 0)
            donors.add(report, keep, total, floor, idle)
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

        A pool with fewer than two bursts counts as at least as busy as the mean pool,
        and one of many before any burst as one that needs its share of all hosts.
        """
        if len(trend.burst_starts) > 1:
            return trend.peak_arrival_rate
        others = [
            other.peak_arrival_rate
            for other in self._trends.values()
            if other is not trend and other.burst_starts
        ]
        if others:
            return max(trend.peak_arrival_rate, sum(others) / len(others))
        first_peak = FIRST_PEAK_SHARE * self._host_count * self._host_cpu / 1000
        return max(trend.peak_arrival_rate, first_peak)

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
