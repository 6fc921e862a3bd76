"""Puts a job's life together from the log lines of all daemons.

Clocks of machines differ, so lines are not ordered by their time stamps alone:
what one event needs of another (a job is stored before it is placed, placed
before it is refused by a worker) goes first, and time breaks ties.
"""

import json
from dataclasses import dataclass, field

# Events in the order in which one must follow the other.
_STAGES = {
    "job refused": 0,
    "job submitted": 0,
    "pool taken over": 1,
    "step placed": 2,
    "start rejected": 3,
    "start unanswered": 3,
    "run stalled": 4,
    "run failed": 4,
    "run ended early": 4,
    "lease lapsed": 4,
    "job cancel": 5,
    "job ended": 6,
}
_HIDDEN = frozenset(("timestamp", "task_uuid", "task_level", "message_type"))


@dataclass
class Line:
    """A log line that concerns a job.

    Attributes:
        at: Time stamp of its daemon, Unix seconds.
        event: What happened.
        fields: Its further fields.
    """

    at: float
    event: str
    fields: dict = field(default_factory=dict)


@dataclass
class Explanation:
    """A job's life.

    Attributes:
        job_id: The job.
        lines: ``Line`` objects in causal order.
        findings: What took time or went wrong, in words.
    """

    job_id: str
    lines: list[Line]
    findings: list[str]


def read_lines(streams, job_id):
    """Collects a job's lines, and the events of its pool that delayed it.

    Args:
        streams: Iterables of text lines; what is not a log line is passed over.
        job_id: Id of the job.

    Returns:
        List of ``Line``.
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
            line = Line(
                message.get("timestamp", 0.0),
                message.get("message_type", ""),
                {k: v for k, v in message.items() if k not in _HIDDEN},
            )
            if job_id in text:
                lines.append(line)
            elif line.event == "pool taken over":
                takeovers.append(line)
    pools = {line.fields.get("pool") for line in lines}
    return lines + [line for line in takeovers if line.fields.get("pool") in pools]


def explain(lines, job_id):
    """Orders a job's lines and says where its time went.

    Returns:
        ``Explanation``.
    """
    own = [line for line in lines if line.event != "pool taken over"]
    begin = min((line.at for line in own), default=0.0)
    end = max((line.at for line in own), default=0.0)
    lines = [
        line
        for line in lines
        if line.event != "pool taken over" or begin <= line.at <= end
    ]
    lines.sort(key=lambda line: (line.at, _STAGES.get(line.event, 3)))
    _restore_causes(lines)
    return Explanation(job_id, lines, _find(lines))


def _restore_causes(lines):
    """Moves a submission before everything that followed from it."""
    for number, line in enumerate(lines):
        if line.event == "job submitted" and line.fields.get("status") == 200:
            lines.insert(0, lines.pop(number))
            return


def _find(lines):
    findings = []
    events = [line.event for line in lines]
    submitted = next((li for li in lines if li.event == "job submitted"), None)
    placed = next((li for li in lines if li.event == "step placed"), None)
    ended = next((li for li in lines if li.event == "job ended"), None)
    if "job refused" in events:
        refused = lines[events.index("job refused")]
        findings.append(
            "refused: the backlog would have made it too late; the caller was told "
            f"to return after {refused.fields.get('retry_after_s')} s"
        )
    if submitted is None:
        findings.append("no daemon logged its submission")
    elif submitted.fields.get("status") != 200:
        findings.append(f"not accepted: status {submitted.fields.get('status')}")
    elif placed is None:
        findings.append("accepted and never placed: its pool had no owner or no room")
    else:
        waited = max(0.0, placed.at - submitted.at)
        findings.append(f"waited {waited:.3f} s for its first worker")
    for event in ("pool taken over", "lease lapsed", "run failed", "run stalled"):
        if event in events:
            findings.append(f"{event}: {events.count(event)} times")
    rejected = events.count("start rejected") + events.count("start unanswered")
    if rejected:
        findings.append(f"orders that workers rejected or did not answer: {rejected}")
    if ended is not None and submitted is not None:
        took = ended.at - submitted.at
        findings.append(f"{ended.fields.get('state')} after {took:.3f} s")
    elif placed is not None:
        findings.append("no end was logged")
    return findings
