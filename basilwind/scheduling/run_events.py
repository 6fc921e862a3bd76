"""What log lines tell about runs: which ones, and what was decided from how old facts.

A line carries several runs as rows of ``runs``; ``RUN_COLUMNS`` names their columns.
"""

import enum

MAX_ROWS = 200  # runs in one line, so that no line is longer than about 20 KB

_IDENTITY = ("task", "run", "worker", "token", "state")
_REQUEUE_COLUMNS = (
    *_IDENTITY,
    "ordered_age_s",
    "confirmed_age_s",
    "stop_answered_age_s",
)


class RequeueReason(enum.Enum):
    """Why a task waits for a worker again; the value is the event of the log line."""

    # The worker reported the end of the run.
    FAILED = "run failed"
    STOPPED = "run stopped"
    ENDED_EARLY = "run ended early"
    # A report lacks the run.
    MISSING = "run missing"
    LEASE_EXPIRED = "lease lapsed"
    # The worker was taken for gone.
    WORKER_REMOVED = "worker removed"
    # The worker of a restored run did not register again.
    WORKER_UNREGISTERED = "worker not registered"
    # The order was answered with a refusal, or was not sent.
    START_REJECTED = "start rejected"


RUN_COLUMNS = {
    "step placed": ("index", "run", "worker"),
    "runs ordered": (
        "index",
        "run",
        "worker",
        "lease_end_s",
        "report_age_s",
        "answer_age_s",
    ),
    "starts not recorded": ("task", "run", "worker"),
    "runs restored": _IDENTITY,
    "runs lost": ("task", "run", "age_s"),
} | dict.fromkeys((reason.value for reason in RequeueReason), _REQUEUE_COLUMNS)


def age_s(at, now):
    """Returns the age of an event that happened at ``at`` in seconds, or None."""
    return None if at is None else round(now - at, 3)


def identity_row(task):
    """Returns the row of a restored run."""
    return [task.name, task.run, task.worker_id, task.token, task.state.value]


def requeue_row(task, now):
    """Returns the row of a run that is given up."""
    return [
        *identity_row(task),
        age_s(task.ordered_at, now),
        age_s(task.confirmed_at, now),
        age_s(task.stop_answered_at, now),
    ]


def order_row(order, lease_end_s, now):
    """Returns the row of a start order that is sent.

    Args:
        order: ``StartOrder``.
        lease_end_s: End of the granted lease on the worker's clock, seconds.
        now: Boot time in seconds.
    """
    worker = order.worker
    return [
        order.task.index,
        order.run,
        worker.worker_id,
        round(lease_end_s, 3),
        age_s(worker.report_asked_at, now),
        age_s(worker.answered_at, now),
    ]


def worker_evidence(worker, now):
    """Returns fields that tell how much is known of a worker, and how old that is."""
    return {
        "incarnation": worker.incarnation_started_ms,
        "report_age_s": age_s(worker.report_asked_at, now),
        "answer_age_s": age_s(worker.answered_at, now),
        "unanswered_s": age_s(worker.unanswered_since, now),
        **worker.lease_evidence(now),
    }
