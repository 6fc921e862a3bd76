"""Who has custody of a request, so that one process at a time may run it."""

import enum
from collections import OrderedDict
from dataclasses import dataclass

import anyio

from basilwind.models import Outcome, RequestSpec
from basilwind.peers.messages import RecallReply, RecallState

KEEP_S = 120.0
MAX_KEPT = 20_000
MAX_KEPT_BODY_BYTES = 4 * 1024 * 1024


class ExecutionState(enum.Enum):
    """Where a request in custody stands."""

    WAITING = "waiting"
    STARTED = "started"
    FINISHED = "finished"
    RECALLED = "recalled"


@dataclass
class Execution:
    """One request in this process's custody.

    Attributes:
        handoff_id: The hand-off that brought it.
        state: Where it stands.
        scope: Scope in which it runs, cancelled when it is recalled.
        outcome: The outcome, once finished.
        closed_at: When it was finished or recalled, on the monotonic clock.
        task_id: Id of its latest task.
        worker: Worker of its latest task.
        is_cancelled: Whether its caller cancelled it.
        spec: The request itself, where it is needed later.
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
        """Returns a new scope to run in, cancelled already after a recall."""
        self.scope = anyio.CancelScope()
        if self.state is ExecutionState.RECALLED:
            self.scope.cancel()
        return self.scope

    def start(self):
        """Marks the request as started; the first byte may leave now.

        Returns:
            Whether it may be started; false if it has been recalled.
        """
        if self.state in (ExecutionState.RECALLED, ExecutionState.FINISHED):
            return False
        self.state = ExecutionState.STARTED
        return True

    def cancel(self):
        """Marks it as cancelled by its caller.

        Returns:
            Whether it had not been started, so that it never will be.
        """
        if self.state is ExecutionState.FINISHED:
            return False
        self.is_cancelled = True
        if self.state is ExecutionState.STARTED:
            return False
        self.withdraw()
        return True

    def withdraw(self):
        """Makes sure that it is never started."""
        self.state = ExecutionState.RECALLED
        if self.scope is not None:
            self.scope.cancel()

    def return_to_waiting(self):
        """Marks a start as proven not to have run."""
        if self.state is ExecutionState.STARTED:
            self.state = ExecutionState.WAITING


class ExecutionRegistry:
    """Requests that this process has or had in custody.

    Finished and recalled ones are kept for a while: an answer may have to be
    told again, and a late copy of a recalled request has to be refused.
    """

    def __init__(self):
        self._open = {}
        self._closed = OrderedDict()
        self._kept_bytes = 0

    def __len__(self):
        return len(self._open)

    def open(self, handoff_id):
        """Takes custody of a request.

        Returns:
            The ``Execution``, or None if it was recalled, finished or is open.
        """
        if handoff_id in self._open or handoff_id in self._closed:
            return None
        custody = Execution(handoff_id)
        self._open[handoff_id] = custody
        return custody

    def finish(self, custody, outcome, now):
        """Closes a request with its outcome."""
        if custody.state is ExecutionState.RECALLED:
            return
        custody.state = ExecutionState.FINISHED
        custody.outcome = outcome
        self._close(custody, now)

    def recall(self, handoff_id, now):
        """Gives a request back if it has not been started.

        A request not known here leaves a tombstone, so a late copy of it is
        refused.

        Args:
            handoff_id: The hand-off.
            now: Present time on the monotonic clock, in seconds.

        Returns:
            A ``RecallReply``.
        """
        custody = self._closed.get(handoff_id) or self._open.get(handoff_id)
        if custody is None:
            custody = Execution(handoff_id)
        if custody.state is ExecutionState.STARTED:
            return RecallReply(handoff_id, RecallState.STARTED)
        if custody.state is ExecutionState.FINISHED:
            return RecallReply(handoff_id, RecallState.FINISHED, custody.outcome)
        if custody.state is ExecutionState.WAITING:
            custody.withdraw()
            self._close(custody, now)
        return RecallReply(handoff_id, RecallState.NOT_RUN)

    def expire(self, now):
        """Forgets requests that were closed long ago."""
        while self._closed:
            custody = next(iter(self._closed.values()))
            is_recent = now - custody.closed_at < KEEP_S
            is_within = (
                len(self._closed) <= MAX_KEPT
                and self._kept_bytes <= MAX_KEPT_BODY_BYTES
            )
            if is_recent and is_within:
                return
            del self._closed[custody.handoff_id]
            self._kept_bytes -= _body_size(custody)

    def _close(self, custody, now):
        custody.closed_at = now
        self._open.pop(custody.handoff_id, None)
        self._closed[custody.handoff_id] = custody
        self._kept_bytes += _body_size(custody)
        self.expire(now)


def _body_size(custody):
    return len(custody.outcome.body) if custody.outcome is not None else 0
