"""Heartbeats of a sidecar: to one home entry, and reports to the scheduler.

Each sidecar has one home among the serving entries, so that a heartbeat costs one
exchange however many entries there are. Members' reports go to the holder of the
scheduling lease when they change; a report counts as told only once the holder has
answered, and has followed the log as far as the sidecar had.
"""

from kingcuppost.settings import effective_value
from kingcuppost.systems.member_timing import full_report_period_ms, heartbeat_period_ms
from kingcuppost.systems.members.gangs import report_of
from kingcuppost.systems.registry import Phase, system
from kingcuppost.systems.requests.serving import free_slots
from kingcuppost.tables.fleet import Entry, MemberState
from kingcuppost.tables.heartbeat import PendingHeartbeat
from kingcuppost.tables.identity import Role
from kingcuppost.tables.inbox import HeartbeatDone
from kingcuppost.tables.outbox import SendHeartbeat
from kingcuppost.tables.task import MemberReport, MemberTask
from kingcuppost.tables.world import World
from kingcuppost.utils.ranking import rank_by_hash

__all__ = [
    "home_entry",
    "say_farewell",
    "send_heartbeats",
    "send_reports",
    "take_heartbeat_replies",
]

LAG_PAUSE_MS = 50
BEATS_PER_ISOLATION = 4


def home_entry(world: World) -> Entry | None:
    """Return the entry that hears this sidecar's heartbeats.

    The first by rendezvous hashing among the serving entries; those that did not
    answer last time come after the others.
    """
    serving = [row for row in world.agreed.entries if row.state is MemberState.SERVING]
    ranked = rank_by_hash(world.identity.name, serving, lambda row: row.name)
    silent = world.heartbeat_view.silent
    return min(ranked, key=lambda row: row.name in silent, default=None)


@system(Phase.ACT, roles=(Role.SIDECAR,), order=30)
def send_heartbeats(world: World, now_ms: int) -> None:
    """Tell the home entry how this sidecar is, once a period."""
    if now_ms < world.heartbeat_view.beat_ms:
        return
    entry = home_entry(world)
    if entry is None or entry.name in world.pending_heartbeats:
        return
    world.heartbeat_view.beat_ms = now_ms + _period_ms(world)
    world.deadlines.add(world.heartbeat_view.beat_ms)
    _beat(world, entry, ())


def _period_ms(world: World) -> int:
    """Return the period; members need an entry heard well within their bound."""
    period_ms = heartbeat_period_ms(world)
    isolation_ms = effective_value(world.agreed, "job.isolation_ms")
    return min(period_ms, isolation_ms // BEATS_PER_ISOLATION)


@system(Phase.ACT, roles=(Role.SIDECAR,), order=20)
def say_farewell(world: World, now_ms: int) -> None:
    """Tell every entry once that this sidecar is leaving."""
    if not world.stopping:
        return
    view = world.heartbeat_view
    for entry in world.agreed.entries:
        if (
            entry.name not in view.farewells
            and entry.name not in world.pending_heartbeats
        ):
            view.farewells = (*view.farewells, entry.name)
            _beat(world, entry, ())


@system(Phase.ACT, roles=(Role.SIDECAR,), order=40)
def send_reports(world: World, now_ms: int) -> None:
    """Report members whose state the scheduling holder does not know yet."""
    _start_over(world, now_ms)
    view = world.heartbeat_view
    holder = world.agreed.entries.get(world.agreed.lease.holder)
    if (
        holder is None
        or holder.name in world.pending_heartbeats
        or now_ms < view.report_ms
    ):
        return
    untold = [task for task in world.tasks if task.reported != task.state]
    if untold:
        _beat(world, holder, tuple(untold))


def _start_over(world: World, now_ms: int) -> None:
    """Report all members to a new holder, and once in a long period."""
    view = world.heartbeat_view
    holder = world.agreed.lease.incarnation
    if view.holder == holder and now_ms < view.full_ms:
        return
    view.holder = holder
    view.full_ms = now_ms + full_report_period_ms(world)
    if len(world.tasks):
        world.deadlines.add(view.full_ms)
    for task in world.tasks:
        world.tasks.update(task.task_id, reported="")


def _beat(world: World, entry: Entry, tasks: tuple[MemberTask, ...]) -> None:
    reports: tuple[MemberReport, ...] = tuple(report_of(task) for task in tasks)
    told = tuple((task.task_id, task.state) for task in tasks)
    offset = world.log_view.folded_offset
    world.pending_heartbeats.put(
        PendingHeartbeat(entry.name, entry.incarnation, told, offset)
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
def take_heartbeat_replies(world: World, now_ms: int) -> None:
    """Note which entries answer, and which reports they have taken."""
    for done in world.inbox.take(HeartbeatDone):
        beat = world.pending_heartbeats.delete(done.entry)
        if beat is None:
            continue
        if done.ok:
            world.heartbeat_view.heard_ms = now_ms
        _note_silence(world, done, now_ms)
        if done.ok and done.folded_offset >= beat.folded_offset:
            _note_told(world, beat)
        elif done.ok:
            _report_later(world, now_ms, LAG_PAUSE_MS)
        else:
            pause_ms = effective_value(world.agreed, "heartbeat.retry_ms")
            _report_later(world, now_ms, pause_ms)


def _note_silence(world: World, done: HeartbeatDone, now_ms: int) -> None:
    """Try another home soon if this one does not answer."""
    view = world.heartbeat_view
    others = tuple(name for name in view.silent if name != done.entry)
    if done.ok:
        view.silent = others
        return
    view.silent = (*others, done.entry)
    retry_ms = now_ms + effective_value(world.agreed, "heartbeat.retry_ms")
    if (
        len(others) + 1 < len(world.agreed.entries)
        and retry_ms < world.heartbeat_view.beat_ms
    ):
        world.heartbeat_view.beat_ms = retry_ms
        world.deadlines.add(retry_ms)


def _note_told(world: World, beat: PendingHeartbeat) -> None:
    if beat.reported and beat.incarnation != world.agreed.lease.incarnation:
        return
    for task_id, state in beat.reported:
        if task_id in world.tasks:
            world.tasks.update(task_id, reported=state)


def _report_later(world: World, now_ms: int, pause_ms: int) -> None:
    world.heartbeat_view.report_ms = now_ms + pause_ms
    world.deadlines.add(now_ms + pause_ms)
