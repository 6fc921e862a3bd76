"""Messages of the calls between daemons.

The field names are part of the messages.
"""

from typing import Annotated

import msgspec

from basilwind.checked_json import Count, Duration, Name, OptionalName
from basilwind.scheduling.admission import RefusalReason
from basilwind.scheduling.jobs import JobState
from basilwind.scheduling.where import Reason

HOST_PATH = "/host"
# Follows a job's id if its owner has to know of all jobs.
CONFIRM = "confirm"
PATH_POOLS_PATH = "/path-pools"
HANDOVER_PATH = "/planner/handover"
TAKEOVER_PATH = "/takeover"
WHERE_PATH = "/where"
GRANTS_PATH = "/quota/grants"

JobId = Annotated[str, msgspec.Meta(pattern=r"^[0-9A-Fa-f]{16}\Z")]
IntakeKey = Annotated[str, msgspec.Meta(pattern=r"^!?[0-9A-Fa-f]{16}\Z")]


class JobResponse(msgspec.Struct):
    """What a pool's owner tells about a job.

    Attributes:
        state: State of the job; None if the owner has no such job.
        customer: Name of the customer to whom it belongs; empty if there is none, and
            in responses of earlier versions.
        path: Host header and path prefix of the queue that accepted it; None if they
            are unknown, and in responses of earlier versions.
    """

    state: JobState | None
    customer: OptionalName = ""
    path: tuple[str, str] | None = None


class QueueResponse(msgspec.Struct):
    """State of a queue.

    Attributes:
        waiting: Number of accepted jobs that have not started any task.
        refuse_for_s: For how many seconds new jobs are refused; 0 to accept them.
    """

    waiting: Count
    refuse_for_s: Duration = 0.0


class AdmissionRequest(msgspec.Struct):
    """Request to a pool's owner to decide on a submission.

    Attributes:
        queue: Name of the queue.
        job_id: Id of the job.
        customer: Name of the customer that submits it.
    """

    queue: str
    job_id: JobId
    customer: OptionalName


class AdmissionResponse(msgspec.Struct):
    """Decision of a pool's owner on a submission.

    Attributes:
        refuse_for_s: For how many seconds it is refused; 0 to accept it.
        reason: Why it is refused, or None.
        customer: Customer of the job that is known under this id; empty if none is.
        is_known: Whether the job is known, and therefore accepted.
    """

    refuse_for_s: Duration = 0.0
    reason: RefusalReason | None = None
    customer: OptionalName = ""
    is_known: bool = False


class DeclineRequest(msgspec.Struct):
    """Request to a pool's owner to leave a job to another pool.

    Attributes:
        job_id: Id of the job.
        version: Version of the configuration by which its path leads to the other.
        target: Name of the other pool.
    """

    job_id: JobId
    version: Count
    target: Name


class PathPoolsRequest(msgspec.Struct):
    """Question which pools may have jobs of a path, if the store does not answer.

    Attributes:
        host_header: Host header of the path's queues.
        path_prefix: Path prefix of its queues.
    """

    host_header: str
    path_prefix: str


class PathPoolsResponse(msgspec.Struct):
    """Pools to which a path leads or has led.

    Those of all versions of the configuration that the store had when the question
    arrived.

    Attributes:
        pools: Names of the pools.
    """

    pools: list[Name]


class DaemonResponse(msgspec.Struct):
    """Status of a daemon.

    Attributes:
        incarnation: Id of this run of the daemon.
        store_silence_s: Seconds since the store last answered it.
        was_store_silent: Whether the store did not answer it for a while, now or within
            the time for which unrecorded runs may execute.
        takeover_age_s: Seconds since another daemon told it of a takeover, or None.
    """

    incarnation: str
    store_silence_s: Duration
    was_store_silent: bool = True
    takeover_age_s: Duration | None = None


class TakeoverRequest(msgspec.Struct):
    """Question of a pool's new owner to the previous one.

    Attributes:
        previous_token: Fencing token of the previous owner.
    """

    previous_token: Count


class TakeoverResponse(msgspec.Struct):
    """Answer of a pool's previous owner to the new one.

    Attributes:
        incarnation: Id of this run of the daemon.
        has_recorded_all: Whether the journal has each run that it started or may have
            taken over, and it starts none from now on without a record.
    """

    incarnation: str
    has_recorded_all: bool


class RelayedRecord(msgspec.Struct):
    """A record of the intake that a peer could not store.

    Attributes:
        queue: Queue that it belongs to.
        key: Key of the record.
        value: Value of the record.
    """

    queue: str
    key: IntakeKey
    value: bytes


class WithholdRequest(msgspec.Struct):
    """Request of the planner to a pool's owner.

    Attributes:
        worker_ids: Ids of the workers that should get no tasks.
        token: Fencing token of the planner.
        at_risk: Ids of workers whose runs an order may still end.
    """

    worker_ids: list[str]
    token: Count
    at_risk: list[str] = []


class HandoverRequest(msgspec.Struct):
    """Request of a new planner to the previous one.

    Attributes:
        token: Fencing token of the new planner.
        lease_s: Time between orders of two planners for one host, seconds.
    """

    token: Count
    lease_s: Duration


class HandoverResponse(msgspec.Struct):
    """Response of the previous planner.

    Attributes:
        incarnation: Id of this run of the daemon.
        ages_s: Seconds since the latest order for each host.
    """

    incarnation: str
    ages_s: dict[str, Duration]


class WhereRequest(msgspec.Struct):
    """Question of an operator where a job would go; see ``basilwind where``.

    Attributes:
        host: Host header of the queue.
        path: Path of the queue.
        job: The job, as a caller submits it.
        customer: Name of the customer; empty for none.
    """

    host: str
    path: str
    job: bytes
    customer: str = ""


class WhereOwnerRequest(msgspec.Struct):
    """The same question to the owner of the queue's pool.

    Attributes:
        queue: Name of the queue.
        job: The job, as a caller submits it.
        customer: Name of the customer; empty for none.
    """

    queue: Name
    job: bytes
    customer: str = ""


class WhereResponse(msgspec.Struct):
    """Answer to where a job would go."""

    reasons: list[Reason]
