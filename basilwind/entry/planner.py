"""The fleet planner: moves machines to demand and takes them down for waves."""

import anyio
import msgspec

from basilwind.entry.fenced import FencedTopic
from basilwind.entry.follower import RETRY_S
from basilwind.entry.takeover import read_newest
from basilwind.errors import (
    CallUnanswered,
    NotOwner,
    PlatformUnavailable,
    ProducerFenced,
    StoreRefused,
    StoreUnanswered,
)
from basilwind.logs import log
from basilwind.platform.documents import STATUS_TOPIC, encode_wave_status
from basilwind.platform.machines import MachineState, OrderOutcome
from basilwind.platform.store import encode_keyed_record
from basilwind.scheduling.capacity import CapacityPlanner
from basilwind.scheduling.maintenance import (
    MaintenanceCandidate,
    choose_hosts,
    max_hosts_down,
)

TOPIC = "keyed.fleet"
PRODUCER = "planner"  # all planners share it
TICK_S = 0.2  # a move takes 1.5 s; each tick costs a call of the platform
ARRIVAL_S = 1.0  # from a move's end until its worker is known to the owner
SETTLE_MARGIN_S = 0.2  # an order of the former holder may be on its way


class Planner:
    """Holder of the fleet duty for the time of one token.

    Args:
        token: Fencing token.
        services: ``Services``.
        peers: ``PeerCalls``.
        former: ``Claim`` of a former holder that may be at work still, or None.
    """

    def __init__(self, token, services, peers, former=None):
        self._token = token
        self._services = services
        self._peers = peers
        self._former = former
        self._machines = services.machine_calls
        self._store = services.store
        self._topic = FencedTopic(services.store, TOPIC, PRODUCER, token, RETRY_S)
        self._clock = services.clock
        self._plan = None
        # Machines by wave whose upkeep the platform has accepted.
        self._served = {}
        self._completed = set()
        self._chosen = frozenset()
        self._emptying = {}
        self._withheld = {}
        # Target pool and time of orders for machines that the list may not show.
        self._ordered = {}

    @property
    def token(self):
        """Fencing token."""
        return self._token

    async def run(self):
        """Plans until cancelled or fenced.

        Raises:
            ProducerFenced: A later planner has taken over.
        """
        await self._topic.append([])
        await self._load()
        await self._outwait_former()
        while True:
            try:
                await self._tick(self._clock())
            except (PlatformUnavailable, StoreRefused, StoreUnanswered) as error:
                log("planning waits", error=str(error))
            await anyio.sleep(TICK_S)

    async def _outwait_former(self):
        """Waits if the former holder may be at work: a slow one, not a dead one.

        Two holders must not take turns on a machine within its lease. One that is
        gone, cut off or frozen answers nobody, and its token is refused later.
        """
        former = self._former
        if former is None or not await self._peers.is_alive(former):
            return
        lease_s = self._services.settings.machine_lease_s
        log("planning waits", reason="the former planner is alive", lease_s=lease_s)
        await anyio.sleep(lease_s + SETTLE_MARGIN_S)

    async def _load(self):
        records, _ = await read_newest(self._store, TOPIC)
        for record in records:
            try:
                machines, is_completed = msgspec.json.decode(
                    record.value, type=tuple[list[str], bool]
                )
            except msgspec.DecodeError as error:
                log("record ignored", topic=TOPIC, error=str(error))
                continue
            self._served[int(record.key)] = set(machines)
            if is_completed:
                self._completed.add(int(record.key))

    async def _tick(self, now):
        configuration = self._services.configuration.current
        if configuration is None:
            return
        machines = await self._machines.list()
        spare_pool = next(
            (pool.name for pool in configuration.pools.values() if pool.is_spare), ""
        )
        reports = await self._collect_reports(configuration)
        self._forget_orders(machines, now)
        in_upkeep = await self._serve_waves(machines, reports, now)
        if spare_pool and machines:
            await self._move_machines(machines, reports, spare_pool, in_upkeep, now)

    async def _collect_reports(self, configuration):
        wanted = {
            pool.name: self._withheld.get(pool.name, set())
            for pool in configuration.pools.values()
            if not pool.is_spare
        }
        return await self._withhold_all(wanted)

    async def _withhold_all(self, wanted):
        """Asks owners to empty workers; returns the reports of those that answer."""
        reports = {}

        async def ask(pool, worker_ids):
            try:
                reports[pool] = await self._peers.withhold(pool, sorted(worker_ids))
            except NotOwner as error:
                log("pool not reported", pool=pool, error=str(error))

        async with anyio.create_task_group() as tasks:
            for pool, worker_ids in wanted.items():
                tasks.start_soon(ask, pool, worker_ids)
        return reports

    async def _empty_workers(self, wanted):
        """Asks owners to empty workers; returns the ids of those without tasks."""
        reports = await self._withhold_all(wanted)
        return {
            load.worker_id
            for report in reports.values()
            for load in report.workers
            if not load.tasks
        }

    def _forget_orders(self, machines, now):
        """Forgets orders whose machines must have arrived."""
        names = {machine.name for machine in machines}
        arrival_s = self._services.settings.move_s + ARRIVAL_S
        for name, (_, ordered_at) in list(self._ordered.items()):
            if name not in names or now - ordered_at > arrival_s:
                del self._ordered[name]

    # Waves

    async def _serve_waves(self, machines, reports, now):
        """Returns the names of machines that waves have claimed."""
        busy = set()
        self._emptying = {}
        for number, (wave, came_at) in self._services.configuration.waves.items():
            if number not in self._completed:
                busy |= await self._serve_wave(wave, came_at, machines, reports, now)
        return busy

    async def _serve_wave(self, wave, came_at, machines, reports, now):
        served = self._served.setdefault(wave.number, set())
        members = [machine for machine in machines if machine.name in wave.hosts]
        down = [m for m in members if m.state is MachineState.MAINTENANCE]
        down_names = {machine.name for machine in down}
        served.update(down_names)
        left = [machine for machine in members if machine.name not in served]
        if not left:
            await self._complete(wave, served)
            return set()
        candidates = [
            self._candidate(machine, reports)
            for machine in left
            if machine.state is MachineState.UP
        ]
        ordered = sum(
            name in wave.hosts and target is None and name not in down_names
            for name, (target, _) in self._ordered.items()
        )
        places = max_hosts_down(
            wave.at_once,
            len(left),
            now - came_at,
            wave.deadline_s,
            self._services.settings.maintenance_s,
            self._plan is not None and self._plan.is_busy,
        )
        chosen = choose_hosts(
            candidates,
            places - len(down) - ordered,
            now - came_at,
            wave.deadline_s,
            self._chosen,
        )
        self._chosen = frozenset(candidate.host for candidate in chosen)
        await self._empty_and_take_down(wave, chosen, served)
        return {machine.name for machine in left}

    def _candidate(self, machine, reports):
        report = reports.get(machine.pool)
        loads = {load.worker_id: load for load in report.workers} if report else {}
        load = loads.get(machine.worker_id)
        is_short = bool(report and self._plan and self._plan.is_pool_short(report))
        return MaintenanceCandidate(
            host=machine.name,
            worker_id=machine.worker_id,
            pool=machine.pool,
            tasks=load.tasks if load else 0,
            long_running=load.long_running if load else 0,
            is_pool_short=is_short,
        )

    async def _empty_and_take_down(self, wave, chosen, served):
        for candidate in chosen:
            if candidate.worker_id:
                pool = self._emptying.setdefault(candidate.pool, set())
                pool.add(candidate.worker_id)
        empty = await self._empty_workers(self._emptying)
        has_new = False
        for candidate in chosen:
            if candidate.worker_id and candidate.worker_id not in empty:
                continue
            if await self._take_down(wave, candidate):
                served.add(candidate.host)
                has_new = True
        if has_new:
            await self._store_wave(wave.number, served, False)

    async def _take_down(self, wave, candidate):
        try:
            outcome = await self._machines.start_maintenance(
                candidate.host, wave.number, self._services.incarnation, self._token
            )
        except CallUnanswered:
            # Repeated in the next turn, until the platform says that it is done.
            return False
        self._services.report(
            "machine upkeep", machine=candidate.host, outcome=outcome.value
        )
        self._heed(outcome)
        if outcome is OrderOutcome.DONE:
            self._ordered[candidate.host] = (None, self._clock())
        return outcome in (OrderOutcome.DONE, OrderOutcome.NOT_IN_WAVE)

    async def _complete(self, wave, served):
        if not any(name in served for name in wave.hosts):
            return
        await self._store_wave(wave.number, served, True)
        key, value = encode_wave_status(wave.number, True)
        await self._store.append(STATUS_TOPIC, [encode_keyed_record(key, value)])
        self._completed.add(wave.number)
        self._services.report("wave completed", wave=wave.number)

    async def _store_wave(self, number, served, is_completed):
        value = msgspec.json.encode((sorted(served), is_completed))
        await self._topic.append([encode_keyed_record(str(number), value)])
        if not is_completed:
            key, status = encode_wave_status(number, False)
            await self._store.append(STATUS_TOPIC, [encode_keyed_record(key, status)])

    # Moves

    async def _move_machines(self, machines, reports, spare_pool, reserved, now):
        if self._plan is None:
            cpu = max(machine.cpu for machine in machines) or 1
            memory = max(machine.memory for machine in machines) or 1
            self._plan = CapacityPlanner(spare_pool, cpu, memory)
        spare = [
            machine
            for machine in machines
            if machine.pool == spare_pool
            and machine.state is MachineState.UP
            and machine.name not in self._ordered
        ]
        by_worker = {m.worker_id: m for m in machines if m.worker_id}
        moves = self._plan.plan_moves(
            list(reports.values()), len(spare), self._incoming(machines, reports), now
        )
        moves = [
            move
            for move in moves
            if not move.worker_id
            or (
                move.worker_id in by_worker
                and by_worker[move.worker_id].state is MachineState.UP
                and by_worker[move.worker_id].name not in reserved
            )
        ]
        log(
            "capacity planned",
            needs=self._plan.needs(),
            machines={name: len(row.workers) for name, row in reports.items()},
            work={
                name: [round(row.urgent_work), round(row.late_work)]
                for name, row in reports.items()
            },
            spare=len(spare),
            moves=len(moves),
        )
        empty = await self._withhold(moves)
        async with anyio.create_task_group() as tasks:
            for move in moves:
                if not move.worker_id:
                    tasks.start_soon(self._move, spare.pop(), move.target)
                elif move.worker_id in empty:
                    machine = by_worker[move.worker_id]
                    tasks.start_soon(self._move, machine, move.target)

    def _incoming(self, machines, reports):
        """Counts machines on their way to each pool."""
        known = {
            load.worker_id for report in reports.values() for load in report.workers
        }
        incoming = {}
        for machine in machines:
            if machine.worker_id in known:
                continue
            target, _ = self._ordered.get(machine.name, (None, 0))
            if machine.state is MachineState.MOVING:
                target = target or machine.pool
            if target:
                incoming[target] = incoming.get(target, 0) + 1
        return incoming

    async def _withhold(self, moves):
        """Keeps owners from using the machines; returns the empty ones' workers."""
        by_pool = {pool: set(ids) for pool, ids in self._emptying.items()}
        for move in moves:
            if move.worker_id:
                by_pool.setdefault(move.source, set()).add(move.worker_id)
        self._withheld = by_pool
        return await self._empty_workers(by_pool)

    async def _move(self, machine, target):
        try:
            outcome = await self._machines.move(
                machine.name, target, self._services.incarnation, self._token
            )
        except CallUnanswered as error:
            log("move unanswered", machine=machine.name, error=str(error))
            outcome = None
        else:
            self._heed(outcome)
        if outcome in (None, OrderOutcome.DONE):
            self._ordered[machine.name] = (target, self._clock())
        self._services.report(
            "machine moved",
            machine=machine.name,
            source=machine.pool,
            target=target,
            outcome=outcome.value if outcome else "unknown",
        )

    def _heed(self, outcome):
        if outcome is OrderOutcome.FENCED:
            raise ProducerFenced("a later planner gives orders for machines")
