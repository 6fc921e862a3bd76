"""Client of the workers: starts, stops and paces runs, and renews leases."""

import anyio
import msgspec

from basilwind.checked_json import (
    MAX_INTEGER,
    MAX_NUMBER,
    Count,
    Number,
    decode_json,
)
from basilwind.errors import (
    CallRefused,
    CallTimedOut,
    CallUnanswered,
    ConnectionGone,
    ProducerFenced,
    WorkerCallFailed,
    WorkerReplaced,
)
from basilwind.platform.start_connections import PREPARATION_WAIT_S, StartConnections
from basilwind.platform.worker_connections import WorkerConnections, worker_headers
from basilwind.scheduling.reports import (
    EndedRun,
    EndKind,
    ReportedRun,
    StartOutcome,
    WorkerReport,
)

# An order takes a few ms. A run whose start gets no answer within this time is stopped,
# unless a hold reports it.
START_TIMEOUT_S = 1.0
CONNECTION_WAIT_S = 0.5  # for a free connection; the grant of a lease allows for 2.5 s
STOP_TIMEOUT_S = 2.0  # the longest stop in the deployments, 0.9 s, over a slow link
HOLD_MARGIN_S = 0.7  # added to the wait of a hold, for the answer over a slow link
PACE_TIMEOUT_S = 1.0  # as for a start
MAX_LISTED_ENDS = 500  # in one answer to a hold
MAX_CHECKPOINT_LENGTH = 200  # a checkpoint names a saved state, 16 digits
MAX_ROW_LENGTH = 120  # characters of a malformed row in a log line


_END_KINDS = {
    "done": EndKind.DONE,
    "failed": EndKind.FAILED,
    "stopped": EndKind.STOPPED,
    "lapsed": EndKind.LEASE_EXPIRED,
    "broken": EndKind.BROKEN,
    "alone": EndKind.ALONE,
}
_START_OUTCOMES = {
    "fence": StartOutcome.FENCED,
    "old": StartOutcome.SUPERSEDED,
    "late": StartOutcome.LEASE_EXPIRED,
    "room": StartOutcome.NO_CAPACITY,
    "ticket": StartOutcome.NO_TICKET,
}


class _StartAnswer(msgspec.Struct, rename="camel"):
    clock_ms: Number = 0
    reason: str = ""


class _HoldAnswer(msgspec.Struct, rename="camel"):
    clock_ms: Number
    # Rows of task, run, checkpoint, percent and load.
    running: list[list] = []
    # Rows of sequence number, task, run, kind and checkpoint.
    ended: list[list] = []
    born: Count = 0


def _decode_running(row):
    _check_types(row, str, int)
    return ReportedRun(
        task_name=row[0],
        run=row[1],
        checkpoint=_optional_field(row, 2, (str,), ""),
        progress_percent=_optional_field(row, 3, (int, float), 100),
        load=_optional_field(row, 4, (int, float), -1),
    )


def _decode_ended(row):
    _check_types(row, int, str, int, str)
    kind = _END_KINDS.get(row[3], EndKind.FAILED)
    return EndedRun(row[0], row[1], row[2], kind, _optional_field(row, 4, (str,), ""))


def _check_types(row, *kinds):
    """Checks the first fields of a row.

    Raises:
        TypeError: A field has another type than expected, or is out of range.
        IndexError: A field is missing.
    """
    for index, kind in enumerate(kinds):
        value = row[index]
        if type(value) is not kind or (kind is int and not 0 <= value <= MAX_INTEGER):
            raise TypeError(f"field {index} of {str(row)[:MAX_ROW_LENGTH]}")


def _optional_field(row, index, kind, default):
    """Returns a field of a row, or ``default`` if it is missing or odd."""
    value = row[index] if len(row) > index else None
    if type(value) not in kind:
        return default
    limit = MAX_CHECKPOINT_LENGTH if str in kind else MAX_NUMBER
    if (len(value) if str in kind else abs(value)) > limit:
        return default
    return value


class WorkerControlClient:
    """Client that sends orders to workers and renews their leases.

    Every call carries the id of the worker that it is for and the fencing token of
    the pool's owner. A worker rejects calls for another id, and calls with a lower
    token than it has seen.

    Args:
        transport: ``Transport`` that sends the requests.
    """

    def __init__(self, transport):
        self._transport = transport
        self._hold_connections = WorkerConnections(transport)
        self._start_connections = StartConnections(transport)

    async def start(
        self,
        address,
        worker_id,
        task,
        run,
        text,
        lease_end_s,
        token,
        checkpoint,
        ticket,
        incarnation_started_ms=0,
    ):
        """Orders an incarnation of a worker to start a run of a task.

        The order is sent on a connection on which this incarnation has reported itself.

        Args:
            address: HOST:PORT of the worker.
            worker_id: Id that the worker at the address must have.
            task: Name of the task.
            run: Number of the run.
            text: Specification of the job, opaque to the daemon.
            lease_end_s: End of the lease on the worker's clock, in seconds.
            token: Fencing token.
            checkpoint: Checkpoint to resume from; empty for none.
            ticket: Ticket of the placement policy; empty for none.
            incarnation_started_ms: Start of the incarnation on whose clock the lease
                ends, Unix milliseconds; 0 if it does not tell.

        Returns:
            The ``StartOutcome``, and the worker's clock in seconds, or None if the
            answer doesn't tell it.

        Raises:
            CallUnanswered: No answer came, or one that does not tell; the order may
                still be carried out, even seconds later.
        """
        order = {
            "task": task,
            "run": run,
            "spec": text,
            "expiresAtMs": int(lease_end_s * 1000),
            "fencingToken": token,
        }
        if checkpoint:
            order["lastCheckpoint"] = checkpoint
        if ticket:
            order["ticket"] = ticket
        try:
            status, body = await self._send_start(
                address, worker_id, order, incarnation_started_ms
            )
        except WorkerReplaced:
            return StartOutcome.WRONG_INCARNATION, None
        except (CallRefused, WorkerCallFailed):
            return StartOutcome.UNREACHABLE, None
        except ProducerFenced:
            return StartOutcome.FENCED, None
        if status == 421:
            return StartOutcome.WRONG_INCARNATION, None
        if status in (429, 503):
            return StartOutcome.UNHEALTHY, None
        if status == 400:
            return StartOutcome.REFUSED, None
        if status not in (200, 409):
            raise CallUnanswered(f"start of {task}: status {status}")
        answer = decode_json(body, _StartAnswer, f"start of {task}", CallUnanswered)
        if status == 200:
            return StartOutcome.STARTED, answer.clock_ms / 1000
        outcome = _START_OUTCOMES.get(answer.reason, StartOutcome.REFUSED)
        return outcome, answer.clock_ms / 1000

    async def _send_start(self, address, worker_id, order, incarnation_started_ms):
        """Sends an order on a connection to an incarnation of a worker.

        Returns:
            Status and body.

        Raises:
            CallUnanswered: No answer came; the order may still be carried out.
            CallRefused: The incarnation was not reached, so nothing was sent, as with
                the further errors.
            ProducerFenced: The worker has seen a higher token.
            WorkerReplaced: Another incarnation or worker answered at the address.
            WorkerCallFailed: The worker did not report itself.
        """
        permits = self._start_connections.permits(worker_id)
        try:
            with anyio.fail_after(CONNECTION_WAIT_S):
                await permits.acquire()
        except TimeoutError as error:
            raise CallRefused(f"worker {worker_id}: no free connection") from error
        try:
            with self._start_connections.count_use(worker_id):
                return await self._send_on_confirmed(
                    address, worker_id, order, incarnation_started_ms
                )
        finally:
            permits.release()

    async def _send_on_confirmed(
        self, address, worker_id, order, incarnation_started_ms
    ):
        """Sends an order on a connection that is confirmed, or a new one.

        A start that has waited for a preparation gives a new connection that much less
        time, so it takes no longer than one that did not wait.
        """
        connections = self._start_connections
        target = worker_id, address, order["fencingToken"], incarnation_started_ms
        started_at = anyio.current_time()
        connection = await connections.take_confirmed(*target)
        waited_s = min(anyio.current_time() - started_at, PREPARATION_WAIT_S)
        while connection is not None:
            try:
                return await self._post_start(connection, address, worker_id, order)
            except ConnectionGone:
                connection = await connections.take(worker_id, incarnation_started_ms)
        connection = await self._connect(
            address, worker_id, order, incarnation_started_ms, HOLD_MARGIN_S - waited_s
        )
        connections.request_next(*target)
        return await self._post_start(connection, address, worker_id, order)

    async def _post_start(self, connection, address, worker_id, order):
        """Sends an order on a connection; closes it unless it is answered."""
        is_answered = False
        try:
            answer = await connection.post(
                address, worker_id, "/run-start", order, START_TIMEOUT_S
            )
            is_answered = True
            return answer
        except CallTimedOut:
            await self._start_connections.drop_idle(worker_id)
            raise
        finally:
            if is_answered:
                await self._start_connections.put_back(worker_id, connection)
            else:
                await connection.close()

    async def _connect(
        self, address, worker_id, order, incarnation_started_ms, timeout_s
    ):
        """Returns a new connection to an incarnation; see ``_send_start``."""
        connection = self._start_connections.create()
        try:
            report = await _read_incarnation(
                connection, address, worker_id, order["fencingToken"], timeout_s
            )
        except CallUnanswered as error:
            raise CallRefused(f"worker {worker_id} did not report itself") from error
        if report.incarnation_started_ms != incarnation_started_ms:
            await connection.close()
            raise WorkerReplaced(f"worker {worker_id} has started again")
        return connection

    async def stop(self, address, worker_id, task, run, token):
        """Orders a worker to stop a run.

        The worker also rejects a start of the run that arrives after this order.

        Args:
            address: HOST:PORT of the worker.
            worker_id: Id that the worker at the address must have.
            task: Name of the task.
            run: Number of the run.
            token: Fencing token.

        Returns:
            Whether the worker accepted the order.

        Raises:
            CallRefused: The worker could not be reached.
            CallUnanswered: No answer came; the order may still be carried out.
        """
        order = {"task": task, "run": run, "fencingToken": token}
        status, _ = await self._post(
            address, worker_id, "/run-stop", order, STOP_TIMEOUT_S
        )
        return status == 200

    async def pace(self, address, worker_id, task, run, pace_percent, token):
        """Limits the pace of a run.

        Args:
            address: HOST:PORT of the worker.
            worker_id: Id that the worker at the address must have.
            task: Name of the task.
            run: Number of the run.
            pace_percent: Share of its full pace that the run may use.
            token: Fencing token.

        Returns:
            Whether the worker accepted the order.

        Raises:
            CallRefused: The worker could not be reached.
            CallUnanswered: No answer came; the order may still be carried out.
        """
        order = {
            "task": task,
            "run": run,
            "percent": pace_percent,
            "fencingToken": token,
        }
        status, _ = await self._post(address, worker_id, "/pace", order, PACE_TIMEOUT_S)
        return status == 200

    async def hold(
        self,
        address,
        worker_id,
        token,
        acknowledged_sequence,
        lease_end_s,
        wait_s,
        incarnation_started_ms=0,
    ):
        """Renews a worker's lease and reads the state of its runs, by long poll.

        The first call on a connection only reads the state, as the next incarnation of
        the worker may answer it: then nothing is acknowledged, no lease is extended,
        and the worker does not wait.

        Args:
            address: HOST:PORT of the worker.
            worker_id: Id that the worker at the address must have.
            token: Fencing token.
            acknowledged_sequence: Sequence number up to which ended runs have been
                recorded durably; the worker may forget them.
            lease_end_s: New end of the lease on the worker's clock, in seconds, or None
                to leave the lease as it is.
            wait_s: How long the worker may wait for a run to end, in seconds.
            incarnation_started_ms: Start of the incarnation whose sequence number and
                clock these are, Unix milliseconds; 0 if it does not tell.

        Returns:
            A ``WorkerReport``.

        Raises:
            CallRefused: The worker could not be reached.
            CallUnanswered: No answer came.
            ProducerFenced: The worker has seen a higher token.
            WorkerReplaced: Another worker answered at the address.
            WorkerCallFailed: The worker answered with an error.
        """
        connection = await self._hold_connections.take(
            worker_id, incarnation_started_ms
        )
        report = None
        if connection is not None:
            order = {"fencingToken": token, "lastSeen": acknowledged_sequence}
            if lease_end_s is not None:
                order["expiresAtMs"] = int(lease_end_s * 1000)
            if wait_s:
                order["waitMs"] = int(wait_s * 1000)
            try:
                report = await _hold(
                    connection, address, worker_id, order, wait_s + HOLD_MARGIN_S
                )
            except ConnectionGone:
                pass
            except CallTimedOut:
                await self._start_connections.drop_idle(worker_id)
                raise
        if report is None:
            connection = self._hold_connections.create()
            report = await _read_incarnation(connection, address, worker_id, token)
        await self._hold_connections.put_back(worker_id, connection)
        self._start_connections.note_report(
            worker_id, address, token, report.incarnation_started_ms
        )
        return report

    async def prepare_starts(self, worker_id):
        """Opens connections for a worker's starts before they are needed.

        One is opened after the first report of each incarnation, and the next one when
        a start takes the last idle one. Runs until cancelled; without it, each start
        that finds no idle connection opens one.

        Args:
            worker_id: Id of the worker.
        """

        async def connect(address, token):
            connection = self._start_connections.create()
            await _read_incarnation(connection, address, worker_id, token)
            return connection

        await self._start_connections.prepare(worker_id, connect)

    async def forget(self, worker_id):
        """Closes the connections that are kept for a worker that has left."""
        await self._hold_connections.forget(worker_id)
        await self._start_connections.forget(worker_id)

    async def close(self):
        """Closes the connections that are kept for workers."""
        await self._hold_connections.close()
        await self._start_connections.close()

    async def _post(self, address, worker_id, path, order, timeout_s):
        return await self._transport.call(
            "POST",
            f"http://{address}{path}",
            timeout_s,
            msgspec.json.encode(order),
            worker_headers(worker_id),
        )


async def _read_incarnation(
    connection, address, worker_id, token, timeout_s=HOLD_MARGIN_S
):
    """Reads a worker's state on a new connection, which then is known to lead there.

    Returns:
        A ``WorkerReport``.

    Raises:
        CallRefused: See ``WorkerControlClient.hold``, also for the further errors.
    """
    order = {"fencingToken": token, "lastSeen": 0}
    report = await _hold(connection, address, worker_id, order, timeout_s)
    connection.incarnation_started_ms = report.incarnation_started_ms
    return report


async def _hold(connection, address, worker_id, order, timeout_s):
    """Sends a hold; closes the connection unless a report comes back."""
    is_reported = False
    try:
        status, body = await connection.post(
            address, worker_id, "/hold", order, timeout_s
        )
        report = _decode_report(address, worker_id, status, body)
        is_reported = True
        return report
    finally:
        if not is_reported:
            await connection.close()


def _decode_report(address, worker_id, status, body):
    """Returns the ``WorkerReport`` in the answer to a hold.

    Raises:
        ProducerFenced: The worker has seen a higher token.
        WorkerReplaced: Another worker answered at the address.
        WorkerCallFailed: The worker answered with an error.
    """
    if status == 421:
        raise WorkerReplaced(f"worker {worker_id} is no longer at {address}")
    if status == 409:
        raise ProducerFenced(f"worker {worker_id} has seen a higher token")
    if status != 200:
        raise WorkerCallFailed(f"worker {worker_id}: hold failed with status {status}")
    what = f"hold of worker {worker_id}"
    lists = decode_json(body, _HoldAnswer, what, WorkerCallFailed)
    try:
        running = tuple(map(_decode_running, lists.running))
        ended = tuple(map(_decode_ended, lists.ended))
    except (IndexError, TypeError) as error:
        # Acting on a part of the report could restart runs that it lists.
        raise WorkerCallFailed(f"{what}: malformed row: {error}") from error
    return WorkerReport(
        lists.clock_ms / 1000,
        lists.born,
        running,
        ended,
        is_complete=len(ended) < MAX_LISTED_ENDS,
    )
