"""The fleet planner: moves hosts to pools in need and runs maintenance waves."""

import anyio
import msgspec

from basilwind.checked_json import Count, decode_json
from basilwind.entry.burst_history import BurstHistory
from basilwind.entry.fenced_topic import FencedTopic
from basilwind.entry.follower import PLATFORM_RETRY_S
from basilwind.entry.maintenance_log import MaintenanceLog
from basilwind.entry.takeover import read_latest_records
from basilwind.errors import (
    CallUnanswered,
    NotOwner,
    PlatformUnavailable,
    ProducerFenced,
    RecordInvalid,
    StoreRefused,
    StoreUnanswered,
)
from basilwind.logs import log
from basilwind.platform.documents import STATUS_TOPIC, encode_wave_status
from basilwind.platform.machines import MachineState, OrderOutcome
from basilwind.platform.store import encode_keyed_record
from basilwind.scheduling.capacity import CapacityPlanner
from basilwind.scheduling.machine_orders import UnsettledOrder, UnsettledOrders
from basilwind.scheduling.maintenance import (
    MaintenanceCandidate,
    choose_hosts,
    max_hosts_down,
)
from basilwind.scheduling.ownership import is_same_daemon
from basilwind.scheduling.zones import silent_zones

TOPIC = "keyed.fleet"
PRODUCER = "planner"  # shared by all planners, as fencing is per producer
PLAN_INTERVAL_S = 0.2  # a move takes 1.5 s; each round costs a platform call
ARRIVAL_S = 1.0  # from the end of a move until the pool's owner knows the worker
# Owners keep tasks off a worker for 3 s, and a slow platform takes 1 s for an order.
MAX_EMPTY_AGE_S = 1.0
SETTLE_MARGIN_S = 0.2  # an order of the previous planner may still be in flight


class FleetPlanner:
    """Plans for the fleet until its fencing token is replaced by a later one.

    Args:
        token: Fencing token.
        services: ``Services``.
        peers: ``PeerClient``.
        previous_claim: ``Claim`` of a previous planner that may still be active, or
            None.
    """

    def __init__(self, token, services, peers, previous_claim=None):
        self._token = token
        self._services = services
        self._peers = peers
        self._previous_claim = previous_claim
        self._machine_client = services.machine_client
        self._store = services.store
        self._topic = FencedTopic(
            services.store, TOPIC, PRODUCER, token, PLATFORM_RETRY_S
        )
        self._maintenance_log = MaintenanceLog(services.store, services.wall_clock)
        self._burst_history = BurstHistory(services.store, services.wall_clock)
        self._clock = services.clock
        self._capacity_planner = None
        # Bursts that previous planners have seen.
        self._previous_bursts = {}
        # Names of hosts, by wave, whose maintenance the platform has accepted.
        self._accepted_hosts = {}
        # Numbers of completed waves.
        self._completed = set()
        # Names of the hosts that the last call of ``choose_hosts`` returned.
        self._previous_choice = frozenset()
        # Ids of workers, by pool, whose hosts are about to go into maintenance.
        self._workers_to_empty = {}
        # Ids of workers, by pool, that the owners were last asked to withhold.
        self._withheld = {}
        # Boot time at which the owners were last asked which workers are empty.
        self._emptied_at = 0.0
        # Value of ``_emptied_at`` for which withheld orders were last logged.
        self._withheld_round = None
        # Target pool (None for maintenance) and time of recent orders by host, since
        # the platform's list may not show their effect yet.
        self._recent_orders = {}
        self._unsettled = UnsettledOrders()

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
        await self._wait_for_previous_planner()
        while True:
            if self._services.machine_orders.handed_over_to > self._token:
                raise ProducerFenced("planning was handed over to a later planner")
            try:
                await self._plan_once(self._clock())
            except (PlatformUnavailable, StoreRefused, StoreUnanswered) as error:
                log("planning postponed", error=str(error))
            await anyio.sleep(PLAN_INTERVAL_S)

    async def _wait_for_previous_planner(self):
        """Has the previous planner stop, and waits where it gave orders recently.

        Two planners must not give orders for the same host within its lease. A
        planner that crashed, is cut off or frozen does not respond; the platform
        rejects its token from now on.
        """
        previous = self._previous_claim
        if previous is None or is_same_daemon(
            previous.holder, self._services.incarnation
        ):
            # An earlier run of this daemon has left nobody to ask.
            return
        lease_s = self._services.settings.machine_lease_s + SETTLE_MARGIN_S
        ages_s = await self._peers.hand_over_planning(previous, self._token, lease_s)
        if ages_s is None:
            return
        log("planning handed over", recent_orders=sorted(ages_s))
        now = self._clock()
        self._services.machine_orders.wait_for(ages_s, lease_s, now)
        for host, age_s in ages_s.items():
            # It may be going into maintenance, which the list need not show yet.
            self._recent_orders[host] = None, now - age_s

    async def _load(self):
        records, _ = await read_latest_records(self._store, TOPIC)
        for record in records:
            try:
                number = msgspec.convert(record.key, Count, strict=False)
                host_names, is_completed = decode_json(
                    record.value, tuple[list[str], bool], "wave", RecordInvalid
                )
            except (msgspec.ValidationError, RecordInvalid) as error:
                log("invalid record ignored", topic=TOPIC, error=str(error))
                continue
            self._accepted_hosts[number] = set(host_names)
            if is_completed:
                self._completed.add(number)
        accepted = set().union(*self._accepted_hosts.values())
        self._previous_bursts = await self._burst_history.read(self._clock())
        ages_s = await self._maintenance_log.read_ages_s()
        for host, age_s in ages_s.items():
            if host not in accepted:
                order = UnsettledOrder("", "", True, self._clock() - age_s)
                self._unsettled.add(host, order)

    async def _plan_once(self, now):
        """Advances the waves, then moves hosts between pools."""
        configuration = self._services.configuration.current
        if configuration is None:
            return
        hosts = await self._machine_client.list()
        spare_pool = next(
            (pool.name for pool in configuration.pools.values() if pool.is_spare), ""
        )
        reports = await self._collect_reports(configuration)
        self._forget_orders(hosts, now)
        reserved = await self._process_waves(hosts, reports, now)
        if spare_pool and hosts:
            await self._move_hosts(hosts, reports, spare_pool, reserved, now)

    async def _collect_reports(self, configuration):
        wanted = {
            pool.name: self._withheld.get(pool.name, set())
            for pool in configuration.pools.values()
            if not pool.is_spare
        }
        return await self._withhold_all(wanted)

    async def _withhold_all(self, wanted):
        """Has owners withhold workers; returns the reports of those that respond.

        Also withholds the workers whose hosts may still be moved or taken down.
        """
        now = self._clock()
        wanted = dict(wanted)
        for pool, worker_ids in self._unsettled.workers_to_withhold(now).items():
            wanted[pool] = wanted.get(pool, set()) | worker_ids
        at_risk = self._unsettled.workers_at_risk(now)
        reports = {}

        async def ask(pool, worker_ids):
            try:
                reports[pool] = await self._peers.withhold(
                    pool,
                    sorted(worker_ids),
                    self._token,
                    sorted(at_risk.get(pool, ())),
                )
            except NotOwner as error:
                log("pool report missing", pool=pool, error=str(error))

        async with anyio.create_task_group() as tasks:
            for pool, worker_ids in wanted.items():
                tasks.start_soon(ask, pool, worker_ids)
        return reports

    async def _empty_workers(self, wanted):
        """Has owners withhold workers; returns the ids of those without tasks."""
        self._emptied_at = self._clock()
        reports = await self._withhold_all(wanted)
        return {
            load.worker_id
            for report in reports.values()
            for load in report.workers
            if not load.tasks
        }

    def _forget_orders(self, hosts, now):
        """Drops orders that must have taken effect by now."""
        names = {host.name for host in hosts}
        arrival_s = self._services.settings.move_s + ARRIVAL_S
        for name, (_, ordered_at) in list(self._recent_orders.items()):
            if name not in names or now - ordered_at > arrival_s:
                del self._recent_orders[name]

    # Waves

    async def _process_waves(self, hosts, reports, now):
        """Runs the waves; returns the names of hosts that they reserve."""
        reserved = set()
        self._workers_to_empty = {}
        for number, (wave, received_at) in self._services.configuration.waves.items():
            if number not in self._completed:
                reserved |= await self._process_wave(
                    wave, received_at, hosts, reports, now
                )
        return reserved

    async def _process_wave(self, wave, received_at, hosts, reports, now):
        accepted = self._accepted_hosts.setdefault(wave.number, set())
        members = [host for host in hosts if host.name in wave.hosts]
        in_maintenance = [
            host for host in members if host.state is MachineState.MAINTENANCE
        ]
        in_maintenance_names = {host.name for host in in_maintenance}
        accepted.update(in_maintenance_names)
        remaining = [host for host in members if host.name not in accepted]
        if not remaining:
            await self._complete(wave, accepted)
            return set()
        candidates = [
            self._create_candidate(host, reports)
            for host in remaining
            if host.state is MachineState.UP and host.name not in self._recent_orders
        ]
        going_down = self._hosts_going_down(in_maintenance_names, now)
        # An order that got no answer is repeated, before any other host is chosen.
        repeatable = going_down & {
            candidate.host for candidate in candidates if candidate.is_answering
        }
        ordered_count = len((going_down - repeatable) & set(wave.hosts))
        max_down = max_hosts_down(
            wave.at_once,
            len(remaining),
            now - received_at,
            wave.deadline_s,
            self._services.settings.maintenance_s,
            self._capacity_planner is not None and self._capacity_planner.is_busy,
        )
        chosen = choose_hosts(
            candidates,
            max_down - len(in_maintenance) - ordered_count,
            now - received_at,
            wave.deadline_s,
            self._previous_choice | repeatable,
        )
        self._previous_choice = frozenset(candidate.host for candidate in chosen)
        await self._empty_and_start_maintenance(wave, chosen, accepted)
        return {host.name for host in remaining}

    def _hosts_going_down(self, in_maintenance_names, now):
        """Returns the names of ordered hosts that are not listed as down yet."""
        for host in in_maintenance_names:
            self._unsettled.settle(host)
        ordered = {
            host for host, (target, _) in self._recent_orders.items() if target is None
        }
        ordered |= self._unsettled.hosts_going_down(now)
        return ordered - in_maintenance_names

    def _create_candidate(self, host, reports):
        report = reports.get(host.pool)
        loads = {load.worker_id: load for load in report.workers} if report else {}
        load = loads.get(host.worker_id)
        is_pool_short = bool(
            report
            and self._capacity_planner
            and self._capacity_planner.is_pool_short(report)
        )
        return MaintenanceCandidate(
            host=host.name,
            worker_id=host.worker_id,
            pool=host.pool,
            tasks=load.tasks if load else 0,
            long_running=load.long_running if load else 0,
            is_pool_short=is_pool_short,
            is_answering=not host.worker_id or load is not None,
        )

    async def _empty_and_start_maintenance(self, wave, chosen, accepted):
        """Empties the chosen hosts and starts maintenance of those without tasks."""
        for candidate in chosen:
            if candidate.worker_id:
                pool = self._workers_to_empty.setdefault(candidate.pool, set())
                pool.add(candidate.worker_id)
        # Owners withhold only what a call names. Workers that are being emptied for a
        # move would get tasks again in the meantime.
        wanted = {
            pool: worker_ids | self._withheld.get(pool, set())
            for pool, worker_ids in self._workers_to_empty.items()
        }
        empty_workers = await self._empty_workers(wanted)
        ready = [
            candidate
            for candidate in chosen
            if not candidate.worker_id or candidate.worker_id in empty_workers
        ]
        if not ready or self._services.store_monitor.is_suspected:
            return
        if not await self._maintenance_log.record(c.host for c in ready):
            return
        has_new = False
        for candidate in ready:
            if await self._start_maintenance(wave, candidate):
                accepted.add(candidate.host)
                has_new = True
        if has_new:
            await self._store_wave(wave.number, accepted, False)

    def _may_order(self, host_name):
        """Returns whether an order for a host may be sent now, and records that it is.

        This process may have been paused since the owners were asked, so that a worker
        that was empty runs tasks again, or another planner gives orders.
        """
        now = self._clock()
        orders = self._services.machine_orders
        if not orders.may_order(host_name, self._token, now):
            return False
        if now - self._emptied_at < MAX_EMPTY_AGE_S and self._services.is_sole_holder(
            now
        ):
            orders.record(host_name, now)
            return True
        if self._withheld_round != self._emptied_at:
            self._withheld_round = self._emptied_at
            self._services.report(
                "machine orders withheld",
                machine=host_name,
                report_age_s=round(now - self._emptied_at, 3),
                store_silence_s=round(self._services.store_monitor.silence_s, 3),
            )
        return False

    async def _start_maintenance(self, wave, candidate):
        if not self._may_order(candidate.host):
            return False
        sent_at = self._clock()
        try:
            outcome = await self._machine_client.start_maintenance(
                candidate.host, wave.number, self._services.incarnation, self._token
            )
        except CallUnanswered as error:
            # Retried in later rounds, until the platform confirms it.
            log("upkeep unanswered", machine=candidate.host, error=str(error))
            order = UnsettledOrder(
                candidate.pool, candidate.worker_id, True, self._clock()
            )
            self._unsettled.add(candidate.host, order)
            return False
        if outcome is OrderOutcome.DONE:
            self._unsettled.settle(candidate.host)
        self._services.report(
            "machine upkeep",
            machine=candidate.host,
            worker=candidate.worker_id,
            report_age_s=round(sent_at - self._emptied_at, 3),
            outcome=outcome.value,
        )
        self._raise_if_fenced(outcome)
        if outcome is OrderOutcome.DONE:
            self._recent_orders[candidate.host] = (None, self._clock())
        return outcome in (OrderOutcome.DONE, OrderOutcome.NOT_IN_WAVE)

    async def _complete(self, wave, accepted):
        """Records a wave as completed if any of its hosts has been in maintenance."""
        if not any(name in accepted for name in wave.hosts):
            return
        await self._store_wave(wave.number, accepted, True)
        key, value = encode_wave_status(wave.number, True)
        await self._store.append(STATUS_TOPIC, [encode_keyed_record(key, value)])
        self._completed.add(wave.number)
        self._services.report("wave completed", wave=wave.number)

    async def _store_wave(self, number, accepted, is_completed):
        value = msgspec.json.encode((sorted(accepted), is_completed))
        await self._topic.append([encode_keyed_record(str(number), value)])
        if not is_completed:
            key, status = encode_wave_status(number, False)
            await self._store.append(STATUS_TOPIC, [encode_keyed_record(key, status)])

    # Moves

    async def _move_hosts(self, hosts, reports, spare_pool, reserved, now):
        if self._capacity_planner is None:
            cpu = max(host.cpu for host in hosts) or 1
            memory = max(host.memory for host in hosts) or 1
            self._capacity_planner = CapacityPlanner(spare_pool, cpu, memory)
            pools = self._services.configuration.current.pools
            self._capacity_planner.restore_bursts(
                {
                    pool: bursts
                    for pool, bursts in self._previous_bursts.items()
                    if pool in pools
                }
            )
        unreachable = self._find_silent_zones(hosts, reports)
        spare = [
            host
            for host in hosts
            if host.pool == spare_pool
            and host.state is MachineState.UP
            and host.name not in self._recent_orders
            and host.zone not in unreachable
        ]
        by_worker = {host.worker_id: host for host in hosts if host.worker_id}
        moves = self._capacity_planner.plan_moves(
            list(reports.values()),
            len(spare),
            self._count_incoming(hosts, reports),
            now,
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
            needs=self._capacity_planner.needs(),
            machines={pool: len(report.workers) for pool, report in reports.items()},
            work={
                pool: [round(report.urgent_work), round(report.late_work)]
                for pool, report in reports.items()
            },
            spare=len(spare),
            moves=len(moves),
            silent_zones=sorted(unreachable),
        )
        empty_workers = await self._withhold(moves)
        async with anyio.create_task_group() as tasks:
            for move in moves:
                if not move.worker_id:
                    tasks.start_soon(self._move, spare.pop(), move.target)
                elif move.worker_id in empty_workers:
                    host = by_worker[move.worker_id]
                    tasks.start_soon(self._move, host, move.target)
        if not self._services.store_monitor.is_suspected:
            await self._burst_history.write(self._capacity_planner.bursts(), now)

    def _find_silent_zones(self, hosts, reports):
        """Returns the availability zones of which no worker answers its owner."""
        answering = {
            load.worker_id for report in reports.values() for load in report.workers
        }
        return silent_zones(
            (host.zone, host.worker_id in answering)
            for host in hosts
            if host.pool in reports
            and host.worker_id
            and host.state is MachineState.UP
            and host.name not in self._recent_orders
        )

    def _count_incoming(self, hosts, reports):
        """Returns the number of hosts that are being moved to each pool."""
        known = {
            load.worker_id for report in reports.values() for load in report.workers
        }
        incoming = {}
        for host in hosts:
            if host.worker_id in known:
                continue
            target, _ = self._recent_orders.get(host.name, (None, 0))
            if host.state is MachineState.MOVING:
                target = target or host.pool
            if target:
                incoming[target] = incoming.get(target, 0) + 1
        return incoming

    async def _withhold(self, moves):
        """Has owners withhold the workers to move; returns the ids of empty ones."""
        by_pool = {pool: set(ids) for pool, ids in self._workers_to_empty.items()}
        for move in moves:
            if move.worker_id:
                by_pool.setdefault(move.source, set()).add(move.worker_id)
        self._withheld = by_pool
        return await self._empty_workers(by_pool)

    async def _move(self, host, target):
        if not self._may_order(host.name):
            return
        sent_at = self._clock()
        try:
            outcome = await self._machine_client.move(
                host.name, target, self._services.incarnation, self._token
            )
        except CallUnanswered as error:
            log("host move unanswered", machine=host.name, error=str(error))
            outcome = None
            order = UnsettledOrder(host.pool, host.worker_id, False, self._clock())
            self._unsettled.add(host.name, order)
        else:
            self._raise_if_fenced(outcome)
        if outcome is OrderOutcome.DONE:
            self._unsettled.settle(host.name)
        if outcome in (None, OrderOutcome.DONE):
            self._recent_orders[host.name] = (target, self._clock())
        self._services.report(
            "machine moved",
            machine=host.name,
            worker=host.worker_id,
            report_age_s=round(sent_at - self._emptied_at, 3),
            source=host.pool,
            target=target,
            outcome=outcome.value if outcome else "unknown",
        )

    def _raise_if_fenced(self, outcome):
        if outcome is OrderOutcome.FENCED:
            raise ProducerFenced("a later planner has taken over")
