"""How many machines each pool needs, and which ones to move.

Load pattern: demand comes in turns. Each queue asks several times its mean for
some seconds, more than its pool holds, and next to nothing in between. A move
takes seconds, so machines are fetched by what the work at hand will need when
they arrive, and before a turn that the last ones foretell; idle machines cost
money every second and go back to the spare pool.
"""

import math
from dataclasses import dataclass, field

import msgspec

DRAIN_S = 1.1  # slack of a mean job: 0.6 s and 0.6 of its chain of 1 s
FETCH_S = 1.9  # a move of 1.5 s, a planner's turn and the worker's first entry
SURE_FLOOR = 2  # machines left in a pool whose next turn is foretold
UNSURE_FLOOR_SHARE = 0.5  # of an even share of all machines, before turns are known
LASTING_FILL = 1.3  # lasting tasks are large, and leave gaps that none fits into
IDLE_S = 0.8  # work between two steps of a job leaves machines idle for a moment
RATE_S = 0.5  # a turn's first half second tells it from single jobs
TURN_SHARE = 0.35  # of the highest rate seen; turns ask 4 times the mean
FORETELL_S = 1.5  # how long a foretold turn may be late


class WorkerLoad(msgspec.Struct, array_like=True):
    """What runs on a worker.

    Attributes:
        worker_id: Id of the worker.
        cpu: Its thousandths of a core.
        tasks: Tasks that it has or may have.
        lasting: How many of these last.
    """

    worker_id: str
    cpu: int
    tasks: int
    lasting: int


class PoolReport(msgspec.Struct):
    """What a pool's owner tells the planner.

    Attributes:
        pool: Name of the pool.
        workers: Its usable and withheld workers.
        work: Unfinished work of jobs that end, core-seconds.
        lasting_cpu: Thousandths of a core that lasting tasks need.
        lasting_memory: Megabytes that lasting tasks need.
        lasting_waiting: Lasting tasks that found no room.
        arrived: Work of all jobs taken in so far, core-seconds.
    """

    pool: str
    workers: list[WorkerLoad]
    work: float
    lasting_cpu: int
    lasting_memory: int
    lasting_waiting: int
    arrived: float


@dataclass
class PoolTrend:
    """What the planner has learned of a pool's demand.

    Attributes:
        rate: Recent arrivals, cores.
        peak: Highest rate of a turn.
        starts: When turns began; boot time.
        idle_since: Since when a worker has been empty, by id.
        is_in_turn: Whether arrivals are near their highest.
    """

    rate: float = 0.0
    peak: float = 0.0
    starts: list[float] = field(default_factory=list)
    idle_since: dict[str, float] = field(default_factory=dict)
    is_in_turn: bool = False
    _arrived: float = 0.0
    _seen_at: float = 0.0

    def observe(self, report, turn_rate, now):
        """Learns from a report.

        Args:
            report: ``PoolReport``.
            turn_rate: Least rate of a turn, cores.
            now: Boot time in seconds.
        """
        if self._seen_at and report.arrived >= self._arrived:
            span = max(1e-3, now - self._seen_at)
            rate = (report.arrived - self._arrived) / span
            weight = 1 - math.exp(-span / RATE_S)
            self.rate += weight * (rate - self.rate)
        self._arrived, self._seen_at = report.arrived, now
        self.peak = max(self.peak, self.rate)
        is_in_turn = self.rate > turn_rate
        if is_in_turn and not self.is_in_turn:
            self.starts.append(now)
        self.is_in_turn = is_in_turn
        idle = {load.worker_id for load in report.workers if not load.tasks}
        self.idle_since = {
            worker_id: self.idle_since.get(worker_id, now) for worker_id in idle
        }


@dataclass(frozen=True, slots=True)
class Move:
    """A machine to be moved."""

    worker_id: str
    source: str
    target: str


class CapacityPlan:
    """Decides on moves from tick to tick.

    Args:
        spare_pool: Pool whose machines are off.
        machine_cpu: Thousandths of a core of a machine.
        machine_memory: Megabytes of a machine.
    """

    def __init__(self, spare_pool, machine_cpu, machine_memory):
        self._spare_pool = spare_pool
        self._machine_cpu = machine_cpu
        self._machine_memory = machine_memory
        self._trends = {}
        self._needs = {}

    def needed(self, report, now):
        """Returns how many machines a pool needs, whole or not."""
        trend = self._trends.setdefault(report.pool, PoolTrend())
        turn_rate = max(
            self._machine_cpu / 1000, TURN_SHARE * self._expected_peak(trend)
        )
        trend.observe(report, turn_rate, now)
        cores = sum(load.cpu for load in report.workers) / 1000
        lasting = report.lasting_cpu / 1000
        growth = max(0.0, trend.rate - (cores - lasting)) * FETCH_S
        need = (report.work + growth) / DRAIN_S
        if trend.is_in_turn or self._is_foretold(report.pool, now):
            need = max(need, self._expected_peak(trend))
        machines = (need + lasting) * 1000 / self._machine_cpu
        machines = max(machines, self._machines_to_last(report))
        self._needs[report.pool] = machines
        return machines

    def _machines_to_last(self, report):
        """Returns how many machines the lasting tasks need."""
        if report.lasting_waiting:
            return len(report.workers) + 1
        return LASTING_FILL * report.lasting_memory / self._machine_memory

    def needs(self):
        """Returns the machines that each pool needed when last seen."""
        return {pool: round(need, 1) for pool, need in self._needs.items()}

    def is_short(self, report):
        """Tells whether a pool had fewer machines than it needed when last seen."""
        return self._needs.get(report.pool, 0.0) > len(report.workers) - 1

    def floor(self, pool, machines):
        """Returns how many machines stay in a pool at least.

        Args:
            pool: Name of the pool.
            machines: Number of all machines, spare ones included.
        """
        if self._period(pool) is not None:
            return SURE_FLOOR
        return max(SURE_FLOOR, round(machines / len(self._trends) * UNSURE_FLOOR_SHARE))

    def moves(self, reports, spare, incoming, now):
        """Decides which machines to move.

        Args:
            reports: ``PoolReport`` of each pool.
            spare: Spare machines that are up.
            incoming: Machines on their way to each pool.
            now: Boot time in seconds.

        Returns:
            List of ``Move``. Those that fetch a spare machine have an empty
            worker id.
        """
        wanted, surplus = {}, []
        needs = {row.pool: math.ceil(self.needed(row, now)) for row in reports}
        machines = spare + sum(incoming.values())
        machines += sum(len(report.workers) for report in reports)
        for report in reports:
            need = needs[report.pool]
            have = len(report.workers) + incoming.get(report.pool, 0)
            wanted[report.pool] = need - have
            floor = self.floor(report.pool, machines)
            surplus += self._surplus(report, max(need, floor), now)
        moves = []
        left = spare
        for pool, count in sorted(wanted.items(), key=lambda item: -item[1]):
            for _ in range(max(0, count)):
                if left > 0:
                    left -= 1
                    moves.append(Move("", self._spare_pool, pool))
                    continue
                taken = next((row for row in surplus if row[0] != pool), None)
                if taken is None:
                    break
                surplus.remove(taken)
                moves.append(Move(taken[1], taken[0], pool))
        moves += [
            Move(worker_id, pool, self._spare_pool)
            for pool, worker_id, idle_s in surplus
            if idle_s >= IDLE_S
        ]
        return moves

    def _expected_peak(self, trend):
        """Returns the rate that a turn will reach, as far as turns so far tell."""
        if len(trend.starts) > 1:
            return trend.peak
        others = [
            other.peak
            for other in self._trends.values()
            if other is not trend and other.starts
        ]
        return max(trend.peak, sum(others) / len(others) if others else 0.0)

    def _surplus(self, report, keep, now):
        trend = self._trends[report.pool]
        idle = sorted(
            (since, worker_id) for worker_id, since in trend.idle_since.items()
        )
        count = max(0, len(report.workers) - keep)
        return [
            (report.pool, worker_id, now - since) for since, worker_id in idle[:count]
        ]

    def _period(self, pool):
        """Returns the time between two turns of a pool, or None if unknown."""
        starts = self._trends[pool].starts
        if len(starts) > 1:
            return starts[-1] - starts[-2]
        firsts = sorted(
            trend.starts[0] for trend in self._trends.values() if trend.starts
        )
        if len(firsts) < len(self._trends) or len(firsts) < 2:
            return None
        return (firsts[-1] - firsts[0]) / (len(firsts) - 1) * len(firsts)

    def _is_foretold(self, pool, now):
        period = self._period(pool)
        starts = self._trends[pool].starts
        if period is None or not starts:
            return False
        due = starts[-1] + period
        return due - FETCH_S <= now <= due + FORETELL_S
