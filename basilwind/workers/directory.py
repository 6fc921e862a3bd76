"""Directory of the workers in a zone, with their clients and health checks."""

from dataclasses import dataclass, field

import anyio

from basilwind.errors import WorkerUnreachable
from basilwind.platform.client import ListedState
from basilwind.workers.client import WorkerClient

PROBE_INTERVAL_S = 2.5
FAILED_PROBE_LIMIT = 2  # in a row; the worker then counts as unhealthy
RECHECK_INTERVAL_S = 0.3  # after a failed probe, until the limit is reached
SCAN_INTERVAL_S = 0.5  # between checks for workers that have come into use


@dataclass
class MonitoredWorker:
    """Client and health of one worker.

    Attributes:
        settings: ``HostSettings`` of the worker's host.
        client: ``WorkerClient`` of the worker.
        incarnation: Id of its process as last reported; empty before the first
            report.
        failed_probes: Number of consecutive probes without an answer.
        is_leaving: Whether the worker reported that it leaves service.
        scope: Cancels the task that probes the worker; None if there is none.
        probe_event: Set when the worker is to be probed at once.
    """

    settings: object
    client: WorkerClient
    incarnation: str = ""
    failed_probes: int = 0
    is_leaving: bool = False
    scope: anyio.CancelScope | None = None
    probe_event: anyio.Event = field(default_factory=anyio.Event)

    @property
    def probe_interval_s(self):
        """Time until the next probe, in seconds; shorter after a failed one."""
        is_suspected = 0 < self.failed_probes < FAILED_PROBE_LIMIT
        return RECHECK_INTERVAL_S if is_suspected else PROBE_INTERVAL_S

    @property
    def is_healthy(self):
        """Whether the worker answers probes and is not leaving, so takes new tasks."""
        is_answering = self.incarnation and self.failed_probes < FAILED_PROBE_LIMIT
        return bool(is_answering) and not self.is_leaving


class WorkerDirectory:
    """Keeps a client for each worker of the zone and probes those in use.

    Attributes:
        host_list_version: Number of changes of the platform's host list so far.
    """

    def __init__(self):
        self._workers = {}
        self._listed = {}
        self.host_list_version = 0

    def update(self, hosts):
        """Adds and removes workers to match the hosts of the zone.

        A worker whose address has changed is replaced.

        Args:
            hosts: ``HostSettings`` of all hosts in the zone.
        """
        names = {settings.name for settings in hosts}
        for name in list(self._workers):
            if name not in names:
                self._remove(name)
        for settings in hosts:
            worker = self._workers.get(settings.name)
            if worker is not None and worker.settings.address != settings.address:
                self._remove(settings.name)
                worker = None
            if worker is None:
                client = WorkerClient(settings.address, settings.connections)
                self._workers[settings.name] = MonitoredWorker(settings, client)

    def update_host_list(self, listed):
        """Replaces the platform's host list.

        Args:
            listed: ``ListedState`` by name of host.
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
        """Returns the client of a worker, or None if the worker is not known."""
        worker = self._workers.get(name)
        return worker.client if worker is not None else None

    def incarnation(self, name):
        """Returns the id of a worker's process as last reported, or an empty string."""
        worker = self._workers.get(name)
        return worker.incarnation if worker is not None else ""

    def is_healthy(self, name):
        """Whether a worker takes new tasks.

        It doesn't if the platform lists its host as leaving or gone.
        """
        worker = self._workers.get(name)
        if worker is None or self.is_listed_unavailable(name):
            return False
        return worker.is_healthy

    def mark_unreachable(self, name):
        """Counts a failed connection as a failed probe; the next one comes at once."""
        worker = self._workers.get(name)
        if worker is not None:
            worker.failed_probes += 1
            worker.probe_event.set()

    def mark_suspect(self, name):
        """Has a worker probed at once after one of its answers was lost."""
        worker = self._workers.get(name)
        if worker is not None:
            worker.probe_event.set()

    async def run(self, is_in_use):
        """Probes the workers in use until cancelled.

        Args:
            is_in_use: Function that tells, by name of the worker, whether this entry
                host places tasks on it.
        """
        async with anyio.create_task_group() as tasks:
            while True:
                for name, worker in self._workers.items():
                    if worker.scope is None and is_in_use(name):
                        worker.scope = anyio.CancelScope()
                        tasks.start_soon(self._probe, name, worker, is_in_use)
                await anyio.sleep(SCAN_INTERVAL_S)

    async def _probe(self, name, worker, is_in_use):
        with worker.scope:
            while is_in_use(name):
                await self._probe_once(worker)
                with anyio.move_on_after(worker.probe_interval_s):
                    await worker.probe_event.wait()
        worker.scope = None

    async def _probe_once(self, worker):
        use_new_connection = worker.failed_probes > 0 or worker.probe_event.is_set()
        worker.probe_event = anyio.Event()
        try:
            report = await worker.client.report(use_new_connection)
        except WorkerUnreachable:
            worker.failed_probes += 1
            return
        worker.failed_probes = 0
        worker.incarnation = report.incarnation
        worker.is_leaving = report.is_leaving

    def _remove(self, name):
        worker = self._workers.pop(name)
        if worker.scope is not None:
            worker.scope.cancel()
