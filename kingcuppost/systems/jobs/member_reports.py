"""Reports of sidecars to the scheduler about gang members."""

from kingcuppost.settings import effective_value
from kingcuppost.systems.registry import Phase, system
from kingcuppost.tables.identity import Role
from kingcuppost.tables.job import gang_key
from kingcuppost.tables.task import MemberReport, MemberStatus, TaskState
from kingcuppost.tables.world import World

__all__ = ["BROKEN_STATES", "ENDED_STATES", "gang_members", "handle_member_reports"]

BROKEN_STATES = frozenset({TaskState.FAILED, TaskState.STOPPED, TaskState.REFUSED})
ENDED_STATES = BROKEN_STATES | {TaskState.FINISHED}
REFRESHES_PER_TIMEOUT = 4


def gang_members(world: World, key: str) -> list[MemberStatus]:
    """Return the rows of a gang's members that sidecars have reported."""
    return world.member_statuses.find("key", key)


@system(Phase.MEMBERSHIP, roles=(Role.ENTRY,), order=50)
def handle_member_reports(world: World, now_ms: int) -> None:
    """Store the states of members that sidecars report.

    A final state stays, even if an older report arrives later. The time of the last
    report is updated at most `REFRESHES_PER_TIMEOUT` times within `job.lost_ms`.
    """
    refresh_ms = effective_value(world.agreed, "job.lost_ms") // REFRESHES_PER_TIMEOUT
    for report in world.inbox.take(MemberReport):
        key = gang_key(report.job, report.incarnation)
        if key not in world.agreed.gangs:
            continue
        member_id = f"{key}/{report.member}"
        row = world.member_statuses.get(member_id)
        if row is None or (row.state != report.state and row.state not in ENDED_STATES):
            status = MemberStatus(member_id, key, report.state, now_ms, now_ms)
            world.member_statuses.put(status)
            world.gang_view.due.set(key, now_ms)
        elif now_ms - row.last_report_ms >= refresh_ms:
            world.member_statuses.update(member_id, last_report_ms=now_ms)
