"""Load the newest complete snapshot when records have expired or lag is large."""

from kingcuppost.settings import effective_value
from kingcuppost.systems.events import note
from kingcuppost.systems.fold import load_slices
from kingcuppost.tables.agreement import FoldResult, LogView, SnapshotSearch
from kingcuppost.tables.inbox import ReadAnswered
from kingcuppost.tables.record import SnapshotPart
from kingcuppost.tables.world import World

__all__ = ["begin_search", "continue_search", "is_search_due"]

MAX_LAG_RECORDS = 1_000
SEARCH_WINDOW_RECORDS = 200


def is_search_due(world: World, answer: ReadAnswered) -> bool:
    """Return whether to search for a snapshot.

    A search is due if the next records have expired, or if they are too many to fold
    one by one and no search has ended since this process last caught up.
    """
    view = world.log_view
    if _has_expired_records(view, answer.earliest):
        return True
    return not view.search_ended and answer.head - view.folded_offset > MAX_LAG_RECORDS


def _has_expired_records(view: LogView, earliest: int) -> bool:
    return view.folded_offset + 1 < earliest


def begin_search(world: World, answer: ReadAnswered, now_ms: int) -> None:
    """Start a search for a snapshot, backwards from the head.

    If the next record has expired, this process is neither caught up nor fresh
    until it has loaded a snapshot and read up to the head again.
    """
    view = world.log_view
    if _has_expired_records(view, answer.earliest):
        view.caught_up = False
        view.fresh_as_of_ms = -1
        view.last_answer_ms = -1
        text = f"Offset {view.folded_offset + 1} has expired; searching for a snapshot."
        note(world, "log.expired", text)
    view.reads.clear()
    view.next_read_ms = now_ms
    after = _window_start(answer.head, answer.earliest)
    view.search = SnapshotSearch(answer.head, after, answer.earliest)


def _window_start(upper_offset: int, earliest: int) -> int:
    return max(earliest - 1, upper_offset - SEARCH_WINDOW_RECORDS)


def continue_search(world: World, answer: ReadAnswered, now_ms: int) -> None:
    """Collect the parts in one window, then load a snapshot or read the next window."""
    view = world.log_view
    search = view.search
    view.next_read_ms = now_ms
    search.earliest = max(search.earliest, answer.earliest)
    _collect_parts(search, answer)
    if found := _newest_complete_snapshot(search, view.folded_offset):
        _load_snapshot(world, found)
    elif search.after > search.earliest - 1:
        search.upper_offset = search.after
        search.after = _window_start(search.upper_offset, search.earliest)
    else:
        _end_search(world, search, now_ms)


def _collect_parts(search: SnapshotSearch, answer: ReadAnswered) -> None:
    for stored in answer.records:
        body = stored.record.body
        if isinstance(body, SnapshotPart):
            search.parts.setdefault(body.snapshot_id, {})[body.index] = body


def _newest_complete_snapshot(
    search: SnapshotSearch, folded_offset: int
) -> list[SnapshotPart]:
    """Return the parts of the newest usable snapshot; empty if there is none.

    It must be complete and ahead of the fold, and the records after it must not have
    expired.
    """
    best: list[SnapshotPart] = []
    for parts in search.parts.values():
        part = next(iter(parts.values()))
        is_usable = part.covers >= search.earliest - 1 and part.covers > folded_offset
        is_newer = not best or part.covers > best[0].covers
        if is_usable and is_newer and len(parts) == part.count:
            best = [parts[index] for index in sorted(parts)]
    return best


def _load_snapshot(world: World, parts: list[SnapshotPart]) -> None:
    view = world.log_view
    load_slices(world.agreed, [part.rows for part in parts])
    view.folded_offset = parts[0].covers
    view.search = None
    view.search_ended = True
    world.snapshot_progress.covered_offset = parts[0].covers
    _resolve_proposals(world)
    note(world, "log.snapshot", f"Loaded the snapshot at offset {parts[0].covers}.")


def _resolve_proposals(world: World) -> None:
    """Report the results of own proposals that the snapshot already covers."""
    for proposal in world.proposals:
        row = world.agreed.recent.get(proposal.record_id)
        if row is not None:
            fold_result = FoldResult(row.accepted, row.offset, row.reason)
            world.fold_results[proposal.record_id] = fold_result


def _end_search(world: World, search: SnapshotSearch, now_ms: int) -> None:
    """End a search without a snapshot.

    If no record that is still to be folded has expired, the log is folded record by
    record; otherwise the next read, and with it a new search, is delayed.
    """
    view = world.log_view
    view.search = None
    view.search_ended = True
    if not _has_expired_records(view, search.earliest):
        return
    view.next_read_ms = now_ms + effective_value(world.agreed, "log.search_retry_ms")
    world.deadlines.add(view.next_read_ms)
    note(
        world,
        "log.lost",
        "The log has no complete snapshot; this process cannot serve.",
    )
