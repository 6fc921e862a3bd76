"""Stand-in for a worker, with slots, leases, task records and a ledger.

The body of a task describes its behavior as JSON; a task with any other body ends at
once. The ledger lists what actually ran, so that tests can check reported outcomes
against it.
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
from basilwind.standin.platform import abort_connection
from basilwind.workers.results import TaskState

MAX_RECORDS = 50_000
MAX_WORK_S = 600.0


class TaskBehavior(msgspec.Struct):
    """Behavior of a task, decoded from its body.

    Attributes:
        work_s: Run time, in seconds.
        tag: Text that identifies the run in the ledger.
        answer_bytes: Size of the padding in the answer, in bytes.
        fails: Whether the task fails.
        uses_cpus: Processors that the worker reports as used.
        uses_memory_gb: Memory that the worker reports as used, in GB.
    """

    work_s: float = 0.0
    tag: str = ""
    answer_bytes: int = 0
    fails: bool = False
    uses_cpus: float = 0.0
    uses_memory_gb: float = 0.0


class WorkerFaults(msgspec.Struct):
    """Faults that a worker simulates.

    Attributes:
        fail_all: Whether every task fails at once.
        refuse_all: Whether every task is refused.
        reset_after_run: Number of following answers that are replaced by a connection
            reset.
        crash_on: Tag of the tasks that restart the worker when they begin.
        truncate: Number of following answers that end early.
        silent: Number of following answers that are never sent.
        swallow: Number of following tasks that are neither run nor answered.
        wrong_id: Number of following answers that carry the id of another task.
        is_leaving: Whether the worker reports that it leaves service.
        is_unreachable: Whether the connections of all requests are aborted.
    """

    fail_all: bool = False
    refuse_all: bool = False
    reset_after_run: int = 0
    crash_on: str = ""
    truncate: int = 0
    silent: int = 0
    swallow: int = 0
    wrong_id: int = 0
    is_leaving: bool = False
    is_unreachable: bool = False


class Run(msgspec.Struct):
    """Ledger entry for one run of a task.

    Attributes:
        task_id: Id of the task.
        tag: Tag from the body of the task.
        worker: Name of the worker.
        started_at: When it started, in seconds since the Unix epoch.
        finished_at: When it ended, in seconds since the Unix epoch; 0 while it runs.
        is_cut: Whether it was stopped before its end.
    """

    task_id: str
    tag: str
    worker: str
    started_at: float
    finished_at: float = 0.0
    is_cut: bool = False


class WorkerLedger(msgspec.Struct):
    """What a worker actually ran.

    Attributes:
        worker: Name of the worker.
        most_running: Maximum number of slots that were in use at the same time.
        refused: Number of tasks that were refused.
        runs: All runs, in the order of their starts.
    """

    worker: str
    most_running: int
    refused: int
    runs: list[Run]


class _Refusal(enum.StrEnum):
    """Why a task is refused; the value of the header ``task-refused``.

    TOMBSTONE is for a task that the worker has a record of: it was sent before, or it
    was stopped before it arrived.
    """

    SLOTS = "slots"
    TOMBSTONE = "tombstone"
    FAULT = "fault"
    LEAVING = "leaving"


@dataclass
class _Task:
    """Record of a task, also of one that was stopped before it started."""

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
        slots: Number of slots.

    Attributes:
        incarnation: Id of the simulated process; changes with each restart.
        faults: The ``WorkerFaults`` in effect.
        ledger: The ``WorkerLedger``, which survives restarts.
    """

    def __init__(self, name, slots):
        self.name = name
        self.slots = slots
        self.incarnation = uuid.uuid4().hex[:12]
        self.faults = WorkerFaults()
        self.ledger = WorkerLedger(name, 0, 0, [])
        self._tasks = OrderedDict()
        self._used_slots = 0

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
        """Stops all tasks and drops their records, as a restart of the worker does."""
        self.incarnation = uuid.uuid4().hex[:12]
        for task in self._tasks.values():
            task.stopped.set()
        self._tasks.clear()

    async def _route(self, request, send):
        parts = request.path.strip("/").split("/")
        if parts[0] == "standin":
            return self._control(request, parts)
        if self.faults.is_unreachable:
            abort_connection(send)
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
        if self._consume_fault("swallow"):
            await anyio.sleep(MAX_WORK_S)
            return None
        refusal = self._find_refusal(task_id, request)
        if refusal is not None:
            self.ledger.refused += 1
            return _refusal_response(refusal)
        task = self._begin(task_id, request)
        if self.faults.crash_on and task.run.tag == self.faults.crash_on:
            self._end(task)
            self.restart()
            abort_connection(send)
            return None
        try:
            await self._work(task, _decode_behavior(request))
        finally:
            self._end(task)
        return await self._answer(task_id, task, _decode_behavior(request), send)

    def _find_refusal(self, task_id, request):
        if self.faults.refuse_all:
            return _Refusal.FAULT
        if self.faults.is_leaving:
            return _Refusal.LEAVING
        if task_id in self._tasks:
            return _Refusal.TOMBSTONE
        if self._used_slots + _requested_slots(request) > self.slots:
            return _Refusal.SLOTS
        return None

    def _begin(self, task_id, request):
        run = Run(task_id, _decode_behavior(request).tag, self.name, time.time())
        lease_s = float(request.headers.get("task-lease", "15"))
        task = _Task(TaskState.RUNNING, run, _requested_slots(request))
        task.lease_until = time.monotonic() + lease_s
        self._tasks[task_id] = task
        self._used_slots += task.slots
        self.ledger.most_running = max(self.ledger.most_running, self._used_slots)
        self.ledger.runs.append(run)
        self._drop_oldest_records()
        return task

    async def _work(self, task, behavior):
        if self.faults.fail_all:
            task.status, task.body = 500, b'{"error": "worker is broken"}'
            return
        end = time.monotonic() + min(behavior.work_s, MAX_WORK_S)
        while time.monotonic() < end and not task.stopped.is_set():
            remaining_s = min(end, task.lease_until) - time.monotonic()
            with anyio.move_on_after(max(remaining_s, 0.0)):
                await task.stopped.wait()
            if time.monotonic() >= task.lease_until:
                task.stopped.set()
        task.status = 500 if behavior.fails else 200
        task.is_success = not behavior.fails
        answer = {"tag": behavior.tag, "worker": self.name, "task": task.run.task_id}
        answer["padding"] = "x" * behavior.answer_bytes
        task.body = msgspec.json.encode(answer)

    def _end(self, task):
        self._used_slots -= task.slots
        task.run.finished_at = time.time()
        if task.stopped.is_set():
            task.run.is_cut = True
            task.state = TaskState.STOPPED
            task.status, task.body = 503, b'{"error": "task was stopped"}'
            task.is_success = False
        else:
            task.state = TaskState.FINISHED

    async def _answer(self, task_id, task, behavior, send):
        if self._consume_fault("reset_after_run"):
            abort_connection(send)
            return None
        if self._consume_fault("silent"):
            await anyio.sleep(MAX_WORK_S)
            return None
        answered_id = "another" if self._consume_fault("wrong_id") else task_id
        response = HttpResponse(
            task.status, task.body, headers={"task-id": answered_id}
        )
        response.headers["task-used-cpus"] = str(behavior.uses_cpus)
        response.headers["task-used-memory-gb"] = str(behavior.uses_memory_gb)
        if self._consume_fault("truncate"):
            await self._send_truncated(send, response)
            return None
        return response

    async def _send_truncated(self, send, response):
        headers = [
            (b"content-length", str(len(response.body)).encode()),
            (b"task-id", response.headers["task-id"].encode()),
        ]
        start = {"type": "http.response.start", "status": 200, "headers": headers}
        await send(start)
        half = response.body[: len(response.body) // 2]
        await send({"type": "http.response.body", "body": half, "more_body": True})
        await anyio.sleep(0.05)
        abort_connection(send)

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
                "running": self._used_slots,
                "is_leaving": self.faults.is_leaving,
            }
        )

    def _consume_fault(self, name):
        remaining = getattr(self.faults, name)
        if remaining <= 0:
            return False
        setattr(self.faults, name, remaining - 1)
        return True

    def _drop_oldest_records(self):
        while len(self._tasks) > MAX_RECORDS:
            self._tasks.popitem(last=False)


def _refusal_response(refusal):
    return HttpResponse(
        429, b"not run\n", "text/plain", headers={"task-refused": refusal.value}
    )


def _requested_slots(request):
    return int(request.headers.get("task-slots", "1"))


def _decode_behavior(request):
    try:
        return msgspec.json.decode(request.body, type=TaskBehavior)
    except msgspec.DecodeError:
        return TaskBehavior()
