"""Stand-in for a worker: runs tasks under leases, as the users' pages say."""

import asyncio
import json
import time
from dataclasses import dataclass

from review.harness2.http import Answer, Server, json_answer

TICK_S = 0.01
HEARTBEAT_S = 1.5
LASTING_S = 1000  # tasks that last are at work from their start
FAILS_AFTER_S = 0.3  # on a worker that fails all that it runs
MAX_HOLD_MS = 10000
PAGE = 500


@dataclass
class _Run:
    number: int
    started_at: float
    work_s: float


class Worker:
    """A worker; a task runs for ``work_s`` of the JSON text that its job has as spec.

    Args:
        worker_id: Its id.
        pool: Service that it belongs to.
        port: Port on 127.0.0.1.
        store: ``Store`` in which it registers.
        record: Called with a line for each event.
        machine: Machine that it runs on.
        cpu: Capacity in thousandths of a core.

    Attributes:
        life: Number of its incarnation, from 1.
        state: ``ready`` or ``draining``.
        is_up: Whether its process runs.
        is_cut: Whether it reaches nobody.
        is_failing: Whether all that it runs ends ``failed``, with its health good.
        on_hold: Called with the order of each hold that is carried out.
    """

    def __init__(self, worker_id, pool, port, store, record, machine, cpu=32000):
        self.worker_id = worker_id
        self.pool = pool
        self.port = port
        self.machine = machine
        self.cpu = cpu
        self._store = store
        self._record = record
        self.server = Server(port, self._handle)
        self.state = "ready"
        self.is_up = True
        self.is_cut = False
        self.is_failing = False
        self.life = 0
        self.on_hold = lambda order: None
        self._sequence = 0
        self._begin_life()

    def _begin_life(self):
        self.life += 1
        self.born = int(time.time() * 1000)
        self._started_at = time.monotonic()
        self.runs = {}
        self._rejected = {}
        self._ended = []
        self._ended_count = 0
        self._token = 0
        self._lease_ms = 0
        self._run_ended = asyncio.Event()

    def _note(self, event, **fields):
        self._record(event, worker=self.worker_id, life=self.life, **fields)

    @property
    def clock_ms(self):
        """Its own steady clock, milliseconds."""
        return int((time.monotonic() - self._started_at) * 1000)

    async def run(self):
        """Serves, registers and ends runs until cancelled."""
        await self.server.start()
        next_heartbeat = 0.0
        while True:
            now = time.monotonic()
            if self.is_up:
                self._advance(now)
                if now >= next_heartbeat and not self.is_cut:
                    self.register()
                    next_heartbeat = now + HEARTBEAT_S
            await asyncio.sleep(TICK_S)

    def register(self):
        """Writes its registry entry."""
        self._sequence += 1
        entry = {
            "service": self.pool,
            "address": f"127.0.0.1:{self.port}",
            "zone": "zone-a",
            "version": "v1",
            "slots": 8,
            "state": self.state,
            "coldLeftMs": 0,
            "capacity": {"cpu": self.cpu, "memMb": 131072, "gpu": 0},
            "labels": ["a", "r1-1"],
            "born": self.born,
            "machine": self.machine,
            "sequence": self._sequence,
        }
        if self.state == "draining":
            entry["remainingMs"] = 10000
        value = json.dumps(entry).encode()
        self._store.write("keyed.servers", self.worker_id, value)

    def unregister(self):
        """Drops its registry entry, as the platform does after its silence."""
        self._store.write("keyed.servers", self.worker_id, b"")

    def cut_off(self):
        """Partitions it: what is on its way is lost, new connections wait."""
        self.is_cut = True
        self.server.gate.clear()
        self.server.silence()
        self._note("cut off")

    def heal(self):
        """Ends the partition."""
        self.is_cut = False
        self._note("cut healed")
        self.server.gate.set()

    def restart(self, worker_id=None):
        """Crashes its process and starts it again, which knows nothing of before.

        Args:
            worker_id: Id of the new one; the same if None.
        """
        for name, run in self.runs.items():
            self._note("lost with the worker", task=name, run=run.number)
        ended, self.is_up = self._run_ended, True
        self.worker_id = worker_id or self.worker_id
        self._sequence = 0
        self._begin_life()
        ended.set()
        self.server.reset_silent()
        self._note("started again")

    def set_failing(self, is_failing):
        """Has all that it runs fail ``FAILS_AFTER_S`` after the start, or not."""
        self.is_failing = is_failing
        self._note("fails all that it runs" if is_failing else "sound again")

    def crash(self):
        """Ends its process: connections are reset, new ones are refused."""
        for name, run in self.runs.items():
            self._note("lost with the worker", task=name, run=run.number)
        self.runs = {}
        self.is_up = False
        self.server.reset_all()
        self._note("crashed")

    def _advance(self, now):
        for name, run in list(self.runs.items()):
            if self.is_failing and now - run.started_at >= FAILS_AFTER_S:
                self._end(name, "failed")
            elif now - run.started_at >= run.work_s:
                self._end(name, "done")
            elif self.clock_ms > self._lease_ms:
                self._end(name, "lapsed")

    def _end(self, name, how):
        run = self.runs.pop(name)
        self._rejected[name] = max(run.number, self._rejected.get(name, 0))
        self._ended_count += 1
        self._ended.append([self._ended_count, name, run.number, how, ""])
        self._note("end", task=name, run=run.number, how=how, number=self._ended_count)
        ended, self._run_ended = self._run_ended, asyncio.Event()
        ended.set()

    async def _handle(self, request):
        life = self.life
        answer = await self._answer(request)
        return answer if life == self.life and self.is_up else None

    async def _answer(self, request):
        if request.method == "GET":
            return Answer(200, b"", {"X-Instance-Id": self.worker_id})
        expected = request.headers.get("x-expect-instance", self.worker_id)
        if expected != self.worker_id:
            return Answer(421)
        order = request.json()
        if order.get("fencingToken", 0) < self._token:
            return self._refuse("fence")
        self._token = order.get("fencingToken", 0)
        if request.path == "/hold":
            return await self._hold(order)
        if request.path == "/run-start":
            return self._start(order)
        if request.path == "/run-stop":
            return self._stop(order)
        return json_answer({"clockMs": self.clock_ms})

    def _refuse(self, reason):
        return json_answer({"clockMs": self.clock_ms, "reason": reason}, 409)

    def _extend(self, order):
        if "expiresAtMs" in order:
            end_ms = min(order["expiresAtMs"], self.clock_ms + MAX_HOLD_MS)
            self._lease_ms = max(self._lease_ms, end_ms)

    def _start(self, order):
        name, number = order["task"], order["run"]
        current = self.runs.get(name)
        if current is not None and current.number == number:
            return json_answer({"clockMs": self.clock_ms})
        if current is not None or number <= self._rejected.get(name, 0):
            self._extend(order)
            return self._refuse("old")
        if order["expiresAtMs"] <= self.clock_ms:
            return self._refuse("late")
        self._extend(order)
        work_s = json.loads(order["spec"])["work_s"]
        self.runs[name] = _Run(number, time.monotonic(), work_s)
        self._note("start", task=name, run=number, token=order["fencingToken"])
        return json_answer({"clockMs": self.clock_ms})

    def _stop(self, order):
        name, number = order["task"], order["run"]
        self._rejected[name] = max(number, self._rejected.get(name, 0))
        run = self.runs.get(name)
        if run is not None and run.number <= number:
            self._end(name, "stopped")
        return json_answer({"clockMs": self.clock_ms})

    async def _hold(self, order):
        seen = order.get("lastSeen", 0)
        self.on_hold(order)
        for end in self._ended:
            if end[0] <= seen:
                self._note("end taken note of", task=end[1], run=end[2], how=end[3])
        self._ended = [end for end in self._ended if end[0] > seen]
        self._extend(order)
        if not self._ended and order.get("waitMs"):
            try:
                async with asyncio.timeout(order["waitMs"] / 1000):
                    await self._run_ended.wait()
            except TimeoutError:
                pass
        now = time.monotonic()
        running = [
            [name, run.number, "", self._percent(run, now), 500]
            for name, run in self.runs.items()
        ]
        return json_answer(
            {
                "clockMs": self.clock_ms,
                "born": self.born,
                "running": running,
                "ended": self._ended[:PAGE],
            }
        )

    @staticmethod
    def _percent(run, now):
        if run.work_s >= LASTING_S:
            return 100
        return min(99, int(100 * (now - run.started_at) / max(run.work_s, 1e-3)))
