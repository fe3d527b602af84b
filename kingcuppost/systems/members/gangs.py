"""Members and the leader of their gang keep each other's leases alive.

The sidecar of member 0 leads. It confirms the gang only while it has heard every
member run or finish within half of the lease, and a confirmation lasts for half
of the lease from when the member reported. So no gang runs with part of its
members for longer than the lease, without the log and without the scheduler.
"""

from collections import defaultdict
from dataclasses import replace

from kingcuppost.systems.agreement.propose import propose
from kingcuppost.systems.events import note
from kingcuppost.systems.member_timing import confirmation_ms
from kingcuppost.systems.members.orders import gang_of
from kingcuppost.systems.members.stopping import stop_task
from kingcuppost.systems.registry import Phase, system
from kingcuppost.tables.identity import Role
from kingcuppost.tables.inbox import GangReplyArrived, GangReportArrived
from kingcuppost.tables.job import Gang, GangState, gang_key
from kingcuppost.tables.outbox import Reply, SendGangReports
from kingcuppost.tables.record import GangFinish
from kingcuppost.tables.replies import GangReply
from kingcuppost.tables.task import GangMonitor, MemberReport, MemberTask, TaskState
from kingcuppost.tables.world import World

__all__ = [
    "hear_members",
    "report_of",
    "report_to_leaders",
    "take_leader_replies",
    "watch_gangs",
]

ALIVE_STATES = (TaskState.RUNNING, TaskState.FINISHED)
BROKEN_STATES = (TaskState.FAILED, TaskState.STOPPING, TaskState.STOPPED)
REPORTS_PER_CONFIRM = 3


def report_of(task: MemberTask) -> MemberReport:
    """Return what a member says of itself."""
    return MemberReport(
        task.job, task.incarnation, task.member, task.state, task.result
    )


def _released_tasks(world: World) -> list[tuple[Gang, MemberTask]]:
    pairs = []
    for state in (*ALIVE_STATES, *BROKEN_STATES):
        for task in world.tasks.find("state", state):
            gang = gang_of(world, task)
            if gang is not None and gang.state is GangState.RELEASED:
                pairs.append((gang, task))
    return pairs


@system(Phase.ACT, roles=(Role.SIDECAR,), order=10)
def report_to_leaders(world: World, now_ms: int) -> None:
    """Tell leaders how members are, all members of a leader in one message."""
    if now_ms < world.worker_view.report_ms:
        return
    pairs = _released_tasks(world)
    if not pairs:
        return
    by_leader = defaultdict(list)
    for gang, task in pairs:
        report = _aged_report(world, task, now_ms)
        by_leader[gang.placements[0].worker].append(report)
    period_ms = min(_report_period_ms(world, gang) for gang, _ in pairs)
    world.worker_view.report_ms = now_ms + period_ms
    world.deadlines.add(world.worker_view.report_ms)
    for leader, reports in by_leader.items():
        _report(world, leader, tuple(reports), period_ms, now_ms)


def _aged_report(world: World, task: MemberTask, now_ms: int) -> MemberReport:
    """Return a report that a running member can't outlive its worker by."""
    report = report_of(task)
    if task.state is not TaskState.RUNNING:
        return report
    return replace(report, age_ms=max(now_ms - world.worker_view.heard_ms, 0))


def _report_period_ms(world: World, gang: Gang) -> int:
    return confirmation_ms(world, gang) // REPORTS_PER_CONFIRM


def _report(
    world: World,
    leader: str,
    reports: tuple[MemberReport, ...],
    timeout_ms: int,
    now_ms: int,
) -> None:
    own = world.cfg.sidecar.worker.name
    if leader == own:
        reply = _hear(world, reports, now_ms)
        world.inbox.put(GangReplyArrived(own, True, now_ms, reply.whole, reply.broken))
        return
    worker = world.agreed.workers.get(leader)
    minion = world.agreed.minions.get(worker.minion) if worker else None
    if minion is not None:
        world.outbox.put(
            SendGangReports(
                leader, minion.host, minion.peer_port, own, reports, timeout_ms, now_ms
            )
        )


@system(Phase.MEMBERSHIP, roles=(Role.SIDECAR,), order=60)
def hear_members(world: World, now_ms: int) -> None:
    """Note members' reports and answer which gangs are whole."""
    for message in world.inbox.take(GangReportArrived):
        reply = _hear(world, message.reports, now_ms)
        world.outbox.put(Reply(message.exchange_id, 200, reply))


def _hear(world: World, reports: tuple[MemberReport, ...], now_ms: int) -> GangReply:
    gangs = {}
    for report in reports:
        gang = world.agreed.gangs.get(gang_key(report.job, report.incarnation))
        if gang is not None and gang.state is GangState.RELEASED:
            gangs[gang.key] = gang
            _note_report(_watch_of(world, gang, now_ms), report, now_ms)
    whole = []
    broken = []
    for gang in gangs.values():
        watch = world.gang_monitors.get(gang.key)
        _check_silence(world, gang, watch, now_ms)
        if watch.broken:
            broken.append(gang.key)
        elif len(watch.last_report_ms) == len(gang.placements):
            whole.append(gang.key)
    return GangReply(world.cfg.sidecar.worker.name, tuple(whole), tuple(broken))


def _watch_of(world: World, gang: Gang, now_ms: int) -> GangMonitor:
    watch = world.gang_monitors.get(gang.key)
    if watch is None:
        watch = GangMonitor(gang.key, now_ms, {}, {})
        world.gang_monitors.put(watch)
    return watch


def _note_report(watch: GangMonitor, report: MemberReport, now_ms: int) -> None:
    if report.state is TaskState.FINISHED:
        watch.results[report.member] = report.result
    if report.state in ALIVE_STATES:
        watch.last_report_ms[report.member] = now_ms - report.age_ms
    else:
        watch.broken = f"member {report.member} is {report.state}"


def _check_silence(world: World, gang: Gang, watch: GangMonitor, now_ms: int) -> None:
    if watch.broken:
        return
    bound_ms = confirmation_ms(world, gang)
    for member in range(len(gang.placements)):
        heard_ms = watch.last_report_ms.get(member, watch.since_ms)
        if member not in watch.results and now_ms - heard_ms >= bound_ms:
            watch.broken = f"member {member} was silent for {bound_ms} ms"
            note(world, "gang.broken", f"Gang broken: {watch.broken}.", job=gang.job)
            return


@system(Phase.DECIDE, roles=(Role.SIDECAR,), order=90)
def watch_gangs(world: World, now_ms: int) -> None:
    """Propose the finish of gangs whose members have all finished."""
    for watch in world.gang_monitors:
        gang = world.agreed.gangs.get(watch.key)
        if gang is None or gang.state is GangState.STOPPING:
            world.gang_monitors.delete(watch.key)
        elif len(watch.results) == len(gang.placements) and not watch.finish_id:
            body = GangFinish(gang.job, gang.incarnation, watch.results[0])
            watch.finish_id = propose(world, body, now_ms)


@system(Phase.INTAKE, roles=(Role.SIDECAR,), order=20)
def take_leader_replies(world: World, now_ms: int) -> None:
    """Prolong members whose gang is whole, stop those whose gang is broken."""
    for reply in world.inbox.take(GangReplyArrived):
        for key in reply.whole:
            _prolong(world, key, reply.sent_ms)
        for key in reply.broken:
            for task in _running_tasks(world, key):
                stop_task(world, task, now_ms)


def _running_tasks(world: World, key: str) -> list[MemberTask]:
    return [
        task
        for task in world.tasks.find("state", TaskState.RUNNING)
        if gang_key(task.job, task.incarnation) == key
    ]


def _prolong(world: World, key: str, sent_ms: int) -> None:
    gang = world.agreed.gangs.get(key)
    if gang is None:
        return
    lease_ms = sent_ms + confirmation_ms(world, gang)
    for task in _running_tasks(world, key):
        prolonged_ms = max(task.lease_ms, lease_ms)
        world.tasks.update(task.task_id, lease_ms=prolonged_ms, confirmed=True)
        world.deadlines.add(prolonged_ms)
