"""Announcement of this process in the log, and its graceful stop."""

from kingcuppost.settings import effective_value
from kingcuppost.systems.agreement.propose import propose
from kingcuppost.systems.events import note
from kingcuppost.systems.registry import Phase, system
from kingcuppost.tables.config import Address
from kingcuppost.tables.fleet import MemberState
from kingcuppost.tables.identity import Role
from kingcuppost.tables.inbox import StopRequested
from kingcuppost.tables.outbox import ExitProcess
from kingcuppost.tables.record import EntryAnnounce, MemberLeave, MinionAnnounce
from kingcuppost.tables.request import ServedState
from kingcuppost.tables.world import World

__all__ = ["announce", "stop_gracefully"]

EXIT_STOPPED = 0
EXIT_FORCED = 1


@system(Phase.MEMBERSHIP, order=10)
def announce(world: World, now_ms: int) -> None:
    """Propose an announcement until the log has this process's current incarnation."""
    if not world.log_view.caught_up or world.stopping:
        return
    if world.announcement.record_id in world.proposals:
        return
    if _is_announced(world):
        return
    body = (
        _entry_announcement(world) if world.cfg.entry else _minion_announcement(world)
    )
    world.announcement.record_id = propose(world, body, now_ms)


def _is_announced(world: World) -> bool:
    is_entry = world.identity.role is Role.ENTRY
    table = world.agreed.entries if is_entry else world.agreed.minions
    row = table.get(world.identity.name)
    return row is not None and row.incarnation == world.identity.incarnation


def _peer_address(world: World) -> Address:
    """Return the address at which other processes of the system reach this one."""
    bound_address = Address(world.cfg.peers.host, world.announcement.peer_port)
    return world.cfg.advertised or bound_address


def _entry_announcement(world: World) -> EntryAnnounce:
    announcement = world.announcement
    peer_address = _peer_address(world)
    return EntryAnnounce(
        world.identity.name,
        world.identity.availability_zone,
        world.identity.incarnation,
        peer_address.host,
        announcement.caller_port,
        announcement.operator_port,
        peer_address.port,
    )


def _minion_announcement(world: World) -> MinionAnnounce:
    cfg = world.cfg.sidecar
    peer_address = _peer_address(world)
    return MinionAnnounce(
        world.identity.name,
        cfg.service,
        cfg.worker.name,
        world.identity.availability_zone,
        cfg.worker.rack,
        world.identity.incarnation,
        peer_address.host,
        peer_address.port,
        cfg.slots,
        cfg.connections,
        cfg.worker.cores,
        cfg.worker.memory_mb,
        cfg.worker.accelerators,
        world.announcement.operator_port,
    )


@system(Phase.REPORT, order=10)
def stop_gracefully(world: World, now_ms: int) -> None:
    """Propose the leave notice, finish the open work, then exit.

    A second stop request, or the end of the time limit, forces the exit at once.
    """
    for _ in world.inbox.take(StopRequested):
        if world.stopping:
            world.outbox.put(ExitProcess(EXIT_FORCED))
            return
        _begin_stop(world, now_ms)
    if not world.stopping:
        return
    if now_ms >= world.announcement.stop_deadline_ms:
        note(world, "stop.cut", "The time limit of the graceful stop is over.")
        world.outbox.put(ExitProcess(EXIT_FORCED))
    elif _is_idle(world) and (
        _is_leave_folded(world) or _has_leave_timed_out(world, now_ms)
    ):
        world.outbox.put(ExitProcess(EXIT_STOPPED))


def _begin_stop(world: World, now_ms: int) -> None:
    world.stopping = True
    bound_ms = effective_value(world.agreed, "stop.bound_ms")
    world.announcement.stop_deadline_ms = now_ms + bound_ms
    world.deadlines.add(world.announcement.stop_deadline_ms)
    body = MemberLeave(world.identity.name, world.identity.incarnation)
    world.announcement.leave_record_id = propose(world, body, now_ms)
    note(world, "stop.begin", "A graceful stop begins.")


def _is_idle(world: World) -> bool:
    open_work = len(world.requests) + len(world.attempts)
    for state in (ServedState.WAITING, ServedState.RUNNING):
        open_work += world.served_attempts.count("state", state)
    return open_work == 0


def _has_leave_timed_out(world: World, now_ms: int) -> bool:
    """Return whether `stop.announce_ms` has passed since the stop began."""
    bound_ms = effective_value(world.agreed, "stop.bound_ms")
    announce_ms = effective_value(world.agreed, "stop.announce_ms")
    leave_deadline_ms = world.announcement.stop_deadline_ms - bound_ms + announce_ms
    world.deadlines.add(leave_deadline_ms)
    return now_ms >= leave_deadline_ms


def _is_leave_folded(world: World) -> bool:
    """Return whether the leave notice need not be waited for.

    It is folded or no longer proposed, or the agreed tables do not have the process.
    """
    if world.announcement.leave_record_id not in world.proposals:
        return True
    is_entry = world.identity.role is Role.ENTRY
    table = world.agreed.entries if is_entry else world.agreed.minions
    row = table.get(world.identity.name)
    return row is None or row.state is MemberState.LEAVING
