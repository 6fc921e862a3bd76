"""Which workers get no new tasks since they seem out of reach.

Load pattern: a zone is cut off at the height of a burst. A hold that is under way tells
only after 2.2 s that its worker is silent. Each task that is placed on a silent worker
is lost until its lease expires, which takes longer than its job has. An order to start
is answered within milliseconds, so one that is not tells much sooner, and so do the
other workers of the zone.
"""

from collections import Counter

START_PATIENCE_S = 0.4  # a start over a slow link to a slow worker takes 0.2 s
ZONE_SILENCE_S = 0.6  # in a burst, a zone's workers answer several times a second
MIN_SILENT_WORKERS = 2  # a single silent worker says nothing about its zone


def _is_silent(worker, now):
    if worker.unanswered_since is not None:
        return True
    if now - min(worker.pending_starts.values(), default=now) > START_PATIENCE_S:
        return True
    lost_start = worker.unanswered_start_sent_at
    return lost_start is not None and (worker.answered_at or 0.0) < lost_start


def _silent_zones(silent, workers, now):
    """Returns the zones with silent workers of which no worker answered lately."""
    counts = Counter(worker.entry.zone for worker in silent)
    answering = {
        worker.entry.zone
        for worker in workers
        if worker.answered_at is not None and now - worker.answered_at < ZONE_SILENCE_S
    }
    return {
        zone for zone, count in counts.items() if count >= MIN_SILENT_WORKERS
    } - answering


def reachable_workers(candidates, workers, now):
    """Returns the workers that do not seem out of reach.

    Args:
        candidates: ``WorkerView`` objects that may get tasks otherwise.
        workers: All ``WorkerView`` objects of the pool.
        now: Boot time in seconds.

    Returns:
        List of ``WorkerView``; all candidates if none seems in reach, as it is then
        this daemon that lags.
    """
    silent = [worker for worker in workers if _is_silent(worker, now)]
    if not silent:
        return candidates
    zones = _silent_zones(silent, workers, now)
    silent_ids = {worker.worker_id for worker in silent}
    reachable = [
        worker
        for worker in candidates
        if worker.worker_id not in silent_ids and worker.entry.zone not in zones
    ]
    return reachable or candidates
