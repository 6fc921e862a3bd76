"""The workers of a zone: their clients and health."""

from dataclasses import dataclass, field

import anyio

from basilwind.errors import WorkerUnreachable
from basilwind.platform.client import ListedState
from basilwind.workers.client import WorkerClient

PROBE_INTERVAL_S = 2.5
FAILED_PROBES = 2
RECHECK_INTERVAL_S = 0.3
START_INTERVAL_S = 0.5


@dataclass
class KnownWorker:
    """What is known of one worker.

    Attributes:
        settings: The host's declaration.
        client: ``WorkerClient`` of the worker.
        incarnation: Its process as last reported; empty before the first.
        failed_probes: Probes in a row that it did not answer.
        is_leaving: Whether it reported that it leaves service.
        scope: Cancels its probing.
        suspected: Set when it is to be probed at once.
    """

    settings: object
    client: WorkerClient
    incarnation: str = ""
    failed_probes: int = 0
    is_leaving: bool = False
    scope: anyio.CancelScope | None = None
    suspected: anyio.Event = field(default_factory=anyio.Event)

    @property
    def probe_interval_s(self):
        """How long to wait before the next probe, in seconds."""
        is_in_doubt = 0 < self.failed_probes < FAILED_PROBES
        return RECHECK_INTERVAL_S if is_in_doubt else PROBE_INTERVAL_S

    @property
    def is_healthy(self):
        """Whether it takes new work."""
        is_answering = self.incarnation and self.failed_probes < FAILED_PROBES
        return bool(is_answering) and not self.is_leaving


class WorkerDirectory:
    """Keeps a client to each worker of the zone and probes those in use."""

    def __init__(self):
        self._workers = {}
        self._listed = {}
        self.host_list_version = 0

    def update(self, hosts):
        """Takes in the hosts of the zone.

        Args:
            hosts: Host settings.
        """
        names = {settings.name for settings in hosts}
        for name in list(self._workers):
            if name not in names:
                self._drop(name)
        for settings in hosts:
            known = self._workers.get(settings.name)
            if known is not None and known.settings.address != settings.address:
                self._drop(settings.name)
                known = None
            if known is None:
                client = WorkerClient(settings.address, settings.connections)
                self._workers[settings.name] = KnownWorker(settings, client)

    def update_host_list(self, listed):
        """Takes in the platform's list.

        Args:
            listed: ``ListedState`` by the name of the host.
        """
        if listed != self._listed:
            self.host_list_version += 1
        self._listed = listed

    def is_listed_unavailable(self, name):
        """Whether the platform lists a host as leaving or gone."""
        return self._listed.get(name, ListedState.LIVE) is not ListedState.LIVE

    def is_listed_gone(self, name):
        """Whether the platform lists a host as gone."""
        return self._listed.get(name) is ListedState.GONE

    def client(self, name):
        """Returns the client of a worker, or None if it is not known."""
        known = self._workers.get(name)
        return known.client if known is not None else None

    def incarnation(self, name):
        """Returns a worker's process as last reported, or an empty string."""
        known = self._workers.get(name)
        return known.incarnation if known is not None else ""

    def is_healthy(self, name):
        """Whether a worker takes new work."""
        known = self._workers.get(name)
        if known is None or self.is_listed_unavailable(name):
            return False
        return known.is_healthy

    def mark_unreachable(self, name):
        """Takes in that a worker could not be connected to."""
        known = self._workers.get(name)
        if known is not None:
            known.failed_probes += 1
            known.suspected.set()

    def mark_suspect(self, name):
        """Takes in that an answer of a worker was lost; it is probed at once."""
        known = self._workers.get(name)
        if known is not None:
            known.suspected.set()

    async def run(self, is_wanted):
        """Probes workers until cancelled.

        Args:
            is_wanted: Function from a worker's name to whether this entry
                host places work on it.
        """
        async with anyio.create_task_group() as tasks:
            while True:
                for name, known in self._workers.items():
                    if known.scope is None and is_wanted(name):
                        known.scope = anyio.CancelScope()
                        tasks.start_soon(self._probe, name, known, is_wanted)
                await anyio.sleep(START_INTERVAL_S)

    async def _probe(self, name, known, is_wanted):
        with known.scope:
            while is_wanted(name):
                await self._probe_once(known)
                with anyio.move_on_after(known.probe_interval_s):
                    await known.suspected.wait()
        known.scope = None

    async def _probe_once(self, known):
        is_fresh = known.failed_probes > 0 or known.suspected.is_set()
        known.suspected = anyio.Event()
        try:
            report = await known.client.report(is_fresh)
        except WorkerUnreachable:
            known.failed_probes += 1
            return
        known.failed_probes = 0
        known.incarnation = report.incarnation
        known.is_leaving = report.is_leaving

    def _drop(self, name):
        known = self._workers.pop(name)
        if known.scope is not None:
            known.scope.cancel()
