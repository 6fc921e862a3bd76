import json
import unittest

from basilwind.explain import explain, read_lines

JOB = "5c0e7a21d94b36f8"


def line(at, event, **fields):
    return f"prefix {json.dumps({'timestamp': at, 'message_type': event} | fields)}\n"


class TestExplain(unittest.TestCase):
    def _explain(self, *lines):
        return explain(read_lines([lines], JOB), JOB)

    def test_submission_comes_first_although_its_clock_is_ahead(self):
        result = self._explain(
            line(10.0, "step placed", step=f"{JOB}.0.0", pool="p"),
            line(10.4, "job submitted", job=JOB, status=200),
            line(12.0, "job ended", job=JOB, state="completed"),
        )
        self.assertEqual(
            [entry.event for entry in result.lines],
            ["job submitted", "step placed", "job ended"],
        )

    def test_history_includes_takeovers_of_the_jobs_pool_during_the_job(self):
        result = self._explain(
            line(1.0, "pool taken over", pool="p"),
            line(10.0, "job submitted", job=JOB, status=200),
            line(11.0, "pool taken over", pool="p"),
            line(11.5, "pool taken over", pool="other"),
            line(12.0, "step placed", step=f"{JOB}.0.0", pool="p"),
        )
        self.assertIn("pool taken over: 1 times", result.findings)
        self.assertIn("waited 2.000 s for its first worker", result.findings)
        self.assertIn("its end was not logged", result.findings)

    def test_refusal_is_explained_with_the_retry_time(self):
        result = self._explain(
            line(10.0, "job refused", job=JOB, retry_after_s=7), "not a log line\n"
        )
        self.assertIn("retry after 7 s", result.findings[0])
