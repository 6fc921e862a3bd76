"""Fakes of what a duty holder uses: clock, store, workers, machines and peers."""

import types

import anyio

from basilwind.entry.pool_arbiter import PoolArbiter
from basilwind.entry.services import Services
from basilwind.entry.store_monitor import StoreMonitor
from basilwind.platform.machines import Machine, MachineState, OrderOutcome
from basilwind.scheduling.demand import PoolReport, WorkerLoad
from basilwind.scheduling.evidence import ConfigurationRead
from basilwind.scheduling.fleet import Configuration, Pool, RequestLimits
from basilwind.scheduling.outages import SUSPECT_AFTER_S
from basilwind.scheduling.reports import StartOutcome, WorkerReport
from tests.scheduling.model import QUEUE, make_entry

POOLS = {
    name: Pool(name, True, name == "spare", "/health") for name in ("pool", "spare")
}
CONFIGURATION = Configuration(
    1, {QUEUE.name: QUEUE}, POOLS, RequestLimits(16384, 262144, 3.0, 15.0)
)


class Clock:
    """A clock that the test advances; boot time and Unix time are the same."""

    def __init__(self):
        self.now = 1000.0

    def __call__(self):
        return self.now


def serve_for_s(monitor, clock, seconds):
    """Advances the clock while the store answers all the time."""
    end = clock.now + seconds
    while clock.now < end:
        clock.now += SUSPECT_AFTER_S / 2
        monitor.record_answer(clock.now)


class FakeStore:
    """A store that accepts everything.

    Attributes:
        on_append: Called with the topic of each append.
        latest: Newest records by topic.
        is_suspected: Whether it has answered no call lately.
    """

    is_suspected = False

    def __init__(self, clock, monitor):
        self._clock = clock
        self._monitor = monitor
        self.on_append = lambda topic: None
        self.latest = {}

    async def append(self, topic, records, at=None, producer=None, timeout_s=1.0):
        sent_at = self._clock()
        self.on_append(topic)
        self._monitor.record_answer(sent_at)
        return 0

    async def read_latest(self, topic):
        return self.latest.get(topic, []), 0

    async def read(self, topic, start, wait_s=0.0):
        await anyio.sleep(wait_s)
        return []


class FakeDuties:
    """Duties whose claims this daemon knows whenever the store answers a call."""

    def __init__(self, monitor):
        self._monitor = monitor

    @property
    def confirmed_at(self):
        """Boot time at which the latest call that the store answered was sent."""
        return self._monitor.confirmed_at

    async def announce_claims(self):
        """Announces the claims of this daemon."""


class FakeWorkers:
    """Workers that accept every order; keeps the starts and the stops."""

    def __init__(self, clock):
        self._clock = clock
        self.starts = []
        self.stops = []

    async def start(self, address, worker_id, task, run, *rest):
        self.starts.append((task, run))
        return StartOutcome.STARTED, self._clock()

    async def stop(self, address, worker_id, task, run, *rest):
        self.stops.append((task, run))
        return True

    async def hold(self, *arguments):
        await anyio.sleep(0.01)
        return WorkerReport(self._clock(), 1, (), ())

    async def prepare_starts(self, worker_id):
        """Prepares no connections, as there are none."""

    async def forget(self, worker_id):
        """Closes no connections, as there are none."""


class FakeMachines:
    """A machine service with idle hosts in the pool, m1 and so on; keeps the orders."""

    def __init__(self, count=1):
        self.orders = []
        self._count = count

    async def list(self):
        return [
            Machine(
                *(f"m{n}", "pool", MachineState.UP, "a", frozenset()),
                cpu=8000,
                memory=64000,
                worker_id=f"w{n}",
            )
            for n in range(1, self._count + 1)
        ]

    async def move(self, machine, pool, holder, token):
        self.orders.append((machine, pool))
        return OrderOutcome.DONE


class FakePeers:
    """Peers that report four idle workers.

    Attributes:
        silent: Returns the ids of workers that do not answer and are not reported.
        on_withhold: Called with the ids of the workers to withhold.
        recent_orders: What a previous planner hands over, or None if it is silent.
    """

    def __init__(self):
        self.silent = lambda: ()
        self.on_withhold = lambda worker_ids: None
        self.recent_orders = None

    async def hand_over_planning(self, claim, token, lease_s):
        return self.recent_orders

    async def withhold(self, pool, worker_ids, token, at_risk=()):
        self.on_withhold(worker_ids)
        ids = {f"w{n}" for n in (1, 2, 3, 4)} - set(self.silent())
        idle = [WorkerLoad(worker_id, 8000, 0, 0) for worker_id in sorted(ids)]
        return PoolReport(pool, idle, 0.0, 0.0, 0, 0, 0, 0, 0, 0.0, 0)


class FakeConfiguration:
    """The operator's configuration, which can be read at any time.

    Attributes:
        current: ``Configuration``.
        newer: ``Configuration`` that the next read finds, or None.
        confirmed_at: Boot time of the latest read, or None.
        can_be_read: Whether the store answers.
        reads: Number of reads that a caller had to wait for.
    """

    def __init__(self, clock):
        self._clock = clock
        self._queues = dict(CONFIGURATION.queues)
        self.current = CONFIGURATION
        self.newer = None
        self.confirmed_at = clock()
        self.can_be_read = True
        self.reads = 0
        self.waves = {}

    @property
    def latest_read(self):
        return ConfigurationRead(self.confirmed_at)

    async def confirm(self, since):
        if self.latest_read.was_sent_since(since):
            return True
        self.reads += 1
        if self.can_be_read:
            self.confirmed_at = self._clock()
            self.current = self.newer or self.current
        return self.can_be_read

    def find_queue(self, name):
        return self._queues.get(name)

    def find_customer(self, name):
        return (CONFIGURATION.customers or {}).get(name)

    def customer_names(self):
        return ()

    def pool_names(self):
        return ["pool"]

    def remember_queue(self, queue):
        return self._queues.setdefault(queue.name, queue)


class FakeRoutes:
    """List of routes by which jobs may have been accepted.

    Attributes:
        others: ``PastRoute`` objects of each path besides its current route.
    """

    def __init__(self):
        self.others = set()

    async def record(self, queue):
        pass

    async def refresh(self, now):
        pass

    def pools(self, queue):
        return self.pools_of_path(queue.path)

    def pools_of_path(self, path):
        return {route.pool for route in self.others}

    def other_routes(self, queue):
        return self.others

    def has_pool(self, pool):
        return any(route.pool == pool for route in self.others)


class FakeWitnesses:
    """Daemons that can have confirmed an outage to previous owners.

    Attributes:
        has_ruled_out: Whether none of them was without the store.
    """

    def __init__(self):
        self.has_ruled_out = True

    async def rule_out_outage(self, duty):
        return self.has_ruled_out


async def _answer_no(*arguments):
    return False


def make_services(
    clock,
    report=lambda event, **fields: None,
    is_outage=False,
    decline=lambda *arguments: None,
):
    """Returns ``Services`` with fakes, as a duty holder gets them."""
    monitor = StoreMonitor(clock)
    registry = types.SimpleNamespace(
        is_loaded=True,
        entries_of_pool=lambda pool: {"w1": make_entry("w1")},
        expire_missing=lambda now: None,
    )
    configuration = FakeConfiguration(clock)
    settings = types.SimpleNamespace(
        finished_job_retention_s=120.0,
        store_record_bytes=262144,
        max_lease_s=10.0,
        max_stop_s=0.9,
        remote_factor=1.0,
        move_s=1.5,
        maintenance_s=2.0,
        machine_lease_s=3,
        has_strict_revocation=False,
        revoke_s=5.0,
        config_apply_s=3.0,
    )
    routes = FakeRoutes()
    return Services(
        settings=settings,
        incarnation="e1#1",
        transport=None,
        store=FakeStore(clock, monitor),
        worker_control=FakeWorkers(clock),
        machine_client=FakeMachines(),
        advice_client=None,
        configuration=configuration,
        routes=routes,
        registry=registry,
        duties=FakeDuties(monitor),
        clock=clock,
        wall_clock=clock,
        report=report,
        store_monitor=monitor,
        on_fenced=lambda pool, token: None,
        outage=types.SimpleNamespace(is_confirmed=is_outage, relays=lambda: []),
        outage_witnesses=FakeWitnesses(),
        has_previous_owner_recorded_all=_answer_no,
        fully_recorded_pools={},
        arbiter=PoolArbiter(routes, configuration, decline, clock),
    )
