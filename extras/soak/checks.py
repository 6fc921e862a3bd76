"""Checks guarantees that must hold under any fault.

The checks use what callers were told and what workers ran.
"""

from collections import defaultdict
from dataclasses import dataclass

NOTICE_S = 4.5  # a task that has not run for as long counts as interrupted
MAX_CRASHES = 5  # a task is not started three times more after three crashes


def find_violations(platform, outcomes):
    """Returns descriptions of violated guarantees.

    Args:
        platform: ``EntryPlatformStandIn`` with the starts and ends of all runs.
        outcomes: What callers were told, by job id: ``accepted``, ``refused``,
            ``unknown``, or ``crashing`` for an accepted job that crashes its workers.
    """
    violations = []
    starts, ends = defaultdict(list), {}
    for start in platform.run_starts:
        starts[start.task].append(start)
    for end in platform.run_ends:
        ends[end.task, end.run] = end
    for task, runs in starts.items():
        job_id = task.split(".")[0]
        if outcomes.get(job_id) == "refused":
            violations.append(f"{task} ran although its job was refused")
        lost = sum(
            ends[task, run.run].kind == "lost"
            for run in runs
            if (task, run.run) in ends
        )
        if outcomes.get(job_id) == "crashing" and lost > MAX_CRASHES:
            violations.append(f"{task} was lost with {lost} workers")
        violations += _check_runs(task, sorted(runs, key=lambda run: run.at), ends)
    return violations


def _check_runs(task, runs, ends):
    """Finds runs of a task that overlap or began after an earlier one was done."""
    violations = []
    for index, run in enumerate(runs):
        end = ends.get((task, run.run))
        for later in runs[index + 1 :]:
            if end is None or later.at < end.at:
                violations.append(f"{task}: runs {run.run} and {later.run} overlap")
            elif end.kind == "done":
                violations.append(
                    f"{task}: run {later.run} began after run {run.run} was done"
                )
    return violations


@dataclass(frozen=True)
class Service:
    """A long-running job of one step.

    Attributes:
        job_id: Id of the job.
        tasks: Number of its tasks.
        may_miss: Maximum number of tasks that orders may interrupt at a time.
    """

    job_id: str
    tasks: int
    may_miss: int


def find_interruptions(platform, service):
    """Returns descriptions of orders that interrupted too many tasks of a service.

    The other tasks are counted at the moment at which an order ends a run.

    Args:
        platform: ``EntryPlatformStandIn``.
        service: ``Service``; its job was not cancelled.
    """
    names = [f"{service.job_id}.0.0.{index}" for index in range(service.tasks)]
    runs = {name: [] for name in names}
    ends = {(end.task, end.run): end for end in platform.run_ends}
    for start in platform.run_starts:
        if start.task in runs:
            runs[start.task].append((start.at, ends.get((start.task, start.run))))
    violations = []
    for end in platform.run_ends:
        if end.task not in runs or end.kind not in ("stopped", "maintenance"):
            continue
        interrupted = [
            name
            for name in names
            if name != end.task and _is_interrupted(runs[name], end.at)
        ]
        if len(interrupted) >= service.may_miss:
            violations.append(
                f"{end.task} run {end.run} was ended ({end.kind}) while {interrupted}"
                " were interrupted"
            )
    return violations


def _is_interrupted(runs, at):
    """Returns whether a task, with starts and ends of its runs, is interrupted."""
    begun = [(started_at, end) for started_at, end in runs if started_at < at]
    if any(end is None or end.at > at for _, end in begun):
        return False
    if not begun:
        return False
    last = max((end for _, end in begun), key=lambda end: end.at)
    return last.kind in ("stopped", "maintenance") or at - last.at >= NOTICE_S
