import unittest

from hypothesis import given
from hypothesis import strategies as st

from basilwind.journal.entries import (
    Accepted,
    Batch,
    Claim,
    Finished,
    NotRun,
    Release,
    Renewal,
    Started,
    encode_batch,
)
from basilwind.journal.state import (
    MAX_TOTAL_BODY_BYTES,
    MAX_WORK_ITEMS,
    JournalState,
    apply_bytes,
)
from basilwind.models import OutcomeKind

POOL = "pool-a"
HOLDERS = ("e1", "e2", "e3")
IDENTITIES = ("k1", "k2", "k3")


def started(identity, epoch, task_id):
    return Started(
        pool=POOL,
        epoch=epoch,
        identity=identity,
        task_id=task_id,
        worker="w1",
        worker_incarnation="i1",
        digest="d",
        deadline=0.0,
    )


def accepted(identity, epoch, job_id):
    return Accepted(
        pool=POOL,
        epoch=epoch,
        identity=identity,
        job_id=job_id,
        team="t",
        digest="d",
        spec=b"spec",
        deadline=0.0,
    )


def finished(identity, epoch, kind=OutcomeKind.DONE):
    return Finished(pool=POOL, epoch=epoch, identity=identity, kind=kind)


def claim(epoch, holder):
    return Claim(pool=POOL, epoch=epoch, holder=holder, incarnation="i")


class Log:
    """Journal records of several writers, in the order of the platform's log."""

    def __init__(self):
        self.records = []
        self._sequences = {}

    def append(self, writer, *entries, at=1.0):
        self._sequences[writer] = self._sequences.get(writer, 0) + 1
        batch = Batch(writer, "i", self._sequences[writer], at, list(entries))
        self.records.append(encode_batch(batch))
        return self.records[-1]


def replay(records, first=0):
    state = JournalState(next_offset=first)
    for offset, data in enumerate(records[first:], first):
        apply_bytes(state, offset, data)
    return state


class TestOwnership(unittest.TestCase):
    def test_first_of_two_claims_wins(self):
        log = Log()
        log.append("e1", claim(1, "e1"))
        log.append("e2", claim(1, "e2"))
        self.assertEqual(replay(log.records).ownership(POOL).holder, "e1")

    def test_entries_of_an_older_epoch_are_rejected(self):
        log = Log()
        log.append("e1", claim(1, "e1"))
        log.append("e2", claim(2, "e2"))
        log.append("e1", started("k1", 1, "t1"), accepted("k2", 1, "j2"))
        self.assertEqual(len(replay(log.records).work_items), 0)

    def test_finish_of_an_older_epoch_takes_effect(self):
        log = Log()
        log.append("e1", claim(1, "e1"), started("k1", 1, "t1"))
        log.append("e2", claim(2, "e2"))
        log.append("e1", finished("k1", 1))
        self.assertIsNotNone(replay(log.records).work_items["k1"].finished)

    def test_claim_after_release_needs_no_wait(self):
        log = Log()
        log.append("e1", claim(1, "e1"), Release(pool=POOL, epoch=1))
        log.append("e2", claim(2, "e2"))
        self.assertFalse(replay(log.records).ownership(POOL).succeeds_unreleased)

    def test_claim_of_an_unreleased_shard_waits(self):
        log = Log()
        log.append("e1", claim(1, "e1"))
        log.append("e2", claim(2, "e2"))
        self.assertTrue(replay(log.records).ownership(POOL).succeeds_unreleased)

    def test_renewal_corrects_a_reader_that_missed_the_claim(self):
        log = Log()
        log.append("e1", claim(7, "e1"))
        log.append("e2", claim(7, "e2"))
        renewal = Renewal(pool=POOL, epoch=7, holder="e1", incarnation="i")
        log.append("e1", renewal)
        self.assertEqual(replay(log.records).ownership(POOL).holder, "e1")
        # The first record that this reader sees is the rejected claim of e2.
        self.assertEqual(replay(log.records, 1).ownership(POOL).holder, "e1")


class TestWorkItems(unittest.TestCase):
    def test_second_start_of_an_identity_is_rejected(self):
        log = Log()
        log.append("e1", claim(1, "e1"), started("k1", 1, "t1"))
        data = log.append("e1", started("k1", 1, "t2"))
        state = replay(log.records[:1])
        self.assertEqual(apply_bytes(state, 1, data).effective, [False])
        self.assertEqual(state.work_items["k1"].started.task_id, "t1")

    def test_start_after_proof_of_not_run(self):
        log = Log()
        log.append("e1", claim(1, "e1"), started("k1", 1, "t1"))
        log.append("e1", NotRun(pool=POOL, epoch=1, identity="k1", task_id="t1"))
        log.append("e1", started("k1", 1, "t2"))
        self.assertEqual(replay(log.records).work_items["k1"].started.task_id, "t2")

    def test_first_finish_wins(self):
        log = Log()
        log.append("e1", claim(1, "e1"), started("k1", 1, "t1"))
        log.append("e1", finished("k1", 1, OutcomeKind.DONE))
        log.append("e2", finished("k1", 1, OutcomeKind.UNKNOWN))
        self.assertIs(
            replay(log.records).work_items["k1"].finished.kind, OutcomeKind.DONE
        )

    def test_unparsable_batches_are_counted_and_change_nothing(self):
        state = JournalState()
        for offset, data in enumerate((b"", b"{}", b"\xff", b'{"writer": 1}')):
            self.assertIsNone(apply_bytes(state, offset, data))
        self.assertEqual(state.invalid_records, 4)
        self.assertEqual(state.next_offset, 4)

    def test_eviction_advances_retained_since_and_keeps_open_jobs(self):
        log = Log()
        log.append("e1", claim(1, "e1"), accepted("job", 1, "j1"))
        state = replay(log.records)
        for index in range(MAX_WORK_ITEMS + 10):
            identity = f"key-{index}"
            entries = (started(identity, 1, identity), finished(identity, 1))
            data = log.append("e1", *entries, at=10.0 + index)
            apply_bytes(state, state.next_offset, data)
        self.assertLessEqual(len(state.work_items), MAX_WORK_ITEMS + 1)
        self.assertIn("job", state.work_items)
        self.assertGreaterEqual(state.retained_since, 10.0)


@st.composite
def batches(draw):
    entries = []
    for _ in range(draw(st.integers(1, 3))):
        identity = draw(st.sampled_from(IDENTITIES))
        epoch = draw(st.integers(1, 4))
        task_id = draw(st.sampled_from(("t1", "t2")))
        holder = draw(st.sampled_from(HOLDERS))
        entries.append(
            draw(
                st.sampled_from(
                    (
                        claim(epoch, holder),
                        Release(pool=POOL, epoch=epoch),
                        accepted(identity, epoch, f"job-{identity}"),
                        started(identity, epoch, task_id),
                        NotRun(
                            pool=POOL, epoch=epoch, identity=identity, task_id=task_id
                        ),
                        finished(identity, epoch),
                    )
                )
            )
        )
    return draw(st.sampled_from(HOLDERS)), entries


class TestHistories(unittest.TestCase):
    @given(st.lists(batches(), max_size=30), st.lists(st.integers(0, 29)))
    def test_retries_and_duplicates_change_nothing(self, history, repeats):
        log = Log()
        for writer, entries in history:
            log.append(writer, *entries)
        state = replay(log.records)
        with_retries = list(log.records)
        for index in sorted(
            (i for i in repeats if i < len(with_retries)), reverse=True
        ):
            # A retry after a lost answer follows the first copy of the batch, before
            # the writer's next batch.
            with_retries.insert(index + 1, with_retries[index])
        retried = replay(with_retries)
        self.assertEqual(retried.work_items, state.work_items)
        for pool, owner in state.shards.items():
            self.assertEqual(retried.shards[pool].epoch, owner.epoch)
            self.assertEqual(retried.shards[pool].holder, owner.holder)

    @given(st.lists(batches(), max_size=40))
    def test_epochs_never_fall_and_outcomes_never_change(self, history):
        log, state = Log(), JournalState()
        for writer, entries in history:
            epoch = state.ownership(POOL).epoch
            ended = {
                w.identity: w.finished for w in state.work_items.values() if w.finished
            }
            running = {
                w.identity: w.started for w in state.work_items.values() if w.started
            }
            data = log.append(writer, *entries)
            apply_bytes(state, state.next_offset, data)
            self.assertGreaterEqual(state.ownership(POOL).epoch, epoch)
            for identity, outcome in ended.items():
                self.assertIs(state.work_items[identity].finished, outcome)
            for identity, start in running.items():
                work_item = state.work_items.get(identity)
                is_start_undone = any(
                    isinstance(e, NotRun) and e.identity == identity for e in entries
                )
                if not is_start_undone and work_item.finished is None:
                    self.assertEqual(work_item.started.task_id, start.task_id)


class TestBodyLimit(unittest.TestCase):
    def test_oldest_answers_are_dropped_and_marked_as_missing(self):
        log = Log()
        log.append("e1", claim(1, "e1"))
        state = replay(log.records)
        size = MAX_TOTAL_BODY_BYTES // 10
        for index in range(25):
            identity = f"key-{index}"
            end = finished(identity, 1)
            end.body = b"x" * size
            data = log.append("e1", started(identity, 1, identity), end)
            apply_bytes(state, state.next_offset, data)
        kept = [w for w in state.work_items.values() if w.finished.has_body]
        latest = [f"key-{index}" for index in range(15, 25)]
        self.assertEqual([work_item.identity for work_item in kept], latest)
        self.assertEqual(state.body_bytes, sum(len(w.finished.body) for w in kept))
        self.assertLessEqual(state.body_bytes, MAX_TOTAL_BODY_BYTES)


class TestRepeatedEntries(unittest.TestCase):
    def test_job_repeated_after_its_start_is_restored(self):
        log = Log()
        log.append("e1", claim(1, "e1"), started("k1", 1, "t1"))
        log.append("e1", accepted("k1", 1, "j1"))
        state = replay(log.records)
        self.assertEqual(state.work_items["k1"].job.job_id, "j1")
        self.assertEqual(state.work_items["k1"].started.task_id, "t1")
