"""A sidecar's reports to the holder of the scheduling lease."""

from dataclasses import replace

from kingcuppost.batch.systems.registry import Phase, system
from kingcuppost.batch.tables.messages import ListMembers, SendSync, SyncCall
from kingcuppost.batch.tables.world import BatchWorld
from kingcuppost.tables.config import Address
from kingcuppost.tables.identity import Role

__all__ = ["report"]

WAIT_MS = 1_000
TIMEOUT_MS = 1_500
MOST_AT_ONCE = 2
LOST_MS = 3_000
KNOWN_MS = 1_500


@system(Phase.PROPOSE, (Role.SIDECAR,), order=10)
def report(world: BatchWorld, now_ms: int) -> None:
    """Keep one report open; send another at once when there is news."""
    sidecar_state = world.sidecar_state
    if world.stopping:
        return
    _list_members(world, now_ms)
    if sidecar_state.pending_syncs and not sidecar_state.dirty:
        return
    if len(sidecar_state.pending_syncs) >= MOST_AT_ONCE:
        return
    if now_ms < sidecar_state.sync_after_ms:
        world.deadlines.add(sidecar_state.sync_after_ms)
        return
    address = sidecar_state.holder or _next_entry(world)
    if address is None:
        return
    sidecar_state.dirty = False
    sidecar_state.sync_number += 1
    sidecar_state.pending_syncs[sidecar_state.sync_number] = now_ms
    call = _call(world, now_ms)
    world.outbox.put(SendSync(sidecar_state.sync_number, address, call, TIMEOUT_MS))


def _next_entry(world: BatchWorld) -> Address | None:
    known = world.sidecar_state.entries or world.cfg.seeds
    every = list(dict.fromkeys((*known, *world.cfg.seeds)))
    if not every:
        return None
    return every[(world.sidecar_state.next_entry + _offset(world)) % len(every)]


def _offset(world: BatchWorld) -> int:
    """Return where this sidecar begins in the list, so that all don't ask one entry."""
    return sum(world.cfg.name.encode())


def _list_members(world: BatchWorld, now_ms: int) -> None:
    """Ask the log for the entries when none has answered for a while."""
    sidecar_state = world.sidecar_state
    due_ms = max(sidecar_state.last_reply_ms + LOST_MS, sidecar_state.list_after_ms)
    if now_ms >= due_ms:
        sidecar_state.list_after_ms = now_ms + LOST_MS
        world.outbox.put(ListMembers())
        due_ms = now_ms + LOST_MS
    world.deadlines.add(due_ms)


def _call(world: BatchWorld, now_ms: int) -> SyncCall:
    """Return what is reported; a scheduler that is new to us is to answer at once.

    Every answer extends the lease, so after a handover the first must not wait.
    """
    sidecar_state = world.sidecar_state
    is_known = (
        sidecar_state.holder is not None
        and now_ms - sidecar_state.last_reply_ms <= KNOWN_MS
    )
    minion = sidecar_state.minion
    if minion is not None:
        minion = replace(minion, listed=sidecar_state.listed)
    return SyncCall(
        "",
        world.cfg.name,
        world.incarnation,
        sidecar_state.sync_number,
        WAIT_MS if is_known else 0,
        minion,
        tuple(sidecar_state.running.values()),
        tuple(sidecar_state.ended.values()),
        tuple(sidecar_state.refused.values()),
    )
