"""Retry budget that limits a team's retries at an entry."""

from kingcuppost.settings import effective_value, team_path
from kingcuppost.tables.request import Request, RetryBudget
from kingcuppost.tables.world import World

__all__ = ["add_retry_share", "spend_retry"]


def add_retry_share(world: World, team: str) -> None:
    """Add the share of a retry that one request earns to its team's budget.

    The first request of a team creates a full budget.
    """
    burst = effective_value(world.agreed, "request.retry_burst", team_path(team))
    share = effective_value(world.agreed, "request.retry_share", team_path(team))
    budget = world.retry_budgets.get(team)
    if budget is None:
        world.retry_budgets.put(RetryBudget(team, burst))
        return
    world.retry_budgets.update(team, tokens=min(budget.tokens + share, burst))


def spend_retry(world: World, request: Request) -> bool:
    """Spend a retry on an idempotent request; return whether one was available."""
    if request.key:
        return False
    path = team_path(request.team, request.urgency)
    if request.attempts >= effective_value(world.agreed, "request.attempts", path):
        return False
    budget = world.retry_budgets.get(request.team)
    if budget is None or budget.tokens < 1:
        return False
    world.retry_budgets.update(request.team, tokens=budget.tokens - 1)
    return True
