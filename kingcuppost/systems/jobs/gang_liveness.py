"""When a gang counts as lost, and when no member of it can run any more."""

from kingcuppost.settings import effective_value, team_path
from kingcuppost.systems.jobs.member_reports import BROKEN_STATES, gang_members
from kingcuppost.systems.leases import (
    full_period_ms,
    grace_ms,
    isolation_ms,
    lease_ms,
    reservation_ms,
)
from kingcuppost.tables.job import Gang
from kingcuppost.tables.task import Reservation, TaskState
from kingcuppost.tables.world import World

__all__ = ["stopped_by_ms", "member_timeout_ms", "lost_reason"]

LEASES_UNTIL_STOPPED = 2
CLOCK_DRIFT_MARGIN_MS = 500
MAX_MISSED_FULL_REPORTS = 2


def _setting(world: World, gang: Gang, key: str) -> int:
    return effective_value(world.agreed, key, team_path(gang.team))


def _recently_reported(world: World, gang: Gang, now_ms: int) -> list[Reservation]:
    timeout_ms = member_timeout_ms(world, gang)
    rows = gang_members(world, gang.key)
    return [row for row in rows if now_ms - row.heard_ms < timeout_ms]


def _last_report_ms(world: World, gang: Gang, since_ms: int) -> int:
    rows = gang_members(world, gang.key)
    return max(since_ms, *(row.heard_ms for row in rows), since_ms)


def lost_reason(world: World, gang: Gang, since_ms: int, now_ms: int) -> str:
    """Return why a released gang can't finish any more; empty if it may.

    While a member is heard running, its leader holds the gang whole, though the
    scheduler may be cut off from others. If all that are heard have finished, a
    silent one is lost. If none is heard, the gang may run cut off from here for
    as long as the isolation bound lets it.

    Parameters
    ----------
    world : World
        Tables of the process.
    gang : Gang
        A released gang.
    since_ms : int
        When this process first saw it released.
    now_ms : int
        Monotonic time.
    """
    heard = _recently_reported(world, gang, now_ms)
    if len(heard) == len(gang.placements):
        return ""
    if any(row.state is not TaskState.FINISHED for row in heard):
        return ""
    if not heard:
        timeout_ms = max(isolation_ms(world), member_timeout_ms(world, gang))
        silent_ms = now_ms - _last_report_ms(world, gang, since_ms)
        return f"no member heard for {timeout_ms} ms" if silent_ms >= timeout_ms else ""
    timeout_ms = member_timeout_ms(world, gang)
    if now_ms - since_ms < timeout_ms:
        return ""
    return f"a member was not heard for {timeout_ms} ms and no other runs"


def member_timeout_ms(world: World, gang: Gang) -> int:
    """Return the silence after which a member is not counted on, in ms.

    Members are reported when their state changes, and all once in a long period;
    two of those periods may go by without a report.
    """
    missed_ms = MAX_MISSED_FULL_REPORTS * full_period_ms(world)
    return _setting(world, gang, "job.lost_ms") + missed_ms


def stopped_by_ms(world: World, gang: Gang, since_ms: int) -> int:
    """Return from when on no member of a stopping gang can run.

    A member that failed or was stopped reports to its leader no more, so that the
    leader and then all others lapse. One that has finished breaks no gang. With no
    such word the gang may be cut off whole, and its isolation bound ends it. A
    gang that was never released holds reservations only.

    Parameters
    ----------
    world : World
        Tables of the process.
    gang : Gang
        A stopping gang.
    since_ms : int
        When this process first saw it stopping.
    """
    if not gang.released_wall_ms:
        return since_ms + reservation_ms(world) + CLOCK_DRIFT_MARGIN_MS
    leases_ms = LEASES_UNTIL_STOPPED * lease_ms(world, gang)
    timeout_ms = leases_ms + grace_ms(world, gang) + CLOCK_DRIFT_MARGIN_MS
    isolated_ms = since_ms + timeout_ms + isolation_ms(world)
    rows = gang_members(world, gang.key)
    broken_ms = [row.since_ms for row in rows if row.state in BROKEN_STATES]
    if not broken_ms:
        return isolated_ms
    return min(isolated_ms, max(since_ms, min(broken_ms)) + timeout_ms)
