"""Which machines of a wave go down next.

Load pattern: a wave asks for about half of the machines within half a minute,
while turns of demand go on. Machines that run nothing go first, then those that
run the least; lasting tasks are moved away beforehand; machines of pools with
waiting work wait as long as the time that is left allows.
"""

import math
from dataclasses import dataclass

MARGIN = 0.75  # share of the time given after which demand no longer matters
CYCLE_S = 2.0  # time to empty a machine and to notice that it is back


@dataclass(frozen=True, slots=True)
class MaintenanceCandidate:
    """A machine that a wave still has to take down.

    Attributes:
        host: Name of the host.
        worker_id: Its worker; empty for a machine that is off.
        pool: Its pool.
        tasks: Tasks that its worker has or may have.
        long_running: How many of these last.
        is_pool_short: Whether its pool needs more machines than it has.
    """

    host: str
    worker_id: str
    pool: str
    tasks: int
    long_running: int
    is_pool_short: bool


def max_hosts_down(at_once, left, elapsed_s, deadline_s, upkeep_s, is_fleet_busy):
    """Returns how many machines of a wave may be down now.

    Args:
        at_once: Most machines that the operator allows.
        left: Machines that are still to go down.
        elapsed_s: Time since the wave was announced.
        deadline_s: Time given for it.
        upkeep_s: Duration of one upkeep.
        is_fleet_busy: Whether the next turn may need every machine; the wave then
            takes only the pace that it needs to be in time.
    """
    if not is_fleet_busy:
        return at_once
    time_left_s = MARGIN * deadline_s - elapsed_s
    if time_left_s <= 0:
        return at_once
    return min(at_once, max(1, math.ceil(left * (upkeep_s + CYCLE_S) / time_left_s)))


def choose_hosts(candidates, free_places, elapsed_s, deadline_s, chosen):
    """Returns the machines to empty and take down now.

    Args:
        candidates: ``MaintenanceCandidate`` objects.
        free_places: How many more may be down or on their way at once.
        elapsed_s: Time since the wave was announced.
        deadline_s: Time given for it.
        chosen: Machines that are being emptied already; they stay chosen.

    Returns:
        List of ``MaintenanceCandidate``, at most ``free_places``.
    """
    is_late = elapsed_s > MARGIN * deadline_s
    ranked = sorted(
        (
            candidate
            for candidate in candidates
            if candidate.host in chosen or is_late or not candidate.is_pool_short
        ),
        key=lambda candidate: (
            candidate.host not in chosen,
            bool(candidate.worker_id),
            candidate.long_running,
            candidate.tasks,
            candidate.host,
        ),
    )
    return ranked[: max(0, free_places)]
