"""Stand-in for a worker of entry hosts, with leases, fencing and late orders."""

import json
import time
from dataclasses import dataclass

import anyio
import msgspec

from basilwind.api.asgi import HttpResponse, json_response

TICK_S = 0.02  # resolution of run times and leases
DEFAULT_WORK_S = 0.1
UNTIL_STOPPED = -1.0  # work_s of a task that runs until it is stopped
MAINTENANCE_S = 1.0  # time for which a host in maintenance is away
CRASH_S = 1.0  # time for which a crashed worker is away; 3 s on the real platform


# What a handler returns to lose an answer, or to break the connection.
NO_ANSWER = None
BROKEN_CONNECTION = "broken"


@dataclass
class _Run:
    number: int
    done_at: float
    started_at: float


@dataclass(frozen=True)
class RunStart:
    """Record of a run that was started, for checks by tests.

    Attributes:
        at: When it started, in seconds on the monotonic clock.
        task: Name of the task.
        run: Number of the run.
        worker_id: Id of the worker.
        token: Fencing token of the order.
    """

    at: float
    task: str
    run: int
    worker_id: str
    token: int = 0


@dataclass(frozen=True)
class RunEnd:
    """Record of a run that ended, for checks by tests.

    Attributes:
        at: When it ended, in seconds on the monotonic clock.
        task: Name of the task.
        run: Number of the run.
        kind: How it ended: ``done``, ``stopped``, ``lapsed`` with the lease, or with
            the worker: by ``maintenance`` of its host, otherwise ``lost``, also if it
            was done and no owner had taken note.
    """

    at: float
    task: str
    run: int
    kind: str


class EntryWorkerStandIn:
    """A worker whose tasks run for as long as the specification of their job says.

    The specification is a JSON object with the run time, ``work_s``. With ``crashes``,
    the indexes of some tasks, these crash each worker that starts them.

    Args:
        worker_id: Id of the worker; each start of its host gives it a new one.
        pool: Pool that the worker belongs to.
        address: HOST:PORT for orders.
        rack: Rack of its host.
        run_starts: List to which a ``RunStart`` is appended for each run.
        run_ends: List to which a ``RunEnd`` is appended for each run.

    Attributes:
        is_silent: Whether requests get no answer and heartbeats stop.
        host: Name of its host.
        is_crashed: Whether its process has ended; its connections break.
        delay_next_s: Delay of the next order, in seconds; the order is then carried
            out but not answered.
    """

    def __init__(self, worker_id, pool, address, rack, run_starts, run_ends):
        self.worker_id = worker_id
        self.host = worker_id
        self._lives = 1
        self.pool = pool
        self.address = address
        self.rack = rack
        self.run_starts = run_starts
        self.run_ends = run_ends
        self.is_silent = False
        self.is_crashed = False
        self._back_at = 0.0
        self.delay_next_s = 0.0
        self.cpu, self.memory = 16000, 64000
        self.restart()

    def restart(self):
        """Starts a new incarnation, without the state of the previous one."""
        self.incarnation_started_ms = int(time.time() * 1000)
        self._started_at = time.monotonic()
        self.runs = {}
        self._rejected_runs = {}
        self._ended = []
        self._ended_count = 0
        self._highest_token = 0
        self._lease_ms = 0.0
        self._run_ended = anyio.Event()

    def registry_entry(self, sequence):
        """Returns the worker's registry entry as JSON, bytes."""
        return json.dumps(
            {
                "service": self.pool,
                "address": self.address,
                "zone": "zone-a",
                "version": "v1",
                "slots": 8,
                "state": "ready",
                "coldLeftMs": 0,
                "capacity": {"cpu": self.cpu, "memMb": self.memory, "gpu": 0},
                "labels": ["a", self.rack],
                "born": self.incarnation_started_ms,
                "machine": self.host,
                "sequence": sequence,
            }
        ).encode()

    @property
    def clock_ms(self):
        """The worker's own clock, in milliseconds since its incarnation started."""
        return (time.monotonic() - self._started_at) * 1000

    async def run(self):
        """Ends runs when they are done or when the lease expires."""
        while True:
            await anyio.sleep(TICK_S)
            now = time.monotonic()
            if self.is_crashed and now >= self._back_at:
                self._come_back()
            for name, run in list(self.runs.items()):
                if run.done_at != UNTIL_STOPPED and now >= run.done_at:
                    self._end(name, "done")
                elif self.clock_ms > self._lease_ms:
                    self._end(name, "lapsed")

    def crash(self):
        """Ends the worker's process; its host starts another worker later."""
        self._go_down("lost", CRASH_S)

    def take_down(self):
        """Ends the worker for the maintenance of its host, and its runs with it."""
        self._go_down("maintenance", MAINTENANCE_S)

    def _go_down(self, kind, away_s):
        now = time.monotonic()
        ended = {(name, run.number) for name, run in self.runs.items()}
        self.run_ends += [RunEnd(now, name, number, kind) for name, number in ended]
        lost = {
            (name, number) for _, name, number, how, _ in self._ended if how == "done"
        }
        self.run_ends += [RunEnd(now, name, number, "lost") for name, number in lost]
        self.is_crashed, self._back_at = True, now + away_s
        run_ended = self._run_ended
        self.restart()
        run_ended.set()

    def _come_back(self):
        self._lives += 1
        self.worker_id = f"{self.host}-{self._lives}"
        self.is_crashed = False
        self.restart()

    async def handle(self, request):
        """Handles a request.

        Returns:
            The response, ``NO_ANSWER``, or ``BROKEN_CONNECTION``.
        """
        started_ms = self.incarnation_started_ms
        response = await self._handle(request)
        is_lost = started_ms != self.incarnation_started_ms
        return BROKEN_CONNECTION if self.is_crashed or is_lost else response

    async def _handle(self, request):
        if self.is_silent or self.is_crashed:
            return NO_ANSWER
        if request.headers.get("x-expect-instance", self.worker_id) != self.worker_id:
            return HttpResponse(421)
        order = msgspec.json.decode(request.body)
        if self.delay_next_s:
            delay_s, self.delay_next_s = self.delay_next_s, 0.0
            # A restart in the meantime drops the order.
            started_ms = self.incarnation_started_ms
            await anyio.sleep(delay_s)
            if started_ms == self.incarnation_started_ms:
                self._execute(request.path, order)
            return NO_ANSWER
        if request.path == "/hold":
            return await self._hold(order)
        return self._execute(request.path, order)

    def _execute(self, path, order):
        if order.get("fencingToken", 0) < self._highest_token:
            return self._reject("fence")
        self._highest_token = order.get("fencingToken", 0)
        if path == "/run-start":
            return self._start(order)
        if path == "/run-stop":
            return self._stop(order)
        return self._answer()

    def _answer(self):
        return json_response({"clockMs": int(self.clock_ms)})

    def _reject(self, reason):
        return json_response({"clockMs": int(self.clock_ms), "reason": reason}, 409)

    def _start(self, order):
        name, number = order["task"], order["run"]
        current = self.runs.get(name)
        if current is not None and current.number == number:
            return self._answer()
        if current is not None or number <= self._rejected_runs.get(name, 0):
            return self._reject("old")
        if order["expiresAtMs"] <= self.clock_ms:
            return self._reject("late")
        self._lease_ms = max(self._lease_ms, order["expiresAtMs"])
        now = time.monotonic()
        work_s = _parse_work_s(order["spec"])
        done_at = UNTIL_STOPPED if work_s == UNTIL_STOPPED else now + work_s
        self.runs[name] = _Run(number, done_at, now)
        self.run_starts.append(
            RunStart(now, name, number, self.worker_id, self._highest_token)
        )
        if int(name.rpartition(".")[2]) in _parse_crashes(order["spec"]):
            self.crash()
            return NO_ANSWER
        return self._answer()

    def _stop(self, order):
        name, number = order["task"], order["run"]
        self._rejected_runs[name] = max(number, self._rejected_runs.get(name, 0))
        current = self.runs.get(name)
        if current is not None and current.number <= number:
            self._end(name, "stopped")
        return self._answer()

    def _end(self, name, kind):
        run = self.runs.pop(name)
        self._rejected_runs[name] = max(run.number, self._rejected_runs.get(name, 0))
        self.run_ends.append(RunEnd(time.monotonic(), name, run.number, kind))
        self._ended_count += 1
        self._ended.append([self._ended_count, name, run.number, kind, ""])
        ended, self._run_ended = self._run_ended, anyio.Event()
        ended.set()

    async def _hold(self, order):
        if order.get("fencingToken", 0) < self._highest_token:
            return self._reject("fence")
        self._highest_token = order.get("fencingToken", 0)
        seen = order.get("lastSeen", 0)
        self._ended = [end for end in self._ended if end[0] > seen]
        if "expiresAtMs" in order:
            self._lease_ms = max(self._lease_ms, order["expiresAtMs"])
        if not self._ended and order.get("waitMs"):
            with anyio.move_on_after(order["waitMs"] / 1000):
                await self._run_ended.wait()
        running = [
            [name, run.number, "", self._percent(run), 500]
            for name, run in self.runs.items()
        ]
        return json_response(
            {
                "clockMs": int(self.clock_ms),
                "born": self.incarnation_started_ms,
                "running": running,
                "ended": self._ended[:500],
            }
        )

    def _percent(self, run):
        if run.done_at == UNTIL_STOPPED:
            return 100
        total_s = max(1e-3, run.done_at - run.started_at)
        return min(99, int(100 * (time.monotonic() - run.started_at) / total_s))


def _parse_crashes(text):
    try:
        return json.loads(text).get("crashes", [])
    except (ValueError, AttributeError):
        return []


def _parse_work_s(text):
    try:
        return float(json.loads(text)["work_s"])
    except (ValueError, KeyError, TypeError):
        return DEFAULT_WORK_S
