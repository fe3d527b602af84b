"""When a gang counts as lost, and when no member of it can run any more."""

from kingcuppost.settings import effective_value, team_path
from kingcuppost.systems.jobs.reports import BROKEN_STATES, members_of
from kingcuppost.systems.member_timing import (
    full_report_period_ms,
    grace_ms,
    isolation_ms,
    lease_ms,
    reservation_ms,
)
from kingcuppost.tables.job import Gang
from kingcuppost.tables.task import Reservation, TaskState
from kingcuppost.tables.world import World

__all__ = ["lapsed_ms", "lost_ms", "lost_reason"]

LEASES_UNTIL_LAPSED = 2
CLOCK_DRIFT_MARGIN_MS = 500
FULL_REPORTS_MISSED = 2


def _setting(world: World, gang: Gang, key: str) -> int:
    return effective_value(world.agreed, key, team_path(gang.team))


def _heard_lately(world: World, gang: Gang, now_ms: int) -> list[Reservation]:
    bound_ms = lost_ms(world, gang)
    rows = members_of(world, gang.key)
    return [row for row in rows if now_ms - row.last_report_ms < bound_ms]


def _last_heard_ms(world: World, gang: Gang, since_ms: int) -> int:
    rows = members_of(world, gang.key)
    return max(since_ms, *(row.last_report_ms for row in rows), since_ms)


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
    heard = _heard_lately(world, gang, now_ms)
    if len(heard) == len(gang.placements):
        return ""
    if any(row.state is not TaskState.FINISHED for row in heard):
        return ""
    if not heard:
        bound_ms = max(isolation_ms(world), lost_ms(world, gang))
        silent_ms = now_ms - _last_heard_ms(world, gang, since_ms)
        return f"no member heard for {bound_ms} ms" if silent_ms >= bound_ms else ""
    bound_ms = lost_ms(world, gang)
    if now_ms - since_ms < bound_ms:
        return ""
    return f"a member was not heard for {bound_ms} ms and no other runs"


def lost_ms(world: World, gang: Gang) -> int:
    """Return the silence after which a member is not counted on, in ms.

    Members are reported when their state changes, and all once in a long period;
    two of those periods may go by without a report.
    """
    missed_ms = FULL_REPORTS_MISSED * full_report_period_ms(world)
    return _setting(world, gang, "job.lost_ms") + missed_ms


def lapsed_ms(world: World, gang: Gang, since_ms: int) -> int:
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
    leases_ms = LEASES_UNTIL_LAPSED * lease_ms(world, gang)
    bound_ms = leases_ms + grace_ms(world, gang) + CLOCK_DRIFT_MARGIN_MS
    isolated_ms = since_ms + bound_ms + isolation_ms(world)
    rows = members_of(world, gang.key)
    broken_ms = [row.since_ms for row in rows if row.state in BROKEN_STATES]
    if not broken_ms:
        return isolated_ms
    return min(isolated_ms, max(since_ms, min(broken_ms)) + bound_ms)
