"""Data classes of requests, jobs and their outcomes."""

import enum
from dataclasses import dataclass


class OutcomeKind(enum.StrEnum):
    """How a request ended, as seen by its caller."""

    DONE = "done"
    REFUSED = "refused"
    FAILED = "failed"
    CANCELLED = "cancelled"
    UNKNOWN = "unknown"


class Reason(enum.StrEnum):
    """Why a request ended as it did."""

    NONE = ""
    UNKNOWN_QUEUE = "unknown_queue"
    NEVER_FITS = "never_fits"
    QUEUE_FULL = "queue_full"
    DEADLINE_EXCEEDED = "deadline_exceeded"
    EXPECTED_WAIT_TOO_LONG = "expected_wait_too_long"
    NO_OWNER = "no_owner"
    NO_STATE = "no_state"
    LEAVING = "leaving"
    OWNER_UNREACHABLE = "owner_unreachable"
    LOG_UNAVAILABLE = "log_unavailable"
    WORKERS_UNAVAILABLE = "workers_unavailable"
    WORKER_ANSWER_LOST = "worker_answer_lost"
    WORKER_FAILED = "worker_failed"
    TASK_STOPPED = "task_stopped"
    TOO_MANY_ATTEMPTS = "too_many_attempts"
    CANCELLED_BY_CALLER = "cancelled_by_caller"
    KEY_IN_USE = "key_in_use"
    KEY_REUSED = "key_reused"
    OUTCOME_LOST = "outcome_lost"
    ANSWER_TOO_LARGE = "answer_too_large"
    JOB_TOO_LARGE = "job_too_large"


@dataclass(frozen=True, slots=True)
class Demand:
    """Resources that a request declares.

    Attributes:
        slots: Worker slots.
        cpus: Processors.
        memory_gb: Memory, in GB.
        accelerators: Accelerators.
    """

    slots: int = 1
    cpus: float = 0.0
    memory_gb: float = 0.0
    accelerators: int = 0


@dataclass(frozen=True, slots=True)
class RequestSpec:
    """One request or job, as accepted at the border.

    Attributes:
        request_id: Unique id, a UUIDv7.
        team: Team that asks.
        queue: Queue of the team.
        pool: Pool that serves the queue.
        demand: Declared resources.
        urgent: Whether the urgent class applies.
        idempotent: Whether running it twice is harmless.
        key: Idempotency key, or an empty string.
        labels: Labels for bulk cancellation.
        content_type: Content type of the body.
        body: The request's body.
        expected_s: Declared run time, in seconds.
    """

    request_id: str
    team: str
    queue: str
    pool: str
    demand: Demand = Demand()
    urgent: bool = False
    idempotent: bool = True
    key: str = ""
    labels: tuple[str, ...] = ()
    content_type: str = "application/octet-stream"
    body: bytes = b""
    expected_s: float = 0.1

    @property
    def identity(self) -> str:
        """Identity under which the request runs at most once."""
        if self.key:
            return f"{self.team}/{self.queue}/{self.key}"
        return self.request_id


@dataclass(frozen=True, slots=True)
class Outcome:
    """The final answer to a request.

    Attributes:
        kind: How it ended.
        reason: Why, when it is not done.
        status: HTTP status from the worker when done or failed; else 0.
        content_type: Content type of the body.
        body: Body of the worker's answer.
        retry_after_s: When trying again makes sense, in seconds; 0 if never.
        worker: Worker that ran it, if one did.
        replayed: Whether the answer is that of an earlier request of the key.
    """

    kind: OutcomeKind
    reason: Reason = Reason.NONE
    status: int = 0
    content_type: str = "application/json"
    body: bytes = b""
    retry_after_s: float = 0.0
    worker: str = ""
    replayed: bool = False


def refused(reason: Reason, retry_after_s: float = 0.0) -> Outcome:
    """Returns the outcome of a request that was not run.

    Args:
        reason: Why it was refused.
        retry_after_s: When trying again makes sense, in seconds; 0 if never.
    """
    return Outcome(OutcomeKind.REFUSED, reason, retry_after_s=retry_after_s)


def unknown(reason: Reason, retry_after_s: float = 0.0) -> Outcome:
    """Returns the outcome of a request that may or may not have run.

    Args:
        reason: Why it cannot be told.
        retry_after_s: When asking again under the same key makes sense, in
            seconds; 0 if never.
    """
    return Outcome(OutcomeKind.UNKNOWN, reason, retry_after_s=retry_after_s)
