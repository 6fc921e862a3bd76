"""Checks guarantees that must hold under any fault.

The checks use what callers were told and what workers ran.
"""

from collections import defaultdict

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
