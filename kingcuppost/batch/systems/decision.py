"""A tick of a decision, and the outcomes that it applies or only records.

Functions that choose minions and runs change only the candidates and the rows of the
round. What follows from their choice is an outcome, which `carry_out` applies to the
tables, so that a decision can also be run to see what it would do.
"""

from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

from kingcuppost.batch.tables.decision import (
    DecisionOutcome,
    DecisionRequest,
    DecisionRound,
)
from kingcuppost.batch.tables.world import BatchWorld
from kingcuppost.utils.registry import Registry

__all__ = [
    "Decision",
    "carry_out",
    "decide_again",
    "outcome_appliers",
    "request_decision",
]

OutcomeApplier = Callable[[BatchWorld, Any], None]
outcome_appliers: Registry[type, OutcomeApplier] = Registry("applier of outcome")


@dataclass(frozen=True, slots=True)
class Decision:
    """A tick of a decision on all waiting units, and what it assesses all runs by.

    Attributes
    ----------
    world : BatchWorld
        Tables of the process.
    now_ms, wall_ms : int
        Time of the tick by the monotonic clock, and as Unix time in ms.
    round : DecisionRound
        What the decision has done so far.
    recorded : list of DecisionOutcome or None
        Outcomes of a decision that is only to be explained; None if they are applied.
    """

    world: BatchWorld
    now_ms: int
    wall_ms: int
    round: DecisionRound
    recorded: list[DecisionOutcome] | None = None

    @property
    def guaranteed_ids(self) -> set[str]:
        """Return the urgent jobs that fit their team's guarantee."""
        return self.round.guaranteed_ids


def request_decision(world: BatchWorld, at_ms: int) -> None:
    """Schedule another decision at `at_ms`, even if nothing changes until then."""
    schedule = world.schedule
    schedule.decide_at_ms = min(schedule.decide_at_ms, at_ms)
    world.deadlines.add(at_ms)


def carry_out(decision: Decision, outcome: DecisionOutcome) -> None:
    """Apply an outcome to the tables, or only record it."""
    if decision.recorded is None:
        outcome_appliers[type(outcome)](decision.world, outcome)
    else:
        decision.recorded.append(outcome)


def decide_again(decision: Decision, at_ms: int) -> None:
    """Have another decision made at `at_ms`, even if nothing changes until then."""
    carry_out(decision, DecisionRequest(at_ms))


@outcome_appliers.register(DecisionRequest)
def apply_request(world: BatchWorld, outcome: DecisionRequest) -> None:
    """Schedule another decision."""
    request_decision(world, outcome.at_ms)
