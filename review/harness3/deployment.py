"""A small deployment: daemons as processes, and a stand-in of the platform.

The daemons are started with the command of the deploy file. Each has its own address of
the store, so that the platform can treat the machines differently.
"""

import json
import os
import signal
import tempfile
import time
import tomllib
from pathlib import Path

import aiohttp
import anyio

from basilwind.api.asgi import HttpResponse, HttpServer, json_response
from basilwind.standin.entry_platform import EntryPlatformStandIn, make_app
from basilwind.standin.entry_store import PAGE_LIMIT, StoreStandIn
from extras.entry_fleet import PORTS_PER_DAEMON, reserve_ports

ROOT = Path(__file__).resolve().parent.parent.parent
ZONES = ("zone-a", "zone-b", "zone-c")
PAGE_BYTES = 1_000_000  # the pages allow 500 records or 1 MB in one answer
PAGE_MARGIN_BYTES = 200  # brackets and the other fields of a page
START_TIMEOUT_S = 40.0
MAX_CASE_S = 112.0  # a script may run for 120 s, with the start and end of processes
# Bounds of the small deployments, as in the example of DEPLOY.md.
BOUNDS = {
    "contactMs": 3000,
    "configApplyMs": 2000,
    "maxHoldMs": 10000,
    "stopTimeoutMs": 200,
    "graceS": 6,
    "status_s": 120,
    "moveS": 1.5,
    "maintenanceS": 2,
    "leaseMs": 3000,
    "remoteFactor": 3,
}


class CannotRun(Exception):
    """The case could not be run."""


class Store(StoreStandIn):
    """The store, with the size limit of a page of newest records."""

    def _read_latest(self, topic, request):
        after = request.query.get("after", "")
        keys = sorted(key for key in topic.latest if key > after)
        page = json.loads(super()._read_latest(topic, request).body)
        items, size = [], PAGE_MARGIN_BYTES
        for item in page["items"]:
            size += len(json.dumps(item)) + 2
            if items and size > PAGE_BYTES:
                break
            items.append(item)
        has_more = len(items) < len(keys) or len(keys) > PAGE_LIMIT
        return json_response({"items": items, "hasMore": has_more, "end": page["end"]})


class Platform(EntryPlatformStandIn):
    """The platform, whose machine service lists all machines."""

    async def _handle_machines(self, request):
        if request.path != "/machines":
            return HttpResponse(400)
        machines = [
            {
                "machine": worker.host,
                "pool": worker.pool,
                "state": "down" if worker.is_crashed else "up",
                "zone": "zone-a",
                "labels": ["a", worker.rack],
                "capacity": {"cpu": worker.cpu, "memMb": worker.memory, "gpu": 0},
                "id": "" if worker.is_crashed else worker.worker_id,
            }
            for worker in self.workers.values()
        ]
        return json_response({"machines": machines, "nextToken": None})


class Deployment:
    """Daemon processes, the platform, and a client.

    Args:
        daemons: Number of daemons.
        queues: ``StandInQueue`` objects.
        limits: Function from the number of a daemon to its ``limits``.
        record_file: File to which the course of events is written.
        bounds: Settings of the daemons under ``bounds``.

    Attributes:
        platform: ``Platform``.
        turned_away: Numbers of the daemons that the store answers with 503.
        store_ports: Port of the store for each daemon.
        front_ports: Port for callers of each daemon.
    """

    def __init__(self, daemons, queues, limits, record_file, bounds=BOUNDS):
        port, self._reservation = reserve_ports(20 + (PORTS_PER_DAEMON + 2) * daemons)
        self.platform = Platform(port, queues, store=Store(), bounds=bounds)
        first = self.platform.next_free_port
        self.store_ports = [first + n for n in range(daemons)]
        # Free for links that a case puts between a daemon and the store.
        self.link_ports = [first + daemons + n for n in range(daemons)]
        first += 2 * daemons
        self.front_ports = [first + PORTS_PER_DAEMON * n for n in range(daemons)]
        self.turned_away = set()
        self._limits = limits
        self._processes = {}
        self._folder = tempfile.TemporaryDirectory()
        self._started_at = time.monotonic()
        self._record = open(record_file, "w", encoding="utf-8")

    def note(self, event, **fields):
        """Writes an event to the record."""
        at = time.monotonic() - self._started_at
        line = f"{at:8.3f} {event} " + " ".join(f"{k}={v}" for k, v in fields.items())
        print(line.rstrip(), file=self._record, flush=True)

    def since_start(self, at):
        """Returns a monotonic time as the record shows it."""
        return round(at - self._started_at, 3)

    async def serve(self, task_status=anyio.TASK_STATUS_IGNORED):
        """Serves the platform until cancelled."""
        async with anyio.create_task_group() as tasks:
            await tasks.start(self.platform.run)
            for number, port in enumerate(self.store_ports):
                server = HttpServer(
                    make_app(self._store_handler(number)), f"127.0.0.1:{port}"
                )
                tasks.start_soon(server.serve_until_stopped)
                await server.wait_started()
            task_status.started()

    def _store_handler(self, number):
        async def handle(request):
            if number in self.turned_away:
                return HttpResponse(503)
            return await self.platform.store.handle(request)

        return handle

    async def start_daemon(self, number, store_port=None):
        """Starts a daemon with the command of the deploy file."""
        port = self.front_ports[number]
        settings = self.platform.daemon_settings(number, port)
        settings["nodeName"] = f"edge-{number}"
        settings["zone"] = ZONES[number % len(ZONES)]
        settings["limits"] = self._limits(number)
        store_port = store_port or self.store_ports[number]
        settings["platform"] = {
            "address": f"127.0.0.1:{store_port}",
            "recordBytes": 262144,
            "callBytes": 2097152,
        }
        file = Path(self._folder.name) / f"{number}.json"
        file.write_text(json.dumps(settings))
        with open(ROOT / "deploy" / "system.toml", "rb") as deploy_file:
            command = tomllib.load(deploy_file)["roles"]["entry"]["run"].split()
        kept = ("PATH", "HOME", "LANG")
        environment = {name: os.environ[name] for name in kept if name in os.environ}
        environment["PYTHONPATH"] = str(ROOT / "target" / "deps")
        environment["BASILWIND_NODE_FILE"] = str(file)
        with open(Path(self._folder.name) / f"{number}.log", "ab") as log:
            self._processes[number] = await anyio.open_process(
                command,
                stdin=None,
                stdout=log,
                stderr=log,
                cwd=ROOT,
                env=environment,
            )
        self.note("daemon started", daemon=number)

    def signal(self, number, what):
        """Sends a signal to a daemon."""
        self._processes[number].send_signal(what)
        self.note("signal", daemon=number, signal=signal.Signals(what).name)

    async def stop(self):
        """Ends all daemons."""
        for number, process in self._processes.items():
            if process.returncode is None:
                process.kill()
            await process.wait()
            log = Path(self._folder.name) / f"{number}.log"
            kept = os.environ.get("KEEP_LOGS")
            if kept:
                (Path(kept) / f"{number}.log").write_bytes(log.read_bytes())
        self._reservation.close()
        self._folder.cleanup()
        self._record.close()

    def daemon_log(self, number):
        """Returns the log of a daemon as text."""
        return (Path(self._folder.name) / f"{number}.log").read_text()

    def find_owner(self, pool):
        """Returns the number of the daemon that claimed a pool last, or None."""
        claims = self.platform.store.latest_values("keyed.duties")
        value = claims.get(f"claim/pool/{pool}")
        if value is None:
            return None
        return int(json.loads(value)[0].partition("#")[0].removeprefix("edge-"))

    async def call(self, method, number, path, body=None, deadline_s=3.0):
        """Sends a request to a daemon; returns status and body, or None."""
        url = f"http://127.0.0.1:{self.front_ports[number]}{path}"
        headers = {
            "Host": "fleet.example",
            "X-Deadline-Ms": str(int(deadline_s * 1000)),
        }
        timeout = aiohttp.ClientTimeout(total=deadline_s)
        answer = None
        try:
            async with (
                aiohttp.ClientSession(timeout=timeout) as session,
                session.request(method, url, json=body, headers=headers) as response,
            ):
                answer = response.status, await response.json(content_type=None)
        except (aiohttp.ClientError, TimeoutError, OSError, ValueError):
            pass
        self.note("call", method=method, daemon=number, path=path, answer=answer)
        return answer

    async def wait_until_ready(self, numbers):
        """Waits until daemons are ready and answer for all queues."""
        with anyio.move_on_after(START_TIMEOUT_S):
            for number in numbers:
                for queue in self.platform.queues:
                    while True:
                        answer = await self.call("GET", number, queue.path_prefix)
                        if answer is not None and answer[0] == 200:
                            break
                        await anyio.sleep(0.3)
            return
        raise CannotRun("the daemons did not get ready")

    def starts(self, job_id):
        """Returns the ``RunStart`` of each run of a job."""
        return [
            start for start in self.platform.run_starts if start.task.startswith(job_id)
        ]

    def running(self, job_id):
        """Returns the names of a job's tasks that execute now."""
        return sorted(
            name
            for worker in self.platform.workers.values()
            for name in worker.runs
            if name.startswith(job_id)
        )


def run_case(main, record_file):
    """Runs a case and returns its exit status: 0 held, 1 broken, 2 could not run.

    All daemons are ended on SIGTERM and after ``MAX_CASE_S`` as well.

    Args:
        main: Coroutine function without arguments that returns whether the rule held.
        record_file: File that gets the reason if the case could not run.
    """

    async def guarded():
        has_held = None
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(_cancel_on_signal, tasks.cancel_scope)
            with anyio.fail_after(MAX_CASE_S):
                has_held = await main()
            tasks.cancel_scope.cancel()
        if has_held is None:
            raise CannotRun("ended by a signal")
        return has_held

    try:
        return 0 if anyio.run(guarded) else 1
    except Exception as error:
        reason = error
    while isinstance(reason, BaseExceptionGroup):
        reason = reason.exceptions[0]
    with open(record_file, "a", encoding="utf-8") as record:
        print(f"could not run: {reason!r}", file=record)
    print(f"could not run: {reason!r}")
    return 2


async def _cancel_on_signal(scope):
    with anyio.open_signal_receiver(signal.SIGTERM, signal.SIGINT) as signals:
        async for _ in signals:
            scope.cancel()
