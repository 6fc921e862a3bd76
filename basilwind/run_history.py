"""Reconstructs the runs of a task from log lines, and why one followed the other."""

from dataclasses import dataclass

from basilwind.log_lines import LogLine
from basilwind.scheduling.run_events import RequeueReason

_REQUEUES = frozenset(reason.value for reason in RequeueReason)
# Fields on which the decision to give up a run rests, the most telling first.
_EVIDENCE = (
    "kind",
    "outcome",
    "cause",
    "state",
    "owner_token",
    "ordered_age_s",
    "confirmed_age_s",
    "stop_answered_age_s",
    "report_age_s",
    "answer_age_s",
    "unanswered_s",
    "lease_end_s",
    "worker_clock_s",
    "lapse_s",
    "previous_leases_age_s",
)


@dataclass
class Run:
    """A run of a task, as the log lines tell of it.

    Attributes:
        run: Its number.
        worker: Id of its worker.
        token: Fencing token of the owner that ordered it, or None.
        owner: Source of the line on its order; empty if there is none.
        ordered_at: Time of that line, or of the first one that names the run.
        given_up: ``LogLine`` with which an owner gave it up, or None.
        began_at: Time at which the worker began it, or None if no worker's log tells.
        ended_at: Time at which the worker ended it, or None.
        end: How it ended there.
    """

    run: int
    worker: str
    ordered_at: float
    token: int | None = None
    owner: str = ""
    given_up: LogLine | None = None
    began_at: float | None = None
    ended_at: float | None = None
    end: str = ""

    def __str__(self):
        token = "?" if self.token is None else self.token
        return f"run {self.run} on {self.worker} (token {token}, {self.owner or '?'})"


def collect_runs(lines):
    """Returns the ``Run`` objects of a task in the order in which they were ordered.

    Args:
        lines: ``LogLine`` objects of one task, in order.
    """
    runs = {}
    for line in lines:
        fields = line.fields
        if "run" not in fields or "worker" not in fields:
            continue
        if not fields["worker"]:
            _end_restored(runs.values(), line)
            continue
        key = (fields["run"], fields["worker"])
        run = runs.setdefault(key, Run(*key, line.at))
        if run.token is None:
            run.token = fields.get("token")
        if line.event in ("step placed", "runs ordered"):
            run.token, run.owner, run.ordered_at = fields["token"], line.source, line.at
        elif line.event == "run began":
            run.began_at = line.at
        elif line.event == "run ended":
            run.ended_at, run.end = line.at, fields.get("kind", "")
        elif line.event in _REQUEUES and run.given_up is None:
            run.given_up = line
    return sorted(runs.values(), key=lambda run: (run.ordered_at, run.run))


def _end_restored(runs, line):
    """Applies that a later owner's records tell of no worker for a run."""
    for run in runs:
        if run.run == line.fields["run"] and run.given_up is None:
            run.given_up = line


def explain_runs(lines):
    """Returns a sentence on each pair of successive runs, and on those that overlap.

    Args:
        lines: As for ``collect_runs``.
    """
    runs = collect_runs(lines)
    findings = []
    for earlier, later in zip(runs, runs[1:], strict=False):
        findings.append(f"{earlier}: {_why_given_up(earlier, later)}")
        findings.append(
            f"{later}: ordered {later.ordered_at - earlier.ordered_at:.3f} s after it"
        )
    for number, earlier in enumerate(runs):
        findings += [
            text for later in runs[number + 1 :] if (text := _overlap(earlier, later))
        ]
    return findings


def _why_given_up(earlier, later):
    line = earlier.given_up
    if line is None:
        if earlier.token != later.token:
            return "the later owner gave it up without a line: did it know of it?"
        return "given up without a line"
    evidence = " ".join(
        f"{name}={line.fields[name]}"
        for name in _EVIDENCE
        if line.fields.get(name) is not None
    )
    return f"given up by {line.source or '?'}: {line.event} ({evidence})"


def _overlap(earlier, later):
    """Returns a sentence on two runs that must not both have been, or None."""
    if earlier.began_at is None or later.began_at is None:
        return None
    first, second = sorted((earlier, later), key=lambda run: run.began_at)
    if first.ended_at is None:
        return f"{second} began while {first} executed, whose end is not logged"
    if second.began_at < first.ended_at:
        overlap_s = min(first.ended_at, second.ended_at or first.ended_at)
        overlap_s -= second.began_at
        return f"{first} and {second} executed at once for {overlap_s:.3f} s"
    if first.end == "done":
        return f"{second} began after {first} was done"
    return None
