"""Objects that the components of an entry host's daemon share."""

from collections.abc import Callable
from dataclasses import dataclass, field

from basilwind.entry.configuration import ConfigurationWatcher
from basilwind.entry.duties import DutyManager
from basilwind.entry.outage_detector import OutageDetector
from basilwind.entry.outage_witnesses import OutageWitnesses
from basilwind.entry.pool_arbiter import PoolArbiter
from basilwind.entry.registry import WorkerRegistry
from basilwind.entry.route_history import RouteHistory
from basilwind.entry.store_monitor import StoreMonitor
from basilwind.platform.advice import AdviceClient
from basilwind.platform.entry_host_settings import EntryHostSettings
from basilwind.platform.machines import MachineClient
from basilwind.platform.store import StoreClient
from basilwind.platform.transport import Transport
from basilwind.platform.workers import WorkerControlClient
from basilwind.scheduling.machine_orders import MachineOrders
from basilwind.scheduling.ownership import is_sole_holder, may_extend_leases

# From the check until a worker executes a start; a call to a worker takes some ms.
CALL_MARGIN_S = 0.2


@dataclass
class Services:
    """Clients, monitors and clocks of one daemon.

    Attributes:
        settings: ``EntryHostSettings``.
        incarnation: Id of this run of the daemon.
        transport: ``Transport`` of all calls.
        store: ``StoreClient``.
        worker_control: ``WorkerControlClient``.
        machine_client: ``MachineClient``.
        advice_client: ``AdviceClient``.
        configuration: ``ConfigurationWatcher``.
        routes: ``RouteHistory``.
        registry: ``WorkerRegistry``.
        duties: ``DutyManager``.
        clock: Returns boot time.
        wall_clock: Returns Unix time.
        report: Logs and counts an event.
        store_monitor: ``StoreMonitor``.
        on_fenced: Called with a pool's name and the token after an order of its
            owner was fenced.
        outage: ``OutageDetector``; set after the peer client is created.
        arbiter: ``PoolArbiter``; set after the peer client is created.
        outage_witnesses: ``OutageWitnesses``; set after the peer client is created.
        request_grants: Coroutine function that sends a ``GrantRequest`` to the granter
            and returns its ``GrantResponse``; set after the peer client is created.
        has_previous_owner_recorded_all: Coroutine function; see ``PeerClient``. Set
            after the peer client is created.
        fully_recorded_pools: Fencing token of the last owner in this daemon, by name of
            each pool that was given up after the journal had all its runs.
        machine_orders: ``MachineOrders`` that this daemon has given.
    """

    settings: EntryHostSettings
    incarnation: str
    transport: Transport
    store: StoreClient
    worker_control: WorkerControlClient
    machine_client: MachineClient
    advice_client: AdviceClient
    configuration: ConfigurationWatcher
    routes: RouteHistory
    registry: WorkerRegistry
    duties: DutyManager
    clock: Callable[[], float]
    wall_clock: Callable[[], float]
    report: Callable
    store_monitor: StoreMonitor
    on_fenced: Callable
    outage: OutageDetector | None = None
    arbiter: PoolArbiter | None = None
    outage_witnesses: OutageWitnesses | None = None
    request_grants: Callable | None = None
    has_previous_owner_recorded_all: Callable | None = None
    fully_recorded_pools: dict[str, int] = field(default_factory=dict)
    machine_orders: MachineOrders = field(default_factory=MachineOrders)

    def is_sole_holder(self, now):
        """Returns whether no other daemon can have taken over this daemon's duties."""
        return self.may_extend_leases(now) and is_sole_holder(
            self.store_monitor.confirmed_at, self.outage.is_confirmed, now
        )

    def is_configuration_fresh(self, now):
        """Returns whether no older configuration than the one in force can be used."""
        confirmed_at = self.configuration.confirmed_at
        limit_s = self.settings.config_apply_s - CALL_MARGIN_S
        return confirmed_at is not None and now - confirmed_at <= limit_s

    def may_use_quota(self, now):
        """Returns whether tasks of customers with a maximum may be started."""
        return self.is_configuration_fresh(now) or self.outage.is_confirmed

    def may_extend_leases(self, now):
        """Returns whether owners in this daemon may grant and extend leases."""
        return may_extend_leases(self.duties.confirmed_at, now)
