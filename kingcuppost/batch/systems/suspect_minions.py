"""Tries of waiting work on minions under suspicion, where nothing else could run it.

A minion is left out for a while after failures of several jobs, or a stalled run. If
no other minion could hold a task even when idle, the task would wait for the end of
that pause though the minion may be sound. It is tried there at once instead, but a
faulty minion must not use up the attempts of a task:

- A minion is given one task in each pause, and a try that fails begins a new pause.
- A task is not tried where a run of it has failed, nor with its last attempt.
- Work that other minions could hold waits for them while they are busy.
- A gang is not tried: one faulty minion would cost all of its members their work.
"""

from kingcuppost.batch.systems.candidate_order import make_sort_key
from kingcuppost.batch.systems.candidates import (
    eligible_candidates,
    make_candidate,
    may_probe,
)
from kingcuppost.batch.systems.decision import Decision
from kingcuppost.batch.systems.placement import choose_candidates, fits_idle
from kingcuppost.batch.systems.unit_scheduling import place_tasks
from kingcuppost.batch.tables.decision import Candidate, PlacementUnit
from kingcuppost.batch.tables.fleet import MinionRow
from kingcuppost.batch.tables.task import Task

__all__ = ["probe_suspect_minions"]


def probe_suspect_minions(
    decision: Decision, unit: PlacementUnit, eligible: list[Candidate]
) -> None:
    """Place tasks of a unit on minions under suspicion, one on each.

    Parameters
    ----------
    eligible : list of Candidate
        Minions that suit the unit and are not under suspicion, busy ones included.
    """
    suspects = decision.round.suspects
    if not suspects or unit.spec.gang or fits_idle(unit.spec, eligible):
        return
    for minion in list(suspects):
        if not may_probe(decision.world, minion, decision.now_ms):
            suspects.remove(minion)
            continue
        task = next((task for task in unit.tasks if _may_try(unit, task, minion)), None)
        if task is not None:
            _try_minion(decision, unit, task, minion)


def _try_minion(
    decision: Decision, unit: PlacementUnit, task: Task, minion: MinionRow
) -> None:
    """Place a task on a minion under suspicion, if it suits and has room."""
    fitting = choose_candidates(
        eligible_candidates(unit, [make_candidate(decision, minion)]),
        unit.spec,
        1,
        make_sort_key(unit),
    )
    if not fitting:
        return
    minion.probed_ms = decision.now_ms
    unit.tasks = [task, *(other for other in unit.tasks if other is not task)]
    place_tasks(decision, unit, fitting)
    unit.tasks = unit.tasks[1:]
    decision.world.note(
        "place",
        "A minion under suspicion is tried.",
        task=str(task.name),
        run=task.run,
        minion=minion.incarnation.minion,
        attempts_left=_attempts_left(unit, task),
        failures=minion.failures,
        failed_jobs=len(minion.failed_jobs),
    )


def _may_try(unit: PlacementUnit, task: Task, minion: MinionRow) -> bool:
    """Return whether a task may be tried on a minion, at the risk of an attempt."""
    is_avoided = minion.incarnation.minion in task.avoided_minions
    return not is_avoided and _attempts_left(unit, task) > 1


def _attempts_left(unit: PlacementUnit, task: Task) -> int:
    return unit.plan.job.policy.most_failures - task.failures
