"""How many machines each pool needs, and which ones to move.

Load pattern: demand comes in turns. Each queue asks several times its mean for
some seconds, more than its pool holds, and next to nothing in between. A move
takes seconds, so machines are fetched by what waits, by what will have come when
they arrive, and before a turn that the last ones foretell. Work that runs keeps
the machines it has and no more: what a pool holds beyond that is missing where
the next turn begins, and idle machines cost money every second.
"""

import math
from dataclasses import dataclass, field

import msgspec

DRAIN_S = 1.1  # slack of a mean job: 0.6 s and 0.6 of its chain of 1 s
HEADROOM = 1.2  # jobs in flight in a turn vary by a tenth; two deviations
FETCH_S = 1.9  # a move of 1.5 s, a planner's turn and the worker's first entry
SURE_FLOOR = 2  # machines left in a pool whose next turn is foretold
UNSURE_FLOOR_SHARE = 0.5  # of an even share of all machines, before turns are known
LASTING_FILL = 1.3  # lasting tasks are large, and leave gaps that none fits into
IDLE_S = 0.8  # work between two steps of a job leaves machines idle for a moment
LATE_DRAIN_S = 4.0  # late jobs are worth little, for up to 5 s more
RATE_S = 0.5  # a turn's first half second tells it from single jobs
SUSTAINED_S = 1.0  # two jobs at once look like a turn for 0.9 s
TURN_SHARE = 0.35  # of the highest rate seen; turns ask 4 times the mean
TURN_MACHINES = 3  # less than that is a single large job
TAKE_MARGIN = 1  # machines by which shares may be off before work is interrupted
BUSY_SHARE = 0.25  # a turn alone takes a third of all machines
FORETELL_S = 1.5  # how long a foretold turn may be late


class WorkerLoad(msgspec.Struct, array_like=True):
    """What runs on a worker.

    Attributes:
        worker_id: Id of the worker.
        cpu: Its thousandths of a core.
        tasks: Tasks that it has or may have.
        long_running: How many of these last.
        is_withheld: Whether it gets no new tasks.
    """

    worker_id: str
    cpu: int
    tasks: int
    long_running: int
    is_withheld: bool = False


class PoolReport(msgspec.Struct):
    """What a pool's owner tells the planner.

    Attributes:
        pool: Name of the pool.
        workers: Its usable and withheld workers.
        urgent_work: Work of tasks that wait for a worker, of jobs that can make
            their objective, core-seconds.
        late_work: The same of late jobs.
        urgent_cpu: Thousandths of a core that tasks of jobs that can make their
            objective have on workers; lasting tasks are not counted.
        late_cpu: The same of late jobs.
        lasting_cpu: Thousandths of a core that lasting tasks need.
        lasting_memory: Megabytes that lasting tasks need.
        lasting_waiting: Lasting tasks that found no room.
        arrived: Work of all jobs taken in so far, core-seconds.
        arrived_jobs: Their number.
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
class PoolTrend:
    """What the planner has learned of a pool's demand.

    Attributes:
        rate: Recent arrivals, cores: jobs a second, of a mean job's work each,
            since single jobs differ by a factor of ten.
        peak: Highest rate of a turn.
        starts: When turns began; boot time.
        idle_since: Since when a worker has been empty, by id.
    """

    rate: float = 0.0
    peak: float = 0.0
    starts: list[float] = field(default_factory=list)
    idle_since: dict[str, float] = field(default_factory=dict)
    _jobs_rate: float = 0.0
    _jobs: int = 0
    _seen_at: float = 0.0
    _high_since: float | None = None
    _is_in_turn: bool = False

    def observe(self, report, turn_rate, now):
        """Learns from a report.

        Args:
            report: ``PoolReport``.
            turn_rate: Least rate of a turn, cores.
            now: Boot time in seconds.
        """
        if self._seen_at and report.arrived_jobs >= self._jobs:
            span = max(1e-3, now - self._seen_at)
            rate = (report.arrived_jobs - self._jobs) / span
            weight = 1 - math.exp(-span / RATE_S)
            self._jobs_rate += weight * (rate - self._jobs_rate)
        self._jobs, self._seen_at = report.arrived_jobs, now
        work_of_job = report.arrived / max(1, report.arrived_jobs)
        self.rate = self._jobs_rate * work_of_job
        self._note_turn(self.rate > turn_rate, now)
        idle = {load.worker_id for load in report.workers if not load.tasks}
        self.idle_since = {
            worker_id: self.idle_since.get(worker_id, now) for worker_id in idle
        }

    def _note_turn(self, is_high, now):
        """Takes a turn for begun once arrivals have been high for some time."""
        if not is_high:
            self._high_since = None
            self._is_in_turn = False
            return
        if self._high_since is None:
            self._high_since = now
        if now - self._high_since < SUSTAINED_S:
            return
        self.peak = max(self.peak, self.rate)
        if not self._is_in_turn:
            self._is_in_turn = True
            self.starts.append(self._high_since)


@dataclass(frozen=True, slots=True)
class Move:
    """A machine to be moved."""

    worker_id: str
    source: str
    target: str


def share_machines(needs, machines):
    """Shares machines among pools in proportion to what they need.

    Args:
        needs: Machines that each pool needs.
        machines: Number of machines that there are.

    Returns:
        Machines by pool; what they need if that is there.
    """
    total = sum(needs.values())
    if total <= machines or not total:
        return dict(needs)
    shares = {pool: need * machines // total for pool, need in needs.items()}
    left = machines - sum(shares.values())
    for pool in sorted(needs, key=lambda pool: shares[pool] - needs[pool])[:left]:
        shares[pool] += 1
    return shares


class _Sources:
    """Machines that can be taken from one pool for another."""

    def __init__(self, spare_pool, spare):
        self._spare_pool = spare_pool
        self._spare = spare
        self._idle = []
        self._busy = []

    def add(self, report, keep_urgent, keep, idle_since):
        """Adds what a pool can give away.

        Args:
            report: ``PoolReport``.
            keep_urgent: Machines that its urgent work needs.
            keep: Machines that all its work needs.
            idle_since: Since when a worker has been empty, by id.
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
            pool: Pool that needs machines.
            wanted: How many it needs.
            may_interrupt: Whether late work of other pools has to wait for it.
        """
        moves = []
        while len(moves) < wanted:
            if self._spare > 0:
                self._spare -= 1
                moves.append(Move("", self._spare_pool, pool))
                continue
            row = self._pop(self._idle, pool)
            if row is None and may_interrupt:
                row = self._pop(self._busy, pool)
            if row is None:
                break
            moves.append(Move(row[1], row[0], pool))
        return moves

    def _pop(self, rows, pool):
        for number, row in enumerate(rows):
            if row[0] != pool:
                return rows.pop(number)
        return None

    def give_back(self, now):
        """Returns moves of machines that have been idle for some time."""
        return [
            Move(worker_id, pool, self._spare_pool)
            for pool, worker_id, since in self._idle
            if now - since >= IDLE_S
        ]


class CapacityPlanner:
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
        self._is_short = False
        self._machines = 0

    def _observe(self, report, now):
        """Learns from a report; returns the urgent need and all need, machines."""
        trend = self._trends.setdefault(report.pool, PoolTrend())
        turn_rate = max(
            TURN_MACHINES * self._machine_cpu / 1000,
            TURN_SHARE * self._expected_peak(trend),
        )
        trend.observe(report, turn_rate, now)
        cores = sum(load.cpu for load in report.workers) / 1000
        lasting = report.lasting_cpu / 1000
        growth = max(0.0, trend.rate - (cores - lasting)) * FETCH_S
        running = HEADROOM * report.urgent_cpu / 1000
        urgent = running + (report.urgent_work + growth) / DRAIN_S
        if self._is_foretold(report.pool, now):
            urgent = max(urgent, self._expected_peak(trend))
        to_last = self._machines_to_last(report)
        urgent = max((urgent + lasting) * 1000 / self._machine_cpu, to_last)
        late = report.late_work / LATE_DRAIN_S + report.late_cpu / 1000
        late *= 1000 / self._machine_cpu
        self._needs[report.pool] = urgent
        return math.ceil(urgent), math.ceil(urgent + late)

    def _machines_to_last(self, report):
        """Returns how many machines the lasting tasks need."""
        if report.lasting_waiting:
            return len(report.workers) + 1
        return LASTING_FILL * report.lasting_memory / self._machine_memory

    def needs(self):
        """Returns the machines that each pool needed when last seen."""
        return {pool: round(need, 1) for pool, need in self._needs.items()}

    def starts_of(self, pool):
        """Returns when a pool's turns began; boot time."""
        return list(self._trends[pool].starts)

    @property
    def is_busy(self):
        """Whether a turn takes so many machines that the next one needs the rest."""
        return sum(self._needs.values()) > BUSY_SHARE * self._machines

    def is_pool_short(self, report):
        """Tells whether a pool had fewer machines than it needed when last seen."""
        return self._needs.get(report.pool, 0.0) > len(report.workers) - 1

    def _floor(self, pool, machines):
        """Returns how many machines stay in a pool at least.

        Args:
            pool: Name of the pool.
            machines: Number of all machines, spare ones included.
        """
        if self._period(pool) is not None:
            return SURE_FLOOR
        return max(SURE_FLOOR, round(machines / len(self._trends) * UNSURE_FLOOR_SHARE))

    def plan_moves(self, reports, spare, incoming, now):
        """Decides which machines to move, once they are empty.

        Args:
            reports: ``PoolReport`` of each pool.
            spare: Spare machines that are up.
            incoming: Machines on their way to each pool.
            now: Boot time in seconds.

        Returns:
            List of ``Move``. Those that fetch a spare machine have an empty
            worker id.
        """
        needs = {report.pool: self._observe(report, now) for report in reports}
        machines = spare + sum(incoming.values())
        machines += sum(len(report.workers) for report in reports)
        self._machines = machines
        have = {
            report.pool: len(report.workers) + incoming.get(report.pool, 0)
            for report in reports
        }
        shares = share_machines({pool: row[0] for pool, row in needs.items()}, machines)
        self._is_short = sum(row[0] for row in needs.values()) > machines
        sources = _Sources(self._spare_pool, spare)
        for report in reports:
            urgent, full = needs[report.pool]
            floor = self._floor(report.pool, machines)
            idle = self._trends[report.pool].idle_since
            keep = shares[report.pool] + (TAKE_MARGIN if self._is_short else 0)
            sources.add(report, max(keep, floor), max(full, floor), idle)
        moves = []
        for pool, share in sorted(
            shares.items(), key=lambda item: have[item[0]] - item[1]
        ):
            moves += sources.take(pool, share - have[pool], may_interrupt=True)
        for pool, (urgent, full) in needs.items():
            wanted = full - max(have[pool], urgent)
            moves += sources.take(pool, wanted, may_interrupt=False)
        return moves + sources.give_back(now)

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
