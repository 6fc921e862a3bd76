"""Client of one worker's task interface, over HTTP."""

import math
import socket

import anyio
import httpcore
import msgspec

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
KEEPALIVE_S = 4.0
TASK_LEASE_S = 15
MAX_ANSWER_BYTES = 8 * 1024 * 1024
QUERY_CONNECTIONS = 4
QUERY_KEEPALIVE_S = 5.0
TCP_USER_TIMEOUT_MS = 10_000

_FIRST_BYTE = "http11.send_request_headers.started"
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


class _RecordBody(msgspec.Struct):
    state: TaskState
    incarnation: str
    status: int = 0
    content_type: str = "application/octet-stream"
    body: bytes = b""
    is_success: bool = False


class _ReportBody(msgspec.Struct):
    incarnation: str
    slots: int
    running: int
    is_leaving: bool


class WorkerClient:
    """Runs tasks on one worker and asks for their records.

    Args:
        address: HOST:PORT of the worker.
        connections: Most connections to the worker.
    """

    def __init__(self, address, connections):
        self._base_url = f"http://{address}"
        self._host = address.encode()
        host, _, port = address.rpartition(":")
        origin = httpcore.Origin(b"http", host.encode(), int(port))
        self._tasks = WorkerConnections(
            origin, max(connections - QUERY_CONNECTIONS, 1), KEEPALIVE_S, SOCKET_OPTIONS
        )
        self._queries = WorkerConnections(
            origin, QUERY_CONNECTIONS, QUERY_KEEPALIVE_S, SOCKET_OPTIONS
        )

    async def aclose(self):
        """Closes all connections."""
        await self._tasks.drop_idle()
        await self._queries.drop_idle()

    async def close_idle_connections(self):
        """Closes the kept connections after one of them went silent."""
        await self._tasks.drop_idle()

    async def run_task(self, task_id, spec, before_first_byte, timeout_s):
        """Sends a task and waits for its whole answer.

        Args:
            task_id: Id of the task.
            spec: The ``RequestSpec``.
            before_first_byte: Called right before the first byte is sent; if
                it raises, nothing is sent and the error goes to the caller.
            timeout_s: Longest wait for the answer, in seconds.

        Returns:
            A ``TaskAnswer``, ``TaskNotRun`` or ``TaskIndeterminate``.
        """
        progress = _Progress(before_first_byte)
        try:
            with anyio.fail_after(timeout_s):
                return await self._exchange(task_id, spec, progress)
        except _TRANSPORT_ERRORS as error:
            cause = f"{type(error).__name__}: {error}"
            if progress.is_sent:
                return TaskIndeterminate(cause)
            return TaskNotRun(cause, is_reachable=False)

    async def task_record(self, task_id, stop_if_not_started=False):
        """Asks for a task's record, on a new connection.

        Args:
            task_id: Id of the task.
            stop_if_not_started: Whether a task that the worker has not seen
                is to be refused from now on.

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
        body = _decode(content, _RecordBody)
        answer = None
        if body.state is TaskState.FINISHED:
            answer = TaskAnswer(
                body.status, body.content_type, body.body, body.is_success
            )
        return TaskRecord(body.state, body.incarnation, answer)

    async def stop_task(self, task_id):
        """Stops a task, started or not.

        Raises:
            WorkerUnreachable: The worker did not answer.
        """
        await self._query("POST", f"/v1/tasks/{task_id}/stop")

    async def report(self, is_fresh=True):
        """Returns the worker's ``WorkerReport``.

        Args:
            is_fresh: Whether to ask on a new connection.

        Raises:
            WorkerUnreachable: The worker did not answer.
        """
        content = await self._query("GET", "/v1/report", is_fresh)
        body = _decode(content, _ReportBody)
        return WorkerReport(body.incarnation, body.slots, body.running, body.is_leaving)

    async def _exchange(self, task_id, spec, progress):
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
                "trace": progress.trace,
                "timeout": {"connect": CONNECT_TIMEOUT_S},
            },
        )
        connection = await self._tasks.take()
        try:
            response = await connection.handle_async_request(request)
            try:
                return await _read_answer(response, task_id)
            finally:
                await response.aclose()
        finally:
            await self._tasks.give_back(connection)

    async def _query(self, method, path, is_fresh=True):
        # A kept connection may have gone silent, so a query that decides
        # something is made on a new one.
        try:
            with anyio.fail_after(QUERY_TIMEOUT_S):
                return await self._fetch(method, path, is_fresh)
        except _TRANSPORT_ERRORS as error:
            raise WorkerUnreachable(f"worker did not answer: {error}") from error

    async def _fetch(self, method, path, is_fresh):
        headers = [(b"host", self._host), (b"content-length", b"0")]
        request = httpcore.Request(method, self._base_url + path, headers=headers)
        connection = await self._queries.take(is_fresh)
        try:
            response = await connection.handle_async_request(request)
            try:
                content = await response.aread()
            finally:
                await response.aclose()
        finally:
            await self._queries.give_back(connection)
        if response.status != 200:
            raise WorkerUnreachable(f"worker answered {response.status}")
        return content


class _Progress:
    """Notices when the first byte of a task is about to leave."""

    def __init__(self, before_first_byte):
        self._before_first_byte = before_first_byte
        self.is_sent = False

    async def trace(self, name, info):
        if name == _FIRST_BYTE:
            self._before_first_byte()
            self.is_sent = True


async def _read_answer(response, task_id):
    headers = {name.lower(): value for name, value in response.headers}
    if headers.get(b"task-refused"):
        await response.aread()
        cause = headers[b"task-refused"].decode("latin-1")
        return TaskNotRun(cause, is_busy=cause == "slots")
    if headers.get(b"task-id", b"").decode("latin-1") != task_id:
        return TaskIndeterminate("the answer belongs to another task")
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
        usage=_usage(headers),
    )


def _usage(headers):
    try:
        cpus = float(headers[b"task-used-cpus"])
        memory_gb = float(headers[b"task-used-memory-gb"])
    except (KeyError, ValueError):
        return None
    is_valid = 0 <= cpus < math.inf and 0 <= memory_gb < math.inf
    return TaskUsage(cpus, memory_gb) if is_valid else None


def _decode(content, model):
    try:
        return msgspec.json.decode(content, type=model)
    except msgspec.DecodeError as error:
        raise WorkerUnreachable(f"worker answer not understood: {error}") from error
