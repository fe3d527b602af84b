"""What sidecars tell the scheduler of their members."""

from kingcuppost.settings import effective_value
from kingcuppost.systems.registry import Phase, system
from kingcuppost.tables.identity import Role
from kingcuppost.tables.job import gang_key
from kingcuppost.tables.task import MemberReport, Reservation, TaskState
from kingcuppost.tables.world import World

__all__ = ["BROKEN_STATES", "OVER_STATES", "members_of", "take_reports"]

BROKEN_STATES = frozenset({TaskState.FAILED, TaskState.STOPPED, TaskState.REFUSED})
OVER_STATES = BROKEN_STATES | {TaskState.FINISHED}
REFRESHES_PER_BOUND = 4


def members_of(world: World, key: str) -> list[Reservation]:
    """Return what is known of a gang's members."""
    return world.reservations.find("key", key)


@system(Phase.MEMBERSHIP, roles=(Role.ENTRY,), order=50)
def take_reports(world: World, now_ms: int) -> None:
    """Remember what sidecars say of their members.

    A member that is over stays so, also when an older report comes late.
    """
    refresh_ms = effective_value(world.agreed, "job.lost_ms") // REFRESHES_PER_BOUND
    for report in world.inbox.take(MemberReport):
        key = gang_key(report.job, report.incarnation)
        if key not in world.agreed.gangs:
            continue
        member_id = f"{key}/{report.member}"
        row = world.reservations.get(member_id)
        if row is None or (row.state != report.state and row.state not in OVER_STATES):
            known = Reservation(member_id, key, report.state, now_ms, now_ms)
            world.reservations.put(known)
            world.gang_view.due.set(key, now_ms)
        elif now_ms - row.last_report_ms >= refresh_ms:
            world.reservations.update(member_id, last_report_ms=now_ms)
