"""Which workers to ask the placement policy about.

Load pattern: the policy's service answers one call of a daemon at a time, so a
wide question for one step holds up all others. The most urgent step is asked
about first, with few workers, those with the most room.
"""

from dataclasses import dataclass

WORKERS_PER_CALL = 30  # the objective allows for one call on 30 workers a step
RENEW_S = 0.5  # tickets about to lapse would be refused on arrival


@dataclass(frozen=True, slots=True)
class Ticket:
    """A worker's permission to run a step.

    Attributes:
        text: What the start order carries.
        until: End of its validity; boot time.
    """

    text: str
    until: float


def valid_ticket(step, worker_id, now):
    """Returns a step's ticket for a worker, or None."""
    ticket = step.tickets.get(worker_id)
    return ticket if ticket is not None and ticket.until - RENEW_S > now else None


def workers_to_ask(step, workers, now):
    """Returns the ids of workers to ask about for a step.

    Args:
        step: ``StepRun`` of a queue with a policy.
        workers: Usable ``WorkerView`` objects.
        now: Boot time in seconds.
    """
    waiting = len(step.waiting())
    ready = sum(
        valid_ticket(step, worker.worker_id, now) is not None
        and worker.has_room(step.spec)
        for worker in workers
    )
    if ready >= waiting:
        return []
    unknown = [
        worker
        for worker in workers
        if worker.worker_id not in step.denied
        and valid_ticket(step, worker.worker_id, now) is None
    ]
    unknown.sort(key=lambda worker: -worker.free_cpu)
    return [worker.worker_id for worker in unknown[:WORKERS_PER_CALL]]
