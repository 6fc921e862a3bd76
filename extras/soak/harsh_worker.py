"""Worker process that does all that the platform allows a worker to do.

Its clock is slow, an expired lease and a stop take time to end a run, and some orders
are carried out late and without an answer.
"""

import json
import random
import signal
import sys
import time
from dataclasses import asdict, dataclass

import aiohttp
import anyio

from basilwind.api.asgi import HttpServer
from basilwind.standin.entry_platform import make_app
from basilwind.standin.entry_worker import TICK_S, UNTIL_STOPPED, EntryWorkerStandIn

MAX_HOLD_MS = 10_000
HEARTBEAT_S = 1.5
HEARTBEAT_TIMEOUT_S = 1.0
DRAIN_S = 3.0  # from the notice that it drains until it stops listening
LATE_START_SHARE = 0.01
MAX_LATE_START_S = 3.0
SLOW_HOLD_SHARE = 0.02
MAX_SLOW_HOLD_S = 1.0
USUAL_ANSWER_S = 0.02


@dataclass(frozen=True)
class WorkerConfig:
    """Configuration of a worker process.

    Attributes:
        worker_id: Id of the worker.
        host: Name of its host.
        pool: Pool that it belongs to.
        zone: Its availability zone.
        port: Port on 127.0.0.1 for orders.
        registry: HOST:PORT at which it registers itself.
        clock_rate: Speed of its clock, 1 or slightly less.
        stop_s: Longest time that it takes to end a run, seconds.
        seed: Seed of its delays.
    """

    worker_id: str
    host: str
    pool: str
    zone: str
    port: int
    registry: str
    clock_rate: float
    stop_s: float
    seed: int


class _EventWriter:
    """Writes records as JSON lines instead of keeping them."""

    def __init__(self, kind):
        self._kind = kind

    def append(self, record):
        write_event(self._kind, **asdict(record))


def write_event(event, /, **fields):
    """Writes an event as a line on standard output."""
    print(json.dumps({"event": event, **fields}), flush=True)


class HarshWorker(EntryWorkerStandIn):
    """A worker stand-in that is as slow and late as the platform allows.

    Args:
        config: ``WorkerConfig``.
    """

    def __init__(self, config):
        self._config = config
        self._random = random.Random(config.seed)
        # When and how each run that is being ended will have ended, by task name.
        self._dying = {}
        self._is_lease_over = True
        self.is_draining = False
        super().__init__(
            config.worker_id,
            config.pool,
            f"127.0.0.1:{config.port}",
            f"rack-{config.zone}",
            _EventWriter("start"),
            _EventWriter("end"),
        )

    @property
    def clock_ms(self):
        """The worker's own clock, in milliseconds since its incarnation started."""
        return (time.monotonic() - self._started_at) * 1000 * self._config.clock_rate

    def registry_entry(self, sequence):
        """Returns the worker's registry entry as JSON, bytes."""
        entry = json.loads(super().registry_entry(sequence))
        entry |= {"zone": self._config.zone, "machine": self._config.host}
        if self.is_draining:
            entry["state"] = "draining"
        return json.dumps(entry).encode()

    async def run(self):
        """Ends runs when they are done, and some time after a stop or a lease's end."""
        while True:
            await anyio.sleep(TICK_S)
            now = time.monotonic()
            is_over = self.clock_ms > self._lease_ms
            if is_over and not self._is_lease_over:
                over_s = (self.clock_ms - self._lease_ms) / 1000
                write_event("lapse", at=now - over_s)
                for name in self.runs:
                    self._end_later(name, "lapsed", now)
                # Ends that were not acknowledged before count for nothing.
                for end in self._ended:
                    write_event("void", task=end[1], run=end[2])
            self._is_lease_over = is_over
            for name, run in list(self.runs.items()):
                end_at, kind = self._dying.get(name, (run.done_at, "done"))
                if end_at != UNTIL_STOPPED and now >= end_at:
                    self._dying.pop(name, None)
                    self._end(name, kind)

    def start_again(self):
        """Ends the incarnation, and its runs with it, and begins the next one."""
        write_event("worker killed", at=time.monotonic())
        self._dying = {}
        self._is_lease_over = True
        run_ended = self._run_ended
        self.restart()
        run_ended.set()

    def _end_later(self, name, kind, now):
        end_at = now + self._random.uniform(0.0, self._config.stop_s)
        self._dying.setdefault(name, (end_at, kind))

    async def handle(self, request):
        """Handles a request; see ``EntryWorkerStandIn``."""
        if request.path == "/run-start" and self._random.random() < LATE_START_SHARE:
            self.delay_next_s = self._random.uniform(0.2, MAX_LATE_START_S)
        response = await super().handle(request)
        is_slow = request.path == "/hold" and self._random.random() < SLOW_HOLD_SHARE
        await anyio.sleep(
            self._random.uniform(0.0, MAX_SLOW_HOLD_S if is_slow else USUAL_ANSWER_S)
        )
        return response

    def _extend_lease(self, order):
        """Extends the lease, which any order does; returns the shortened order."""
        if "expiresAtMs" not in order:
            return order
        lease_ms = min(order["expiresAtMs"], self.clock_ms + MAX_HOLD_MS)
        self._lease_ms = max(self._lease_ms, lease_ms)
        return order | {"expiresAtMs": lease_ms}

    def _start(self, order):
        return super()._start(self._extend_lease(order))

    def _stop(self, order):
        name, number = order["task"], order["run"]
        current = self.runs.get(name)
        if current is not None and current.number <= number:
            self._end_later(name, "stopped", time.monotonic())
            return self._answer()
        return super()._stop(order)

    async def _hold(self, order):
        if order.get("fencingToken", 0) >= self._highest_token:
            order = self._extend_lease(order)
            for end in self._ended:
                if end[0] <= order.get("lastSeen", 0):
                    write_event("noted", task=end[1], run=end[2], at=time.monotonic())
        return await super()._hold(order)


async def run_worker(config):
    """Serves orders and sends heartbeats until standard input ends."""
    worker = HarshWorker(config)
    server = HttpServer(make_app(worker.handle), worker.address)
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(server.serve_until_stopped)
        tasks.start_soon(worker.run)
        await server.wait_started()
        write_event("up", at=time.monotonic(), pool=config.pool)
        tasks.start_soon(_serve_until_told_to_leave, worker, server, config)
        tasks.start_soon(_start_again_when_told, worker)
        await anyio.to_thread.run_sync(sys.stdin.read, abandon_on_cancel=True)
        tasks.cancel_scope.cancel()


async def _serve_until_told_to_leave(worker, server, config):
    """Drains on SIGTERM, then stops listening and lets runs go on."""
    with anyio.open_signal_receiver(signal.SIGTERM) as signals:
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(_send_heartbeats, worker, config)
            async for _ in signals:
                worker.is_draining = True
                await anyio.sleep(DRAIN_S)
                tasks.cancel_scope.cancel()
    write_event("left", at=time.monotonic())
    server.stop()


async def _start_again_when_told(worker):
    """Begins the next incarnation on SIGUSR1; connections stay open."""
    with anyio.open_signal_receiver(signal.SIGUSR1) as signals:
        async for _ in signals:
            worker.start_again()


async def _send_heartbeats(worker, config):
    sequence = 0
    url = f"http://{config.registry}/{worker.worker_id}"
    timeout = aiohttp.ClientTimeout(total=HEARTBEAT_TIMEOUT_S)
    async with aiohttp.ClientSession(timeout=timeout) as session:
        while True:
            sequence += 1
            try:
                body = worker.registry_entry(sequence)
                async with session.post(url, data=body) as response:
                    await response.read()
            except (aiohttp.ClientError, TimeoutError, OSError):
                pass
            await anyio.sleep(HEARTBEAT_S)


if __name__ == "__main__":
    anyio.run(run_worker, WorkerConfig(**json.loads(sys.argv[1])))
