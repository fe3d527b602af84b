"""Sending of a sidecar's reports to the holder of the scheduling lease."""

from dataclasses import replace

from kingcuppost.batch.systems.registry import Phase, system
from kingcuppost.batch.systems.run_end_rule import (
    CONTACT_MS,
    extends_lease,
    is_in_contact,
)
from kingcuppost.batch.tables.messages import ListMembers, SendSync, SyncCall
from kingcuppost.batch.tables.world import BatchWorld, SidecarState
from kingcuppost.tables.config import Address
from kingcuppost.tables.identity import Role

__all__ = ["send_report"]

REPLY_WAIT_MS = 1_000
REPORT_TIMEOUT_MS = 1_500
MAX_PENDING_REPORTS = 2
LIST_ENTRIES_AFTER_MS = 3_000
RECENT_REPLY_MS = 1_500


@system(Phase.PROPOSE, (Role.SIDECAR,), order=10)
def send_report(world: BatchWorld, now_ms: int) -> None:
    """Keep one report pending; send another at once when the state has changed."""
    sidecar_state = world.sidecar_state
    if world.stopping:
        return
    _request_entries(world, now_ms)
    _watch_contact(world, now_ms)
    if sidecar_state.unanswered_syncs and not sidecar_state.is_report_due:
        return
    if len(sidecar_state.unanswered_syncs) >= MAX_PENDING_REPORTS:
        return
    if now_ms < sidecar_state.sync_after_ms:
        world.deadlines.add(sidecar_state.sync_after_ms)
        return
    address = sidecar_state.holder or _choose_entry(world)
    if address is None:
        return
    sidecar_state.is_report_due = False
    sidecar_state.sync_number += 1
    call = _make_report(world, now_ms)
    sidecar_state.unanswered_syncs[sidecar_state.sync_number] = extends_lease(
        call.minion
    )
    world.outbox.put(
        SendSync(sidecar_state.sync_number, address, call, REPORT_TIMEOUT_MS)
    )


def _watch_contact(world: BatchWorld, now_ms: int) -> None:
    """Make a report due if contact with the minion was lost or is back."""
    sidecar_state = world.sidecar_state
    contact_ms = sidecar_state.contact_ms
    if sidecar_state.minion is None or contact_ms is None:
        return
    in_contact = is_in_contact(contact_ms, now_ms)
    if in_contact:
        world.deadlines.add(contact_ms + CONTACT_MS + 1)
    if in_contact == sidecar_state.was_in_contact:
        return
    sidecar_state.was_in_contact = in_contact
    sidecar_state.is_report_due = True
    world.note(
        "minion",
        "Contact with the minion changed.",
        minion=sidecar_state.minion.incarnation.minion,
        in_contact=in_contact,
        age_ms=now_ms - contact_ms,
    )


def _choose_entry(world: BatchWorld) -> Address | None:
    """Return the entry to try next, or None if neither entries nor seeds are known."""
    known = world.sidecar_state.entries or world.cfg.seeds
    all_entries = list(dict.fromkeys((*known, *world.cfg.seeds)))
    if not all_entries:
        return None
    return all_entries[
        (world.sidecar_state.next_entry_index + _entry_offset(world)) % len(all_entries)
    ]


def _entry_offset(world: BatchWorld) -> int:
    """Return the index of the first entry to try; it spreads sidecars over entries."""
    return sum(world.cfg.name.encode())


def _request_entries(world: BatchWorld, now_ms: int) -> None:
    """Request the entries from the log if the holder has not replied for a while."""
    sidecar_state = world.sidecar_state
    due_ms = max(
        sidecar_state.last_reply_ms + LIST_ENTRIES_AFTER_MS,
        sidecar_state.list_entries_after_ms,
    )
    if now_ms >= due_ms:
        sidecar_state.list_entries_after_ms = now_ms + LIST_ENTRIES_AFTER_MS
        world.outbox.put(ListMembers())
        due_ms = now_ms + LIST_ENTRIES_AFTER_MS
    world.deadlines.add(due_ms)


def _make_report(world: BatchWorld, now_ms: int) -> SyncCall:
    """Return the report; its reply may be delayed only if the holder replied recently.

    Every reply extends the minion lease, so after a handover the first reply must not
    be delayed.
    """
    sidecar_state = world.sidecar_state
    has_recent_reply = (
        sidecar_state.holder is not None
        and now_ms - sidecar_state.last_reply_ms <= RECENT_REPLY_MS
    )
    minion = sidecar_state.minion
    if minion is not None:
        minion = replace(
            minion,
            listed=sidecar_state.listed,
            in_contact=is_in_contact(sidecar_state.contact_ms, now_ms)
            and not sidecar_state.is_lease_withheld,
            lists_are_whole=sidecar_state.lists_are_whole,
            remaining_ms=_remaining_ms(sidecar_state, now_ms),
        )
    return SyncCall(
        "",
        world.cfg.name,
        world.incarnation,
        sidecar_state.sync_number,
        REPLY_WAIT_MS if has_recent_reply else 0,
        minion,
        tuple(sidecar_state.running.values()),
        tuple(sidecar_state.ended.values()),
        tuple(sidecar_state.refused.values()),
        _lists_age_ms(sidecar_state, now_ms),
        sidecar_state.ended_minion,
    )


def _remaining_ms(sidecar_state: SidecarState, now_ms: int) -> int:
    """Return the time that is left until a draining minion may leave, else 0."""
    if sidecar_state.drain_end_ms is None:
        return 0
    return max(sidecar_state.drain_end_ms - now_ms, 0)


def _lists_age_ms(sidecar_state: SidecarState, now_ms: int) -> int:
    """Return the time since the minion's newest lists were read; 0 before the first."""
    if sidecar_state.contact_ms is None:
        return 0
    return max(now_ms - sidecar_state.contact_ms, 0)
