"""At-most-once execution: journal entries that guard a request's start and end."""

import hashlib
import uuid
from dataclasses import dataclass, field

import anyio

from basilwind.errors import (
    EntryFenced,
    JournalUnavailable,
    LeaseLost,
    PeerError,
    RequestInvalid,
)
from basilwind.journal.entries import Finished, NotRun, Started
from basilwind.journal.state import MAX_KEPT_BODY_BYTES
from basilwind.models import Outcome

LOG_TIMEOUT_S = 1.0
CLOCK_SKEW_S = 60.0  # margin for the clocks of the callers that make keys


@dataclass
class PendingOutcome:
    """Outcome, once known, of at-most-once work in flight in this process.

    Attributes:
        digest: Digest of the request; see ``digest_of``.
        settled: Set when the outcome is known.
        outcome: The outcome, or None.
    """

    digest: str
    settled: anyio.Event = field(default_factory=anyio.Event)
    outcome: Outcome | None = None


def digest_of(spec):
    """Returns a digest of a request's team, queue, content type and body.

    Two requests under one key are the same request if their digests agree.
    """
    text = f"{spec.team}/{spec.queue}/{spec.content_type}/".encode()
    return hashlib.sha256(text + spec.body).hexdigest()[:32]


def key_time(key):
    """Returns the timestamp in a UUIDv7 key, in seconds since the Unix epoch.

    Raises:
        RequestInvalid: The key is not a UUIDv7.
    """
    try:
        parsed = uuid.UUID(key)
    except ValueError as error:
        raise RequestInvalid("the Idempotency-Key must be a UUIDv7") from error
    if parsed.version != 7:
        raise RequestInvalid("the Idempotency-Key must be a UUIDv7, not another UUID")
    return (parsed.int >> 80) / 1000.0


class StartGuard:
    """Records the starts and the outcome of one request under one epoch.

    Args:
        spec: The request.
        epoch: Epoch of the shard's ownership.
        journal: The zone's ``Journal``.
        ownership: The zone's ``Ownership``.
        copy_sender: ``CopySender`` that copies entries to the zone's peers.
        clock: Monotonic clock, in seconds.
    """

    def __init__(self, spec, epoch, journal, ownership, copy_sender, clock):
        self._spec = spec
        self._epoch = epoch
        self._journal = journal
        self._ownership = ownership
        self._copy_sender = copy_sender
        self._clock = clock

    def check_lease(self):
        """Checks that the first byte may be sent now.

        Raises:
            LeaseLost: The shard is not owned under the epoch, or its lease has
                lapsed.
        """
        self._ownership.check_lease(self._spec.pool, self._epoch, self._clock())

    async def record_start(self, task_id, worker, worker_incarnation, deadline_at):
        """Records a start in the log, or as copies on peers while the log is down.

        Args:
            task_id: Id of the task.
            worker: Name of the worker.
            worker_incarnation: The worker's process, as last reported.
            deadline_at: The request's deadline, in seconds since the Unix epoch.

        Raises:
            LeaseLost: The shard has another owner, or may have.
            JournalUnavailable: Neither the log nor all of the peers confirmed it.
        """
        entry = Started(
            pool=self._spec.pool,
            epoch=self._epoch,
            identity=self._spec.identity,
            task_id=task_id,
            worker=worker,
            worker_incarnation=worker_incarnation,
            digest=digest_of(self._spec),
            deadline=deadline_at,
        )
        try:
            await self._journal.append_or_copy(entry, LOG_TIMEOUT_S, self._copy_sender)
        except EntryFenced as error:
            raise LeaseLost(
                "the start entry is void: another entry takes precedence"
            ) from error
        except PeerError as error:
            self.record_not_run(task_id)
            raise JournalUnavailable(
                "neither the log nor all peers confirmed the start", False
            ) from error

    def record_not_run(self, task_id):
        """Revokes a recorded start whose task is proven not to have run."""
        entry = NotRun(
            pool=self._spec.pool,
            epoch=self._epoch,
            identity=self._spec.identity,
            task_id=task_id,
        )
        _append_best_effort(self._journal, entry)

    def record_finish(self, outcome):
        """Queues the final outcome for the log, without waiting for it."""
        has_body = len(outcome.body) <= MAX_KEPT_BODY_BYTES
        entry = Finished(
            pool=self._spec.pool,
            epoch=self._epoch,
            identity=self._spec.identity,
            kind=outcome.kind,
            reason=outcome.reason,
            status=outcome.status,
            content_type=outcome.content_type,
            body=outcome.body if has_body else b"",
            has_body=has_body,
            worker=outcome.worker,
        )
        _append_best_effort(self._journal, entry)


def _append_best_effort(journal, entry):
    try:
        journal.append_nowait(entry)
    except JournalUnavailable:
        # Without the entry, the next owner asks the worker for the outcome.
        pass
