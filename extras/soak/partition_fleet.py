"""Daemons, workers and a store as processes whose connections can be cut.

Every process reaches the others through proxies on loopback addresses of its own:
source number N through 127.N.0.1, at the ports of the targets. The store tells each
daemon the addresses of its proxies in place of those of the workers and daemons.
"""

import base64
import json
import random
import signal
import struct
import sys
import tempfile
import time
from collections import Counter
from dataclasses import asdict
from pathlib import Path

import aiohttp
import anyio

from basilwind.api.asgi import HttpResponse, HttpServer, json_response
from basilwind.standin.entry_platform import make_app
from basilwind.standin.entry_store import StoreStandIn
from basilwind.standin.entry_worker import NO_ANSWER
from extras.entry_fleet import PORTS_PER_DAEMON, ROOT, reserve_ports
from extras.soak.harsh_worker import (
    DRAIN_S,
    HEARTBEAT_S,
    MAX_HOLD_MS,
    WorkerConfig,
)
from extras.soak.proxy import Link

ZONES = ("zone-a", "zone-b", "zone-c")
POOLS = ("pool-a", "pool-b", "pool-c")
DAEMONS = 7
WORKERS = 9
STOP_S = (0.2, 0.9)  # stopTimeoutMs of the deployments
EXPIRY_S = 3 * HEARTBEAT_S  # of the registry's entries
EXPIRY_CHECK_S = 0.2
MAX_CLOCK_DRIFT = 0.02
FIRST_SOURCE = 10  # 127.10.0.1 is the first daemon's address of proxies
TARGET = b"127.0.0.1:"
ADDRESS_TOPICS = ("keyed.servers", "keyed.duties", "keyed.heartbeats")
_LENGTH = struct.Struct(">I")
_OFFSETS_LENGTH = 16  # end and first offset; precede the records of a read
CALL_TIMEOUT_S = 3.0


class StorePort:
    """The store as one daemon sees it.

    Args:
        store: ``StoreStandIn``.
        proxy_host: Host that replaces that of addresses in answers.

    Attributes:
        fault: ``refuse`` (503), ``silent``, ``slow`` (late answers), ``lose`` (appends
            that take effect but get no answer), ``late`` (appends that take effect
            some time later and get no answer), or empty.
        fault_topics: Topics to which the fault is limited; empty for all.
        delay_s: Delay of ``slow`` and ``late``, in seconds.
    """

    def __init__(self, store, proxy_host):
        self._store = store
        self._proxy = proxy_host.encode() + b":"
        self.fault = ""
        self.fault_topics = ()
        self.delay_s = 0.5
        self._silent_poll = "", None

    async def silence_next_poll(self, topic):
        """Waits until a long poll of a topic arrives, which gets no answer."""
        arrived = anyio.Event()
        self._silent_poll = topic, arrived
        await arrived.wait()

    def _current_fault(self, topic):
        is_meant = not self.fault_topics or topic in self.fault_topics
        return self.fault if is_meant else ""

    async def handle(self, request):
        """Handles a daemon's request."""
        topic = request.query.get("topic", "")
        fault, delay_s = self._current_fault(topic), self.delay_s
        is_append = request.path == "/log-append"
        silent_topic, arrived = self._silent_poll
        if topic == silent_topic and "waitMs" in request.query:
            self._silent_poll = "", None
            arrived.set()
            return NO_ANSWER
        if fault == "refuse":
            return HttpResponse(503)
        if fault == "silent":
            return NO_ANSWER
        if fault in ("slow", "late") and (is_append or fault == "slow"):
            await anyio.sleep(delay_s)
        response = await self._store.handle(request)
        if is_append and fault in ("lose", "late"):
            return NO_ANSWER
        if self._current_fault(topic) == "silent" or response is None:
            return NO_ANSWER
        return self._replace_addresses(request.path, topic, response)

    def _replace_addresses(self, path, topic, response):
        if topic not in ADDRESS_TOPICS or response.status != 200:
            return response
        if path == "/log-read":
            body, position = response.body[:_OFFSETS_LENGTH], _OFFSETS_LENGTH
            while position < len(response.body):
                (length,) = _LENGTH.unpack_from(response.body, position)
                position += _LENGTH.size
                record = response.body[position : position + length]
                position += length
                record = record.replace(TARGET, self._proxy)
                body += _LENGTH.pack(len(record)) + record
            return HttpResponse(200, body, response.content_type)
        if path == "/log-newest":
            document = json.loads(response.body)
            for item in document["items"]:
                value = base64.b64decode(item["value"]).replace(TARGET, self._proxy)
                item["value"] = base64.b64encode(value).decode()
            return json_response(document)
        return response


class PartitionFleet:
    """Processes of one play.

    Args:
        seed: Seed of the workers' delays and clocks.
        code: Directory of the daemons' code.
        log_folder: Directory for the logs of all processes and the record.

    Attributes:
        store: ``StoreStandIn``.
        store_ports: ``StorePort`` of each daemon.
        workers: ``WorkerConfig`` of each worker that is up, by number.
        restarting: Indexes of daemons and names of workers that a fault restarts.
        draining: Numbers of workers that a fault has drain and replaced.
        events: Everything that happened, in the order in which it was heard of; the
            times, ``at``, are those of the monotonic clock.
    """

    def __init__(self, seed, code, log_folder):
        self._code = Path(code or ROOT)
        self._folder = Path(log_folder)
        self._random = random.Random(seed)
        self._stop_s = self._random.choice(STOP_S)
        port, self._reservation = reserve_ports(
            PORTS_PER_DAEMON * DAEMONS + WORKERS + DAEMONS + 1
        )
        self._registry_port = port
        self._first_store_port = port + 1
        self._first_worker_port = self._first_store_port + DAEMONS
        first = self._first_worker_port + WORKERS
        self.ports = [first + PORTS_PER_DAEMON * n for n in range(DAEMONS)]
        self.store = StoreStandIn()
        self.store_ports = [
            StorePort(self.store, self._source_host(n)) for n in range(DAEMONS)
        ]
        self.daemons = {}
        self.workers = {}
        self._worker_processes = {}
        self._registered = {}
        self._lives = 0
        self._version = 0
        self.restarting = set()
        self.draining = set()
        self.events = []
        # Runs that execute on each worker, by its id.
        self._load = Counter()
        self._links = {}
        self.is_registry_down = False
        self._tasks = None
        self._started_at = time.monotonic()
        self._record = open(self._folder / "record.jsonl", "w", encoding="utf-8")
        self._files = tempfile.TemporaryDirectory()

    # Addresses

    def _source_host(self, number):
        return f"127.{FIRST_SOURCE + number}.0.1"

    def zone_of(self, source):
        """Returns the zone of a source: a daemon, or a worker after the daemons."""
        return ZONES[(source if source < DAEMONS else source - DAEMONS) % len(ZONES)]

    def worker_source(self, number):
        """Returns the number of a worker as a source of connections."""
        return DAEMONS + number

    def links(self, sources=None, targets=None):
        """Returns the links from some sources to some targets; None stands for all.

        Targets are the numbers of daemons and workers as sources, or ``store``.
        """
        return [
            link
            for (source, target), link in self._links.items()
            if (sources is None or source in sources)
            and (targets is None or target in targets)
        ]

    def links_of_host(self, number):
        """Returns the links from and to a daemon or worker."""
        return self.links(sources=(number,)) + [
            link
            for (source, target), link in self._links.items()
            if target == number and source != number
        ]

    def links_around(self, members):
        """Returns the links between the given daemons and workers and all others."""
        return [
            link
            for (source, target), link in self._links.items()
            if (source in members) != (target in members)
        ]

    def members_of_zone(self, zone):
        """Returns the numbers of the daemons and workers of a zone."""
        return {n for n in range(DAEMONS + WORKERS) if self.zone_of(n) == zone}

    def _open_links(self):
        for source in range(DAEMONS):
            host = self._source_host(source)
            targets = {"store": self._first_store_port + source}
            targets |= {n: self.ports[n] + 2 for n in range(DAEMONS)}
            for number in range(WORKERS):
                targets[DAEMONS + number] = self._first_worker_port + number
            for target, port in targets.items():
                self._links[source, target] = Link(host, port)
        for number in range(WORKERS):
            source = self.worker_source(number)
            link = Link(self._source_host(source), self._registry_port)
            self._links[source, "store"] = link
        for link in self._links.values():
            link.open()

    # Record

    def note(self, event, at=None, **fields):
        """Records an event."""
        entry = {"at": time.monotonic() if at is None else at, "event": event} | fields
        if event == "start":
            self._load[fields["worker"]] += 1
        elif event == "end":
            self._load[fields["worker"]] -= 1
        self.events.append(entry)
        line = entry | {"at": round(entry["at"] - self._started_at, 3)}
        self._record.write(json.dumps(line) + "\n")
        self._record.flush()

    @property
    def started_at(self):
        """Monotonic time from which the record counts."""
        return self._started_at

    # Processes

    async def run(self, task_status=anyio.TASK_STATUS_IGNORED):
        """Serves the store and starts all processes; runs until cancelled."""
        self.configure()
        self._open_links()
        async with anyio.create_task_group() as tasks:
            self._tasks = tasks
            handlers = {self._registry_port: self._register}
            for number, store_port in enumerate(self.store_ports):
                handlers[self._first_store_port + number] = store_port.handle
            for port, handle in handlers.items():
                server = HttpServer(make_app(handle), f"127.0.0.1:{port}")
                tasks.start_soon(server.serve_until_stopped)
                await server.wait_started()
            tasks.start_soon(self._expire_entries)
            for number in range(WORKERS):
                await self.start_worker(number, POOLS[number // len(ZONES)])
            async with anyio.create_task_group() as starting:
                for index in range(DAEMONS):
                    starting.start_soon(self.start_daemon, index)
            task_status.started()
            await anyio.sleep_forever()

    async def close(self):
        """Kills all processes."""
        with anyio.CancelScope(shield=True):
            for process in [*self.daemons.values(), *self._worker_processes.values()]:
                if process.returncode is None:
                    process.kill()
                await process.wait()
        for link in self._links.values():
            link.close()
        self._record.close()
        self._reservation.close()
        self._files.cleanup()

    def configure(self, moved_to=None):
        """Publishes the next version of the configuration.

        Args:
            moved_to: Pool to which the path ``/moved/`` leads; None for no such path.
        """
        self._version += 1
        paths = {f"/{pool}/": pool for pool in POOLS}
        if moved_to is not None:
            paths["/moved/"] = moved_to
        routes = [
            {
                "name": f"q-{path.strip('/')}-{pool}",
                "host": "fleet.example",
                "pathPrefix": path,
                "timeoutMs": 3000,
                "targetDurationMs": 600,
                "priority": 0,
                "service": pool,
                "attempts": 3,
                "stretch": 1.6,
            }
            for path, pool in paths.items()
        ]
        services = [{"name": pool} for pool in POOLS]
        document = {"version": self._version, "routes": routes, "services": services}
        self.store.write("keyed.op", "config", json.dumps(document).encode())
        self.note("configuration", version=self._version, moved_to=moved_to)

    def _settings(self, index):
        port, zone = self.ports[index], self.zone_of(index)
        store = f"{self._source_host(index)}:{self._first_store_port + index}"
        return {
            "nodeName": f"edge-{zone}-{index}",
            "ip": "127.0.0.1",
            "zone": zone,
            "listenAddrs": {
                "front": f"127.0.0.1:{port}",
                "readyAddr": f"127.0.0.1:{port + 1}",
            },
            "internalPorts": [port + 2, port + 6],
            "platform": {"address": store},
            "bounds": {
                "maxHoldMs": MAX_HOLD_MS,
                "stopTimeoutMs": int(self._stop_s * 1000),
                "graceS": 6,
            },
            "limits": {"cpuShare": 0.537, "cores": 2},
        }

    async def start_daemon(self, index):
        """Starts a daemon's process."""
        file = Path(self._files.name) / f"{index}.json"
        file.write_text(json.dumps(self._settings(index)))
        with open(self._folder / f"daemon-{index}.log", "ab") as log:
            self.daemons[index] = await anyio.open_process(
                [sys.executable, "-m", "basilwind", "entry", "--settings", str(file)],
                stdin=None,
                stdout=log,
                stderr=log,
                cwd=self._code,
            )
        for link in self.links(targets=(index,)):
            link.set_down(False)
        self.note("daemon started", daemon=index)

    async def end_daemon(self, index, number):
        """Sends a signal to a daemon and waits until it has ended."""
        process = self.daemons[index]
        self.note("daemon signalled", daemon=index, signal=number)
        process.send_signal(number)
        await process.wait()
        for link in self.links(targets=(index,)):
            link.set_down(True)
        self.note("daemon ended", daemon=index)

    def signal_daemon(self, index, number):
        """Sends a signal to a daemon that runs."""
        if self.daemons[index].returncode is None:
            self.daemons[index].send_signal(number)

    async def start_worker(self, number, pool, worker_id=None):
        """Starts a worker's process.

        Args:
            number: Number of its host and port.
            pool: Name of its pool.
            worker_id: Id of a worker that starts again; None for a new worker.
        """
        self._lives += 1
        source = self.worker_source(number)
        config = WorkerConfig(
            worker_id=worker_id or f"i-{number}-{self._lives}",
            host=f"m-{number}",
            pool=pool,
            zone=self.zone_of(source),
            port=self._first_worker_port + number,
            registry=f"{self._source_host(source)}:{self._registry_port}",
            clock_rate=1 - self._random.choice((0, 0.5, 1)) * MAX_CLOCK_DRIFT,
            stop_s=self._stop_s,
            seed=self._random.randrange(1_000_000),
        )
        with open(self._folder / f"worker-{number}.log", "ab") as log:
            process = await anyio.open_process(
                [
                    sys.executable,
                    "-m",
                    "extras.soak.harsh_worker",
                    json.dumps(asdict(config)),
                ],
                stderr=log,
                cwd=ROOT,
            )
        self.workers[number] = config
        self._worker_processes[number] = process
        for link in self.links(targets=(source,)):
            link.set_down(False)
        self._tasks.start_soon(self._read_events, process, config)
        self.note("worker started", worker=config.worker_id, pool=pool, number=number)

    async def drain_worker(self, number):
        """Has a worker drain, stop listening and leave the registry; its runs go on.

        Returns:
            Whether it did, and no other fault ended it before.
        """
        config = self.workers[number]
        self.note("worker draining", worker=config.worker_id, number=number)
        self._worker_processes[number].send_signal(signal.SIGTERM)
        await anyio.sleep(DRAIN_S)
        if self.workers.get(number) is not config:
            return False
        for link in self.links(targets=(self.worker_source(number),)):
            link.set_down(True)
        self.unregister(config.worker_id)
        return True

    async def kill_worker(self, number):
        """Kills a worker; its runs end with it.

        Returns:
            Its ``WorkerConfig``.
        """
        config, process = self.workers.pop(number), self._worker_processes[number]
        process.kill()
        await process.wait()
        self.note("worker killed", worker=config.worker_id, number=number)
        self._load.pop(config.worker_id, None)
        for link in self.links(targets=(self.worker_source(number),)):
            link.set_down(True)
        return config

    def restart_worker_unheard(self, number):
        """Starts a worker's next incarnation, under its id, at once.

        Its connections have to be silent or cut, or calls on them would reach it.
        """
        self.note("worker restarted unheard", number=number)
        self._worker_processes[number].send_signal(signal.SIGUSR1)

    async def _read_events(self, process, config):
        buffer = b""
        async for chunk in process.stdout:
            *lines, buffer = (buffer + chunk).split(b"\n")
            for line in lines:
                event = json.loads(line)
                event.setdefault("at", time.monotonic())
                event["worker"] = config.worker_id
                self.note(**event)

    def workers_of_pool(self, pool):
        """Returns the numbers of a pool's workers that are up, the busiest first."""
        numbers = [n for n, config in self.workers.items() if config.pool == pool]
        return sorted(numbers, key=lambda n: -self._load[self.workers[n].worker_id])

    # Registry

    async def _register(self, request):
        if self.is_registry_down:
            return HttpResponse(503)
        worker_id = request.path.removeprefix("/")
        self._registered[worker_id] = time.monotonic()
        self.store.write("keyed.servers", worker_id, request.body)
        return json_response({})

    def unregister(self, worker_id):
        """Removes the entry of a worker that has left."""
        if self._registered.pop(worker_id, None) is not None:
            self.store.write("keyed.servers", worker_id, b"")
            self.note("entry removed", worker=worker_id)

    async def _expire_entries(self):
        while True:
            await anyio.sleep(EXPIRY_CHECK_S)
            now = time.monotonic()
            for worker_id, heard_at in list(self._registered.items()):
                if now - heard_at > EXPIRY_S:
                    self.unregister(worker_id)

    # Duties and callers

    def holder(self, pool):
        """Returns the index of the daemon that last claimed a pool, or None."""
        return self._holders().get(f"claim/pool/{pool}")

    def holders(self):
        """Returns the indexes of all daemons that last claimed a duty."""
        return set(self._holders().values())

    def _holders(self):
        holders = {}
        for key, value in self.store.latest_values("keyed.duties").items():
            if key.startswith("claim/"):
                host = json.loads(value)[0].partition("#")[0]
                holders[key] = int(host.rpartition("-")[2])
        return holders

    def running(self, job_id):
        """Returns the names of a job's tasks that execute."""
        running = set()
        for event in self.events:
            if event["event"] == "start" and event["task"].startswith(job_id):
                running.add((event["task"], event["run"]))
            elif event["event"] == "end":
                running.discard((event["task"], event["run"]))
        return sorted(task for task, _ in running)

    async def call(self, method, index, path, body=None):
        """Calls a daemon as a client does; returns the status, or None."""
        url = f"http://127.0.0.1:{self.ports[index]}{path}"
        timeout = aiohttp.ClientTimeout(total=CALL_TIMEOUT_S)
        headers = {"Host": "fleet.example"}
        try:
            async with (
                aiohttp.ClientSession(timeout=timeout) as session,
                session.request(method, url, json=body, headers=headers) as response,
            ):
                await response.read()
                return response.status
        except (aiohttp.ClientError, TimeoutError, OSError):
            return None
