"""Reconstructs the history of a job from the log lines of all daemons.

Clocks of hosts differ, so timestamps alone do not order the lines. The submission
comes before everything that followed from it, and lines with equal timestamps are
ordered by cause and effect (a job is placed before a worker rejects it).
"""

import json
from dataclasses import dataclass, field

# Rank of each event; of lines with equal timestamps, lower ranks come first.
_EVENT_RANKS = {
    "job refused": 0,
    "job submitted": 0,
    "pool taken over": 1,
    "step placed": 2,
    "start rejected": 3,
    "start unanswered": 3,
    "run stalled": 4,
    "run failed": 4,
    "run ended early": 4,
    "runs lost": 4,
    "lease lapsed": 4,
    "job cancel": 5,
    "job ended": 6,
}
_METADATA_FIELDS = frozenset(("timestamp", "task_uuid", "task_level", "message_type"))


@dataclass
class LogLine:
    """A log line that concerns a job.

    Attributes:
        at: Timestamp by the clock of its daemon, in seconds since the Unix epoch.
        event: What happened.
        fields: The other fields of the line.
    """

    at: float
    event: str
    fields: dict = field(default_factory=dict)


@dataclass
class Explanation:
    """The history of a job.

    Attributes:
        job_id: Id of the job.
        lines: ``LogLine`` objects in causal order.
        findings: Sentences on what took time or went wrong.
    """

    job_id: str
    lines: list[LogLine]
    findings: list[str]


def read_lines(streams, job_id):
    """Collects the lines of a job and the takeovers of its pools.

    Args:
        streams: Iterables of text lines; those that are not log lines are skipped.
        job_id: Id of the job.

    Returns:
        List of ``LogLine``.
    """
    lines, takeovers = [], []
    for stream in streams:
        for text in stream:
            start = text.find("{")
            if start < 0:
                continue
            try:
                message = json.loads(text[start:])
            except json.JSONDecodeError:
                continue
            line = LogLine(
                message.get("timestamp", 0.0),
                message.get("message_type", ""),
                {k: v for k, v in message.items() if k not in _METADATA_FIELDS},
            )
            if job_id in text:
                lines.append(line)
            elif line.event == "pool taken over":
                takeovers.append(line)
    pools = {line.fields.get("pool") for line in lines}
    return lines + [line for line in takeovers if line.fields.get("pool") in pools]


def explain(lines, job_id):
    """Orders a job's lines and derives what took time or went wrong.

    Args:
        lines: List of ``LogLine`` from ``read_lines``.
        job_id: Id of the job.

    Returns:
        ``Explanation``.
    """
    job_lines = [line for line in lines if line.event != "pool taken over"]
    begin = min((line.at for line in job_lines), default=0.0)
    end = max((line.at for line in job_lines), default=0.0)
    lines = [
        line
        for line in lines
        if line.event != "pool taken over" or begin <= line.at <= end
    ]
    lines.sort(key=lambda line: (line.at, _EVENT_RANKS.get(line.event, 3)))
    _move_submission_first(lines)
    return Explanation(job_id, lines, _findings(lines))


def _move_submission_first(lines):
    """Moves the submission before everything that followed from it."""
    for number, line in enumerate(lines):
        if line.event == "job submitted" and line.fields.get("status") == 200:
            lines.insert(0, lines.pop(number))
            return


def _findings(lines):
    findings = []
    events = [line.event for line in lines]
    submitted = next((li for li in lines if li.event == "job submitted"), None)
    placed = next((li for li in lines if li.event == "step placed"), None)
    ended = next((li for li in lines if li.event == "job ended"), None)
    if "job refused" in events:
        refused = lines[events.index("job refused")]
        findings.append(
            "refused: the backlog would have made it too late; the caller was told "
            f"to retry after {refused.fields.get('retry_after_s')} s"
        )
    if submitted is None:
        findings.append("no daemon logged its submission")
    elif submitted.fields.get("status") != 200:
        findings.append(f"not accepted: status {submitted.fields.get('status')}")
    elif placed is None:
        findings.append(
            "accepted but never placed: its pool had no owner or no free worker"
        )
    else:
        waited = max(0.0, placed.at - submitted.at)
        findings.append(f"waited {waited:.3f} s for its first worker")
    for event in (
        "pool taken over",
        "lease lapsed",
        "runs lost",
        "run failed",
        "run stalled",
    ):
        if event in events:
            findings.append(f"{event}: {events.count(event)} times")
    rejected = events.count("start rejected") + events.count("start unanswered")
    if rejected:
        findings.append(f"starts that workers rejected or did not answer: {rejected}")
    if ended is not None and submitted is not None:
        took = ended.at - submitted.at
        findings.append(f"{ended.fields.get('state')} after {took:.3f} s")
    elif placed is not None:
        findings.append("its end was not logged")
    return findings
