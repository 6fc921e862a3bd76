"""Requests, jobs and their outcomes."""

import enum
from dataclasses import dataclass


class OutcomeKind(enum.StrEnum):
    """How a request ended, as its caller sees it."""

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
    """Resources that a request needs.

    Attributes:
        slots: Number of worker slots.
        cpus: Number of processors.
        memory_gb: Memory, in GB.
        accelerators: Number of accelerators.
    """

    slots: int = 1
    cpus: float = 0.0
    memory_gb: float = 0.0
    accelerators: int = 0


@dataclass(frozen=True, slots=True)
class RequestSpec:
    """A request or job, as validated by the HTTP interface.

    Attributes:
        request_id: Unique id, a UUIDv7.
        team: Team that submitted it.
        queue: Queue of the team.
        pool: Pool that serves the queue.
        demand: Resources that it needs.
        urgent: Whether it is placed ahead of requests that are not urgent.
        idempotent: Whether it may safely run more than once.
        key: Idempotency key; empty for none.
        labels: Labels by which jobs can be cancelled together.
        content_type: Content type of the body.
        body: Body to send to the worker.
        expected_s: Expected run time, in seconds.
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
        """Identity under which it runs at most once: by its key, if it has one."""
        if self.key:
            return f"{self.team}/{self.queue}/{self.key}"
        return self.request_id


@dataclass(frozen=True, slots=True)
class Outcome:
    """The final answer to a request.

    Attributes:
        kind: How the request ended.
        reason: Why it ended so, unless it is done.
        status: HTTP status from the worker if done or failed, else 0.
        content_type: Content type of the body.
        body: Body of the worker's answer.
        retry_after_s: Time after which a retry makes sense, in seconds; 0 if never.
        worker: Name of the worker that ran it; empty if none did.
        replayed: Whether this repeats the outcome of an earlier request with the
            same key.
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
    """Returns the outcome of a request that did not run.

    Args:
        reason: Why it was refused.
        retry_after_s: Time after which a retry makes sense, in seconds; 0 if never.
    """
    return Outcome(OutcomeKind.REFUSED, reason, retry_after_s=retry_after_s)


def unknown(reason: Reason, retry_after_s: float = 0.0) -> Outcome:
    """Returns the outcome of a request that may or may not have run.

    Args:
        reason: Why this is not known.
        retry_after_s: Time after which a retry with the same key makes sense, in
            seconds; 0 if never.
    """
    return Outcome(OutcomeKind.UNKNOWN, reason, retry_after_s=retry_after_s)
