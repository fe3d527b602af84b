"""The scheduler's part in a gang's life: release, stop, end."""

from kingcuppost.settings import effective_value, team_path
from kingcuppost.systems.agreement.lease import is_scheduler
from kingcuppost.systems.agreement.propose import propose
from kingcuppost.systems.registry import Phase, system
from kingcuppost.tables.identity import Role
from kingcuppost.tables.job import Gang, GangState, gang_key
from kingcuppost.tables.record import GangEnd, GangRelease, GangStop
from kingcuppost.tables.task import MemberReport, Reservation, TaskState
from kingcuppost.tables.world import World

__all__ = ["advance_gangs", "take_reports"]

OVER_STATES = frozenset(
    {TaskState.FINISHED, TaskState.FAILED, TaskState.STOPPED, TaskState.REFUSED}
)
BROKEN_STATES = frozenset({TaskState.FAILED, TaskState.STOPPED, TaskState.REFUSED})
LEASES_UNTIL_LAPSED = 2
CLOCK_DRIFT_MARGIN_MS = 500


@system(Phase.MEMBERSHIP, roles=(Role.ENTRY,))
def take_reports(world: World, now_ms: int) -> None:
    """Remember what sidecars say of their members."""
    for report in world.inbox.take(MemberReport):
        key = gang_key(report.job, report.incarnation)
        member_id = f"{key}/{report.member}"
        if key in world.agreed.gangs:
            world.reservations.put(Reservation(member_id, key, report.state, now_ms))


@system(Phase.DECIDE, roles=(Role.ENTRY,))
def advance_gangs(world: World, now_ms: int) -> None:
    """Propose the next step of every gang that is due for one."""
    if not is_scheduler(world):
        return
    pending = {
        gang_key(row.record.body.job, row.record.body.incarnation)
        for row in world.proposals
        if isinstance(row.record.body, GangRelease | GangStop | GangEnd)
    }
    for gang in world.agreed.gangs:
        if gang.key not in pending:
            _advance(world, gang, now_ms)


def _advance(world: World, gang: Gang, now_ms: int) -> None:
    since_ms = _note_stage(world, gang, now_ms)
    states = {row.member_id: row.state for row in _members(world, gang)}
    if gang.state is GangState.RESERVING:
        _advance_reserving(world, gang, list(states.values()), since_ms, now_ms)
    elif gang.state is GangState.RELEASED:
        _advance_released(world, gang, now_ms)
    else:
        _advance_stopping(world, gang, list(states.values()), since_ms, now_ms)


def _members(world: World, gang: Gang) -> list[Reservation]:
    return world.reservations.find("key", gang.key)


def _note_stage(world: World, gang: Gang, now_ms: int) -> int:
    """Return when this process first saw the gang in its present state, in ms."""
    seen = world.gang_stages.get(gang.key)
    if seen is None or seen[0] != gang.state:
        world.gang_stages[gang.key] = (gang.state, now_ms)
        return now_ms
    return seen[1]


def _advance_reserving(
    world: World, gang: Gang, states: list[TaskState], since_ms: int, now_ms: int
) -> None:
    bound_ms = effective_value(
        world.agreed, "job.reserve_timeout_ms", team_path(gang.team)
    )
    term = world.agreed.lease.term
    if BROKEN_STATES.intersection(states):
        _stop(world, gang, "a member was refused", now_ms)
    elif states.count(TaskState.RESERVED) == len(gang.placements):
        propose(world, GangRelease(term, gang.job, gang.incarnation), now_ms)
    elif now_ms - since_ms >= bound_ms:
        _stop(world, gang, f"not all members reserved in {bound_ms} ms", now_ms)
    else:
        world.deadlines.add(since_ms + bound_ms)


def _advance_released(world: World, gang: Gang, now_ms: int) -> None:
    for row in _members(world, gang):
        if row.state in BROKEN_STATES:
            member = int(row.member_id.rpartition("/")[2])
            worker = gang.placements[member].worker
            failed = worker if row.state is TaskState.FAILED else ""
            _stop(world, gang, f"member {member} is {row.state}", now_ms, failed)
            return


def _stop(
    world: World, gang: Gang, reason: str, now_ms: int, failed_worker: str = ""
) -> None:
    term = world.agreed.lease.term
    body = GangStop(term, gang.job, gang.incarnation, reason, failed_worker)
    propose(world, body, now_ms)


def _advance_stopping(
    world: World, gang: Gang, states: list[TaskState], since_ms: int, now_ms: int
) -> None:
    over = sum(state in OVER_STATES for state in states)
    lapsed_ms = since_ms + _lapse_ms(world, gang, over)
    if over == len(gang.placements) or now_ms >= lapsed_ms:
        body = GangEnd(world.agreed.lease.term, gang.job, gang.incarnation)
        propose(world, body, now_ms)
        return
    world.deadlines.add(lapsed_ms)


def _lapse_ms(world: World, gang: Gang, over: int) -> int:
    """Return how long after the stop no member can run any more.

    One member that is over reports to its leader no more, so that the leader
    and then all others lapse. With no word from any member, the gang may be cut
    off whole, and only its isolation bound ends it.
    """
    path = team_path(gang.team)
    lease_ms = effective_value(world.agreed, "job.lease_ms", path)
    grace_ms = effective_value(world.agreed, "job.checkpoint_grace_ms", path)
    bound_ms = LEASES_UNTIL_LAPSED * lease_ms + grace_ms + CLOCK_DRIFT_MARGIN_MS
    if over == 0 and gang.released_wall_ms:
        bound_ms += effective_value(world.agreed, "job.isolation_ms", path)
    return bound_ms
