"""Reconstructs the history of a job or task from the log lines of all daemons.

Clocks of hosts differ, so timestamps alone do not order the lines. The submission
comes before everything that followed from it, and lines with equal timestamps are
ordered by cause and effect (a job is placed before a worker rejects it).
"""

from dataclasses import dataclass

from basilwind.log_lines import LogLine, is_task, read_stream, select
from basilwind.run_history import explain_runs

# Rank of each event; of lines with equal timestamps, lower ranks come first.
_EVENT_RANKS = {
    "job refused": 0,
    "job submitted": 0,
    "pool taken over": 1,
    "runs restored": 1,
    "step placed": 2,
    "runs ordered": 2,
    "run began": 3,
    "start rejected": 3,
    "start unanswered": 3,
    "run stalled": 4,
    "run failed": 4,
    "run ended": 4,
    "run ended early": 4,
    "runs lost": 4,
    "lease lapsed": 4,
    "job cancel": 5,
    "job ended": 6,
}
# Events of a pool or of a worker, which belong to the history of its tasks.
_POOL_EVENTS = frozenset(("pool taken over", "pool given up", "order fenced"))
_DUTY_EVENTS = frozenset(
    ("duty claimed", "duty released", "duty lost", "duty fenced", "duty failed")
)
_WORKER_EVENTS = frozenset(
    (
        "worker joined",
        "worker lost",
        "worker regained",
        "worker replaced",
        "worker restarted",
        "worker dropped",
    )
)
_LEFT_OUT = "log lines left out"
# The daemon did nothing for a while, or waited for the store.
_LATE = "duty check late"
_CONTEXT = _POOL_EVENTS | _DUTY_EVENTS | _WORKER_EVENTS | {_LEFT_OUT, _LATE}


@dataclass
class Explanation:
    """The history of a job or task.

    Attributes:
        name: Id of the job, or name of the task.
        lines: ``LogLine`` objects in causal order.
        findings: Sentences on what took time or went wrong.
    """

    name: str
    lines: list[LogLine]
    findings: list[str]


def read_lines(streams, name):
    """Collects the lines of a job or task, and those of its pools and workers.

    Args:
        streams: Iterables of text lines; those that are not log lines are skipped.
        name: Id of the job, or name of the task.

    Returns:
        List of ``LogLine``.
    """
    lines, context = [], []
    for stream in streams:
        for line in read_stream(stream):
            selected = select(line, name)
            if selected is not None:
                lines.append(selected)
            elif line.event in _CONTEXT:
                context.append(line)
    return lines + _select_context(lines, context, is_task(name))


def _select_context(lines, context, has_details):
    """Returns the lines of a job's pools while it ran, and a task's of its workers."""
    begin = min((line.at for line in lines), default=0.0)
    end = max((line.at for line in lines), default=0.0)
    tokens = {line.fields.get("token") for line in lines} - {None}
    pools = {line.fields.get("pool") for line in lines} - {None}
    sources = {line.source for line in lines}
    workers = {line.fields.get("worker") for line in lines} - {None}

    def is_related(line):
        if line.event == "pool taken over":
            return line.fields.get("pool") in pools
        if not has_details:
            return False
        if line.event in _DUTY_EVENTS:
            return str(line.fields.get("duty")).removeprefix("pool/") in pools
        if line.event in _WORKER_EVENTS:
            return line.fields.get("worker") in workers
        if line.event == _LATE:
            return line.source in sources
        return line.event == _LEFT_OUT or line.fields.get("pool") in pools

    selected = {}
    for line in context:
        is_own_claim = line.event == "duty claimed" and line.fields["token"] in tokens
        if is_related(line) and (is_own_claim or begin <= line.at <= end):
            # Every daemon logs the claims of all.
            is_shared = line.event in ("duty claimed", "duty released")
            key = repr((line.event, line.fields)) if is_shared else len(selected)
            if key not in selected or line.at < selected[key].at:
                selected[key] = line
    return list(selected.values())


def explain(lines, name):
    """Orders the lines of a job or task and derives what took time or went wrong.

    Args:
        lines: List of ``LogLine`` from ``read_lines``.
        name: Id of the job, or name of the task.

    Returns:
        ``Explanation``.
    """
    lines = sorted(lines, key=lambda line: (line.at, _EVENT_RANKS.get(line.event, 3)))
    _move_submission_first(lines)
    findings = _findings(lines)
    if is_task(name):
        findings += explain_runs(lines)
    return Explanation(name, lines, findings)


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
    left_out = [line for line in lines if line.event == _LEFT_OUT]
    if left_out:
        sources = ", ".join(sorted({line.source for line in left_out}))
        findings.append(f"lines may lack, as some were left out by: {sources}")
    rejected = events.count("start rejected") + events.count("start unanswered")
    if rejected:
        findings.append(f"starts that workers rejected or did not answer: {rejected}")
    if ended is not None and submitted is not None:
        took = ended.at - submitted.at
        findings.append(f"{ended.fields.get('state')} after {took:.3f} s")
    elif placed is not None:
        findings.append("its end was not logged")
    return findings
