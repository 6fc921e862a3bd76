"""The state that a zone's entry hosts fold from its journal."""

from collections import OrderedDict, deque
from dataclasses import dataclass, field
from functools import singledispatch

import msgspec

from basilwind.errors import RecordInvalid
from basilwind.journal import entries
from basilwind.journal.entries import (
    Accepted,
    Claim,
    Finished,
    NotRun,
    Release,
    Renewal,
    Started,
)
from basilwind.models import Outcome

MAX_WORKS = 10_000
MAX_BODY_BYTES = 2 * 1024 * 1024
MAX_KEPT_BODY_BYTES = 8 * 1024
MAX_WRITERS = 256


@dataclass(slots=True)
class ShardOwnership:
    """Who owns a shard.

    Attributes:
        epoch: Number of the ownership, from 1.
        holder: Entry host that owns it.
        incarnation: The holder's process.
        is_released: Whether the holder gave it up.
        succeeds_unreleased: Whether the owner before may still hold a lease.
        is_baseline: Whether it was learned without the claim before it.
        claimed_offset: Offset of the claim.
    """

    epoch: int = 0
    holder: str = ""
    incarnation: str = ""
    is_released: bool = True
    succeeds_unreleased: bool = False
    is_baseline: bool = False
    claimed_offset: int = 0


@dataclass(slots=True)
class WorkItem:
    """What the journal says of one identity.

    Attributes:
        identity: Identity under which it runs at most once.
        pool: Pool of its shard.
        at: When its latest entry was sent, in seconds since the epoch.
        digest: Digest of its request, to tell a reused key.
        job: Its acceptance, if it is a job.
        started: Its latest start while it is open, unless proven not to have
            run.
        finished: Its final outcome, if known.
    """

    identity: str
    pool: str
    at: float = 0.0
    digest: str = ""
    job: Accepted | None = None
    started: Started | None = None
    finished: Finished | None = None

    @property
    def is_open(self) -> bool:
        """Whether it still needs an outcome."""
        return self.finished is None


@dataclass
class JournalState:
    """Fold of one zone's journal.

    Attributes:
        next_offset: Offset of the next record to apply.
        shards: Ownership by pool.
        work_items: Work items by identity, least recently written first.
        open: Works of each pool that still need an outcome, by identity.
        jobs: Identity of each job by job id.
        retained_since: Work items last written before this time may have been
            forgotten, in seconds since the epoch; 0 if none was.
        writers: Highest sequence seen, by writer and incarnation.
        invalid_records: Records that did not parse.
        is_partial: Whether the journal's beginning has not been seen.
        bodies: Identities whose answers are kept, oldest first.
        body_bytes: Size of the kept answers.
    """

    next_offset: int = 0
    shards: dict[str, ShardOwnership] = field(default_factory=dict)
    work_items: OrderedDict[str, WorkItem] = field(default_factory=OrderedDict)
    open: dict[str, dict[str, WorkItem]] = field(default_factory=dict)
    jobs: dict[str, str] = field(default_factory=dict)
    retained_since: float = 0.0
    writers: OrderedDict[tuple[str, str], int] = field(default_factory=OrderedDict)
    invalid_records: int = 0
    is_partial: bool = False
    bodies: deque[str] = field(default_factory=deque)
    body_bytes: int = 0

    def ownership(self, pool):
        """Returns the ``ShardOwnership`` of a pool's shard."""
        return self.shards.setdefault(pool, ShardOwnership())

    def open_work_items(self, pool):
        """Returns the works of a shard that still need an outcome."""
        return list(self.open.get(pool, {}).values())

    def skip_to(self, offset, now):
        """Forgets everything before a gap; what matters is carried over.

        Args:
            offset: Offset of the next record.
            now: Present time, in seconds since the epoch.
        """
        self.next_offset = offset
        self.is_partial = True
        self.retained_since = max(self.retained_since, now)
        for part in (self.shards, self.work_items, self.open, self.jobs, self.bodies):
            part.clear()
        self.body_bytes = 0

    def sequence_of(self, writer, incarnation):
        """Returns the highest sequence seen of a writer's process."""
        return self.writers.get((writer, incarnation), 0)


def apply_bytes(state, offset, data):
    """Applies one record of the journal.

    Args:
        state: ``JournalState``, changed in place.
        offset: Offset of the record; one already applied is ignored.
        data: The record's bytes.

    Returns:
        The entries that took effect, by their place in the batch, and the
        batch; or None if the record has no effect.
    """
    if offset < state.next_offset:
        return None
    state.next_offset = offset + 1
    try:
        batch = entries.decode_batch(data)
    except RecordInvalid:
        state.invalid_records += 1
        return None
    if not _is_new(state, batch):
        return None
    effective = [apply_entry(entry, state, batch.at) for entry in batch.entries]
    _forget_oldest(state)
    return AppliedBatch(batch, effective)


@dataclass(frozen=True, slots=True)
class AppliedBatch:
    """A batch and which of its entries took effect.

    Attributes:
        batch: The batch.
        effective: For each entry, whether it took effect.
    """

    batch: entries.Batch
    effective: list[bool]


def _is_new(state, batch):
    writer = (batch.writer, batch.incarnation)
    if batch.sequence <= state.writers.get(writer, 0):
        return False
    state.writers[writer] = batch.sequence
    state.writers.move_to_end(writer)
    if len(state.writers) > MAX_WRITERS:
        state.writers.popitem(last=False)
    return True


def _forget_oldest(state):
    while len(state.work_items) > MAX_WORKS:
        identity = next(iter(state.work_items))
        work = state.work_items[identity]
        if work.is_open and work.job is not None:
            # An open job is never forgotten; it moves behind newer works.
            state.work_items.move_to_end(identity)
            return
        _forget(state, work)


def _forget(state, work):
    _remove(state, work)
    if work.job is not None:
        state.jobs.pop(work.job.job_id, None)
    state.retained_since = max(state.retained_since, work.at)


@singledispatch
def apply_entry(entry, state, at):
    """Applies one entry; chosen by its type.

    Args:
        entry: The entry.
        state: ``JournalState``, changed in place if the entry takes effect.
        at: When its batch was sent, in seconds since the epoch.

    Returns:
        Whether it took effect.
    """
    raise NotImplementedError(type(entry).__name__)


@apply_entry.register
def _(entry: Claim, state, at):
    owner = state.ownership(entry.pool)
    is_first_seen = owner.epoch == 0
    is_baseline = is_first_seen and entry.epoch > 1
    is_next = entry.epoch == owner.epoch + 1
    is_newer = entry.is_forced and entry.epoch > owner.epoch
    if not (is_first_seen or is_next or is_newer):
        return False
    state.shards[entry.pool] = ShardOwnership(
        epoch=entry.epoch,
        holder=entry.holder,
        incarnation=entry.incarnation,
        is_released=False,
        succeeds_unreleased=not owner.is_released or entry.is_forced or is_baseline,
        is_baseline=is_baseline,
        claimed_offset=state.next_offset - 1,
    )
    return True


@apply_entry.register
def _(entry: Renewal, state, at):
    owner = state.ownership(entry.pool)
    if _matches(owner, entry):
        owner.is_baseline = False
        return True
    is_newer = entry.epoch > owner.epoch
    is_baseline_stale = owner.is_baseline and (is_newer or _same_epoch(owner, entry))
    if owner.epoch and not is_baseline_stale:
        return False
    state.shards[entry.pool] = ShardOwnership(
        epoch=entry.epoch,
        holder=entry.holder,
        incarnation=entry.incarnation,
        is_released=False,
        succeeds_unreleased=True,
        is_baseline=True,
    )
    return True


def _matches(owner, entry):
    return (
        _same_epoch(owner, entry)
        and owner.holder == entry.holder
        and owner.incarnation == entry.incarnation
    )


def _same_epoch(owner, entry):
    return owner.epoch == entry.epoch


@apply_entry.register
def _(entry: Release, state, at):
    owner = state.ownership(entry.pool)
    if owner.epoch != entry.epoch:
        return False
    owner.is_released = True
    return True


def _is_current(state, entry):
    owner = state.shards.get(entry.pool)
    # Entries before the first claim in sight come from a journal whose
    # beginning has been dropped.
    return owner is None or owner.epoch == 0 or owner.epoch == entry.epoch


@apply_entry.register
def _(entry: Accepted, state, at):
    if not _is_current(state, entry):
        return False
    work = _work(state, entry, at)
    if work.job is not None and work.job.job_id != entry.job_id:
        return False
    if work.finished is not None:
        return False
    work.job = entry
    work.digest = entry.digest
    state.jobs[entry.job_id] = entry.identity
    return True


@apply_entry.register
def _(entry: Started, state, at):
    if not _is_current(state, entry):
        return False
    work = _work(state, entry, at)
    if work.finished is not None:
        return False
    if work.started is not None and work.started.task_id != entry.task_id:
        return False
    work.started = entry
    work.digest = entry.digest
    return True


@apply_entry.register
def _(entry: NotRun, state, at):
    work = state.work_items.get(entry.identity)
    if work is None or work.started is None:
        return False
    if work.started.task_id != entry.task_id or work.finished is not None:
        return False
    work.started = None
    if work.job is None:
        _remove(state, work)
    return True


@apply_entry.register
def _(entry: Finished, state, at):
    work = _work(state, entry, at)
    if work.finished is not None:
        return False
    work.finished = entry
    work.started = None
    entry.identity = work.identity
    _keep_body(state, entry)
    state.open[work.pool].pop(work.identity, None)
    if work.job is not None:
        # The request itself is not needed any more; its id still is.
        work.job = msgspec.structs.replace(work.job, spec=b"")
    return True


def _keep_body(state, entry):
    if not entry.body:
        return
    state.bodies.append(entry.identity)
    state.body_bytes += len(entry.body)
    while state.body_bytes > MAX_BODY_BYTES:
        oldest = state.work_items.get(state.bodies.popleft())
        if oldest is not None and oldest.finished is not None:
            state.body_bytes -= len(oldest.finished.body)
            oldest.finished.body = b""
            oldest.finished.has_body = False


def _remove(state, work):
    del state.work_items[work.identity]
    if work.finished is not None and work.finished.body:
        state.body_bytes -= len(work.finished.body)
        work.finished.body = b""
    state.open[work.pool].pop(work.identity, None)


def _work(state, entry, at):
    work = state.work_items.get(entry.identity)
    if work is None:
        work = WorkItem(entry.identity, entry.pool)
        state.work_items[entry.identity] = work
        state.open.setdefault(entry.pool, {})[entry.identity] = work
    work.at = at
    state.work_items.move_to_end(entry.identity)
    return work


def outcome_of(finished):
    """Returns the ``Outcome`` that a ``Finished`` entry stands for."""
    return Outcome(
        kind=finished.kind,
        reason=finished.reason,
        status=finished.status,
        content_type=finished.content_type,
        body=finished.body,
        worker=finished.worker,
        replayed=True,
    )
