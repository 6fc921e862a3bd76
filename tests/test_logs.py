import json
import os
import unittest

from basilwind.logs import (
    MAX_BUFFER_BYTES_FOR_RUNS,
    MAX_LINES_PER_S,
    MAX_RUN_LINES_PER_S,
    NON_ROUTINE_FACTOR,
    LineWriter,
)

PIPE_BYTES = 65536


class TestLineWriter(unittest.TestCase):
    def setUp(self):
        self.reader, writer = os.pipe()
        self.addCleanup(os.close, self.reader)
        self.addCleanup(os.close, writer)
        os.set_blocking(self.reader, False)
        self.now = 0.0
        self.writer = LineWriter(writer, lambda: self.now)

    def _read_bytes(self):
        data = b""
        while True:
            try:
                data += os.read(self.reader, 1 << 20)
            except BlockingIOError:
                return data

    def _read(self):
        return [json.loads(line) for line in self._read_bytes().splitlines()]

    def test_dropped_lines_are_counted_and_reported_once(self):
        for number in range(MAX_LINES_PER_S + 50):
            self.writer({"message_type": "job submitted", "n": number})
        self.now = 1.0
        self.writer({"message_type": "job submitted"})
        lines = self._read()
        self.assertEqual(len(lines), MAX_LINES_PER_S + 2)
        self.assertEqual(
            lines[-2],
            {
                "message_type": "log lines left out",
                "lines": 50,
                "kinds": {"job submitted": 50},
            },
        )

    def test_failures_are_written_while_routine_lines_are_dropped(self):
        for _ in range(MAX_LINES_PER_S + 1):
            self.writer({"message_type": "job submitted"})
        self.writer({"message_type": "run failed"})
        self.assertEqual(self._read()[-1]["message_type"], "run failed")

    def test_lines_of_runs_are_written_while_all_others_are_dropped(self):
        # Routine lines ate the budget of those that tell why a task ran twice.
        for kind in ("job submitted", "worker lost"):
            for _ in range(MAX_LINES_PER_S * NON_ROUTINE_FACTOR + 1):
                self.writer({"message_type": kind})
        for fields in ({"run": 1}, {"runs": [["j.0.0.0", 1]]}):
            self.writer({"message_type": "lease lapsed"} | fields)
            self.assertEqual(self._read()[-1]["message_type"], "lease lapsed")

    def test_lines_of_runs_take_no_budget_and_are_limited_themselves(self):
        for _ in range(MAX_RUN_LINES_PER_S + 7):
            self.writer({"message_type": "run failed", "run": 1})
        self.assertEqual(len(self._read()), MAX_RUN_LINES_PER_S)
        for _ in range(MAX_LINES_PER_S):
            self.writer({"message_type": "job submitted"})
        self.assertEqual(len(self._read()), MAX_LINES_PER_S)
        self.now = 1.0
        self.writer({"message_type": "run failed", "run": 1})
        self.assertEqual(self._read()[0]["kinds"], {"run failed": 7})

    def test_lines_of_runs_fit_into_a_buffer_that_others_have_filled(self):
        text = "x" * 10_000
        for kind, fields in (("worker lost", {}), ("run failed", {"run": 1})):
            for _ in range(60):
                self.now += 1.0
                self.writer({"message_type": kind, "text": text} | fields)
        data = b""
        while chunk := self._read_bytes():
            data += chunk
            self.writer.flush()
        kinds = [json.loads(line)["message_type"] for line in data.splitlines()]
        self.assertGreater(kinds.count("run failed"), 20)
        longest = MAX_BUFFER_BYTES_FOR_RUNS + PIPE_BYTES + 2 * len(text)
        self.assertLess(len(data), longest)

    def test_full_pipe_never_blocks_and_dropped_lines_are_counted(self):
        text = "x" * 10_000
        for second in range(200):
            self.now = float(second)
            self.writer({"message_type": "duty lost", "text": text})
        self.assertGreater(self.writer.dropped_total, 0)
        data = b""
        while chunk := self._read_bytes():
            # Reading the pipe makes room for the buffered lines.
            data += chunk
            self.writer.flush()
        self.now = 300.0
        self.writer({"message_type": "duty lost"})
        data += self._read_bytes()
        lines = [json.loads(line) for line in data.splitlines()]
        self.assertEqual(lines[-1], {"message_type": "duty lost"})
        reported = sum(line.get("lines", 0) for line in lines)
        self.assertEqual(reported, self.writer.dropped_total)

    def test_closed_reader_raises_no_error(self):
        reader, writer = os.pipe()
        os.close(reader)
        self.addCleanup(os.close, writer)
        LineWriter(writer, lambda: 0.0)({"message_type": "stopping"})
