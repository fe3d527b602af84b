"""Follow the log: issue reads and fold their records in offset order."""

from kingcuppost.settings import effective_value
from kingcuppost.systems.agreement.freshness import (
    fresh_age_ms,
    is_fresh,
    request_barrier,
)
from kingcuppost.systems.agreement.snapshot_search import (
    begin_search,
    continue_search,
    is_search_due,
)
from kingcuppost.systems.agreement.snapshots import track_snapshot_part
from kingcuppost.systems.events import note
from kingcuppost.systems.fold import FoldInput, apply_record
from kingcuppost.systems.record_events import note_record
from kingcuppost.systems.registry import Phase, system
from kingcuppost.tables.agreed_rows import RecentRecord
from kingcuppost.tables.agreement import FoldResult, LogView, PendingRead
from kingcuppost.tables.inbox import ReadAnswered, StoredRecord
from kingcuppost.tables.outbox import ReadLog
from kingcuppost.tables.record import SnapshotPart
from kingcuppost.tables.world import World
from kingcuppost.utils.identifiers import new_identifier

__all__ = ["fold_reads", "fresh_age_ms", "is_fresh", "issue_read", "request_barrier"]

MAX_PENDING_READS = 4
MAX_RETRY_DOUBLINGS = 3  # at most 8 times log.retry_ms
MIN_JITTER_RATIO = 0.5


@system(Phase.FOLD, order=10)
def fold_reads(world: World, now_ms: int) -> None:
    """Apply the records that the log returned, in offset order.

    Several reads may be pending; records that were already folded are skipped.
    """
    for answer in world.inbox.take(ReadAnswered):
        read = world.log_view.reads.pop(answer.read_id, None)
        if read is None:
            continue
        if not answer.ok:
            _schedule_retry(world, answer, now_ms)
            continue
        world.log_view.failed_reads = 0
        _drop_superseded_reads(world, read, now_ms)
        if _leaves_a_gap(world.log_view, read):
            world.log_view.next_read_ms = now_ms
        elif world.log_view.search is not None:
            continue_search(world, answer, now_ms)
        elif is_search_due(world, answer):
            begin_search(world, answer, now_ms)
        else:
            _fold_read(world, answer, read, now_ms)
            world.log_view.next_read_ms = now_ms


def _leaves_a_gap(view: LogView, read: PendingRead) -> bool:
    """Return whether records are missing between the view and what a read returned.

    A read of a search may be answered after the search has gone on or has ended.
    """
    if view.search is not None:
        return read.after != view.search.after
    return read.after > view.folded_offset


def _drop_superseded_reads(world: World, answered: PendingRead, now_ms: int) -> None:
    """Drop overdue reads that were sent before a read that was answered.

    Their connections are unresponsive. If the reads still counted as pending, every
    tick would issue another hedged read.
    """
    reads = world.log_view.reads
    for read_id, read in list(reads.items()):
        if read.sent_ms < answered.sent_ms and read.late_ms <= now_ms:
            del reads[read_id]


def _fold_read(
    world: World, answer: ReadAnswered, read: PendingRead, now_ms: int
) -> None:
    view = world.log_view
    for stored in answer.records:
        _fold_record(world, stored)
    view.folded_offset = max(view.folded_offset, answer.end_offset)
    _update_head(world, answer, read.sent_ms, now_ms)


def _schedule_retry(world: World, answer: ReadAnswered, now_ms: int) -> None:
    """Delay the next read, with exponential backoff and jitter.

    The jitter keeps processes that lost the log at the same time from all
    reconnecting at the same time.
    """
    view = world.log_view
    retry_ms = effective_value(world.agreed, "log.retry_ms")
    retry_ms *= 2 ** min(view.failed_reads, MAX_RETRY_DOUBLINGS)
    view.failed_reads += 1
    view.next_read_ms = now_ms + int(
        retry_ms * world.rng.uniform(MIN_JITTER_RATIO, 1.0)
    )
    world.deadlines.add(view.next_read_ms)
    note(world, "log.read", f"Read failed: {answer.reason}.")


def _update_head(world: World, answer: ReadAnswered, sent_ms: int, now_ms: int) -> None:
    """Update the known head and, if the fold has reached it, the view's freshness.

    The view is as fresh as the sending of the read, and a barrier is satisfied only by
    a read that was sent no earlier.
    """
    view = world.log_view
    view.head_offset = max(answer.head, view.head_offset)
    if view.folded_offset < answer.head:
        return
    view.fresh_as_of_ms = max(view.fresh_as_of_ms, sent_ms)
    view.last_answer_ms = now_ms
    if view.barrier_ms >= 0 and sent_ms >= view.barrier_ms:
        view.barrier_ms = -1
    if not view.caught_up:
        view.caught_up = True
        view.search_ended = False
        world.snapshot_progress.wall_ms = (
            world.snapshot_progress.wall_ms or world.clock.wall_ms()
        )
        note(
            world,
            "log.follow",
            f"Caught up with the log at offset {view.folded_offset}.",
        )


def _fold_record(world: World, stored: StoredRecord) -> None:
    """Apply a record that is not folded yet, and keep the result for its proposer.

    A repeat of a recent record has no effect; its result is that of the first copy.
    A part of a snapshot is only tracked.
    """
    view = world.log_view
    if stored.offset <= view.folded_offset:
        return
    view.folded_offset = stored.offset
    if isinstance(stored.record.body, SnapshotPart):
        track_snapshot_part(world, stored)
        return
    first_copy = world.agreed.recent.get(stored.record.record_id)
    if first_copy is not None:
        fold_result = FoldResult(
            first_copy.accepted, first_copy.offset, first_copy.reason
        )
    else:
        rejection = apply_record(world.agreed, FoldInput(stored.offset, stored.record))
        reason = rejection.reason if rejection else ""
        is_possible_repeat = rejection is not None and rejection.is_possible_repeat
        fold_result = FoldResult(
            rejection is None,
            stored.offset,
            reason,
            is_possible_repeat=is_possible_repeat,
        )
    if stored.record.record_id in world.proposals:
        world.fold_results[stored.record.record_id] = fold_result
    note_record(
        world, stored.record, stored.offset, _rejection_text(fold_result, first_copy)
    )


def _rejection_text(fold_result: FoldResult, first_copy: RecentRecord | None) -> str:
    if first_copy is not None:
        return f"a repeat of offset {first_copy.offset}"
    return "" if fold_result.accepted else fold_result.reason


@system(Phase.PROPOSE, order=10)
def issue_read(world: World, now_ms: int) -> None:
    """Keep one timely read pending; `_is_timely` says which reads are.

    If no pending read is timely, another one is sent beside them, up to
    `MAX_PENDING_READS` in all. Beside an overdue read, it is sent on a new connection.
    """
    view = world.log_view
    timely_reads = [
        read for read in view.reads.values() if _is_timely(world, read, now_ms)
    ]
    if timely_reads:
        world.deadlines.add(min(read.late_ms for read in timely_reads))
        return
    if len(view.reads) >= MAX_PENDING_READS:
        return
    if now_ms < view.next_read_ms:
        world.deadlines.add(view.next_read_ms)
        return
    _send_read(world, now_ms)


def _is_timely(world: World, read: PendingRead, now_ms: int) -> bool:
    """Return whether to wait for a pending read instead of sending another.

    An overdue read is not waited for, nor a long poll that was sent before the barrier.
    Nor is a read that was sent no later than an append that is now overdue: the log
    may be slow, and the read may miss the appended record.
    """
    view = world.log_view
    if read.is_long_poll and view.barrier_ms >= 0 and read.sent_ms < view.barrier_ms:
        return False
    late_ms = effective_value(world.agreed, "log.late_ms")
    oldest_append_ms = min(view.appends.values(), default=now_ms)
    if read.sent_ms <= oldest_append_ms and oldest_append_ms + late_ms <= now_ms:
        return False
    return now_ms < read.late_ms


def _send_read(world: World, now_ms: int) -> None:
    view = world.log_view
    hedge = any(now_ms >= read.late_ms for read in view.reads.values())
    is_long_poll = view.caught_up and view.barrier_ms < 0 and not view.reads
    wait_ms = effective_value(world.agreed, "log.poll_wait_ms") if is_long_poll else 0
    late_ms = now_ms + wait_ms + effective_value(world.agreed, "log.late_ms")
    timeout_ms = wait_ms + effective_value(world.agreed, "log.timeout_ms")
    after = view.search.after if view.search else view.folded_offset
    read_id = new_identifier(world.rng, "read")
    view.reads[read_id] = PendingRead(now_ms, late_ms, is_long_poll, after)
    world.deadlines.add(late_ms)
    world.outbox.put(ReadLog(read_id, after, wait_ms, timeout_ms, hedge))
