"""Stand-in for the platform of entry hosts: store, workers and machine service.

It implements the interfaces that ``basilwind.platform`` calls, so daemons run against
it unchanged. The machine service lists the hosts of workers once a wave is announced;
there is no spare pool, so none are moved.
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
from basilwind.standin.entry_worker import (
    BROKEN_CONNECTION,
    NO_ANSWER,
    EntryWorkerStandIn,
)

HEARTBEAT_INTERVAL_S = 0.5  # 1.5 s on the real platform; shorter here to speed up tests
INTERNAL_PORTS_END = 6  # last internal port of a daemon, relative to its first port


@dataclass(frozen=True)
class StandInQueue:
    """A queue in the configuration of the stand-in.

    Attributes:
        name: Name of the queue.
        path_prefix: Prefix of the paths that callers use.
        pool: Pool whose workers run the tasks.
        is_public: Whether callers need no key.
    """

    name: str
    path_prefix: str
    pool: str
    is_public: bool = False


@dataclass
class EntryPlatformStandIn:
    """Serves the store, the workers and the machine service on real sockets.

    Args:
        port: First port to use, on 127.0.0.1.
        queues: ``StandInQueue`` objects.
        workers_per_pool: Number of workers in each pool.
        tenants: Rows of the configuration that describe customers; None without them.
        bounds: Settings of daemons under ``bounds``.

    Attributes:
        store: The ``StoreStandIn``.
        workers: ``EntryWorkerStandIn`` by the id of its first life.
        run_starts: A ``RunStart`` for each run that a worker started.
        run_ends: A ``RunEnd`` for each run that ended.
        version: Version of the configuration.
    """

    port: int
    queues: tuple[StandInQueue, ...]
    workers_per_pool: int = 3
    tenants: list | None = None
    bounds: dict = field(default_factory=dict)
    store: StoreStandIn = field(default_factory=StoreStandIn)
    workers: dict[str, EntryWorkerStandIn] = field(default_factory=dict)
    run_starts: list = field(default_factory=list)
    run_ends: list = field(default_factory=list)
    version: int = 0
    _wave_count: int = 0
    # Highest fencing token of an order, by host.
    _machine_tokens: dict[str, int] = field(default_factory=dict)

    def __post_init__(self):
        """Creates the workers and writes the first configuration."""
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
        """First port after those that the stand-in uses."""
        return self.port + 2 + len(self.workers)

    def configure(self):
        """Writes the configuration to the store, with the next version."""
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
                "public": queue.is_public,
            }
            for queue in self.queues
        ]
        services = [{"name": pool} for pool in sorted({q.pool for q in self.queues})]
        document = {"version": self.version, "routes": routes, "services": services}
        if self.tenants is not None:
            document["tenants"] = self.tenants
        self.store.write("keyed.op", "config", json.dumps(document).encode())

    def daemon_settings(self, number, port):
        """Returns the settings of a daemon, as in the file that the platform writes.

        Args:
            number: Number of the daemon.
            port: First port that the daemon may use.
        """
        return {
            "nodeName": f"edge-{number}",
            "ip": "127.0.0.1",
            "zone": f"zone-{number}",
            "listenAddrs": {
                "front": f"127.0.0.1:{port}",
                "readyAddr": f"127.0.0.1:{port + 1}",
            },
            "internalPorts": [port + 2, port + INTERNAL_PORTS_END],
            "platform": {"address": f"127.0.0.1:{self.port}"},
            "cloudApi": {"address": f"127.0.0.1:{self.port + 1}"},
            "limits": {"cpuShare": 1.0, "cores": 2.2},
            "bounds": self.bounds,
        }

    async def run(self, task_status=anyio.TASK_STATUS_IGNORED):
        """Serves until cancelled."""
        handlers = {self.port: self.store.handle, self.port + 1: self._handle_machines}
        for worker in self.workers.values():
            handlers[int(worker.address.rpartition(":")[2])] = worker.handle
        async with anyio.create_task_group() as tasks:
            for port, handle in handlers.items():
                server = HttpServer(make_app(handle), f"127.0.0.1:{port}")
                tasks.start_soon(server.serve_until_stopped)
                await server.wait_started()
            for worker in self.workers.values():
                tasks.start_soon(worker.run)
            tasks.start_soon(self._send_heartbeats)
            task_status.started()
            await anyio.sleep_forever()

    def announce_wave(self, pool, deadline_s):
        """Requests maintenance of all hosts of a pool, one at a time."""
        hosts = [w.host for w in self.workers.values() if w.pool == pool]
        self._wave_count += 1
        document = {
            "wave": self._wave_count,
            "machines": hosts,
            "deadlineS": deadline_s,
            "maximum": 1,
        }
        key = f"wave/{self._wave_count}"
        self.store.write("keyed.op", key, json.dumps(document).encode())

    async def _handle_machines(self, request):
        if request.path == "/machine-upkeep":
            return self._take_down(request)
        workers = self.workers.values() if self._wave_count else ()
        machines = [
            {
                "machine": worker.host,
                "pool": worker.pool,
                "state": "upkeep" if worker.is_crashed else "up",
                "zone": "zone-a",
                "labels": ["a", worker.rack],
                "capacity": {"cpu": worker.cpu, "memMb": worker.memory, "gpu": 0},
                "id": "" if worker.is_crashed else worker.worker_id,
            }
            for worker in workers
        ]
        return json_response({"machines": machines, "nextToken": None})

    def _take_down(self, request):
        worker = self.workers[json.loads(request.body)["machine"]]
        token = int(request.headers["x-fencing-token"])
        if token < self._machine_tokens.get(worker.host, 0):
            return json_response({"reason": "fence"}, 409)
        self._machine_tokens[worker.host] = token
        if worker.is_crashed:
            return json_response({"reason": "busy"}, 409)
        worker.take_down()
        return json_response({})

    async def _send_heartbeats(self):
        sequence = 0
        listed = {}
        while True:
            sequence += 1
            for name, worker in self.workers.items():
                if worker.is_silent or worker.is_crashed or self.store.is_down:
                    continue
                self.store.write(
                    "keyed.servers",
                    worker.worker_id,
                    worker.registry_entry(sequence),
                )
                if listed.get(name, worker.worker_id) != worker.worker_id:
                    self.store.write("keyed.servers", listed[name], b"")
                listed[name] = worker.worker_id
            await anyio.sleep(HEARTBEAT_INTERVAL_S)


def make_app(handle):
    """Returns an ASGI application that answers with ``handle(request)``."""

    async def app(scope, receive, send):
        try:
            request = await read_request(scope, receive)
        except ClientDisconnected:
            return
        response = await handle(request)
        if response is BROKEN_CONNECTION:
            # The server closes the connection, as the body is missing.
            headers = [(b"content-length", b"1")]
            await send(
                {"type": "http.response.start", "status": 200, "headers": headers}
            )
            return
        if response is NO_ANSWER:
            # Simulates a lost answer: waits until the caller disconnects.
            await receive()
            return
        await send_response(send, response)

    return app
