"""Checkpoints of gangs: a run of a gang starts from one, whichever member saved it.

Each member saves checkpoints at its own pace, and any of them is valid for the whole
gang. The newest one is kept for the gang, so that what its members start from depends
neither on which of them were lost nor on how each run ended. What a placed run starts
from does not change, since a start may be sent again.
"""

from collections.abc import Iterable

from kingcuppost.batch.tables.job import TaskPhase
from kingcuppost.batch.tables.plan import GangCheckpoint, Plan
from kingcuppost.batch.tables.task import Task

__all__ = [
    "load_gang_checkpoint",
    "newest_checkpoint",
    "note_listed_checkpoint",
    "started_from",
    "store_gang_checkpoint",
]


def newest_checkpoint(plan: Plan, task: Task) -> str:
    """Return the newest checkpoint of a task, or of its gang; empty for none."""
    gang_checkpoint = plan.gang_checkpoints.get(task.name.step)
    return task.checkpoint if gang_checkpoint is None else gang_checkpoint.value


def started_from(plan: Plan, task: Task) -> str | None:
    """Return what the placed run of a gang's member starts from.

    None if it is the newest checkpoint, or the task is no placed member of a gang.
    """
    if (
        task.phase is not TaskPhase.PLACED
        or task.name.step not in plan.gang_checkpoints
    ):
        return None
    is_newest = task.checkpoint == newest_checkpoint(plan, task)
    return None if is_newest else task.checkpoint


def note_listed_checkpoint(
    plan: Plan, task: Task, checkpoint: str, read_ms: int
) -> bool:
    """Keep the checkpoint of a listed run of a gang, if it is newer than the gang's.

    A member that was read earlier than the one with the gang's checkpoint, or that has
    saved none since the start, has no newer one.

    Returns
    -------
    bool
        Whether the gang has a new checkpoint.
    """
    if checkpoint in ("", task.checkpoint, task.listed_checkpoint):
        return False
    task.listed_checkpoint = checkpoint
    known = plan.gang_checkpoints.get(task.name.step)
    if known is not None and read_ms < known.read_ms:
        return False
    store_gang_checkpoint(plan, task.name.step, checkpoint, read_ms)
    return True


def store_gang_checkpoint(plan: Plan, step: int, checkpoint: str, read_ms: int) -> None:
    """Store the newest checkpoint of a gang, which a member had at `read_ms`."""
    plan.gang_checkpoints[step] = GangCheckpoint(checkpoint, read_ms)


def load_gang_checkpoint(plan: Plan, step: int, checkpoints: Iterable[str]) -> None:
    """Take the newest checkpoint of a gang from those of its members in the log.

    They may differ: earlier builds stored one for each member, and parts of a plan are
    written one after another. Any of them is valid, so it is the first one.
    """
    for checkpoint in checkpoints:
        if checkpoint:
            store_gang_checkpoint(plan, step, checkpoint, 0)
            return
