"""Availability budgets: how many hosts of a pool may be out of service at once."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class BudgetLimit:
    """The tightest availability budget of a pool.

    Attributes:
        team: Team that declared the budget.
        max_out: Largest number of hosts that may be out of service at once.
    """

    team: str
    max_out: int


def tightest_budget(state, pool):
    """Returns the tightest ``BudgetLimit`` of a pool, or None if it has none."""
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
    """Returns how many more hosts of a pool may go out of service.

    Returns:
        A number, negative if more hosts are out than the budget allows; None if the
        pool has no budget.
    """
    limit = tightest_budget(state, pool)
    if limit is None:
        return None
    return limit.max_out - hosts_out(state, pool)
