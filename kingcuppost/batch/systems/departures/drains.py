"""Whether work at a draining minion is stopped at once or may go on until it leaves.

Designed for loads in which most work is gangs over many minions, so that one that
leaves ends the work of all. The members of a gang are decided on together: it ends when
its slowest member has ended, and must leave before the first of its minions.

Work that ends in time goes on. Other work goes on only if it may still end, as a minion
may leave later than announced and estimates are rough, and if that chance is worth the
time that is lost when it does not. That is decided in the first second of a drain: as
the time left runs out, a stop saves less and less. Work that saves checkpoints loses
little by a stop, so it is stopped at any time if it is not expected to end in time.
"""

from kingcuppost.batch.systems.speeds import expected_remaining_ms
from kingcuppost.batch.tables.departures import DrainCosts
from kingcuppost.batch.tables.fleet import MinionRow
from kingcuppost.batch.tables.job import TaskPhase
from kingcuppost.batch.tables.plan import Plan
from kingcuppost.batch.tables.task import Task
from kingcuppost.batch.tables.waiting import StepName
from kingcuppost.batch.tables.world import BatchWorld

__all__ = ["DrainDecisions", "is_stop_better"]

DECISION_WINDOW_MS = 1_000  # from the begin of a drain; progress may be reported late
CHECK_PERIOD_MS = 500  # between two passes
EVEN_CHANCE = 0.5  # that work ends in time which needs exactly the time that is left
MAX_EXCESS_RATIO = 0.5  # of the time left, beyond which work has no chance to end
MAX_EXCESS_MS = 1_000  # added to that


def is_stop_better(costs: DrainCosts) -> bool:
    """Return whether stopping work at once is expected to lose less than going on.

    Examples
    --------
    >>> is_stop_better(DrainCosts(lost_ms=8_000, expected_ms=2_000, left_ms=4_000))
    False
    >>> is_stop_better(DrainCosts(lost_ms=8_000, expected_ms=9_000, left_ms=4_000))
    True
    """
    excess_ms = costs.expected_ms - costs.left_ms
    if excess_ms <= 0:
        return False
    limit_ms = MAX_EXCESS_RATIO * costs.left_ms + MAX_EXCESS_MS
    chance = EVEN_CHANCE * max(1 - excess_ms / limit_ms, 0.0)
    return chance * costs.lost_ms <= (1 - chance) * costs.left_ms


class DrainDecisions:
    """Decisions of one pass over all runs; one for each gang.

    Parameters
    ----------
    now_ms : int
        Time of the pass.
    """

    def __init__(self, world: BatchWorld, now_ms: int) -> None:
        self._world = world
        self._now_ms = now_ms
        self._gangs_to_stop: dict[StepName, bool] = {}

    def should_stop(self, minion: MinionRow, plan: Plan, task: Task) -> bool:
        """Return whether a run at a draining minion is stopped, with its gang."""
        if not self._is_due(minion, plan, task):
            return False
        if not plan.job.steps[task.name.step].gang:
            return self._decide(plan, [(minion, task)])
        name = StepName(plan.job.id, task.name.step)
        if name not in self._gangs_to_stop:
            members = self._placed_members(plan, task.name.step)
            self._gangs_to_stop[name] = self._decide(plan, members)
        return self._gangs_to_stop[name]

    def _is_due(self, minion: MinionRow, plan: Plan, task: Task) -> bool:
        """Return whether the work of a run at a draining minion is decided on now."""
        is_new = self._now_ms - minion.drain_since_ms < DECISION_WINDOW_MS
        return is_new or plan.job.steps[task.name.step].saves

    def _placed_members(self, plan: Plan, step: int) -> list[tuple[MinionRow, Task]]:
        minions = self._world.schedule.minions
        return [
            (minion, member)
            for member in plan.tasks[step]
            if member.phase is TaskPhase.PLACED
            for minion in minions.find("incarnation", member.incarnation)
        ]

    def _decide(self, plan: Plan, runs: list[tuple[MinionRow, Task]]) -> bool:
        costs = self._estimate_costs(plan, runs)
        if plan.job.steps[runs[0][1].name.step].saves:
            is_stopped = costs.expected_ms > costs.left_ms
        else:
            is_stopped = is_stop_better(costs)
        if is_stopped or self._is_first_pass(runs):
            self._note(runs, costs, is_stopped)
        return is_stopped

    def _is_first_pass(self, runs: list[tuple[MinionRow, Task]]) -> bool:
        """Return whether one of the minions began to drain since the last pass."""
        begun_ms = max(minion.drain_since_ms for minion, _ in runs if minion.draining)
        return self._now_ms - begun_ms < CHECK_PERIOD_MS

    def _note(
        self, runs: list[tuple[MinionRow, Task]], costs: DrainCosts, is_stopped: bool
    ) -> None:
        """Count a decision and log it with its inputs."""
        self._world.tally.add("drained_runs", "stopped" if is_stopped else "kept")
        self._world.note(
            "run",
            "Decided whether to stop a run at a draining minion.",
            task=str(runs[0][1].name),
            members=len(runs),
            is_stopped=is_stopped,
            left_ms=costs.left_ms,
            expected_ms=round(costs.expected_ms),
            lost_ms=round(costs.lost_ms),
        )

    def _estimate_costs(
        self, plan: Plan, runs: list[tuple[MinionRow, Task]]
    ) -> DrainCosts:
        wall_ms = self._world.clock.wall_ms()
        lost_ms = max(wall_ms - task.placed_ms for _, task in runs)
        if plan.job.steps[runs[0][1].name.step].saves:
            lost_ms = min(lost_ms, self._world.cfg.bounds.restore_ms)
        expected_ms = max(
            expected_remaining_ms(minion, plan, task) for minion, task in runs
        )
        left_ms = min(
            minion.drain_end_ms - self._now_ms for minion, _ in runs if minion.draining
        )
        return DrainCosts(max(lost_ms, 0), expected_ms, max(left_ms, 0))
