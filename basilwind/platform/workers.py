"""Orders to workers."""

import msgspec

from basilwind.errors import (
    CallRefused,
    ProducerFenced,
    WorkerCallFailed,
    WorkerReplaced,
)
from basilwind.platform.transport import JSON_HEADERS
from basilwind.scheduling.reports import (
    EndedTask,
    EndKind,
    RunningTask,
    StartOutcome,
    WorkerReport,
)

START_TIMEOUT_S = 1.0  # an order takes a few ms; late ones are stopped instead
STOP_TIMEOUT_S = 2.0  # longest stop of the deployments, 0.9 s, and a slow link
HOLD_MARGIN_S = 0.7  # time beyond the wait for an answer on a slow link
PACE_TIMEOUT_S = 1.0  # same as a start


_END_KINDS = {
    "done": EndKind.DONE,
    "failed": EndKind.FAILED,
    "stopped": EndKind.STOPPED,
    "lapsed": EndKind.LAPSED,
    "broken": EndKind.BROKEN,
    "alone": EndKind.ALONE,
}
_REASONS = {
    "fence": StartOutcome.FENCED,
    "old": StartOutcome.OLD,
    "late": StartOutcome.LATE,
    "room": StartOutcome.NO_ROOM,
    "ticket": StartOutcome.NO_TICKET,
}


class _Answer(msgspec.Struct, rename="camel"):
    clock_ms: float = 0
    reason: str = ""


class _Lists(msgspec.Struct, rename="camel"):
    clock_ms: float
    running: list[list] = []
    ended: list[list] = []
    born: int = 0


_ANSWER = msgspec.json.Decoder(_Answer)
_LISTS = msgspec.json.Decoder(_Lists)


def _decode_running(row):
    return RunningTask(
        task=row[0],
        run=row[1],
        checkpoint=row[2] if len(row) > 2 else "",
        percent=row[3] if len(row) > 3 else 100,
        load=row[4] if len(row) > 4 else -1,
    )


def _decode_ended(row):
    kind = _END_KINDS.get(row[3], EndKind.FAILED)
    return EndedTask(row[0], row[1], row[2], kind, row[4] if len(row) > 4 else "")


class WorkerControlClient:
    """Calls to workers.

    Args:
        transport: ``Transport`` to call through.
    """

    def __init__(self, transport):
        self._transport = transport

    async def start(
        self, address, worker_id, task, run, text, expires_s, token, checkpoint, ticket
    ):
        """Orders a worker to start a task.

        Args:
            address: HOST:PORT of the worker.
            worker_id: Incarnation that the order is for.
            task: Name of the task.
            run: Number of the run.
            text: The job's opaque text.
            expires_s: End of the lease on the worker's clock.
            token: Fencing token.
            checkpoint: Checkpoint to resume from; empty for none.
            ticket: Ticket of the placement policy; empty for none.

        Returns:
            ``StartOutcome`` and the worker's clock in seconds, or None.

        Raises:
            CallUnanswered: The order may be carried out, even seconds later.
        """
        order = {
            "task": task,
            "run": run,
            "spec": text,
            "expiresAtMs": int(expires_s * 1000),
            "fencingToken": token,
        }
        if checkpoint:
            order["lastCheckpoint"] = checkpoint
        if ticket:
            order["ticket"] = ticket
        try:
            status, body = await self._post(
                address, worker_id, "/run-start", order, START_TIMEOUT_S
            )
        except CallRefused:
            return StartOutcome.UNREACHABLE, None
        if status == 421:
            return StartOutcome.WRONG_INCARNATION, None
        if status in (429, 503):
            return StartOutcome.UNHEALTHY, None
        if status not in (200, 409):
            return StartOutcome.REFUSED, None
        answer = _ANSWER.decode(body)
        if status == 200:
            return StartOutcome.STARTED, answer.clock_ms / 1000
        outcome = _REASONS.get(answer.reason, StartOutcome.REFUSED)
        return outcome, answer.clock_ms / 1000

    async def stop(self, address, worker_id, task, run, token):
        """Orders a worker to stop a run, or to reject it if it comes later.

        Returns:
            Whether the worker took the order.

        Raises:
            CallRefused: The worker could not be reached.
            CallUnanswered: No answer came.
        """
        order = {"task": task, "run": run, "fencingToken": token}
        status, _ = await self._post(
            address, worker_id, "/run-stop", order, STOP_TIMEOUT_S
        )
        return status == 200

    async def pace(self, address, worker_id, task, run, percent, token):
        """Limits a run to a share of its work.

        Returns:
            Whether the worker took the order.

        Raises:
            CallRefused: The worker could not be reached.
            CallUnanswered: No answer came.
        """
        order = {"task": task, "run": run, "percent": percent, "fencingToken": token}
        status, _ = await self._post(address, worker_id, "/pace", order, PACE_TIMEOUT_S)
        return status == 200

    async def hold(self, address, worker_id, token, noted, expires_s, wait_s):
        """Extends a worker's lease and reads its runs.

        Args:
            address: HOST:PORT of the worker.
            worker_id: Incarnation that is meant.
            token: Fencing token.
            noted: Number up to which its ends are durable here.
            expires_s: End of the lease on the worker's clock, or None.
            wait_s: How long the worker may wait for an end.

        Returns:
            ``WorkerReport``.

        Raises:
            CallRefused: The worker could not be reached.
            CallUnanswered: No answer came.
            ProducerFenced: The worker has seen a higher token.
            WorkerReplaced: Another incarnation answered.
            WorkerCallFailed: The worker answered with an error.
        """
        order = {"fencingToken": token, "lastSeen": noted}
        if expires_s is not None:
            order["expiresAtMs"] = int(expires_s * 1000)
        if wait_s:
            order["waitMs"] = int(wait_s * 1000)
        status, body = await self._post(
            address, worker_id, "/hold", order, wait_s + HOLD_MARGIN_S
        )
        if status == 421:
            raise WorkerReplaced(f"worker {worker_id} is gone from {address}")
        if status == 409:
            raise ProducerFenced(f"worker {worker_id} has seen a higher token")
        if status != 200:
            raise WorkerCallFailed(f"worker {worker_id}: hold answered {status}")
        lists = _LISTS.decode(body)
        return WorkerReport(
            clock_s=lists.clock_ms / 1000,
            incarnation_started_ms=lists.born,
            running=tuple(map(_decode_running, lists.running)),
            ended=tuple(map(_decode_ended, lists.ended)),
        )

    async def _post(self, address, worker_id, path, order, timeout_s):
        return await self._transport.call(
            "POST",
            f"http://{address}{path}",
            timeout_s,
            msgspec.json.encode(order),
            JSON_HEADERS | {"X-Expect-Instance": worker_id},
        )
