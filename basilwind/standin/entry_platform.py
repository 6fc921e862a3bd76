"""A stand-in of the users' platform in one process: store, workers, machines.

It speaks what ``basilwind.platform`` speaks, so that daemons run against it
unchanged. Machines don't move here: the list is empty.
"""

import json
from dataclasses import dataclass, field

import anyio

from basilwind.api.asgi import (
    ClientDisconnected,
    HttpServer,
    json_response,
    read_request,
    send_response,
)
from basilwind.standin.entry_store import StoreStandIn
from basilwind.standin.entry_worker import EntryWorkerStandIn

HEARTBEAT_S = 0.5  # shorter than the real 1.5 s, to keep tests short
PEER_PORTS = 6  # ports of a daemon from the first peer port on


@dataclass(frozen=True)
class StandInQueue:
    """A queue of the stand-in's configuration."""

    name: str
    path_prefix: str
    pool: str


@dataclass
class EntryPlatformStandIn:
    """Store, workers and machine calls behind real sockets.

    Args:
        port: First of the ports that are used, on 127.0.0.1.
        queues: ``StandInQueue`` objects.
        workers_per_pool: Workers of each pool.

    Attributes:
        store: ``StoreStandIn``.
        workers: ``EntryWorkerStandIn`` by id.
        run_starts: Every ``RunStart`` that a worker carried out.
        run_ends: Every ``RunEnd`` of a run.
    """

    port: int
    queues: tuple[StandInQueue, ...]
    workers_per_pool: int = 3
    store: StoreStandIn = field(default_factory=StoreStandIn)
    workers: dict[str, EntryWorkerStandIn] = field(default_factory=dict)
    run_starts: list = field(default_factory=list)
    run_ends: list = field(default_factory=list)
    version: int = 0

    def __post_init__(self):
        """Makes the workers and writes the first configuration."""
        pools = sorted({queue.pool for queue in self.queues})
        for number in range(len(pools) * self.workers_per_pool):
            pool = pools[number % len(pools)]
            worker = EntryWorkerStandIn(
                f"i-{number}",
                pool,
                f"127.0.0.1:{self.port + 2 + number}",
                f"r{number % 2}",
                self.run_starts,
                self.run_ends,
            )
            self.workers[worker.worker_id] = worker
        self.configure()

    @property
    def next_free_port(self):
        """First port that is not used here."""
        return self.port + 2 + len(self.workers)

    def configure(self):
        """Writes the next version of the configuration."""
        self.version += 1
        routes = [
            {
                "name": queue.name,
                "host": "fleet.example",
                "pathPrefix": queue.path_prefix,
                "timeoutMs": 3000,
                "targetDurationMs": 600,
                "priority": 0,
                "service": queue.pool,
                "attempts": 3,
                "stretch": 1.6,
            }
            for queue in self.queues
        ]
        services = [{"name": pool} for pool in sorted({q.pool for q in self.queues})]
        document = {"version": self.version, "routes": routes, "services": services}
        self.store.write("keyed.op", "config", json.dumps(document).encode())

    def daemon_settings(self, number, port):
        """Returns the settings file of a daemon, as the platform writes it.

        Args:
            number: Number of the daemon.
            port: First of the ports that it may use.
        """
        return {
            "nodeName": f"edge-{number}",
            "ip": "127.0.0.1",
            "zone": f"zone-{number}",
            "listenAddrs": {
                "front": f"127.0.0.1:{port}",
                "readyAddr": f"127.0.0.1:{port + 1}",
            },
            "internalPorts": [port + 2, port + PEER_PORTS],
            "platform": {"address": f"127.0.0.1:{self.port}"},
            "cloudApi": {"address": f"127.0.0.1:{self.port + 1}"},
            "limits": {"cpuShare": 1.0, "cores": 2.2},
        }

    async def run(self, task_status=anyio.TASK_STATUS_IGNORED):
        """Serves until cancelled."""
        apps = {self.port: self.store.answer, self.port + 1: self._list_machines}
        for worker in self.workers.values():
            apps[int(worker.address.rpartition(":")[2])] = worker.answer
        async with anyio.create_task_group() as tasks:
            for port, answer in apps.items():
                server = HttpServer(_make_app(answer), f"127.0.0.1:{port}")
                tasks.start_soon(server.serve_until_stopped)
                await server.wait_started()
            for worker in self.workers.values():
                tasks.start_soon(worker.run)
            tasks.start_soon(self._beat)
            task_status.started()
            await anyio.sleep_forever()

    async def _list_machines(self, request):
        return json_response({"machines": [], "nextToken": None})

    async def _beat(self):
        sequence = 0
        while True:
            sequence += 1
            for worker in self.workers.values():
                if not worker.is_silent and not self.store.is_down:
                    self.store.write(
                        "keyed.servers", worker.worker_id, worker.entry(sequence)
                    )
            await anyio.sleep(HEARTBEAT_S)


def _make_app(answer):
    async def app(scope, receive, send):
        try:
            request = await read_request(scope, receive)
        except ClientDisconnected:
            return
        response = await answer(request)
        if response is None:
            # The answer is lost; the caller gives up by itself.
            await receive()
            return
        await send_response(send, response)

    return app
