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
    sidecar = world.sidecar
    if world.stopping:
        return
    _list_members(world, now_ms)
    if sidecar.pending_syncs and not sidecar.dirty:
        return
    if len(sidecar.pending_syncs) >= MOST_AT_ONCE:
        return
    if now_ms < sidecar.sync_after_ms:
        world.deadlines.add(sidecar.sync_after_ms)
        return
    address = sidecar.holder or _next_entry(world)
    if address is None:
        return
    sidecar.dirty = False
    sidecar.sync_number += 1
    sidecar.pending_syncs[sidecar.sync_number] = now_ms
    call = _call(world, now_ms)
    world.outbox.put(SendSync(sidecar.sync_number, address, call, TIMEOUT_MS))


def _next_entry(world: BatchWorld) -> Address | None:
    known = world.sidecar.entries or world.cfg.seeds
    every = list(dict.fromkeys((*known, *world.cfg.seeds)))
    if not every:
        return None
    return every[(world.sidecar.next_entry + _offset(world)) % len(every)]


def _offset(world: BatchWorld) -> int:
    """Return where this sidecar begins in the list, so that all don't ask one entry."""
    return sum(world.cfg.name.encode())


def _list_members(world: BatchWorld, now_ms: int) -> None:
    """Ask the log for the entries when none has answered for a while."""
    sidecar = world.sidecar
    due_ms = max(sidecar.last_reply_ms + LOST_MS, sidecar.list_after_ms)
    if now_ms >= due_ms:
        sidecar.list_after_ms = now_ms + LOST_MS
        world.outbox.put(ListMembers())
        due_ms = now_ms + LOST_MS
    world.deadlines.add(due_ms)


def _call(world: BatchWorld, now_ms: int) -> SyncCall:
    """Return what is reported; a scheduler that is new to us is to answer at once.

    Every answer extends the lease, so after a handover the first must not wait.
    """
    sidecar = world.sidecar
    is_known = sidecar.holder is not None and now_ms - sidecar.last_reply_ms <= KNOWN_MS
    minion = sidecar.minion
    if minion is not None:
        minion = replace(minion, listed=sidecar.listed)
    return SyncCall(
        "",
        world.cfg.name,
        world.incarnation,
        sidecar.sync_number,
        WAIT_MS if is_known else 0,
        minion,
        tuple(sidecar.running.values()),
        tuple(sidecar.ended.values()),
        tuple(sidecar.refused.values()),
    )
