"""Heartbeats and leave notices that a sidecar receives, and whom it believes.

Which incarnation runs beside the sidecar is known from the minion's own answers: a
heartbeat of another incarnation, or a notice that the minion leaves, only makes the
sidecar ask.
"""

from kingcuppost.batch.systems.registry import Phase, system
from kingcuppost.batch.systems.run_end_rule import (
    HeartbeatSource,
    heartbeat_source,
    may_reach_successor,
)
from kingcuppost.batch.tables.messages import (
    HoldMinion,
    HoldMinionAnswered,
    MinionHeartbeat,
)
from kingcuppost.batch.tables.world import BatchWorld, OrderedRun, SidecarState
from kingcuppost.tables.identity import Role

__all__ = ["ask_successor", "confirm_successor", "handle_heartbeats", "remove_minion"]

SIDECAR_ROLES = (Role.SIDECAR,)


@system(Phase.INTAKE, SIDECAR_ROLES, order=50)
def handle_heartbeats(world: BatchWorld, now_ms: int) -> None:
    """Handle heartbeats and leave notices of the minion and of other writers."""
    for heartbeat in world.inbox.take(MinionHeartbeat):
        if heartbeat.has_left:
            _handle_leave_notice(world, heartbeat)
            continue
        source = heartbeat_source(world.cfg, world.sidecar_state, heartbeat, now_ms)
        if source is HeartbeatSource.OTHER_WRITER:
            _ignore_heartbeat(world, heartbeat)
        elif source is HeartbeatSource.SUCCESSOR:
            _add_successor(world, heartbeat)
        elif source is HeartbeatSource.FIRST:
            _begin_incarnation(world, heartbeat)
        else:
            _update_minion(world.sidecar_state, heartbeat, now_ms)


def _ignore_heartbeat(world: BatchWorld, heartbeat: MinionHeartbeat) -> None:
    world.tally.add("heartbeats_ignored")
    world.note(
        "minion",
        "A heartbeat of another writer is ignored.",
        minion=heartbeat.report.incarnation.minion,
        born_ms=heartbeat.report.incarnation.born_ms,
        service=heartbeat.report.service,
        address=str(heartbeat.address),
    )


def _update_minion(
    sidecar_state: SidecarState, heartbeat: MinionHeartbeat, now_ms: int
) -> None:
    """Update the state of the minion, unless the heartbeat is an outdated one."""
    if heartbeat.sequence <= sidecar_state.heartbeat_sequence:
        return
    sidecar_state.heartbeat_sequence = heartbeat.sequence
    sidecar_state.has_leave_notice = False
    if sidecar_state.minion.draining != heartbeat.report.draining:
        sidecar_state.is_report_due = True
    sidecar_state.minion = heartbeat.report
    sidecar_state.drain_end_ms = _drain_end_ms(heartbeat, now_ms)


def _drain_end_ms(heartbeat: MinionHeartbeat, now_ms: int) -> int | None:
    """Return the time from which a draining minion may end, or None."""
    report = heartbeat.report
    return now_ms + report.remaining_ms if report.draining else None


def _begin_incarnation(world: BatchWorld, heartbeat: MinionHeartbeat) -> None:
    """Reset the state of the minion and its runs.

    The state of the contact with the scheduler is kept.
    """
    sidecar_state = world.sidecar_state
    world.sidecar_state = SidecarState(
        term=sidecar_state.term,
        sync_number=sidecar_state.sync_number,
        unanswered_syncs=sidecar_state.unanswered_syncs,
        holder=sidecar_state.holder,
        entries=sidecar_state.entries,
        entries_end=sidecar_state.entries_end,
        next_entry_index=sidecar_state.next_entry_index,
        last_reply_ms=sidecar_state.last_reply_ms,
        minion=heartbeat.report,
        address=heartbeat.address,
        known_since_ms=world.clock.now_ms(),
        heartbeat_sequence=heartbeat.sequence,
        drain_end_ms=_drain_end_ms(heartbeat, world.clock.now_ms()),
    )
    world.note(
        "minion",
        "The minion has a new incarnation.",
        minion=heartbeat.report.incarnation.minion,
        born_ms=heartbeat.report.incarnation.born_ms,
    )


def _add_successor(world: BatchWorld, heartbeat: MinionHeartbeat) -> None:
    """Keep the heartbeat of another incarnation until that has answered a call."""
    sidecar_state = world.sidecar_state
    if sidecar_state.is_successor_asked:
        return
    sidecar_state.successor = heartbeat


@system(Phase.ACT, SIDECAR_ROLES, order=15)
def ask_successor(world: BatchWorld, now_ms: int) -> None:
    """Ask a possible successor of the minion for its lists, without a lease."""
    sidecar_state = world.sidecar_state
    successor = sidecar_state.successor
    if successor is None or sidecar_state.is_successor_asked:
        return
    sidecar_state.is_successor_asked = True
    world.outbox.put(
        HoldMinion(
            successor.address,
            successor.report.incarnation,
            sidecar_state.term,
            acknowledged_end=0,
            wait_ms=0,
            lease_until_ms=None,
        )
    )


def confirm_successor(world: BatchWorld, lists: HoldMinionAnswered) -> None:
    """Begin the incarnation of a successor if these lists are its answer.

    A successor that does not answer is dropped; the next heartbeat names it again.
    """
    sidecar_state = world.sidecar_state
    successor = sidecar_state.successor
    if successor is None or successor.report.incarnation != lists.incarnation:
        return
    sidecar_state.successor = None
    sidecar_state.is_successor_asked = False
    if lists.reason:
        _ignore_heartbeat(world, successor)
        return
    unresolved = _unresolved_starts(sidecar_state, lists)
    _begin_incarnation(world, successor)
    world.sidecar_state.ordered_runs = unresolved


def _unresolved_starts(
    sidecar_state: SidecarState, lists: HoldMinionAnswered
) -> dict[tuple[str, int], OrderedRun]:
    """Return the runs that a successor is to stop before it can begin them.

    They are those whose start an earlier incarnation under the same identifier was sent
    without an answer, unless the successor works on them already.
    """
    known = sidecar_state.minion
    if known is None or known.incarnation.minion != lists.incarnation.minion:
        return {}
    running = {(str(run.task), run.run) for run in lists.running}
    return {
        key: OrderedRun(
            run.order, lists.received_ms, may_still_start=True, should_stop=True
        )
        for key, run in sidecar_state.ordered_runs.items()
        if may_reach_successor(run) and key not in running
    }


def _handle_leave_notice(world: BatchWorld, heartbeat: MinionHeartbeat) -> None:
    """Keep a leave notice; the minion has left once a call to it fails.

    The notice may be late, of an earlier incarnation or of another writer: the minion's
    next heartbeat takes it back.
    """
    sidecar_state = world.sidecar_state
    known = sidecar_state.minion
    left = heartbeat.report.incarnation.minion
    if known is None or known.incarnation.minion != left:
        return
    world.note("minion", "The minion is said to leave.", minion=left)
    sidecar_state.has_leave_notice = True


def remove_minion(world: BatchWorld, has_ended: bool) -> None:
    """Remove a minion that has left.

    Parameters
    ----------
    has_ended : bool
        Whether its incarnation has certainly ended, with all its runs.
    """
    sidecar_state = world.sidecar_state
    incarnation = sidecar_state.minion.incarnation
    world.note(
        "minion", "The minion left.", minion=incarnation.minion, has_ended=has_ended
    )
    world.tally.add("minions_left", "ended" if has_ended else "silent")
    sidecar_state.minion = None
    sidecar_state.ended_minion = incarnation if has_ended else None
    sidecar_state.has_leave_notice = False
    sidecar_state.is_report_due = True
