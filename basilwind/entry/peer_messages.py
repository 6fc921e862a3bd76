"""Messages of the calls between daemons.

The field names are part of the messages.
"""

from typing import Annotated

import msgspec

from basilwind.checked_json import Count, Duration, Name
from basilwind.scheduling.jobs import JobState

HOST_PATH = "/host"
HANDOVER_PATH = "/planner/handover"
TAKEOVER_PATH = "/takeover"
GRANTS_PATH = "/quota/grants"

JobId = Annotated[str, msgspec.Meta(pattern=r"^[0-9A-Fa-f]{16}\Z")]
IntakeKey = Annotated[str, msgspec.Meta(pattern=r"^!?[0-9A-Fa-f]{16}\Z")]


class JobResponse(msgspec.Struct):
    """State of a job; ``state`` is None if the owner has no such job."""

    state: JobState | None


class QueueResponse(msgspec.Struct):
    """State of a queue.

    Attributes:
        waiting: Number of accepted jobs that have not started any task.
        refuse_for_s: For how many seconds new jobs are refused; 0 to accept them.
    """

    waiting: Count
    refuse_for_s: Duration = 0.0


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
