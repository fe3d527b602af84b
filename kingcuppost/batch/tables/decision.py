"""A decision on all waiting work: what is to be scheduled, and where it may run."""

from dataclasses import dataclass, field
from enum import IntEnum
from typing import NamedTuple

from kingcuppost.batch.tables.fleet import MinionRow
from kingcuppost.batch.tables.job import StepSpec, TaskName
from kingcuppost.batch.tables.overload import Rate
from kingcuppost.batch.tables.plan import Plan
from kingcuppost.batch.tables.resources import Resources
from kingcuppost.batch.tables.task import Task
from kingcuppost.batch.tables.waiting import WaitReason

__all__ = [
    "URGENT_PRIORITY",
    "Candidate",
    "DecisionOutcome",
    "DecisionRequest",
    "DecisionRound",
    "Demand",
    "FailedTry",
    "PlacementUnit",
    "Preemption",
    "Reservation",
    "TaskPlacements",
    "Timeliness",
    "Victim",
]

URGENT_PRIORITY = 0


class Timeliness(IntEnum):
    """What a job can still reach, best first.

    Attributes
    ----------
    IN_TIME
        It can end within its target.
    LATE
        It can end within a multiple of its target.
    TOO_LATE
        It ends later than that.
    """

    IN_TIME = 0
    LATE = 1
    TOO_LATE = 2


@dataclass(slots=True)
class Victim:
    """A run that may be preempted for a more urgent placement unit.

    Attributes
    ----------
    plan, task : Plan, Task
        The task that runs, and the plan of its job.
    rank : int
        Urgency of the job; 0 is the most urgent.
    resources : Resources
        Capacity that stopping the run releases.
    cost_core_s : float
        Work that stopping the run loses, in core-seconds.
    ends_soon : bool
        Whether the run is expected to end by itself soon.
    """

    plan: Plan
    task: Task
    rank: int
    resources: Resources
    cost_core_s: float
    ends_soon: bool = False


@dataclass(slots=True)
class Candidate:
    """A minion that may be given tasks, with its capacity during one decision.

    Attributes
    ----------
    minion : MinionRow
        The minion.
    free_after_stops : Resources
        Capacity that is free once the runs that are being stopped have ended.
    free_now : Resources
        Capacity that is free at once.
    free_soon : Resources or None
        Capacity that is free once the runs that end soon have ended; None until it is
        needed.
    rack_free_accelerators : list of int
        Free accelerators of the whole rack in a list of one element, which all
        candidates of the rack share.
    step_task_count : int
        Placed tasks of the step that is being placed.
    victims : list of Victim or None
        Runs that may be preempted, cheapest first; None until they are needed.
    is_slow : bool
        Whether the minion works much slower than most.
    may_depart : bool
        Whether the minion may be among the next that leave in a wave of departures.
    departure_rate : float
        Expected departures of this minion in one ms, while a rollout goes on.
    in_changing_service : bool
        Whether minions of its service have departed in this term.
    """

    minion: MinionRow
    free_after_stops: Resources
    free_now: Resources
    free_soon: Resources | None = None
    rack_free_accelerators: list[int] = field(default_factory=lambda: [0])
    step_task_count: int = 0
    victims: list[Victim] | None = None
    is_slow: bool = False
    may_depart: bool = False
    departure_rate: float = 0.0
    in_changing_service: bool = False


@dataclass(frozen=True, slots=True)
class Reservation:
    """Capacity of a candidate that is kept for one task during a decision.

    Attributes
    ----------
    free_now : Resources
        The part that other units could have used at once.
    """

    candidate: Candidate
    free_now: Resources


@dataclass(slots=True)
class PlacementUnit:
    """Tasks that are scheduled together: a gang, or waiting tasks of a step.

    Attributes
    ----------
    plan : Plan
        Plan of the job.
    step : int
        Index of the step in the job.
    spec : StepSpec
        Requirements of the step's tasks.
    tasks : list of Task
        Tasks without capacity so far; shrinks during the decision.
    rank : int
        0 for urgent work within its team's guarantee, else one more than the
        priority, so 1 for other urgent work.
    timeliness : Timeliness
        What the job can still reach if the tasks start now.
    target_end_ms : float
        Unix time by which the job should end, in ms.
    held : list of Reservation
        Capacity that is kept for its tasks until they are scheduled.
    awaits_rollout : bool
        Whether it was not placed since it would probably be lost in a rollout.
    """

    plan: Plan
    step: int
    spec: StepSpec
    tasks: list[Task]
    rank: int
    timeliness: Timeliness = Timeliness.IN_TIME
    target_end_ms: float = 0.0
    held: list[Reservation] = field(default_factory=list)
    awaits_rollout: bool = False

    @property
    def is_urgent(self) -> bool:
        """Return whether the unit prefers fast minions to nearly full ones."""
        return self.plan.job.policy.priority == URGENT_PRIORITY

    @property
    def may_preempt(self) -> bool:
        """Return whether the unit may preempt other runs.

        A job whose result is of no use any more may not, unless it is guaranteed.
        """
        is_of_use = self.timeliness is not Timeliness.TOO_LATE
        return self.is_urgent and (self.is_guaranteed or is_of_use)

    @property
    def is_guaranteed(self) -> bool:
        """Return whether the team's guarantee covers the unit."""
        return self.rank == 0

    @property
    def is_last_attempt(self) -> bool:
        """Return whether a task has failed and another failure would end the job."""
        return any(
            task.failures and task.failures + 1 >= self.plan.job.policy.most_failures
            for task in self.tasks
        )


@dataclass(frozen=True, slots=True)
class TaskPlacements:
    """Outcome of a decision: tasks of a unit are placed on minions.

    Attributes
    ----------
    unit : PlacementUnit
        The unit.
    tasks : list of Task
        The tasks.
    candidates : list of Candidate
        The minion of each task.
    """

    unit: PlacementUnit
    tasks: list[Task]
    candidates: list[Candidate]


@dataclass(frozen=True, slots=True)
class Preemption:
    """Outcome of a decision: a run is stopped to make room for a unit.

    Attributes
    ----------
    unit : PlacementUnit
        The unit.
    victim : Victim
        The run.
    stopped : list of Task
        Its task, with the other members if it belongs to a gang.
    """

    unit: PlacementUnit
    victim: Victim
    stopped: list[Task]


@dataclass(frozen=True, slots=True)
class DecisionRequest:
    """Outcome of a decision: another one is due at a time even if nothing changes.

    Attributes
    ----------
    at_ms : int
        The time.
    """

    at_ms: int


DecisionOutcome = TaskPlacements | Preemption | DecisionRequest


class Demand(NamedTuple):
    """All that the placement of a unit depends on, but for its tasks.

    Attributes
    ----------
    estimate_ms, corrected_estimate_ms : float
        Duration of a task by the caller's estimate, and as corrected by the step's
        runs.
    members : int
        Number of tasks of a gang; 0 for other steps.
    """

    rank: int
    may_preempt: bool
    priority: int
    service: str
    label: str
    rack: str
    cpu_millis: int
    memory_mb: int
    accelerators: int
    estimate_ms: float
    corrected_estimate_ms: float
    one_rack: bool
    members: int


@dataclass(frozen=True, slots=True)
class FailedTry:
    """Outcome of a unit that a decision has left waiting.

    Attributes
    ----------
    reason : WaitReason
        Why its tasks wait.
    fits_since_ms : int or None
        Time since which the free capacity would have held it; None if it does not.
    """

    reason: WaitReason
    fits_since_ms: int | None


@dataclass(slots=True)
class DecisionRound:
    """A decision on all waiting work, which may take several ticks.

    It places work on the capacity that was free when its candidates were listed. What
    is released later is for the next round, in which the first unit of the queue has
    the first choice again.

    Attributes
    ----------
    number : int
        Number of the round in the term.
    guaranteed_ids : set of str
        Urgent jobs that fit their team's guarantee.
    unlisted : list of Plan
        Plans whose units are not listed yet, the next one last.
    capacities : dict of str to Resources
        Capacity of all minions of a service, by service.
    rates : dict of str to Rate
        Work that a service does at a time, by service; only of those it was asked for.
    tried_ms : dict of tuple of int and str to float
        Work of units that were left waiting before plans were added, by rank and
        service, as the time for which the service works on it.
    units : list of PlacementUnit
        Units to schedule, in order once all plans are listed.
    next_index : int
        Index of the unit that is scheduled next.
    candidates : list of Candidate or None
        Minions that may be given tasks; None until the first unit is scheduled.
    suspects : list of MinionRow
        Minions under suspicion on which one run each may be tried.
    held_rank : int or None
        Rank for whose units capacity is held.
    failed_tries : dict of Demand to FailedTry
        Outcome of units that were left waiting, for others with the same demand.
    preempted : set of TaskName
        Tasks whose runs the round has chosen to stop.
    tick_count : int
        Number of ticks that the round has taken.
    """

    number: int
    guaranteed_ids: set[str]
    unlisted: list[Plan]
    capacities: dict[str, Resources] = field(default_factory=dict)
    rates: dict[str, Rate] = field(default_factory=dict)
    tried_ms: dict[tuple[int, str], float] = field(default_factory=dict)
    units: list[PlacementUnit] = field(default_factory=list)
    next_index: int = 0
    candidates: list[Candidate] | None = None
    suspects: list[MinionRow] = field(default_factory=list)
    held_rank: int | None = None
    failed_tries: dict[Demand, FailedTry] = field(default_factory=dict)
    preempted: set[TaskName] = field(default_factory=set)
    tick_count: int = 0
