"""HTTP client of the task interface of one worker."""

import math
import socket

import anyio
import httpcore
import msgspec

from basilwind.checked_json import decode_json
from basilwind.errors import WorkerUnreachable
from basilwind.workers.connections import WorkerConnections
from basilwind.workers.results import (
    TaskAnswer,
    TaskIndeterminate,
    TaskNotRun,
    TaskRecord,
    TaskState,
    TaskUsage,
    WorkerReport,
)

CONNECT_TIMEOUT_S = 1.0
QUERY_TIMEOUT_S = 1.5
TASK_KEEPALIVE_S = 4.0
TASK_LEASE_S = 15  # a worker stops a task if no query renews its lease in time
MAX_ANSWER_BYTES = 8 * 1024 * 1024
QUERY_CONNECTIONS = 4
QUERY_KEEPALIVE_S = 5.0
TCP_USER_TIMEOUT_MS = 10_000

_BEFORE_SEND_EVENT = "http11.send_request_headers.started"
_TRANSPORT_ERRORS = (
    httpcore.NetworkError,
    httpcore.ProtocolError,
    httpcore.TimeoutException,
    anyio.ClosedResourceError,
    OSError,
)
SOCKET_OPTIONS = [
    (socket.IPPROTO_TCP, socket.TCP_NODELAY, 1),
    (socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1),
    (socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, 5),
    (socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, 2),
    (socket.IPPROTO_TCP, socket.TCP_KEEPCNT, 3),
    (socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, TCP_USER_TIMEOUT_MS),
]


class _TaskRecordBody(msgspec.Struct):
    state: TaskState
    incarnation: str
    status: int = 0
    content_type: str = "application/octet-stream"
    body: bytes = b""
    is_success: bool = False


class _WorkerReportBody(msgspec.Struct):
    incarnation: str
    slots: int
    running: int
    is_leaving: bool


class WorkerClient:
    """Runs tasks on one worker and queries its records of them.

    Tasks and queries use separate connections, so queries don't wait for tasks.

    Args:
        address: HOST:PORT of the worker.
        connections: Maximum number of connections to the worker.
    """

    def __init__(self, address, connections):
        self._base_url = f"http://{address}"
        self._host = address.encode()
        host, _, port = address.rpartition(":")
        origin = httpcore.Origin(b"http", host.encode(), int(port))
        self._task_connections = WorkerConnections(
            origin,
            max(connections - QUERY_CONNECTIONS, 1),
            TASK_KEEPALIVE_S,
            SOCKET_OPTIONS,
        )
        self._query_connections = WorkerConnections(
            origin, QUERY_CONNECTIONS, QUERY_KEEPALIVE_S, SOCKET_OPTIONS
        )

    async def aclose(self):
        """Closes all connections that are not in use."""
        await self._task_connections.close_idle()
        await self._query_connections.close_idle()

    async def close_idle_connections(self):
        """Closes idle task connections, after one of them stopped responding."""
        await self._task_connections.close_idle()

    async def run_task(self, task_id, spec, before_first_byte, timeout_s):
        """Sends a task to the worker and waits for its complete answer.

        Args:
            task_id: Id of the task.
            spec: The ``RequestSpec``.
            before_first_byte: Called right before the first byte is sent. If it
                raises, nothing is sent and the exception is passed to the caller.
            timeout_s: Timeout for the answer, in seconds.

        Returns:
            A ``TaskAnswer``, ``TaskNotRun`` or ``TaskIndeterminate``.
        """
        tracker = _SendTracker(before_first_byte)
        try:
            with anyio.fail_after(timeout_s):
                return await self._exchange(task_id, spec, tracker)
        except _TRANSPORT_ERRORS as error:
            cause = f"{type(error).__name__}: {error}"
            if tracker.is_sent:
                return TaskIndeterminate(cause)
            return TaskNotRun(cause, is_reachable=False)

    async def task_record(self, task_id, stop_if_not_started=False):
        """Queries the worker's record of a task, on a new connection.

        Args:
            task_id: Id of the task.
            stop_if_not_started: Whether the worker has to refuse the task from now
                on if it has not received it yet.

        Returns:
            A ``TaskRecord``.

        Raises:
            WorkerUnreachable: The worker did not answer.
        """
        path = f"/v1/tasks/{task_id}"
        if stop_if_not_started:
            content = await self._query("POST", f"{path}/stop?only_if_not_started=1")
        else:
            content = await self._query("GET", path)
        body = _decode(content, _TaskRecordBody)
        answer = None
        if body.state is TaskState.FINISHED:
            answer = TaskAnswer(
                body.status, body.content_type, body.body, body.is_success
            )
        return TaskRecord(body.state, body.incarnation, answer)

    async def stop_task(self, task_id):
        """Stops a task, or has the worker refuse it if it has not started.

        Raises:
            WorkerUnreachable: The worker did not answer.
        """
        await self._query("POST", f"/v1/tasks/{task_id}/stop")

    async def report(self, use_new_connection=True):
        """Returns the worker's ``WorkerReport``.

        Args:
            use_new_connection: Whether to open a new connection instead of reusing one.

        Raises:
            WorkerUnreachable: The worker did not answer.
        """
        content = await self._query("GET", "/v1/report", use_new_connection)
        body = _decode(content, _WorkerReportBody)
        return WorkerReport(body.incarnation, body.slots, body.running, body.is_leaving)

    async def _exchange(self, task_id, spec, tracker):
        headers = [
            (b"host", self._host),
            (b"content-type", spec.content_type.encode()),
            (b"content-length", str(len(spec.body)).encode()),
            (b"task-slots", str(spec.demand.slots).encode()),
            (b"task-lease", str(TASK_LEASE_S).encode()),
        ]
        request = httpcore.Request(
            "POST",
            f"{self._base_url}/v1/tasks/{task_id}",
            headers=headers,
            content=spec.body,
            extensions={
                "trace": tracker.trace,
                "timeout": {"connect": CONNECT_TIMEOUT_S},
            },
        )
        connection = await self._task_connections.acquire()
        try:
            response = await connection.handle_async_request(request)
            try:
                return await _read_answer(response, task_id)
            finally:
                await response.aclose()
        finally:
            await self._task_connections.release(connection)

    async def _query(self, method, path, use_new_connection=True):
        # An idle connection may have stopped responding, so queries that decide
        # about a task use a new one.
        try:
            with anyio.fail_after(QUERY_TIMEOUT_S):
                return await self._fetch(method, path, use_new_connection)
        except _TRANSPORT_ERRORS as error:
            raise WorkerUnreachable(f"worker did not answer: {error}") from error

    async def _fetch(self, method, path, use_new_connection):
        headers = [(b"host", self._host), (b"content-length", b"0")]
        request = httpcore.Request(method, self._base_url + path, headers=headers)
        connection = await self._query_connections.acquire(use_new_connection)
        try:
            response = await connection.handle_async_request(request)
            try:
                content = await response.aread()
            finally:
                await response.aclose()
        finally:
            await self._query_connections.release(connection)
        if response.status != 200:
            raise WorkerUnreachable(f"worker answered with status {response.status}")
        return content


class _SendTracker:
    """Detects when the first byte of a task is about to be sent."""

    def __init__(self, before_first_byte):
        self._before_first_byte = before_first_byte
        self.is_sent = False

    async def trace(self, name, info):
        if name == _BEFORE_SEND_EVENT:
            self._before_first_byte()
            self.is_sent = True


async def _read_answer(response, task_id):
    headers = {name.lower(): value for name, value in response.headers}
    if headers.get(b"task-refused"):
        await response.aread()
        cause = headers[b"task-refused"].decode("latin-1")
        return TaskNotRun(cause, is_busy=cause == "slots")
    if headers.get(b"task-id", b"").decode("latin-1") != task_id:
        return TaskIndeterminate("the answer carries the id of another task")
    body = bytearray()
    async for chunk in response.aiter_stream():
        body += chunk
        if len(body) > MAX_ANSWER_BYTES:
            return TaskIndeterminate("the answer is too large")
    return TaskAnswer(
        status=response.status,
        content_type=headers.get(b"content-type", b"").decode("latin-1"),
        body=bytes(body),
        is_success=response.status < 500,
        usage=_parse_usage(headers),
    )


def _parse_usage(headers):
    try:
        cpus = float(headers[b"task-used-cpus"])
        memory_gb = float(headers[b"task-used-memory-gb"])
    except (KeyError, ValueError):
        return None
    is_valid = 0 <= cpus < math.inf and 0 <= memory_gb < math.inf
    return TaskUsage(cpus, memory_gb) if is_valid else None


def _decode(content, model):
    return decode_json(content, model, "answer of a worker", WorkerUnreachable)
