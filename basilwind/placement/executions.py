"""Executions: the requests and jobs that this process alone may run.

An entry host passes a request to the owner of its shard by a hand-off, and the
owner opens an execution for it. Recalling the hand-off closes the execution
unless it has been started, so that the request can be placed elsewhere.
"""

import enum
from collections import OrderedDict
from dataclasses import dataclass

import anyio

from basilwind.models import Outcome, RequestSpec
from basilwind.peers.messages import RecallReply, RecallState

CLOSED_RETENTION_S = 120.0
MAX_CLOSED = 20_000
MAX_CLOSED_BODY_BYTES = 4 * 1024 * 1024


class ExecutionState(enum.Enum):
    """State of an execution."""

    WAITING = "waiting"
    STARTED = "started"
    FINISHED = "finished"
    RECALLED = "recalled"


@dataclass
class Execution:
    """A request or job that this process is responsible for running.

    Attributes:
        handoff_id: Id of the hand-off that delivered the request; for a job
            that is run from the journal, the job's identity.
        state: Its state.
        scope: Cancel scope in which it runs; cancelled by a recall.
        outcome: The outcome, once finished.
        closed_at: When it was finished or recalled, on the monotonic clock in
            seconds.
        task_id: Id of its latest task.
        worker: Worker of its latest task.
        is_cancelled: Whether its caller cancelled it.
        spec: The request; set for jobs only.
    """

    handoff_id: str
    state: ExecutionState = ExecutionState.WAITING
    scope: anyio.CancelScope | None = None
    outcome: Outcome | None = None
    closed_at: float = 0.0
    task_id: str = ""
    worker: str = ""
    is_cancelled: bool = False
    spec: RequestSpec | None = None

    def open_scope(self):
        """Returns a new cancel scope; after a recall it is already cancelled."""
        self.scope = anyio.CancelScope()
        if self.state is ExecutionState.RECALLED:
            self.scope.cancel()
        return self.scope

    def start(self):
        """Marks the request as started, so that its first byte may be sent.

        Returns:
            Whether it may be started; false once it is recalled or finished.
        """
        if self.state in (ExecutionState.RECALLED, ExecutionState.FINISHED):
            return False
        self.state = ExecutionState.STARTED
        return True

    def cancel(self):
        """Cancels the request for its caller.

        Returns:
            Whether this kept it from starting; false if it has started or
            finished.
        """
        if self.state is ExecutionState.FINISHED:
            return False
        self.is_cancelled = True
        if self.state is ExecutionState.STARTED:
            return False
        self.withdraw()
        return True

    def withdraw(self):
        """Marks the request as recalled, so that it is never started."""
        self.state = ExecutionState.RECALLED
        if self.scope is not None:
            self.scope.cancel()

    def return_to_waiting(self):
        """Undoes a start whose task is proven not to have run."""
        if self.state is ExecutionState.STARTED:
            self.state = ExecutionState.WAITING


class ExecutionRegistry:
    """The open and recently closed executions of this process.

    Finished and recalled executions are kept for ``CLOSED_RETENTION_S``: an
    outcome may have to be sent again, and a late copy of a recalled request
    has to be refused.
    """

    def __init__(self):
        self._open = {}
        self._closed = OrderedDict()
        self._closed_body_bytes = 0

    def __len__(self):
        return len(self._open)

    def open(self, handoff_id):
        """Opens the execution of a request.

        Returns:
            The ``Execution``, or None if the hand-off is open already or was
            recalled or finished.
        """
        if handoff_id in self._open or handoff_id in self._closed:
            return None
        execution = Execution(handoff_id)
        self._open[handoff_id] = execution
        return execution

    def finish(self, execution, outcome, now):
        """Closes an execution with its outcome, unless it was recalled."""
        if execution.state is ExecutionState.RECALLED:
            return
        execution.state = ExecutionState.FINISHED
        execution.outcome = outcome
        self._close(execution, now)

    def recall(self, handoff_id, now):
        """Recalls a hand-off unless its request has been started.

        An unknown hand-off is recorded as recalled, so that a late copy of
        its request is refused.

        Args:
            handoff_id: Id of the hand-off.
            now: Current time on the monotonic clock, in seconds.

        Returns:
            A ``RecallReply``.
        """
        execution = self._closed.get(handoff_id) or self._open.get(handoff_id)
        if execution is None:
            execution = Execution(handoff_id)
        if execution.state is ExecutionState.STARTED:
            return RecallReply(handoff_id, RecallState.STARTED)
        if execution.state is ExecutionState.FINISHED:
            return RecallReply(handoff_id, RecallState.FINISHED, execution.outcome)
        if execution.state is ExecutionState.WAITING:
            execution.withdraw()
            self._close(execution, now)
        return RecallReply(handoff_id, RecallState.NOT_RUN)

    def expire(self, now):
        """Drops closed executions that are too old, too many or too large."""
        while self._closed:
            execution = next(iter(self._closed.values()))
            is_recent = now - execution.closed_at < CLOSED_RETENTION_S
            is_within_limits = (
                len(self._closed) <= MAX_CLOSED
                and self._closed_body_bytes <= MAX_CLOSED_BODY_BYTES
            )
            if is_recent and is_within_limits:
                return
            del self._closed[execution.handoff_id]
            self._closed_body_bytes -= _body_size(execution)

    def _close(self, execution, now):
        execution.closed_at = now
        self._open.pop(execution.handoff_id, None)
        self._closed[execution.handoff_id] = execution
        self._closed_body_bytes += _body_size(execution)
        self.expire(now)


def _body_size(execution):
    return len(execution.outcome.body) if execution.outcome is not None else 0
