"""Availability budgets: how many hosts of a pool may be out at once."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class BudgetLimit:
    """The tightest budget on a pool.

    Attributes:
        team: Team that declared it.
        max_out: Most hosts that may be out.
    """

    team: str
    max_out: int


def tightest_budget(state, pool):
    """Returns the tightest ``BudgetLimit`` on a pool, or None."""
    limits = [
        BudgetLimit(team, budget.max_out)
        for team, settings in sorted(state.tree.teams.items())
        for budget in settings.budgets
        if budget.pool == pool
    ]
    return min(limits, key=lambda limit: limit.max_out, default=None)


def hosts_out(state, pool):
    """Returns how many hosts of a pool are out of service."""
    return sum(1 for host in state.hosts_of(pool) if host.is_out)


def remaining_budget(state, pool):
    """Returns how many more hosts of a pool may go out; None for no limit."""
    limit = tightest_budget(state, pool)
    if limit is None:
        return None
    return limit.max_out - hosts_out(state, pool)
