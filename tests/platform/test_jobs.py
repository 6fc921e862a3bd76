import json
import unittest

import msgspec

from basilwind.errors import RecordInvalid, RequestInvalid
from basilwind.platform.jobs import decode_job
from basilwind.scheduling.jobs import Job
from basilwind.scheduling.records import (
    SubmissionRecord,
    decode_job_record,
    decode_submission,
)
from basilwind.scheduling.specs import MAX_TASKS, JobSpec, StepSpec


def _body(*counts, **fields):
    steps = [{"count": count, "cpu": 100} for count in counts]
    return json.dumps({"spec": "", "steps": steps} | fields).encode()


class TestJobs(unittest.TestCase):
    def test_job_with_more_tasks_than_a_daemon_can_hold_is_refused(self):
        # Each daemon that took over its pool would have run out of memory.
        self.assertEqual(decode_job(_body(MAX_TASKS)).steps[0].count, MAX_TASKS)
        for counts in ((MAX_TASKS + 1,), (10**12,), (MAX_TASKS, 1)):
            with self.subTest(counts=counts), self.assertRaises(RequestInvalid):
                decode_job(_body(*counts))

    def test_stored_submission_that_no_owner_can_hold_is_rejected(self):
        for step in (
            StepSpec(10**12, 100, 100),
            StepSpec(0, 100, 100),
            StepSpec(1, 100, 100, after=(5,)),
        ):
            record = SubmissionRecord("q", 0.0, JobSpec("", (step,)))
            with self.subTest(step=step), self.assertRaises(RecordInvalid):
                decode_submission(msgspec.json.encode(record))

    def test_stored_job_with_an_unknown_state_is_rejected(self):
        with self.assertRaises(RecordInvalid):
            decode_job_record(b'["asleep"]')

    def test_due_occurrences_start_as_earlier_ones_end(self):
        # A job that has been due a billion times took all memory of its owner.
        spec = JobSpec(
            "", (StepSpec(MAX_TASKS // 2, 1, 1),), occurrences=10**9, is_timed=True
        )
        job = Job("job", "q", spec, 0.0)
        job.start_due_occurrences(1.0)
        self.assertEqual(sorted(job.occurrences), [0, 1])
        job.finish_occurrence(0)
        job.start_due_occurrences(1.0)
        self.assertEqual(sorted(job.occurrences), [1, 2])


if __name__ == "__main__":
    unittest.main()
