import json
import unittest

from basilwind.explain import explain, read_lines
from basilwind.run_history import collect_runs
from basilwind.scheduling.run_events import RequeueReason
from tests.scheduling.test_run_events import REQUEUES, TASK, RecordingModel

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

    def test_lines_of_earlier_versions_with_one_run_each_are_read(self):
        result = self._explain(
            line(10.0, "job submitted", job=JOB, status=200),
            line(10.1, "step placed", step=f"{JOB}.0.0", runs=[[0, 1]], workers=["w"]),
            line(12.0, "lease lapsed", task=f"{JOB}.0.0.0", run=1, worker="w"),
        )
        self.assertIn("lease lapsed: 1 times", result.findings)
        self.assertEqual(result.lines[1].fields["task"], f"{JOB}.0.0.0")


class TestExplainTask(unittest.TestCase):
    """One task's runs, from the logs of several daemons and of the workers."""

    NAME = f"{JOB}.0.0.1"

    def _explain(self, *streams):
        return explain(read_lines(streams, self.NAME), self.NAME)

    def _order(self, at, run, worker, token, source):
        fields = {"step": f"{JOB}.0.0", "pool": "p", "token": token}
        rows = [[0, 1, "w0", 9.0, 0.1, 0.1], [1, run, worker, 9.0, 0.1, 0.1]]
        return f"{at} {source} " + line(
            at, "runs ordered", **fields, runs=rows
        ).removeprefix("prefix ")

    def _give_up(self, at, event, token=5, **evidence):
        row = [self.NAME, 1, "w1", 5, "running", 9.5, 9.4, None]
        other = [f"{JOB}.0.0.11", 1, "w1", 5, "running", 9.5, 9.4, None]
        return line(
            at, event, pool="p", runs=[other, row], owner_token=token, **evidence
        )

    def _workers(self, *entries):
        fields = ("at", "event", "run", "worker", "kind")
        return [
            line(
                **dict(zip(fields, entry, strict=False)),
                task=self.NAME,
            )
            for entry in entries
        ]

    def test_runs_are_joined_with_tokens_owner_reason_and_evidence(self):
        cases = (
            ("lease lapsed", {"answer_age_s": 4.7, "lease_end_s": 8.0}),
            ("run missing", {"report_age_s": 0.2}),
            ("worker removed", {"cause": "refused while leaving"}),
        )
        for event, evidence in cases:
            with self.subTest(event):
                daemon = (
                    self._order(10.0, 1, "w1", 5, "c-2"),
                    self._give_up(19.5, event, **evidence),
                    self._order(19.6, 2, "w2", 5, "c-2"),
                )
                workers = self._workers(
                    (10.1, "run began", 1, "w1"),
                    (19.7, "run began", 2, "w2"),
                    (20.0, "run ended", 1, "w1", "lapsed"),
                )
                findings = "\n".join(self._explain(daemon, workers).findings)
                self.assertIn("run 1 on w1 (token 5, c-2): given up", findings)
                for name, value in evidence.items():
                    self.assertIn(f"{name}={value}", findings)
                self.assertIn("ordered 9.600 s after it", findings)
                self.assertIn("executed at once for 0.300 s", findings)

    def test_run_that_a_successor_did_not_know_shows_two_tokens_and_the_claim(self):
        claim = {"duty": "pool/p", "holder": "b-1#2", "token": 6}
        first = (
            self._order(10.0, 1, "w1", 5, "c-2"),
            line(11.0, "duty claimed", **claim),
        )
        second = (
            line(10.9, "duty claimed", **claim),
            line(11.1, "pool taken over", pool="p", token=6),
            self._order(11.2, 1, "w2", 6, "b-1"),
        )
        result = self._explain(first, second)
        self.assertIn(
            "run 1 on w1 (token 5, c-2): the later owner gave it up without a line: "
            "did it know of it?",
            result.findings,
        )
        events = [entry.event for entry in result.lines]
        self.assertEqual(
            events, ["runs ordered", "duty claimed", "pool taken over", "runs ordered"]
        )

    def test_run_that_was_restored_as_ended_names_the_successor(self):
        row = [self.NAME, 1, "", 5, "waiting"]
        restored = line(11.0, "runs restored", pool="p", runs=[row], owner_token=6)
        first = self._order(10.0, 1, "w1", 5, "c-2")
        result = self._explain((first, restored, self._order(11.2, 2, "w2", 6, "b-1")))
        (finding,) = [text for text in result.findings if "run 1 on w1" in text]
        self.assertIn("runs restored (state=waiting owner_token=6)", finding)

    def test_run_after_a_done_one_is_found(self):
        workers = self._workers(
            (1.0, "run began", 1, "w1"),
            (2.0, "run ended", 1, "w1", "done"),
            (3.0, "run began", 2, "w2"),
        )
        self.assertIn("was done", self._explain(workers).findings[-1])

    def test_left_out_lines_are_named_with_their_daemon(self):
        daemon = (
            line(1.0, "started", host="c-2").removeprefix("prefix "),
            self._order(10.0, 1, "w1", 5, "c-2"),
            json.dumps({"message_type": "log lines left out", "lines": 9}),
            self._give_up(12.0, "lease lapsed"),
        )
        findings = self._explain(daemon).findings
        self.assertIn("lines may lack, as some were left out by: c-2", findings)

    def test_each_reason_that_an_owner_logs_is_read_back(self):
        for scenario, reason, _ in REQUEUES:
            with self.subTest(scenario.__name__):
                model = RecordingModel(self.fail, 1)
                scenario(model)
                lines = [
                    line(float(at), event, **fields)
                    for at, (event, fields) in enumerate(model.events)
                ]
                runs = collect_runs(explain(read_lines([lines], TASK), TASK).lines)
                self.assertEqual([(run.run, run.token) for run in runs], [(1, 1)])
                self.assertIs(RequeueReason(runs[0].given_up.event), reason)
