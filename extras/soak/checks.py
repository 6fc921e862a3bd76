"""What must hold whatever fails, from what callers and workers have seen."""

from collections import defaultdict

LASTS = "lasting"


def find_broken(platform, outcomes):
    """Returns broken promises, in words.

    Args:
        platform: ``EntryPlatformStandIn`` with its ledgers of starts and ends.
        outcomes: What callers were told, by job id: ``accepted``, ``refused``,
            ``unknown``.
    """
    broken = []
    starts, ends = defaultdict(list), {}
    for start in platform.run_starts:
        starts[start.task].append(start)
    for end in platform.run_ends:
        ends[end.task, end.run] = end
    for task, runs in starts.items():
        job_id = task.split(".")[0]
        if outcomes.get(job_id) == "refused":
            broken.append(f"{task} ran though its job was refused")
        broken += _find_overlaps(task, sorted(runs, key=lambda run: run.at), ends)
    return broken


def _find_overlaps(task, runs, ends):
    broken = []
    for number, run in enumerate(runs):
        end = ends.get((task, run.run))
        for later in runs[number + 1 :]:
            if end is None or later.at < end.at:
                broken.append(f"{task}: runs {run.run} and {later.run} overlap")
            elif end.kind == "done":
                broken.append(f"{task}: run {later.run} began after {run.run} was done")
    return broken
