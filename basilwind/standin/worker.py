"""A stand-in for workers: slots, leases, task records and a ledger.

The body of a task says what it does, as JSON; any other body is run as a task
of no length. The ledger tells what really ran, so that outcomes can be checked.
"""

import enum
import time
import uuid
from collections import OrderedDict
from dataclasses import dataclass, field

import anyio
import msgspec

from basilwind.api.asgi import (
    ClientDisconnected,
    HttpResponse,
    json_response,
    read_request,
    send_response,
)
from basilwind.errors import RequestInvalid
from basilwind.standin.platform import cut_connection
from basilwind.workers.results import TaskState

MAX_RECORDS = 50_000
LONGEST_WORK_S = 600.0


class WorkOrder(msgspec.Struct):
    """What a task does, as its body says.

    Attributes:
        work_s: Run time, in seconds.
        tag: Text to find the run in the ledger by.
        answer_bytes: Size of padding in the answer.
        fails: Whether it fails.
        uses_cpus: Processors that it uses.
        uses_memory_gb: Memory that it uses, in GB.
    """

    work_s: float = 0.0
    tag: str = ""
    answer_bytes: int = 0
    fails: bool = False
    uses_cpus: float = 0.0
    uses_memory_gb: float = 0.0


class WorkerFaults(msgspec.Struct):
    """How a worker misbehaves.

    Attributes:
        fail_all: Whether each task fails at once.
        refuse_all: Whether each task is refused.
        reset_after_run: How many of the next answers are cut off unsent.
        truncate: How many of the next answers end early.
        silent: How many of the next answers are never sent.
        swallow: How many of the next tasks are neither run nor answered.
        wrong_id: How many of the next answers name another task.
        is_leaving: Whether the worker reports that it leaves.
        is_unreachable: Whether queries and tasks are cut off.
    """

    fail_all: bool = False
    refuse_all: bool = False
    reset_after_run: int = 0
    truncate: int = 0
    silent: int = 0
    swallow: int = 0
    wrong_id: int = 0
    is_leaving: bool = False
    is_unreachable: bool = False


class Run(msgspec.Struct):
    """A line of the ledger.

    Attributes:
        task_id: The task.
        tag: Tag of its work order.
        worker: The worker.
        started_at: When it started, in seconds since the epoch.
        finished_at: When it ended, in seconds since the epoch; 0 if it runs.
        is_cut: Whether it was stopped before its end.
    """

    task_id: str
    tag: str
    worker: str
    started_at: float
    finished_at: float = 0.0
    is_cut: bool = False


class WorkerLedger(msgspec.Struct):
    """What a worker really did.

    Attributes:
        worker: The worker.
        most_running: Most tasks that ran at once.
        refused: Tasks refused.
        runs: All runs.
    """

    worker: str
    most_running: int
    refused: int
    runs: list[Run]


class _Refusal(enum.StrEnum):
    SLOTS = "slots"
    TOMBSTONE = "tombstone"
    FAULT = "fault"
    LEAVING = "leaving"


@dataclass
class _Task:
    """A task's record."""

    state: TaskState
    run: Run | None = None
    slots: int = 1
    lease_until: float = 0.0
    stopped: anyio.Event = field(default_factory=anyio.Event)
    status: int = 0
    body: bytes = b""
    is_success: bool = False


class WorkerStandIn:
    """ASGI application that stands in for one worker.

    Args:
        name: Name of the worker.
        slots: Slots it has.
    """

    def __init__(self, name, slots):
        self.name = name
        self.slots = slots
        self.incarnation = uuid.uuid4().hex[:12]
        self.faults = WorkerFaults()
        self.ledger = WorkerLedger(name, 0, 0, [])
        self._tasks = OrderedDict()
        self._used = 0

    async def __call__(self, scope, receive, send):
        """Serves one request."""
        if scope["type"] != "http":
            return
        try:
            request = await read_request(scope, receive)
            response = await self._route(request, send)
        except ClientDisconnected:
            return
        except (RequestInvalid, msgspec.DecodeError) as error:
            response = HttpResponse(400, str(error).encode(), "text/plain")
        if response is not None:
            await send_response(send, response)

    def restart(self):
        """Loses all records, as a restarted worker does."""
        self.incarnation = uuid.uuid4().hex[:12]
        for task in self._tasks.values():
            task.stopped.set()
        self._tasks.clear()

    async def _route(self, request, send):
        parts = request.path.strip("/").split("/")
        if parts[0] == "standin":
            return self._control(request, parts)
        if self.faults.is_unreachable:
            cut_connection(send)
            return None
        match (request.method, *parts):
            case ("POST", "v1", "tasks", task_id):
                return await self._run(task_id, request, send)
            case ("GET", "v1", "tasks", task_id):
                return self._record(task_id)
            case ("POST", "v1", "tasks", task_id, "stop"):
                return self._stop(task_id, request)
            case ("GET", "v1", "report"):
                return self._report()
        return HttpResponse(404, b"no such page\n", "text/plain")

    def _control(self, request, parts):
        match (request.method, *parts[1:]):
            case ("PUT", "faults"):
                self.faults = msgspec.json.decode(request.body, type=WorkerFaults)
                return json_response(self.faults)
            case ("GET", "ledger"):
                return json_response(self.ledger)
            case ("POST", "restart"):
                self.restart()
                return json_response({"incarnation": self.incarnation})
        return HttpResponse(404, b"no such page\n", "text/plain")

    async def _run(self, task_id, request, send):
        if self._take_fault("swallow"):
            await anyio.sleep(LONGEST_WORK_S)
            return None
        refusal = self._refusal(task_id, request)
        if refusal is not None:
            self.ledger.refused += 1
            return _refused(refusal)
        task = self._begin(task_id, request)
        try:
            await self._work(task, _order_of(request))
        finally:
            self._end(task)
        return await self._answer(task_id, task, _order_of(request), send)

    def _refusal(self, task_id, request):
        if self.faults.refuse_all:
            return _Refusal.FAULT
        if self.faults.is_leaving:
            return _Refusal.LEAVING
        if task_id in self._tasks:
            return _Refusal.TOMBSTONE
        if self._used + _slots_of(request) > self.slots:
            return _Refusal.SLOTS
        return None

    def _begin(self, task_id, request):
        run = Run(task_id, _order_of(request).tag, self.name, time.time())
        lease_s = float(request.headers.get("task-lease", "15"))
        task = _Task(TaskState.RUNNING, run, _slots_of(request))
        task.lease_until = time.monotonic() + lease_s
        self._tasks[task_id] = task
        self._used += task.slots
        self.ledger.most_running = max(self.ledger.most_running, self._used)
        self.ledger.runs.append(run)
        self._forget_oldest()
        return task

    async def _work(self, task, order):
        if self.faults.fail_all:
            task.status, task.body = 500, b'{"error": "worker is broken"}'
            return
        end = time.monotonic() + min(order.work_s, LONGEST_WORK_S)
        while time.monotonic() < end and not task.stopped.is_set():
            left_s = min(end, task.lease_until) - time.monotonic()
            with anyio.move_on_after(max(left_s, 0.0)):
                await task.stopped.wait()
            if time.monotonic() >= task.lease_until:
                task.stopped.set()
        task.status = 500 if order.fails else 200
        task.is_success = not order.fails
        answer = {"tag": order.tag, "worker": self.name, "task": task.run.task_id}
        answer["padding"] = "x" * order.answer_bytes
        task.body = msgspec.json.encode(answer)

    def _end(self, task):
        self._used -= task.slots
        task.run.finished_at = time.time()
        if task.stopped.is_set():
            task.run.is_cut = True
            task.state = TaskState.STOPPED
            task.status, task.body = 503, b'{"error": "task was stopped"}'
            task.is_success = False
        else:
            task.state = TaskState.FINISHED

    async def _answer(self, task_id, task, order, send):
        if self._take_fault("reset_after_run"):
            cut_connection(send)
            return None
        if self._take_fault("silent"):
            await anyio.sleep(LONGEST_WORK_S)
            return None
        named = "another" if self._take_fault("wrong_id") else task_id
        response = HttpResponse(task.status, task.body, headers={"task-id": named})
        response.headers["task-used-cpus"] = str(order.uses_cpus)
        response.headers["task-used-memory-gb"] = str(order.uses_memory_gb)
        if self._take_fault("truncate"):
            await self._send_half(send, response)
            return None
        return response

    async def _send_half(self, send, response):
        headers = [
            (b"content-length", str(len(response.body)).encode()),
            (b"task-id", response.headers["task-id"].encode()),
        ]
        start = {"type": "http.response.start", "status": 200, "headers": headers}
        await send(start)
        half = response.body[: len(response.body) // 2]
        await send({"type": "http.response.body", "body": half, "more_body": True})
        await anyio.sleep(0.05)
        cut_connection(send)

    def _record(self, task_id):
        task = self._tasks.get(task_id)
        if task is None:
            return self._record_response(TaskState.NEVER_STARTED)
        task.lease_until = max(task.lease_until, time.monotonic() + 15.0)
        return self._record_response(task.state, task)

    def _stop(self, task_id, request):
        task = self._tasks.get(task_id)
        if task is None:
            self._tasks[task_id] = _Task(TaskState.NEVER_STARTED)
            return self._record_response(TaskState.NEVER_STARTED)
        if "only_if_not_started" not in request.query:
            task.stopped.set()
        task.lease_until = max(task.lease_until, time.monotonic() + 15.0)
        return self._record_response(task.state, task)

    def _record_response(self, state, task=None):
        body = {"state": state, "incarnation": self.incarnation}
        if task is not None and state is TaskState.FINISHED:
            body |= {
                "status": task.status,
                "content_type": "application/json",
                "body": task.body,
                "is_success": task.is_success,
            }
        return json_response(body)

    def _report(self):
        return json_response(
            {
                "incarnation": self.incarnation,
                "slots": self.slots,
                "running": self._used,
                "is_leaving": self.faults.is_leaving,
            }
        )

    def _take_fault(self, name):
        left = getattr(self.faults, name)
        if left <= 0:
            return False
        setattr(self.faults, name, left - 1)
        return True

    def _forget_oldest(self):
        while len(self._tasks) > MAX_RECORDS:
            self._tasks.popitem(last=False)


def _refused(refusal):
    return HttpResponse(
        429, b"not run\n", "text/plain", headers={"task-refused": refusal.value}
    )


def _slots_of(request):
    return int(request.headers.get("task-slots", "1"))


def _order_of(request):
    try:
        return msgspec.json.decode(request.body, type=WorkOrder)
    except msgspec.DecodeError:
        return WorkOrder()
