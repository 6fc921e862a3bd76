"""The state that a zone's entry hosts build from the records of its journal.

Entry hosts that have applied the same records have the same state, so they agree on
which entries took effect.
"""

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

MAX_WORK_ITEMS = 10_000
# Answers are kept for repeated requests with the same key: at most this much in total,
# and only answers up to MAX_KEPT_BODY_BYTES each.
MAX_TOTAL_BODY_BYTES = 2 * 1024 * 1024
MAX_KEPT_BODY_BYTES = 8 * 1024
MAX_WRITERS = 256


@dataclass(slots=True)
class ShardOwnership:
    """The latest owner of a shard.

    Attributes:
        epoch: Number of the ownership, from 1; 0 if there was no owner yet.
        holder: Name of the entry host that owns the shard.
        incarnation: Id of the holder's process.
        is_released: Whether the holder has released the shard.
        succeeds_unreleased: Whether the previous owner may still hold a lease, as it
            is not known to have released the shard.
        is_baseline: Whether this was learned from a claim or renewal whose
            predecessors were not read, so that a renewal may correct it.
        claimed_offset: Offset of the claim; 0 if only a renewal was read.
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
    """What the journal records about one request or job.

    Attributes:
        identity: Identity under which it runs at most once.
        pool: Pool of its shard.
        updated_at: When its latest entry was sent, in seconds since the Unix epoch.
        digest: Digest of its request, to detect a reused idempotency key.
        job: Its ``Accepted`` entry, if it is a job.
        started: Its latest ``Started`` entry while it has no outcome, unless that
            start is proven not to have run.
        finished: Its ``Finished`` entry, if it has an outcome.
    """

    identity: str
    pool: str
    updated_at: float = 0.0
    digest: str = ""
    job: Accepted | None = None
    started: Started | None = None
    finished: Finished | None = None

    @property
    def is_open(self) -> bool:
        """Whether it has no final outcome yet."""
        return self.finished is None


@dataclass
class JournalState:
    """State after the records of one zone's journal up to an offset.

    Attributes:
        next_offset: Offset of the next record to apply.
        shards: ``ShardOwnership`` by pool.
        work_items: ``WorkItem`` by identity, least recently updated first.
        open_by_pool: For each pool, its work items without an outcome, by identity.
        jobs: Identity of each job, by job id.
        retained_since: Work items last updated before this time may have been
            evicted, in seconds since the Unix epoch; 0 if none was.
        last_sequences: Highest sequence read, by writer and incarnation.
        invalid_records: Number of records that did not parse.
        is_partial: Whether records have been skipped because the log had dropped
            them.
        body_identities: Identities of the work items whose answers are kept, oldest
            first.
        body_bytes: Total size of the kept answers, in bytes.
    """

    next_offset: int = 0
    shards: dict[str, ShardOwnership] = field(default_factory=dict)
    work_items: OrderedDict[str, WorkItem] = field(default_factory=OrderedDict)
    open_by_pool: dict[str, dict[str, WorkItem]] = field(default_factory=dict)
    jobs: dict[str, str] = field(default_factory=dict)
    retained_since: float = 0.0
    last_sequences: OrderedDict[tuple[str, str], int] = field(
        default_factory=OrderedDict
    )
    invalid_records: int = 0
    is_partial: bool = False
    body_identities: deque[str] = field(default_factory=deque)
    body_bytes: int = 0

    def ownership(self, pool):
        """Returns the ``ShardOwnership`` of a pool's shard."""
        return self.shards.setdefault(pool, ShardOwnership())

    def open_work_items(self, pool):
        """Returns the ``WorkItem`` objects of a shard that have no outcome yet."""
        return list(self.open_by_pool.get(pool, {}).values())

    def skip_to(self, offset, now):
        """Clears the state and continues at an offset that follows dropped records.

        What is still needed comes again in later records: owners repeat renewals and
        open work items before the log drops them (see ``Ownership.renew``).

        Args:
            offset: Offset of the next record.
            now: Current time, in seconds since the Unix epoch.
        """
        self.next_offset = offset
        self.is_partial = True
        self.retained_since = max(self.retained_since, now)
        for part in (
            self.shards,
            self.work_items,
            self.open_by_pool,
            self.jobs,
            self.body_identities,
        ):
            part.clear()
        self.body_bytes = 0

    def sequence_of(self, writer, incarnation):
        """Returns the highest sequence read from a writer's process; 0 if none."""
        return self.last_sequences.get((writer, incarnation), 0)


def apply_bytes(state, offset, data):
    """Applies one record of the journal.

    Args:
        state: ``JournalState``, changed in place.
        offset: Offset of the record; a record already applied is ignored.
        data: The record's bytes.

    Returns:
        ``AppliedBatch``, or None if the record has no effect: it was applied before,
        does not parse, or repeats a batch of its writer.
    """
    if offset < state.next_offset:
        return None
    state.next_offset = offset + 1
    try:
        batch = entries.decode_batch(data)
    except RecordInvalid:
        state.invalid_records += 1
        return None
    if not _register_batch(state, batch):
        return None
    effective = [apply_entry(entry, state, batch.at) for entry in batch.entries]
    _evict_oldest(state)
    return AppliedBatch(batch, effective)


@dataclass(frozen=True, slots=True)
class AppliedBatch:
    """A batch, and which of its entries took effect.

    Attributes:
        batch: ``Batch`` of the record.
        effective: For each entry in order, whether it took effect.
    """

    batch: entries.Batch
    effective: list[bool]


def _register_batch(state, batch):
    writer = (batch.writer, batch.incarnation)
    if batch.sequence <= state.last_sequences.get(writer, 0):
        return False
    state.last_sequences[writer] = batch.sequence
    state.last_sequences.move_to_end(writer)
    if len(state.last_sequences) > MAX_WRITERS:
        state.last_sequences.popitem(last=False)
    return True


def _evict_oldest(state):
    while len(state.work_items) > MAX_WORK_ITEMS:
        identity = next(iter(state.work_items))
        work_item = state.work_items[identity]
        if work_item.is_open and work_item.job is not None:
            # Open jobs are never evicted; this one moves to the end of the order.
            state.work_items.move_to_end(identity)
            return
        _evict(state, work_item)


def _evict(state, work_item):
    _remove(state, work_item)
    if work_item.job is not None:
        state.jobs.pop(work_item.job.job_id, None)
    state.retained_since = max(state.retained_since, work_item.updated_at)


@singledispatch
def apply_entry(entry, state, at):
    """Applies one entry; each type of entry has its own implementation.

    Args:
        entry: The entry.
        state: ``JournalState``, changed in place if the entry takes effect.
        at: When the entry's batch was sent, in seconds since the Unix epoch.

    Returns:
        Whether the entry took effect.
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
    if _is_same_owner(owner, entry):
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


def _is_same_owner(owner, entry):
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


def _is_current_epoch(state, entry):
    owner = state.shards.get(entry.pool)
    # Entries before the first claim are accepted: the beginning of the journal, with
    # an earlier claim, has been dropped by the log.
    return owner is None or owner.epoch == 0 or owner.epoch == entry.epoch


@apply_entry.register
def _(entry: Accepted, state, at):
    if not _is_current_epoch(state, entry):
        return False
    work_item = _touch_work_item(state, entry, at)
    if work_item.job is not None and work_item.job.job_id != entry.job_id:
        return False
    if work_item.finished is not None:
        return False
    work_item.job = entry
    work_item.digest = entry.digest
    state.jobs[entry.job_id] = entry.identity
    return True


@apply_entry.register
def _(entry: Started, state, at):
    if not _is_current_epoch(state, entry):
        return False
    work_item = _touch_work_item(state, entry, at)
    if work_item.finished is not None:
        return False
    if work_item.started is not None and work_item.started.task_id != entry.task_id:
        return False
    work_item.started = entry
    work_item.digest = entry.digest
    return True


@apply_entry.register
def _(entry: NotRun, state, at):
    work_item = state.work_items.get(entry.identity)
    if work_item is None or work_item.started is None:
        return False
    if work_item.started.task_id != entry.task_id or work_item.finished is not None:
        return False
    work_item.started = None
    if work_item.job is None:
        _remove(state, work_item)
    return True


@apply_entry.register
def _(entry: Finished, state, at):
    work_item = _touch_work_item(state, entry, at)
    if work_item.finished is not None:
        return False
    work_item.finished = entry
    work_item.started = None
    entry.identity = work_item.identity
    _limit_bodies(state, entry)
    state.open_by_pool[work_item.pool].pop(work_item.identity, None)
    if work_item.job is not None:
        # Only the job id is needed from now on, not the encoded request.
        work_item.job = msgspec.structs.replace(work_item.job, spec=b"")
    return True


def _limit_bodies(state, entry):
    if not entry.body:
        return
    state.body_identities.append(entry.identity)
    state.body_bytes += len(entry.body)
    while state.body_bytes > MAX_TOTAL_BODY_BYTES:
        oldest = state.work_items.get(state.body_identities.popleft())
        if oldest is not None and oldest.finished is not None:
            state.body_bytes -= len(oldest.finished.body)
            oldest.finished.body = b""
            oldest.finished.has_body = False


def _remove(state, work_item):
    del state.work_items[work_item.identity]
    if work_item.finished is not None and work_item.finished.body:
        state.body_bytes -= len(work_item.finished.body)
        work_item.finished.body = b""
    state.open_by_pool[work_item.pool].pop(work_item.identity, None)


def _touch_work_item(state, entry, at):
    work_item = state.work_items.get(entry.identity)
    if work_item is None:
        work_item = WorkItem(entry.identity, entry.pool)
        state.work_items[entry.identity] = work_item
        state.open_by_pool.setdefault(entry.pool, {})[entry.identity] = work_item
    work_item.updated_at = at
    state.work_items.move_to_end(entry.identity)
    return work_item


def outcome_of(finished):
    """Returns the ``Outcome`` that a ``Finished`` entry records."""
    return Outcome(
        kind=finished.kind,
        reason=finished.reason,
        status=finished.status,
        content_type=finished.content_type,
        body=finished.body,
        worker=finished.worker,
        replayed=True,
    )
