"""Following the log: reads, the fold in offset order, and freshness."""

from kingcuppost.settings import effective_value
from kingcuppost.systems.events import note
from kingcuppost.systems.fold import FoldInput, apply_record
from kingcuppost.systems.record_events import note_record
from kingcuppost.systems.registry import Phase, system
from kingcuppost.tables.agreement import Verdict
from kingcuppost.tables.inbox import FoldedRecord, ReadDone
from kingcuppost.tables.outbox import ReadLog
from kingcuppost.tables.record import SnapshotPart
from kingcuppost.tables.world import World
from kingcuppost.utils.identifiers import new_identifier

__all__ = ["fold_reads", "is_fresh", "issue_read", "want_barrier"]

NO_READ = -1


def is_fresh(world: World, now_ms: int) -> bool:
    """Return whether the log was read at its head recently enough to start work."""
    fresh_ms = world.log_view.fresh_ms
    bound_ms = effective_value(world.agreed, "log.fresh_ms")
    return fresh_ms >= 0 and now_ms - fresh_ms <= bound_ms


def want_barrier(world: World, now_ms: int) -> None:
    """Ask for a read of the head that is sent no earlier than now."""
    view = world.log_view
    if view.barrier_ms < 0:
        view.barrier_ms = now_ms


@system(Phase.FOLD)
def fold_reads(world: World, now_ms: int) -> None:
    """Apply what the log answered, in offset order."""
    view = world.log_view
    for done in world.inbox.take(ReadDone):
        if done.read_id != view.read_id:
            continue
        sent_ms = view.read_sent_ms
        view.read_id = ""
        view.read_sent_ms = NO_READ
        if not done.ok:
            _note_failed_read(world, done, now_ms)
            continue
        for item in done.records:
            _fold_one(world, item)
        view.folded_offset = max(view.folded_offset, done.end)
        _note_head(world, done, sent_ms)
        view.next_read_ms = now_ms


def _note_failed_read(world: World, done: ReadDone, now_ms: int) -> None:
    retry_ms = effective_value(world.agreed, "log.retry_ms")
    world.log_view.next_read_ms = now_ms + retry_ms
    world.deadlines.add(world.log_view.next_read_ms)
    note(world, "log.read", f"Read failed: {done.reason}.")


def _note_head(world: World, done: ReadDone, sent_ms: int) -> None:
    view = world.log_view
    view.head_offset = max(done.head, view.head_offset)
    if view.folded_offset < done.head:
        return
    view.fresh_ms = sent_ms
    if view.barrier_ms >= 0 and sent_ms >= view.barrier_ms:
        view.barrier_ms = -1
    if not view.caught_up:
        view.caught_up = True
        note(world, "log.follow", f"Caught up at offset {view.folded_offset}.")


def _fold_one(world: World, item: FoldedRecord) -> None:
    view = world.log_view
    if item.offset <= view.folded_offset:
        return
    view.folded_offset = item.offset
    if isinstance(item.record.body, SnapshotPart):
        return
    fault = apply_record(world.agreed, FoldInput(item.offset, item.record))
    if item.record.record_id in world.proposals:
        reason = fault.reason if fault else ""
        verdict = Verdict(fault is None, item.offset, reason)
        world.verdicts[item.record.record_id] = verdict
    note_record(world, item.record, item.offset, fault.reason if fault else "")


@system(Phase.PROPOSE)
def issue_read(world: World, now_ms: int) -> None:
    """Keep one read under way; cut a waiting one short for a barrier."""
    view = world.log_view
    barrier_due = view.barrier_ms >= 0 and view.read_sent_ms < view.barrier_ms
    if view.read_id and not (barrier_due and view.read_waits):
        return
    if now_ms < view.next_read_ms:
        world.deadlines.add(view.next_read_ms)
        return
    waits = view.caught_up and view.barrier_ms < 0
    wait_ms = effective_value(world.agreed, "log.poll_wait_ms") if waits else 0
    timeout_ms = wait_ms + effective_value(world.agreed, "log.timeout_ms")
    view.read_id = new_identifier(world.rng, "read")
    view.read_sent_ms = now_ms
    view.read_waits = waits
    world.outbox.put(ReadLog(view.read_id, view.folded_offset, wait_ms, timeout_ms))
