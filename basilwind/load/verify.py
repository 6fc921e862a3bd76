"""Verifies outcomes against the ledgers of stand-in workers."""

from dataclasses import dataclass, field

import anyio
import httpcore
import msgspec

from basilwind.load.runner import NO_ANSWER
from basilwind.models import OutcomeKind
from basilwind.standin.worker import WorkerLedger

MAX_VIOLATIONS = 20


@dataclass
class VerificationResult:
    """Result of comparing outcomes with the workers' ledgers.

    Attributes:
        runs: Number of runs that belong to the load.
        interrupted: Number of runs that were stopped before they ended.
        most_running: Highest number of concurrent tasks, by worker.
        violations: Descriptions of outcomes that contradict the ledgers.
    """

    runs: int = 0
    interrupted: int = 0
    most_running: dict[str, int] = field(default_factory=dict)
    violations: list[str] = field(default_factory=list)

    @property
    def is_consistent(self):
        """Whether no violation was found."""
        return not self.violations


async def fetch_ledgers(addresses):
    """Returns the ``WorkerLedger`` of each stand-in worker.

    Args:
        addresses: HOST:PORT of each worker.
    """
    ledgers = []
    async with httpcore.AsyncConnectionPool() as pool:
        async with anyio.create_task_group() as tasks:
            for address in addresses:
                tasks.start_soon(_fetch_ledger, pool, address, ledgers)
    return ledgers


async def _fetch_ledger(pool, address, ledgers):
    response = await pool.request("GET", f"http://{address}/standin/ledger")
    ledgers.append(msgspec.json.decode(response.content, type=WorkerLedger))


def verify_outcomes(result, ledgers):
    """Checks each outcome against the runs that the ledgers show for it.

    Args:
        result: ``LoadResult``.
        ledgers: ``WorkerLedger`` of every worker.

    Returns:
        The ``VerificationResult``.
    """
    verification = VerificationResult()
    runs = {}
    for ledger in ledgers:
        verification.most_running[ledger.worker] = ledger.most_running
        for run in ledger.runs:
            runs.setdefault(run.tag, []).append(run)
    for sent in result.sent:
        matching_runs = runs.get(sent.tag, [])
        verification.runs += len(matching_runs)
        verification.interrupted += sum(run.is_cut for run in matching_runs)
        violation = _find_violation(sent, len(matching_runs))
        if violation and len(verification.violations) < MAX_VIOLATIONS:
            verification.violations.append(
                f"{sent.tag} ({sent.kind.name}): {violation}"
            )
    return verification


def _find_violation(sent, runs):
    if sent.kind.once and runs > 1:
        return f"not idempotent, but ran {runs} times"
    if sent.outcome == OutcomeKind.REFUSED.value and runs:
        return f"refused as not run ({sent.reason}), but ran {runs} times"
    if sent.outcome == OutcomeKind.DONE.value and not runs:
        return "done, but never ran"
    if sent.is_accepted and sent.outcome == NO_ANSWER:
        return "accepted as a job, but not finished in time"
    return ""
