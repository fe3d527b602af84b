"""Writing snapshots of the fold into the log, well before records expire."""

from kingcuppost.settings import effective_value
from kingcuppost.systems.agreement.propose import propose
from kingcuppost.systems.agreement.scheduling_lease import is_scheduler
from kingcuppost.systems.events import note
from kingcuppost.systems.fold import slices_of
from kingcuppost.systems.registry import Phase, system
from kingcuppost.tables.agreement import FoldResult
from kingcuppost.tables.identity import Role
from kingcuppost.tables.inbox import FoldedRecord
from kingcuppost.tables.record import SnapshotPart
from kingcuppost.tables.world import World
from kingcuppost.utils.identifiers import new_identifier

__all__ = ["watch_part", "write_snapshots"]

PARTS_UNDER_WAY = 4
TORN_SNAPSHOTS_KEPT = 4


def watch_part(world: World, item: FoldedRecord) -> None:
    """Note a part in the log, and its snapshot once all parts are there."""
    watch = world.snapshots
    part = item.record.body
    if item.record.record_id in world.proposals:
        world.fold_results[item.record.record_id] = FoldResult(True, item.offset)
    seen = watch.seen.setdefault(part.snapshot_id, set())
    seen.add(part.index)
    if len(seen) == part.count:
        del watch.seen[part.snapshot_id]
        watch.covers = max(watch.covers, part.covers)
        watch.wall_ms = max(watch.wall_ms, item.record.wall_ms)
        note(world, "snapshot.whole", f"Snapshot of {part.covers}.", offset=item.offset)
    while len(watch.seen) > TORN_SNAPSHOTS_KEPT:
        del watch.seen[next(iter(watch.seen))]


@system(Phase.DECIDE, roles=(Role.ENTRY,), order=10)
def write_snapshots(world: World, now_ms: int) -> None:
    """Draft a snapshot when one is due, and propose its parts a few at a time.

    A process that loses the lease drops its draft; readers ignore torn snapshots.
    """
    watch = world.snapshots
    if not is_scheduler(world) or not world.log_view.caught_up:
        watch.draft.clear()
        return
    watch.pending = [item for item in watch.pending if item in world.proposals]
    if not watch.draft and not watch.pending and _is_due(world):
        _draft(world)
    while watch.draft and len(watch.pending) < PARTS_UNDER_WAY:
        watch.pending.append(propose(world, watch.draft.popleft(), now_ms))


def _is_due(world: World) -> bool:
    """Return whether enough records or time lie behind the newest snapshot.

    An idle system writes them too, since a snapshot expires as records do.
    """
    watch = world.snapshots
    records = world.log_view.folded_offset - watch.covers
    age_ms = world.clock.wall_ms() - watch.wall_ms
    if records >= effective_value(world.agreed, "snapshot.records"):
        return True
    return age_ms >= effective_value(world.agreed, "snapshot.period_ms")


def _draft(world: World) -> None:
    snapshot_id = new_identifier(world.rng, "snap")
    covers = world.log_view.folded_offset
    slices = slices_of(world.agreed)
    for index, rows in enumerate(slices):
        part = SnapshotPart(snapshot_id, covers, index, len(slices), rows)
        world.snapshots.draft.append(part)
    note(world, "snapshot.write", f"Writing {len(slices)} parts of {covers}.")
