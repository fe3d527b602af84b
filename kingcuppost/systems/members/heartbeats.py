"""Heartbeats of a sidecar to its home entry, and its reports to the scheduler.

Each sidecar has one home among the serving entries, so that a heartbeat costs one
exchange however many entries there are. Members are reported to the holder of the
scheduling lease when their state changes. A report counts as delivered only once
the holder has answered and has folded the log as far as the sidecar had when it
sent the report.
"""

from kingcuppost.settings import effective_value
from kingcuppost.systems.member_timing import full_report_period_ms, heartbeat_period_ms
from kingcuppost.systems.members.gangs import make_report
from kingcuppost.systems.registry import Phase, system
from kingcuppost.systems.requests.serving import free_slots
from kingcuppost.tables.fleet import Entry, MemberState
from kingcuppost.tables.heartbeat import PendingHeartbeat
from kingcuppost.tables.identity import Role
from kingcuppost.tables.inbox import HeartbeatAnswered
from kingcuppost.tables.outbox import SendHeartbeat
from kingcuppost.tables.task import MemberReport, MemberTask
from kingcuppost.tables.world import World
from kingcuppost.utils.ranking import rank_by_hash

__all__ = [
    "choose_home_entry",
    "handle_heartbeat_replies",
    "send_heartbeats",
    "send_leave_notices",
    "send_reports",
]

LAG_PAUSE_MS = 50  # until the next report to a holder that is behind in the log
HEARTBEATS_PER_ISOLATION = 4


def choose_home_entry(world: World) -> Entry | None:
    """Return the entry that receives this sidecar's heartbeats; None if none serves.

    It is the first of the serving entries by rendezvous hashing. Entries that did
    not answer their last heartbeat come after the others.
    """
    serving = [row for row in world.agreed.entries if row.state is MemberState.SERVING]
    ranked = rank_by_hash(world.identity.name, serving, lambda row: row.name)
    unresponsive = world.heartbeat_view.unresponsive
    return min(ranked, key=lambda row: row.name in unresponsive, default=None)


@system(Phase.ACT, roles=(Role.SIDECAR,), order=30)
def send_heartbeats(world: World, now_ms: int) -> None:
    """Send a heartbeat to the home entry once per period."""
    if now_ms < world.heartbeat_view.next_heartbeat_ms:
        return
    entry = choose_home_entry(world)
    if entry is None or entry.name in world.pending_heartbeats:
        return
    world.heartbeat_view.next_heartbeat_ms = now_ms + _bounded_period_ms(world)
    world.deadlines.add(world.heartbeat_view.next_heartbeat_ms)
    _send_heartbeat(world, entry, ())


def _bounded_period_ms(world: World) -> int:
    """Return the period of heartbeats, in ms.

    It is at most a fraction of the isolation limit, so that several heartbeats can be
    answered within that limit.
    """
    period_ms = heartbeat_period_ms(world)
    isolation_ms = effective_value(world.agreed, "job.isolation_ms")
    return min(period_ms, isolation_ms // HEARTBEATS_PER_ISOLATION)


@system(Phase.ACT, roles=(Role.SIDECAR,), order=20)
def send_leave_notices(world: World, now_ms: int) -> None:
    """Notify every entry once that this sidecar is leaving."""
    if not world.stopping:
        return
    view = world.heartbeat_view
    for entry in world.agreed.entries:
        if (
            entry.name not in view.leave_notified
            and entry.name not in world.pending_heartbeats
        ):
            view.leave_notified = (*view.leave_notified, entry.name)
            _send_heartbeat(world, entry, ())


@system(Phase.ACT, roles=(Role.SIDECAR,), order=40)
def send_reports(world: World, now_ms: int) -> None:
    """Report members whose state the lease holder has not acknowledged yet."""
    _reset_reported_states(world, now_ms)
    view = world.heartbeat_view
    holder = world.agreed.entries.get(world.agreed.lease.holder)
    if (
        holder is None
        or holder.name in world.pending_heartbeats
        or now_ms < view.next_report_ms
    ):
        return
    unreported = [task for task in world.tasks if task.reported_state != task.state]
    if unreported:
        _send_heartbeat(world, holder, tuple(unreported))


def _reset_reported_states(world: World, now_ms: int) -> None:
    """Mark all members as unreported for a new holder, and once per full period."""
    view = world.heartbeat_view
    holder_incarnation = world.agreed.lease.incarnation
    if view.holder == holder_incarnation and now_ms < view.next_full_report_ms:
        return
    view.holder = holder_incarnation
    view.next_full_report_ms = now_ms + full_report_period_ms(world)
    if len(world.tasks):
        world.deadlines.add(view.next_full_report_ms)
    for task in world.tasks:
        world.tasks.update(task.task_id, reported_state="")


def _send_heartbeat(world: World, entry: Entry, tasks: tuple[MemberTask, ...]) -> None:
    reports: tuple[MemberReport, ...] = tuple(make_report(task) for task in tasks)
    reported_states = tuple((task.task_id, task.state) for task in tasks)
    offset = world.log_view.folded_offset
    world.pending_heartbeats.put(
        PendingHeartbeat(entry.name, entry.incarnation, reported_states, offset)
    )
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
            reports,
            effective_value(world.agreed, "heartbeat.timeout_ms"),
        )
    )


@system(Phase.INTAKE, roles=(Role.SIDECAR,), order=30)
def handle_heartbeat_replies(world: World, now_ms: int) -> None:
    """Record which entries answered, and which reports they acknowledged."""
    for answer in world.inbox.take(HeartbeatAnswered):
        heartbeat = world.pending_heartbeats.delete(answer.entry)
        if heartbeat is None:
            continue
        if answer.ok:
            world.heartbeat_view.last_reply_ms = now_ms
        _track_unresponsive_entry(world, answer, now_ms)
        if answer.ok and answer.folded_offset >= heartbeat.folded_offset:
            _record_reported_states(world, heartbeat)
        elif answer.ok:
            _delay_reports(world, now_ms, LAG_PAUSE_MS)
        else:
            pause_ms = effective_value(world.agreed, "heartbeat.retry_ms")
            _delay_reports(world, now_ms, pause_ms)


def _track_unresponsive_entry(
    world: World, answer: HeartbeatAnswered, now_ms: int
) -> None:
    """Record whether an entry answered; if not, try another home soon."""
    view = world.heartbeat_view
    others = tuple(name for name in view.unresponsive if name != answer.entry)
    if answer.ok:
        view.unresponsive = others
        return
    view.unresponsive = (*others, answer.entry)
    retry_at_ms = now_ms + effective_value(world.agreed, "heartbeat.retry_ms")
    if (
        len(others) + 1 < len(world.agreed.entries)
        and retry_at_ms < world.heartbeat_view.next_heartbeat_ms
    ):
        world.heartbeat_view.next_heartbeat_ms = retry_at_ms
        world.deadlines.add(retry_at_ms)


def _record_reported_states(world: World, heartbeat: PendingHeartbeat) -> None:
    if heartbeat.reported and heartbeat.incarnation != world.agreed.lease.incarnation:
        return
    for task_id, state in heartbeat.reported:
        if task_id in world.tasks:
            world.tasks.update(task_id, reported_state=state)


def _delay_reports(world: World, now_ms: int, pause_ms: int) -> None:
    world.heartbeat_view.next_report_ms = now_ms + pause_ms
    world.deadlines.add(now_ms + pause_ms)
