"""Whether work at a draining minion is stopped at once or may go on until it leaves.

Designed for loads in which most work is gangs over many minions, so that one that
leaves ends the work of all. The members of a gang are decided on together: it ends when
its slowest member has ended, and must leave before the first of its minions.

Work that ends in time goes on. Other work goes on only if it may still end, as a minion
may leave later than announced and estimates are rough, and if that chance is worth the
time that is lost when it does not. That is decided once, when the drain begins: as the
time left runs out, a stop saves less and less. Work that saves checkpoints loses little
by a stop, so it is stopped whenever it is not expected to end in time.
"""

from kingcuppost.batch.systems.speeds import expected_remaining_ms
from kingcuppost.batch.tables.departures import DrainStake
from kingcuppost.batch.tables.fleet import MinionRow
from kingcuppost.batch.tables.job import TaskPhase
from kingcuppost.batch.tables.plan import Plan
from kingcuppost.batch.tables.task import Task
from kingcuppost.batch.tables.waiting import StepName
from kingcuppost.batch.tables.world import BatchWorld

__all__ = ["DrainDecisions", "is_stop_better"]

DECISION_MS = 1_000  # from the begin of a drain; reports of progress may come late
EVEN_CHANCE = 0.5  # that work ends in time which needs exactly the time that is left
MAX_EXCESS_RATIO = 0.5  # of the time left, beyond which work has no chance to end
MAX_EXCESS_MS = 1_000  # added to that


def is_stop_better(stake: DrainStake) -> bool:
    """Return whether stopping work at once loses less than going on in hope.

    Examples
    --------
    >>> is_stop_better(DrainStake(lost_ms=8_000, expected_ms=2_000, left_ms=4_000))
    False
    >>> is_stop_better(DrainStake(lost_ms=8_000, expected_ms=9_000, left_ms=4_000))
    True
    """
    excess_ms = stake.expected_ms - stake.left_ms
    if excess_ms <= 0:
        return False
    limit_ms = MAX_EXCESS_RATIO * stake.left_ms + MAX_EXCESS_MS
    chance = EVEN_CHANCE * max(1 - excess_ms / limit_ms, 0.0)
    return chance * stake.lost_ms <= (1 - chance) * stake.left_ms


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
        is_new = self._now_ms - minion.drain_since_ms < DECISION_MS
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
        stake = self._make_stake(plan, runs)
        is_stopped = is_stop_better(stake)
        self._world.tally.add("drained_runs", "stopped" if is_stopped else "kept")
        self._world.note(
            "run",
            "A drain concerns a run.",
            task=str(runs[0][1].name),
            members=len(runs),
            is_stopped=is_stopped,
            left_ms=stake.left_ms,
            expected_ms=round(stake.expected_ms),
            lost_ms=round(stake.lost_ms),
        )
        return is_stopped

    def _make_stake(self, plan: Plan, runs: list[tuple[MinionRow, Task]]) -> DrainStake:
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
        return DrainStake(max(lost_ms, 0), expected_ms, max(left_ms, 0))
