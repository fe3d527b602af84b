"""Time limits after which a gang is lost, or none of its members can still run."""

from kingcuppost.settings import effective_value, team_path
from kingcuppost.systems.jobs.member_reports import BROKEN_STATES, gang_members
from kingcuppost.systems.member_timing import (
    full_report_period_ms,
    grace_ms,
    isolation_ms,
    lease_ms,
    reservation_ms,
)
from kingcuppost.tables.job import Gang
from kingcuppost.tables.task import MemberStatus, TaskState
from kingcuppost.tables.world import World

__all__ = ["lost_reason", "member_timeout_ms", "stopped_by_ms"]

LEASES_UNTIL_STOPPED = 2
CLOCK_DRIFT_MARGIN_MS = 500
MAX_MISSED_FULL_REPORTS = 2


def _setting(world: World, gang: Gang, key: str) -> int:
    return effective_value(world.agreed, key, team_path(gang.team))


def _recently_reported(world: World, gang: Gang, now_ms: int) -> list[MemberStatus]:
    timeout_ms = member_timeout_ms(world, gang)
    rows = gang_members(world, gang.key)
    return [row for row in rows if now_ms - row.last_report_ms < timeout_ms]


def _last_report_ms(world: World, gang: Gang, since_ms: int) -> int:
    rows = gang_members(world, gang.key)
    return max(since_ms, *(row.last_report_ms for row in rows), since_ms)


def lost_reason(world: World, gang: Gang, since_ms: int, now_ms: int) -> str:
    """Return why a released gang can no longer finish; empty if it still may.

    A member runs only while the gang's leader confirms that the gang is whole. One
    reported member that has not finished is therefore enough, even if the scheduler
    cannot reach the others. If all members that report have finished, one that does
    not report is lost. If no member reports, the gang may be partitioned from this
    process and can run until its isolation limit.

    Parameters
    ----------
    world : World
        Tables of the process.
    gang : Gang
        A released gang.
    since_ms : int
        When this process first observed the gang in this state, monotonic ms.
    now_ms : int
        Monotonic time.
    """
    recent = _recently_reported(world, gang, now_ms)
    if len(recent) == len(gang.placements):
        return ""
    if any(row.state is not TaskState.FINISHED for row in recent):
        return ""
    if not recent:
        timeout_ms = max(isolation_ms(world), member_timeout_ms(world, gang))
        unreported_ms = now_ms - _last_report_ms(world, gang, since_ms)
        return (
            f"no member heard for {timeout_ms} ms"
            if unreported_ms >= timeout_ms
            else ""
        )
    timeout_ms = member_timeout_ms(world, gang)
    if now_ms - since_ms < timeout_ms:
        return ""
    return f"a member was not heard for {timeout_ms} ms and no other runs"


def member_timeout_ms(world: World, gang: Gang) -> int:
    """Return the time without a report after which a member is lost, in ms.

    A sidecar reports changes of state at once, and all members once in each full
    report period. Two full reports may be missed.
    """
    missed_ms = MAX_MISSED_FULL_REPORTS * full_report_period_ms(world)
    return _setting(world, gang, "job.lost_ms") + missed_ms


def stopped_by_ms(world: World, gang: Gang, since_ms: int) -> int:
    """Return the time from which no member of a stopping gang can run, monotonic ms.

    A member that failed or was stopped no longer reports to the leader, so that the
    leases of the leader and then of all other members expire. A finished member does
    not have this effect. Without a report of a failed or stopped member, the whole
    gang may be partitioned from this process, and only its isolation limit ends it.
    A gang that was never released has only reservations at its workers, which expire.

    Parameters
    ----------
    world : World
        Tables of the process.
    gang : Gang
        A stopping gang.
    since_ms : int
        When this process first observed the gang in this state, monotonic ms.
    """
    if not gang.released_wall_ms:
        return since_ms + reservation_ms(world) + CLOCK_DRIFT_MARGIN_MS
    lease_sum_ms = LEASES_UNTIL_STOPPED * lease_ms(world, gang)
    timeout_ms = lease_sum_ms + grace_ms(world, gang) + CLOCK_DRIFT_MARGIN_MS
    isolation_end_ms = since_ms + timeout_ms + isolation_ms(world)
    rows = gang_members(world, gang.key)
    broken_ms = [row.since_ms for row in rows if row.state in BROKEN_STATES]
    if not broken_ms:
        return isolation_end_ms
    return min(isolation_end_ms, max(since_ms, min(broken_ms)) + timeout_ms)
