"""Choice between writing the plans of wide jobs in parts and as a whole."""

from kingcuppost.batch.systems.plans import mark_plan_changed
from kingcuppost.batch.tables.messages import PARTS_FORMAT, Stream
from kingcuppost.batch.tables.world import BatchWorld

__all__ = ["choose_layout", "entries_without_parts"]


def entries_without_parts(world: BatchWorld) -> list[str]:
    """Return the names of the announced entries that do not read parts of plans."""
    return sorted(
        entry.name
        for entry in world.agreed.entries
        if entry.record_format < PARTS_FORMAT
    )


def choose_layout(world: BatchWorld) -> None:
    """Write plans in parts while all entries read them, else as a whole.

    An entry of an earlier build would take a task whose progress it does not read for
    one that never ran. When such an entry is announced, plans that are in parts in the
    log are written anew. The entries are looked at only when records of members came.
    """
    writes = world.schedule.plan_writes
    members_end = world.agreed.views[Stream.MEMBERS].end
    if members_end == writes.layout_end:
        return
    writes.layout_end = members_end
    old_names = entries_without_parts(world)
    if writes.in_parts is not bool(old_names):
        return
    writes.in_parts = not old_names
    writes.held.clear()
    world.note(
        "log",
        "The layout of the plans of wide jobs changed.",
        in_parts=writes.in_parts,
        entries_without_parts=" ".join(old_names),
    )
    if not writes.in_parts:
        _rewrite_parts(world)


def _rewrite_parts(world: BatchWorld) -> None:
    for job_id, parts in world.agreed.progress_parts.items():
        plan = world.schedule.plans.get(job_id)
        if plan is not None and parts.rows:
            mark_plan_changed(world, plan)
