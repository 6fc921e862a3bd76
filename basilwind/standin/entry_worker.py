"""A stand-in of the users' workers: leases, fences, incarnations, late orders."""

import json
import time
from dataclasses import dataclass

import anyio
import msgspec

from basilwind.api.asgi import HttpResponse, json_response

TICK_S = 0.02  # granularity of run times and leases
DEFAULT_WORK_S = 0.1
LASTS = -1.0  # run time of a task that runs until it is stopped


@dataclass
class _Run:
    number: int
    done_at: float
    started_at: float


@dataclass(frozen=True)
class RunStart:
    """A start that was carried out, for the checks of tests.

    Attributes:
        at: Steady time.
        task: Name of the task.
        run: Number of the run.
        worker_id: Where.
    """

    at: float
    task: str
    run: int
    worker_id: str


@dataclass(frozen=True)
class RunEnd:
    """A run that ended, for the checks of tests.

    Attributes:
        at: Steady time.
        task: Name of the task.
        run: Number of the run.
        kind: How it ended.
    """

    at: float
    task: str
    run: int
    kind: str


class EntryWorkerStandIn:
    """A worker; its tasks run as long as the job's text says.

    Args:
        worker_id: Id, new with each life of its machine.
        pool: Pool that it belongs to.
        address: HOST:PORT for orders.
        rack: Rack of its machine.
        run_starts: List to which each ``RunStart`` is added.
        run_ends: List to which each ``RunEnd`` is added.

    Attributes:
        is_silent: Whether calls get no answer.
        delay_next_s: Delay of the next order, which is then not answered.
    """

    def __init__(self, worker_id, pool, address, rack, run_starts, run_ends):
        self.worker_id = worker_id
        self.pool = pool
        self.address = address
        self.rack = rack
        self.run_starts = run_starts
        self.run_ends = run_ends
        self.is_silent = False
        self.delay_next_s = 0.0
        self.cpu, self.memory = 16000, 64000
        self.restart()

    def restart(self):
        """Begins a new incarnation, which knows nothing of the last."""
        self.born = int(time.time() * 1000)
        self._began = time.monotonic()
        self.runs = {}
        self._rejected = {}
        self._ended = []
        self._count = 0
        self._fence = 0
        self._lease_ms = 0.0
        self._changed = anyio.Event()

    def entry(self, sequence):
        """Returns the registry entry, bytes."""
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
                "born": self.born,
                "sequence": sequence,
            }
        ).encode()

    @property
    def clock_ms(self):
        """The worker's own clock, milliseconds."""
        return (time.monotonic() - self._began) * 1000

    async def run(self):
        """Ends runs when they are done and when the lease runs out."""
        while True:
            await anyio.sleep(TICK_S)
            now = time.monotonic()
            for name, run in list(self.runs.items()):
                if run.done_at != LASTS and now >= run.done_at:
                    self._end(name, "done")
                elif self.clock_ms > self._lease_ms:
                    self._end(name, "lapsed")

    async def answer(self, request):
        """Answers a call; returns None for an answer that is never sent."""
        if self.is_silent:
            return None
        if request.headers.get("x-expect-instance", self.worker_id) != self.worker_id:
            return HttpResponse(421)
        order = msgspec.json.decode(request.body)
        if self.delay_next_s:
            delay_s, self.delay_next_s = self.delay_next_s, 0.0
            born = self.born
            await anyio.sleep(delay_s)
            if born == self.born:
                self._carry_out(request.path, order)
            return None
        if request.path == "/hold":
            return await self._hold(order)
        return self._carry_out(request.path, order)

    def _carry_out(self, path, order):
        if order.get("fencingToken", 0) < self._fence:
            return self._refuse("fence")
        self._fence = order.get("fencingToken", 0)
        if path == "/run-start":
            return self._start(order)
        if path == "/run-stop":
            return self._stop(order)
        return json_response({"clockMs": int(self.clock_ms)})

    def _refuse(self, reason):
        return json_response({"clockMs": int(self.clock_ms), "reason": reason}, 409)

    def _start(self, order):
        name, number = order["task"], order["run"]
        held = self.runs.get(name)
        if held is not None and held.number == number:
            return json_response({"clockMs": int(self.clock_ms)})
        if held is not None or number <= self._rejected.get(name, 0):
            return self._refuse("old")
        if order["expiresAtMs"] <= self.clock_ms:
            return self._refuse("late")
        self._lease_ms = max(self._lease_ms, order["expiresAtMs"])
        now = time.monotonic()
        work_s = _work_s(order["spec"])
        done_at = LASTS if work_s == LASTS else now + work_s
        self.runs[name] = _Run(number, done_at, now)
        self.run_starts.append(RunStart(now, name, number, self.worker_id))
        return json_response({"clockMs": int(self.clock_ms)})

    def _stop(self, order):
        name, number = order["task"], order["run"]
        self._rejected[name] = max(number, self._rejected.get(name, 0))
        held = self.runs.get(name)
        if held is not None and held.number <= number:
            self._end(name, "stopped")
        return json_response({"clockMs": int(self.clock_ms)})

    def _end(self, name, how):
        run = self.runs.pop(name)
        self._rejected[name] = max(run.number, self._rejected.get(name, 0))
        self.run_ends.append(RunEnd(time.monotonic(), name, run.number, how))
        self._count += 1
        self._ended.append([self._count, name, run.number, how, ""])
        changed, self._changed = self._changed, anyio.Event()
        changed.set()

    async def _hold(self, order):
        if order.get("fencingToken", 0) < self._fence:
            return self._refuse("fence")
        self._fence = order.get("fencingToken", 0)
        seen = order.get("lastSeen", 0)
        self._ended = [end for end in self._ended if end[0] > seen]
        if "expiresAtMs" in order:
            self._lease_ms = max(self._lease_ms, order["expiresAtMs"])
        if not self._ended and order.get("waitMs"):
            with anyio.move_on_after(order["waitMs"] / 1000):
                await self._changed.wait()
        running = [
            [name, run.number, "", self._percent(run), 500]
            for name, run in self.runs.items()
        ]
        return json_response(
            {
                "clockMs": int(self.clock_ms),
                "born": self.born,
                "running": running,
                "ended": self._ended[:500],
            }
        )

    def _percent(self, run):
        if run.done_at == LASTS:
            return 100
        whole = max(1e-3, run.done_at - run.started_at)
        return min(99, int(100 * (time.monotonic() - run.started_at) / whole))


def _work_s(text):
    try:
        return float(json.loads(text)["work_s"])
    except (ValueError, KeyError, TypeError):
        return DEFAULT_WORK_S
