"""Confirmation of gangs by their leader, which extends the members' leases.

The sidecar of member 0 is the leader. It confirms the gang only while every member
has finished or was reported running within the past half lease. A confirmation is
valid for half of the lease from the sending of the reports that it answers. Therefore
no gang runs with part of its members for longer than the lease, and neither the log
nor the scheduler is needed to ensure this.
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
    "handle_leader_replies",
    "handle_gang_reports",
    "make_report",
    "propose_gang_finishes",
    "report_to_leaders",
]

STATUS_OK = 200
HEALTHY_STATES = (TaskState.RUNNING, TaskState.FINISHED)
UNHEALTHY_STATES = (TaskState.FAILED, TaskState.STOPPING, TaskState.STOPPED)
REPORTS_PER_CONFIRMATION = 3


def make_report(task: MemberTask) -> MemberReport:
    """Return the report on a member."""
    return MemberReport(
        task.job, task.incarnation, task.member, task.state, task.result
    )


def _released_tasks(world: World) -> list[tuple[Gang, MemberTask]]:
    """Return the members to be reported to leaders, each with its released gang."""
    pairs = []
    for state in (*HEALTHY_STATES, *UNHEALTHY_STATES):
        for task in world.tasks.find("state", state):
            gang = gang_of(world, task)
            if gang is not None and gang.state is GangState.RELEASED:
                pairs.append((gang, task))
    return pairs


@system(Phase.ACT, roles=(Role.SIDECAR,), order=10)
def report_to_leaders(world: World, now_ms: int) -> None:
    """Report members to their leaders, with one message for each leader."""
    if now_ms < world.worker_order_view.next_report_ms:
        return
    pairs = _released_tasks(world)
    if not pairs:
        return
    by_leader = defaultdict(list)
    for gang, task in pairs:
        report = _make_aged_report(world, task, now_ms)
        by_leader[gang.placements[0].worker].append(report)
    period_ms = min(_report_period_ms(world, gang) for gang, _ in pairs)
    world.worker_order_view.next_report_ms = now_ms + period_ms
    world.deadlines.add(world.worker_order_view.next_report_ms)
    for leader, reports in by_leader.items():
        _send_reports(world, leader, tuple(reports), period_ms, now_ms)


def _make_aged_report(world: World, task: MemberTask, now_ms: int) -> MemberReport:
    """Return a report that is as old as the last order that the worker answered.

    A running member therefore counts as running only while its worker answers orders.
    """
    report = make_report(task)
    if task.state is not TaskState.RUNNING:
        return report
    return replace(
        report, age_ms=max(now_ms - world.worker_order_view.last_confirmed_order_ms, 0)
    )


def _report_period_ms(world: World, gang: Gang) -> int:
    return confirmation_ms(world, gang) // REPORTS_PER_CONFIRMATION


def _send_reports(
    world: World,
    leader: str,
    reports: tuple[MemberReport, ...],
    timeout_ms: int,
    now_ms: int,
) -> None:
    own_worker = world.cfg.sidecar.worker.name
    if leader == own_worker:
        reply = _record_reports(world, reports, now_ms)
        world.inbox.put(
            GangReplyArrived(own_worker, True, now_ms, reply.whole, reply.broken)
        )
        return
    worker = world.agreed.workers.get(leader)
    minion = world.agreed.minions.get(worker.minion) if worker else None
    if minion is not None:
        world.outbox.put(
            SendGangReports(
                leader,
                minion.host,
                minion.peer_port,
                own_worker,
                reports,
                timeout_ms,
                now_ms,
            )
        )


@system(Phase.MEMBERSHIP, roles=(Role.SIDECAR,), order=60)
def handle_gang_reports(world: World, now_ms: int) -> None:
    """Record members' reports, and answer which gangs are whole or broken."""
    for message in world.inbox.take(GangReportArrived):
        reply = _record_reports(world, message.reports, now_ms)
        world.outbox.put(Reply(message.exchange_id, STATUS_OK, reply))


def _record_reports(
    world: World, reports: tuple[MemberReport, ...], now_ms: int
) -> GangReply:
    gangs = {}
    for report in reports:
        gang = world.agreed.gangs.get(gang_key(report.job, report.incarnation))
        if gang is not None and gang.state is GangState.RELEASED:
            gangs[gang.key] = gang
            _record_report(_ensure_monitor(world, gang, now_ms), report, now_ms)
    whole = []
    broken = []
    for gang in gangs.values():
        monitor = world.gang_monitors.get(gang.key)
        _check_missed_reports(world, gang, monitor, now_ms)
        if monitor.broken_reason:
            broken.append(gang.key)
        elif len(monitor.last_report_ms) == len(gang.placements):
            whole.append(gang.key)
    return GangReply(world.cfg.sidecar.worker.name, tuple(whole), tuple(broken))


def _ensure_monitor(world: World, gang: Gang, now_ms: int) -> GangMonitor:
    monitor = world.gang_monitors.get(gang.key)
    if monitor is None:
        monitor = GangMonitor(gang.key, now_ms, {}, {})
        world.gang_monitors.put(monitor)
    return monitor


def _record_report(monitor: GangMonitor, report: MemberReport, now_ms: int) -> None:
    if report.state is TaskState.FINISHED:
        monitor.results[report.member] = report.result
    if report.state in HEALTHY_STATES:
        monitor.last_report_ms[report.member] = now_ms - report.age_ms
    else:
        monitor.broken_reason = f"member {report.member} is {report.state}"


def _check_missed_reports(
    world: World, gang: Gang, monitor: GangMonitor, now_ms: int
) -> None:
    if monitor.broken_reason:
        return
    limit_ms = confirmation_ms(world, gang)
    for member in range(len(gang.placements)):
        last_report_ms = monitor.last_report_ms.get(member, monitor.since_ms)
        if member not in monitor.results and now_ms - last_report_ms >= limit_ms:
            monitor.broken_reason = (
                f"member {member} was not reported running for {limit_ms} ms"
            )
            note(
                world,
                "gang.broken",
                f"Gang broken: {monitor.broken_reason}.",
                job=gang.job,
            )
            return


@system(Phase.DECIDE, roles=(Role.SIDECAR,), order=90)
def propose_gang_finishes(world: World, now_ms: int) -> None:
    """Propose the finish of gangs whose members have all finished.

    The result of member 0 becomes that of the job. A process proposes each finish once.
    Monitors of gangs that are stopping or have ended are deleted.
    """
    for monitor in world.gang_monitors:
        gang = world.agreed.gangs.get(monitor.key)
        if gang is None or gang.state is GangState.STOPPING:
            world.gang_monitors.delete(monitor.key)
        elif (
            len(monitor.results) == len(gang.placements)
            and not monitor.finish_record_id
        ):
            body = GangFinish(gang.job, gang.incarnation, monitor.results[0])
            monitor.finish_record_id = propose(world, body, now_ms)


@system(Phase.INTAKE, roles=(Role.SIDECAR,), order=20)
def handle_leader_replies(world: World, now_ms: int) -> None:
    """Extend the leases in whole gangs, and stop the running members of broken ones."""
    for reply in world.inbox.take(GangReplyArrived):
        for key in reply.whole:
            _extend_leases(world, key, reply.sent_ms)
        for key in reply.broken:
            for task in _running_tasks(world, key):
                stop_task(world, task, now_ms)


def _running_tasks(world: World, key: str) -> list[MemberTask]:
    return [
        task
        for task in world.tasks.find("state", TaskState.RUNNING)
        if gang_key(task.job, task.incarnation) == key
    ]


def _extend_leases(world: World, key: str, sent_ms: int) -> None:
    gang = world.agreed.gangs.get(key)
    if gang is None:
        return
    lease_expiry_ms = sent_ms + confirmation_ms(world, gang)
    for task in _running_tasks(world, key):
        extended_ms = max(task.lease_expiry_ms, lease_expiry_ms)
        world.tasks.update(task.task_id, lease_expiry_ms=extended_ms, confirmed=True)
        world.deadlines.add(extended_ms)
