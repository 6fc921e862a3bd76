"""Checks outcomes against the ledgers of stand-in workers."""

from dataclasses import dataclass, field

import anyio
import httpcore
import msgspec

from basilwind.load.runner import NO_ANSWER
from basilwind.models import OutcomeKind
from basilwind.standin.worker import WorkerLedger

MAX_EXAMPLES = 20


@dataclass
class VerificationResult:
    """What the ledgers say of a load.

    Attributes:
        runs: Runs that belong to the load.
        interrupted: Runs that were stopped before their end.
        most_running: Most tasks at once on a worker, by worker.
        violations: Broken rules, a line each.
    """

    runs: int = 0
    interrupted: int = 0
    most_running: dict[str, int] = field(default_factory=dict)
    violations: list[str] = field(default_factory=list)

    @property
    def is_consistent(self):
        """Whether no rule is broken."""
        return not self.violations


async def fetch_ledgers(addresses):
    """Returns the ``WorkerLedger`` of each stand-in worker that answers."""
    ledgers = []
    async with httpcore.AsyncConnectionPool() as pool:
        async with anyio.create_task_group() as tasks:
            for address in addresses:
                tasks.start_soon(_fetch, pool, address, ledgers)
    return ledgers


async def _fetch(pool, address, ledgers):
    response = await pool.request("GET", f"http://{address}/standin/ledger")
    ledgers.append(msgspec.json.decode(response.content, type=WorkerLedger))


def verify_outcomes(result, ledgers):
    """Checks each outcome against the runs of its work.

    Args:
        result: ``LoadResult``.
        ledgers: ``WorkerLedger`` of every worker.

    Returns:
        The ``VerificationResult``.
    """
    verdict = VerificationResult()
    runs = {}
    for ledger in ledgers:
        verdict.most_running[ledger.worker] = ledger.most_running
        for run in ledger.runs:
            runs.setdefault(run.tag, []).append(run)
    for sent in result.sent:
        found = runs.get(sent.tag, [])
        verdict.runs += len(found)
        verdict.interrupted += sum(run.is_cut for run in found)
        problem = _problem(sent, len(found))
        if problem and len(verdict.violations) < MAX_EXAMPLES:
            verdict.violations.append(f"{sent.tag} ({sent.kind.name}): {problem}")
    return verdict


def _problem(sent, runs):
    if sent.kind.once and runs > 1:
        return f"not idempotent, but ran {runs} times"
    if sent.outcome == OutcomeKind.REFUSED.value and runs:
        return f"refused as not run ({sent.reason}), but ran {runs} times"
    if sent.outcome == OutcomeKind.DONE.value and not runs:
        return "done, but never ran"
    if sent.is_accepted and sent.outcome == NO_ANSWER:
        return "accepted as a job, but not finished in time"
    return ""
