"""Selects the workers to ask the placement policy about, and keeps its tickets.

Load pattern: the policy service answers one call of a daemon at a time, so a call about
many workers for one step delays all other steps. Calls go out for the most urgent step
first, and name only a few workers, those with the most free CPU.
"""

from dataclasses import dataclass

WORKERS_PER_CALL = 30  # the objective leaves time for one call on 30 workers per step
TICKET_RENEW_S = 0.5  # a ticket about to expire would be rejected on arrival


@dataclass(frozen=True, slots=True)
class Ticket:
    """The policy's permission to run a step on a worker.

    Attributes:
        text: Opaque text to send with the start order.
        valid_until: Boot time until which the ticket is valid.
    """

    text: str
    valid_until: float


def valid_ticket(step, worker_id, now):
    """Returns a step's ticket for a worker, or None if there is no valid one."""
    ticket = step.tickets.get(worker_id)
    return (
        ticket
        if ticket is not None and ticket.valid_until - TICKET_RENEW_S > now
        else None
    )


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
        and worker.has_capacity_for(step.spec)
        for worker in workers
    )
    if ready >= waiting:
        return []
    unknown = [
        worker
        for worker in workers
        if worker.worker_id not in step.denied_workers
        and valid_ticket(step, worker.worker_id, now) is None
    ]
    unknown.sort(key=lambda worker: -worker.free_cpu)
    return [worker.worker_id for worker in unknown[:WORKERS_PER_CALL]]
