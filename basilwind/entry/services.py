"""What the parts of an entry host's daemon share."""

from collections.abc import Callable
from dataclasses import dataclass

from basilwind.entry.configuration import ConfigurationWatch
from basilwind.entry.duties import Duties
from basilwind.entry.outage import OutageWatch
from basilwind.entry.registry import WorkerRegistry
from basilwind.entry.store_watch import StoreWatch
from basilwind.platform.advice import AdviceClient
from basilwind.platform.entry_host_settings import EntryHostSettings
from basilwind.platform.machines import MachineClient
from basilwind.platform.store import StoreClient
from basilwind.platform.transport import Transport
from basilwind.platform.workers import WorkerControlClient


@dataclass
class Services:
    """Clients, watches and clocks of one daemon.

    Attributes:
        settings: ``EntryHostSettings``.
        incarnation: Name of this daemon's life.
        transport: ``Transport`` of all calls.
        store: ``StoreClient``.
        worker_calls: ``WorkerControlClient``.
        machine_calls: ``MachineClient``.
        advice_calls: ``AdviceClient``.
        configuration: ``ConfigurationWatch``.
        registry: ``WorkerRegistry``.
        duties: ``Duties``.
        clock: Returns boot time.
        wall: Returns Unix time.
        report: Logs and counts an event.
        store_watch: ``StoreWatch``.
        duties_changed: Called after an order of a duty was fenced, with the
            pool's name and the token.
        outage: ``OutageWatch``; set once calls to peers are there.
    """

    settings: EntryHostSettings
    incarnation: str
    transport: Transport
    store: StoreClient
    worker_calls: WorkerControlClient
    machine_calls: MachineClient
    advice_calls: AdviceClient
    configuration: ConfigurationWatch
    registry: WorkerRegistry
    duties: Duties
    clock: Callable[[], float]
    wall: Callable[[], float]
    report: Callable
    store_watch: StoreWatch
    duties_changed: Callable
    outage: OutageWatch | None = None
