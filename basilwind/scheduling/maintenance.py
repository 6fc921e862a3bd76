"""Selects the hosts of a maintenance wave to take down next.

Load pattern: a wave demands about half of the hosts within half a minute, while bursts
of demand continue. Hosts without tasks go first, then those with the fewest; their
long-running tasks are moved away before. Hosts of pools that lack capacity wait for as
long as the deadline allows.
"""

import math
from dataclasses import dataclass

DEADLINE_SHARE = 0.75  # of the deadline, after which demand is ignored
TURNAROUND_S = 2.0  # time to empty a host and to notice that it is back


@dataclass(frozen=True, slots=True)
class MaintenanceCandidate:
    """A host that a wave still has to take down.

    Attributes:
        host: Name of the host.
        worker_id: Id of its worker; empty for a host that is off.
        pool: Its pool.
        tasks: Number of tasks that run or may run on its worker.
        long_running: Number of those tasks that are long-running.
        is_pool_short: Whether its pool would lack hosts without it.
        is_answering: Whether its worker answers; True for a host that is off. Nobody
            can tell what runs on one that does not, nor empty it.
    """

    host: str
    worker_id: str
    pool: str
    tasks: int
    long_running: int
    is_pool_short: bool
    is_answering: bool = True


def max_hosts_down(
    at_once, remaining, elapsed_s, deadline_s, maintenance_s, is_fleet_busy
):
    """Returns how many hosts of a wave may be down at the same time now.

    Args:
        at_once: Maximum number of hosts that the operator allows.
        remaining: Number of hosts that are still to go down.
        elapsed_s: Time since the wave was announced, seconds.
        deadline_s: Time from its announcement by which the wave must be done, seconds.
        maintenance_s: Duration of the maintenance of one host, seconds.
        is_fleet_busy: Whether the next burst may need every host; the wave then takes
            down only as many as it must to meet its deadline.
    """
    if not is_fleet_busy:
        return at_once
    time_left_s = DEADLINE_SHARE * deadline_s - elapsed_s
    if time_left_s <= 0:
        return at_once
    return min(
        at_once,
        max(1, math.ceil(remaining * (maintenance_s + TURNAROUND_S) / time_left_s)),
    )


def choose_hosts(candidates, max_count, elapsed_s, deadline_s, already_chosen):
    """Returns the hosts to empty and take down now.

    Args:
        candidates: ``MaintenanceCandidate`` objects.
        max_count: How many more hosts may be down or being emptied.
        elapsed_s: Time since the wave was announced, seconds.
        deadline_s: Time from its announcement by which the wave must be done, seconds.
        already_chosen: Names of hosts that are being emptied; they are preferred.

    Returns:
        List of ``MaintenanceCandidate``, at most ``max_count``.
    """
    is_deadline_near = elapsed_s > DEADLINE_SHARE * deadline_s
    ranked = sorted(
        (
            candidate
            for candidate in candidates
            if candidate.is_answering
            and (
                candidate.host in already_chosen
                or is_deadline_near
                or not candidate.is_pool_short
            )
        ),
        key=lambda candidate: (
            candidate.host not in already_chosen,
            bool(candidate.worker_id),
            candidate.long_running,
            candidate.tasks,
            candidate.host,
        ),
    )
    return ranked[: max(0, max_count)]
