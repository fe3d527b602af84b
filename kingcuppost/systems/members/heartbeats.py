"""Heartbeats of a sidecar to the entries."""

from kingcuppost.settings import effective_value
from kingcuppost.systems.members.gangs import report_of
from kingcuppost.systems.registry import Phase, system
from kingcuppost.systems.requests.serving import free_slots
from kingcuppost.tables.identity import Role
from kingcuppost.tables.inbox import HeartbeatDone
from kingcuppost.tables.outbox import SendHeartbeat
from kingcuppost.tables.task import MemberReport
from kingcuppost.tables.world import World

__all__ = ["send_heartbeats", "take_heartbeat_replies"]


@system(Phase.ACT, roles=(Role.SIDECAR,))
def send_heartbeats(world: World, now_ms: int) -> None:
    """Tell every entry how this sidecar is, once a period or on a change.

    Members' reports go to the holder of the scheduling lease.
    """
    changed = _reports_changed(world)
    if now_ms < world.beat_ms and not changed:
        return
    world.beat_ms = now_ms + effective_value(world.agreed, "heartbeat.period_ms")
    world.deadlines.add(world.beat_ms)
    reports = _take_reports(world)
    for entry in world.agreed.entries:
        is_holder = entry.name == world.agreed.lease.holder
        if changed and not is_holder:
            continue
        world.outbox.put(
            SendHeartbeat(
                entry.name,
                entry.host,
                entry.peer_port,
                world.identity.name,
                world.identity.incarnation,
                free_slots(world),
                world.stopping,
                world.service_ms,
                reports if is_holder else (),
                effective_value(world.agreed, "heartbeat.timeout_ms"),
            )
        )


def _reports_changed(world: World) -> bool:
    return any(task.reported != task.state for task in world.tasks)


def _take_reports(world: World) -> tuple[MemberReport, ...]:
    reports = []
    for task in world.tasks:
        reports.append(report_of(task))
        world.tasks.update(task.task_id, reported=task.state)
    return tuple(reports)


@system(Phase.INTAKE, roles=(Role.SIDECAR,))
def take_heartbeat_replies(world: World, now_ms: int) -> None:
    """Remember when an entry was last heard."""
    for done in world.inbox.take(HeartbeatDone):
        if done.ok:
            world.entry_heard_ms = now_ms
