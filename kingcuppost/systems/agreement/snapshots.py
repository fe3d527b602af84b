"""Write snapshots of the fold into the log, well before records expire."""

from kingcuppost.settings import effective_value
from kingcuppost.systems.agreement.propose import propose
from kingcuppost.systems.agreement.scheduling_lease import is_scheduler
from kingcuppost.systems.events import note
from kingcuppost.systems.fold import slices_of
from kingcuppost.systems.registry import Phase, system
from kingcuppost.tables.agreement import FoldResult
from kingcuppost.tables.identity import Role
from kingcuppost.tables.inbox import StoredRecord
from kingcuppost.tables.record import SnapshotPart
from kingcuppost.tables.world import World
from kingcuppost.utils.identifiers import new_identifier

__all__ = ["track_snapshot_part", "write_snapshots"]

MAX_PENDING_PARTS = 4
MAX_INCOMPLETE_SNAPSHOTS = 4


def track_snapshot_part(world: World, stored: StoredRecord) -> None:
    """Track a part read from the log, and its snapshot once that is complete."""
    progress = world.snapshot_progress
    part = stored.record.body
    if stored.record.record_id in world.proposals:
        world.fold_results[stored.record.record_id] = FoldResult(True, stored.offset)
    seen_parts = progress.seen_parts.setdefault(part.snapshot_id, set())
    seen_parts.add(part.index)
    if len(seen_parts) == part.count:
        del progress.seen_parts[part.snapshot_id]
        progress.covered_offset = max(progress.covered_offset, part.covers)
        progress.wall_ms = max(progress.wall_ms, stored.record.wall_ms)
        note(
            world,
            "snapshot.whole",
            f"The snapshot at offset {part.covers} is complete.",
            offset=stored.offset,
        )
    while len(progress.seen_parts) > MAX_INCOMPLETE_SNAPSHOTS:
        del progress.seen_parts[next(iter(progress.seen_parts))]


@system(Phase.DECIDE, roles=(Role.ENTRY,), order=10)
def write_snapshots(world: World, now_ms: int) -> None:
    """Draft a snapshot when one is due, and propose its parts a few at a time.

    Only the holder of the scheduling lease writes snapshots. A process that loses the
    lease drops its draft; readers ignore incomplete snapshots.
    """
    progress = world.snapshot_progress
    if not is_scheduler(world) or not world.log_view.caught_up:
        progress.draft.clear()
        return
    progress.pending = [
        record_id for record_id in progress.pending if record_id in world.proposals
    ]
    if not progress.draft and not progress.pending and _is_snapshot_due(world):
        _draft_snapshot(world)
    while progress.draft and len(progress.pending) < MAX_PENDING_PARTS:
        progress.pending.append(propose(world, progress.draft.popleft(), now_ms))


def _is_snapshot_due(world: World) -> bool:
    """Return whether enough records or time have passed since the newest snapshot.

    An idle system writes snapshots too, since they expire as other records do.
    """
    progress = world.snapshot_progress
    record_count = world.log_view.folded_offset - progress.covered_offset
    age_ms = world.clock.wall_ms() - progress.wall_ms
    if record_count >= effective_value(world.agreed, "snapshot.records"):
        return True
    return age_ms >= effective_value(world.agreed, "snapshot.period_ms")


def _draft_snapshot(world: World) -> None:
    snapshot_id = new_identifier(world.rng, "snap")
    covers = world.log_view.folded_offset
    slices = slices_of(world.agreed)
    for index, rows in enumerate(slices):
        part = SnapshotPart(snapshot_id, covers, index, len(slices), rows)
        world.snapshot_progress.draft.append(part)
    note(
        world,
        "snapshot.write",
        f"Writing {len(slices)} parts of the snapshot at offset {covers}.",
    )
