"""Series of faults that overlap, around one pool and one of its workers."""

import signal
import time

import anyio

from extras.soak.partition_fleet import DAEMONS, POOLS, WORKERS, ZONES
from extras.soak.proxy import ANSWERS, BOTH, REQUESTS

MAX_FREEZE_S = 6.0
HOLDER_FAULTS = (0, 1, 2, 2, 3, 4)  # in a series
MAX_PAUSE_S = 5.0  # between faults of holders
CHANGE_TIMEOUT_S = 7.0  # a silent holder is replaced sooner
CHECK_S = 0.02
MAX_LEAVE_S = 8.0  # from the end of listening until the end of the process
QUIET_S = 10.0
SETTLE_S = 4.0  # between series, so that the pool works again
KINDS = ("mixed", "old-holder", "turned-away")
UNHEARD_RESTART = "unheard-restart"
UNHEARD_RESTART_SHARE = 0.3  # of the series, beside their other faults
RESTART_CUT_S = (0.2, 1.2)  # shorter than a hold, whose time-out the owner notices
BURST_TASKS = (12, 24)  # more starts at once than there are idle connections
BURST_STEP = {"cpu": 100, "antiAffinity": 8}  # fits beside other tasks, on all workers
BURST_WORK_S = 15.0  # longer than any lease
STORE_FAULTS = ("refuse", "silent", "silent", "slow", "lose", "late")
STORE_TOPICS = (
    (),
    (),
    (),
    ("keyed.duties",),
    ("keyed.heartbeats",),
    ("keyed.duties", "keyed.heartbeats"),
)
CUT_DIRECTIONS = (BOTH, BOTH, (REQUESTS,), (ANSWERS,))


class FaultSeries:
    """Injects faults into a fleet, as drawn from a source of random numbers.

    Args:
        fleet: ``PartitionFleet``.
        source: ``random.Random``.
        submit: Coroutine function that submits a job; see ``PartitionPlay.submit_job``.
    """

    def __init__(self, fleet, source, submit):
        self._fleet = fleet
        self._random = source
        self._submit = submit

    async def run(self, kind=None):
        """Plays one series.

        Args:
            kind: One of ``KINDS``, ``UNHEARD_RESTART``, or None to draw one of the
                former.
        """
        pool = self._random.choice(POOLS)
        kind = kind or self._random.choice((*KINDS, "mixed"))
        if kind == "old-holder":
            await self._run_old_holder(pool)
        elif kind == "turned-away":
            await self._run_turned_away(pool)
        elif kind == UNHEARD_RESTART:
            await self.restart_unheard(pool)
        else:
            await self._run_mixed(pool)
        await anyio.sleep(self._random.uniform(0.0, SETTLE_S))

    async def _run_old_holder(self, pool):
        """Lets only the holder of a pool reach a worker, and gives the pool another.

        The next holder may be killed as soon as it has claimed the pool.
        """
        index = self._fleet.holder(pool)
        faults = (self._freeze, self._cut_from_store, self._turn_away, self._terminate)
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self._cut_worker_from_all_but_holder, pool)
            await anyio.sleep(self._random.uniform(0.0, 1.0))
            tasks.start_soon(self._random.choice(faults), index)
            for _ in range(self._random.choice((0, 1, 1, 2))):
                await self._wait_for_holder_after(pool, index)
                index = self._fleet.holder(pool)
                fault = self._random.choice((self._kill, self._kill, self._terminate))
                tasks.start_soon(fault, index)

    async def _run_turned_away(self, pool):
        """Lets the store turn away most holders for longer than a takeover takes.

        The next holder hears from some of the workers late.
        """
        # Only then does the next holder know of no time without the store.
        await anyio.sleep(QUIET_S)
        faults = (self._delay_answers, self._cut_worker_from_all_but_holder)
        async with anyio.create_task_group() as tasks:
            if self._random.random() < 0.8:
                tasks.start_soon(self._random.choice(faults), pool)
            indexes = self._fleet.holders()
            if len(indexes) > 2 and self._random.random() < 0.3:
                indexes.discard(self._random.choice(sorted(indexes)))
            await self._disturb_store(indexes, "of holders", "silent", (), (2.5, 9.0))

    async def _run_mixed(self, pool):
        """Gives a worker, the store or a zone trouble, and a pool's holders in turn."""
        async with anyio.create_task_group() as tasks:
            if self._random.random() < 0.6:
                trouble = self._random.choice(self._wide_faults())
                tasks.start_soon(self._later, trouble, pool)
            if self._random.random() < 0.85:
                trouble = self._random.choice(self._worker_faults())
                tasks.start_soon(self._later, trouble, pool)
            if self._random.random() < 0.3:
                trouble = self._random.choice(self._worker_faults())
                tasks.start_soon(self._later, trouble, self._random.choice(POOLS))
            for _ in range(self._random.choice(HOLDER_FAULTS)):
                # Holders have something to do between their faults.
                await anyio.sleep(self._random.uniform(0.0, 1.0))
                fault = self._random.choice(self._holder_faults())
                index = self._fleet.holder(pool)
                if index is not None and index not in self._fleet.restarting:
                    tasks.start_soon(fault, index)
                if self._random.random() < 0.5:
                    await self._wait_for_holder_after(pool, index)
                else:
                    await anyio.sleep(self._random.uniform(0.2, MAX_PAUSE_S))

    async def _later(self, fault, pool):
        await anyio.sleep(self._random.choice((0.0, self._random.uniform(0.0, 3.0))))
        await fault(pool)

    async def _wait_for_holder_after(self, pool, index):
        """Waits until another daemon holds a pool, and for a moment after that."""
        deadline = time.monotonic() + CHANGE_TIMEOUT_S
        while self._fleet.holder(pool) == index and time.monotonic() < deadline:
            await anyio.sleep(CHECK_S)
        await anyio.sleep(self._random.choice((0.0, self._random.uniform(0.0, 1.0))))

    async def _last(self, name, heals, range_s, **fields):
        """Notes a fault that has begun, and ends it after a time."""
        duration_s = self._random.uniform(*range_s)
        self._fleet.note(name, duration_s=round(duration_s, 2), **fields)
        await anyio.sleep(duration_s)
        for heal in heals:
            heal()
        self._fleet.note(f"{name}: over", **fields)

    async def _cut(self, name, links, range_s, **fields):
        """Cuts links for a time, in directions and with consequences that are drawn."""
        cut = {
            "directions": self._random.choice(CUT_DIRECTIONS),
            "is_lossy": self._random.random() < 0.4,
            "is_late": self._random.random() < 0.4,
        }
        heals = [link.cut(**cut) for link in links]
        await self._last(name, heals, range_s, **fields, **cut)

    # Faults of a pool's holder

    def _holder_faults(self):
        return (
            self._kill,
            self._kill,
            self._terminate,
            self._freeze,
            self._freeze,
            self._cut_daemon,
            self._turn_away,
            self._silence_daemon,
        )

    async def _kill(self, index):
        pause_s = self._random.choice((0.0, self._random.uniform(0.0, 2.5)))
        await self._restart(index, signal.SIGKILL, pause_s)

    async def _terminate(self, index):
        port = self._fleet.store_ports[index]
        if self._random.random() < 0.4:
            port.fault, port.fault_topics = "lose", ("keyed.duties",)
            self._fleet.note("store loses answers on duties", daemon=index)
        await self._restart(index, signal.SIGTERM, 0.2)
        port.fault = ""

    async def _restart(self, index, number, pause_s):
        fleet = self._fleet
        if index in fleet.restarting:
            return
        fleet.restarting.add(index)
        fleet.signal_daemon(index, signal.SIGCONT)
        await fleet.end_daemon(index, number)
        await anyio.sleep(pause_s)
        await fleet.start_daemon(index)
        fleet.restarting.discard(index)

    async def _freeze(self, index):
        self._fleet.signal_daemon(index, signal.SIGSTOP)
        await self._last("daemon frozen", (), (0.5, MAX_FREEZE_S), daemon=index)
        self._fleet.signal_daemon(index, signal.SIGCONT)

    async def _cut_daemon(self, index):
        links = self._fleet.links_around({index})
        await self._cut("daemon cut", links, (0.5, 8.0), daemon=index)

    async def _cut_from_store(self, index):
        links = self._fleet.links({index}, {"store"})
        await self._cut("daemon cut from store", links, (1.0, 9.0), daemon=index)

    async def _silence_daemon(self, index):
        for link in self._fleet.links_around({index}):
            link.silence()
        self._fleet.note("connections silenced", daemon=index)

    async def _turn_away(self, index):
        await self._disturb_store({index}, "of the holder")

    # Faults of the store and of a zone

    def _wide_faults(self):
        return (
            self._disturb_some,
            self._disturb_holders,
            self._cut_zone,
        )

    async def _disturb_some(self, pool):
        count = self._random.randrange(2, DAEMONS + 1)
        indexes = set(self._random.sample(range(DAEMONS), count))
        await self._disturb_store(indexes, "of some")

    async def _disturb_holders(self, pool):
        await self._disturb_store(self._fleet.holders(), "of holders")

    async def _disturb_store(
        self, indexes, scope, kind=None, topics=None, range_s=(0.5, 8.0)
    ):
        kind = kind or self._random.choice(STORE_FAULTS)
        topics = self._random.choice(STORE_TOPICS) if topics is None else topics
        ports = [self._fleet.store_ports[index] for index in indexes]
        delay_s = self._random.uniform(0.1, 2.0)
        self._fleet.is_registry_down = len(indexes) == DAEMONS
        for port in ports:
            port.fault, port.fault_topics, port.delay_s = kind, topics, delay_s
        await self._last(
            f"store fault {scope}",
            (),
            range_s,
            fault=kind,
            daemons=sorted(indexes),
            topics=topics,
        )
        for port in ports:
            port.fault = ""
        self._fleet.is_registry_down = False

    async def _cut_zone(self, pool):
        """Cuts off a zone, mostly that of the pool's holder."""
        holder = self._fleet.holder(pool)
        zone = self._random.choice(ZONES)
        if holder is not None and self._random.random() < 0.6:
            zone = self._fleet.zone_of(holder)
        links = self._fleet.links_around(self._fleet.members_of_zone(zone))
        await self._cut("zone cut", links, (1.0, 9.0), zone=zone)

    # Faults of a pool's workers

    def _worker_faults(self):
        return (
            self._cut_worker,
            self._cut_worker,
            self._cut_worker_with_holder,
            self._cut_worker_from_all_but_holder,
            self._cut_worker_from_all_but_holder,
            self._cut_worker_from_holder,
            self._delay_answers,
            self._crash_worker,
            self._crash_and_cut_worker,
            self._move_worker,
            self._drain_worker,
        )

    def _draw_worker(self, pool):
        """Returns the number of a worker of a pool that is up, or None."""
        numbers = self._fleet.workers_of_pool(pool)
        if not numbers:
            return None
        return (
            numbers[0] if self._random.random() < 0.7 else self._random.choice(numbers)
        )

    async def _cut_worker(self, pool):
        """Cuts a worker off from everything; it runs on."""
        number = self._draw_worker(pool)
        if number is None:
            return
        links = self._fleet.links_around({self._fleet.worker_source(number)})
        await self._cut("worker cut", links, (2.0, 15.0), number=number)

    async def _cut_worker_with_holder(self, pool):
        """Cuts a worker off, along with the pool's holder."""
        number, holder = self._draw_worker(pool), self._fleet.holder(pool)
        if number is None:
            return
        links = self._fleet.links_around({self._fleet.worker_source(number), holder})
        await self._cut(
            "worker and holder cut", links, (2.0, 15.0), number=number, daemon=holder
        )

    async def _cut_worker_from_all_but_holder(self, pool):
        """Cuts a worker off from all daemons except the pool's holder."""
        number, holder = self._draw_worker(pool), self._fleet.holder(pool)
        if number is None:
            return
        daemons = set(range(DAEMONS)) - {holder}
        await self._cut_worker_from(number, daemons, (6.0, 18.0))

    async def _cut_worker_from_holder(self, pool):
        number, holder = self._draw_worker(pool), self._fleet.holder(pool)
        if number is None:
            return
        daemons = set(self._random.sample(range(DAEMONS), 2)) | {holder}
        await self._cut_worker_from(number, daemons, (2.0, 12.0))

    async def _cut_worker_from(self, number, daemons, range_s):
        source = self._fleet.worker_source(number)
        links = self._fleet.links(daemons, {source})
        if self._random.random() < 0.5:
            links += self._fleet.links({source}, {"store"})
        daemons = sorted(d for d in daemons if d is not None)
        await self._cut(
            "worker cut from daemons", links, range_s, number=number, daemons=daemons
        )

    async def _delay_answers(self, pool):
        number = self._draw_worker(pool)
        if number is None:
            return
        links = self._fleet.links(targets={self._fleet.worker_source(number)})
        delay_s = self._random.uniform(0.1, 2.0)
        for link in links:
            link.answer_delay_s = delay_s
        await self._last(
            "answers delayed", (), (2.0, 10.0), number=number, delay_s=delay_s
        )
        for link in links:
            link.answer_delay_s = 0.0

    async def _crash_worker(self, pool):
        """Kills a worker, which starts again with the same id."""
        number = self._draw_worker(pool)
        if number is not None:
            await self._restart_worker(number)

    async def _restart_worker(self, number):
        config = await self._fleet.kill_worker(number)
        await anyio.sleep(self._random.uniform(0.0, 2.0))
        await self._fleet.start_worker(number, config.pool, config.worker_id)

    async def _crash_and_cut_worker(self, pool):
        """Restarts a worker while orders are on their way, and soon cuts it off."""
        number = self._draw_worker(pool)
        if number is None:
            return
        target = self._fleet.worker_source(number)
        heals = [
            link.cut(BOTH, is_late=True) for link in self._fleet.links(targets={target})
        ]
        await anyio.sleep(self._random.uniform(0.0, 1.0))
        if number in self._fleet.workers:
            await self._restart_worker(number)
        await self._last("worker out of reach", heals, (0.5, 2.0), number=number)
        await anyio.sleep(self._random.uniform(0.0, 1.0))
        links = self._fleet.links_around({target})
        await self._cut("worker cut again", links, (6.0, 15.0), number=number)

    async def restart_unheard(self, pool):
        """Restarts workers behind a short cut, gives them tasks, and cuts them off.

        Their connections stay silent, so that the owner learns of the restart from new
        connections only.
        """
        numbers = self._fleet.workers_of_pool(pool)
        if not numbers:
            return
        numbers = self._random.sample(numbers, self._random.randint(1, len(numbers)))
        targets = {self._fleet.worker_source(number) for number in numbers}
        links = self._fleet.links_around(targets)
        heals = [link.cut(BOTH, is_lossy=True) for link in links]
        for number in numbers:
            self._fleet.restart_worker_unheard(number)
        await self._last("workers cut", heals, RESTART_CUT_S, numbers=numbers)
        count = self._random.randint(*BURST_TASKS)
        await self._submit(pool, BURST_WORK_S, count=count, **BURST_STEP)
        await anyio.sleep(self._random.uniform(0.05, 1.0))
        await self._cut("workers cut again", links, (8.0, 14.0), numbers=numbers)

    async def _drain_worker(self, pool):
        """Replaces a worker that drains; its last runs go on when it has left."""
        number = self._draw_worker(pool)
        if number is None or len(self._fleet.workers_of_pool(pool)) < 2:
            return
        if number in self._fleet.draining:
            return
        self._fleet.draining.add(number)
        if await self._fleet.drain_worker(number):
            config = self._fleet.workers[number]
            await anyio.sleep(self._random.uniform(0.0, MAX_LEAVE_S))
            if self._fleet.workers.get(number) is config:
                await self._fleet.kill_worker(number)
                await self._fleet.start_worker(number, pool)
        self._fleet.draining.discard(number)

    async def _move_worker(self, pool):
        """Ends a worker; one of another pool starts at its address."""
        number = self._draw_worker(pool)
        if number is None or len(self._fleet.workers) < WORKERS:
            return
        if len(self._fleet.workers_of_pool(pool)) < 2:
            return
        config = await self._fleet.kill_worker(number)
        if self._random.random() < 0.5:
            self._fleet.unregister(config.worker_id)
        await anyio.sleep(self._random.uniform(0.0, 2.0))
        other = self._random.choice([other for other in POOLS if other != pool])
        await self._fleet.start_worker(number, other)
