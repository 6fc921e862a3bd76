"""Writes what workers ran as log lines, for ``basilwind explain``."""

import json
import math
import time


def write_worker_log(platform, file):
    """Writes a line for each start and end of a run on the stand-in's workers.

    Args:
        platform: ``EntryPlatformStandIn``.
        file: ``Path`` to write to.
    """
    workers = {}
    for start in platform.run_starts:
        workers.setdefault((start.task, start.run), set()).add(start.worker_id)
    entries = [
        (start.at, "run began", start.task, start.run, {"worker": start.worker_id})
        for start in platform.run_starts
    ]
    for end in platform.run_ends:
        on = workers.get((end.task, end.run), set())
        # If the same run was on several workers, it is open which of them ended it.
        fields = {"worker": next(iter(on))} if len(on) == 1 else {}
        fields["kind"] = end.kind
        entries.append((end.at, "run ended", end.task, end.run, fields))
    _write(entries, file)


def write_run_log(runs, file):
    """Writes a line for each start and end of a run.

    Args:
        runs: ``Run`` objects of ``extras.soak.overlaps``.
        file: ``Path`` to write to.
    """
    entries = []
    for run in runs:
        name = (run.task, run.run)
        begun = {"worker": run.worker, "token": run.token}
        entries.append((run.started_at, "run began", *name, begun))
        if run.ended_at < math.inf:
            ended = {"worker": run.worker, "kind": run.how}
            entries.append((run.ended_at, "run ended", *name, ended))
    _write(entries, file)


def _write(entries, file):
    """Writes entries of monotonic time, event, task, run and further fields."""
    offset_s = time.time() - time.monotonic()
    lines = [
        {"timestamp": at + offset_s, "message_type": event, "task": task, "run": run}
        | fields
        for at, event, task, run, fields in sorted(entries, key=lambda entry: entry[0])
    ]
    file.write_text("".join(f"{json.dumps(line)}\n" for line in lines))
