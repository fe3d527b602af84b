"""The scheduler's part in a gang's life: release, stop, end.

A gang is looked at when its row or a member's state changes, and when a bound of
it is over; the cost of a tick follows what changed.
"""

from kingcuppost.settings import effective_value, team_path
from kingcuppost.systems.agreement.propose import propose
from kingcuppost.systems.agreement.scheduling_lease import is_scheduler
from kingcuppost.systems.jobs.bounds import lapsed_ms, lost_ms, lost_reason
from kingcuppost.systems.jobs.faults import avoid_worker, trust_worker
from kingcuppost.systems.jobs.reports import BROKEN_STATES, OVER_STATES, members_of
from kingcuppost.systems.registry import Phase, system
from kingcuppost.tables.gang_view import GangStage
from kingcuppost.tables.identity import Role
from kingcuppost.tables.job import Gang, GangState, gang_key
from kingcuppost.tables.record import GangEnd, GangRelease, GangStop, RecordBody
from kingcuppost.tables.task import Reservation, TaskState
from kingcuppost.tables.world import World

__all__ = ["advance_gangs"]

LOOK_AGAIN_MS = 1_000


@system(Phase.DECIDE, roles=(Role.ENTRY,), order=30)
def advance_gangs(world: World, now_ms: int) -> None:
    """Propose the next step of every gang that is due for one."""
    keys = world.agreed.gangs.take_changes("advance")
    if not is_scheduler(world):
        _forget_all(world)
        return
    if world.gang_view.term != world.agreed.lease.term:
        keys = _take_over(world)
    keys.extend(world.gang_view.due.take(now_ms))
    if not keys:
        return
    pending = _pending(world)
    for key in dict.fromkeys(keys):
        gang = world.agreed.gangs.get(key)
        if gang is None:
            _forget(world, key)
        elif key in pending:
            _look_again(world, key, now_ms + LOOK_AGAIN_MS)
        else:
            _advance(world, gang, now_ms)


def _forget_all(world: World) -> None:
    """Drop what an earlier term of this process left, once for each term."""
    if world.gang_view.term != world.agreed.lease.term:
        world.gang_view.term = world.agreed.lease.term
        world.reservations.clear()
        world.gang_view.stages.clear()
        world.gang_view.due.clear()


def _take_over(world: World) -> list[str]:
    """Begin a term: all gangs are looked at, and bounds count from now."""
    world.gang_view.term = world.agreed.lease.term
    world.gang_view.stages.clear()
    return [gang.key for gang in world.agreed.gangs]


def _forget(world: World, key: str) -> None:
    world.gang_view.stages.pop(key, None)
    world.gang_view.due.discard(key)
    for row in members_of(world, key):
        world.reservations.delete(row.member_id)


def _pending(world: World) -> set[str]:
    return {
        gang_key(row.record.body.job, row.record.body.incarnation)
        for row in world.proposals
        if isinstance(row.record.body, GangRelease | GangStop | GangEnd)
    }


def _look_again(world: World, key: str, at_ms: int) -> None:
    world.gang_view.due.set(key, at_ms)
    world.deadlines.add(at_ms)


def _advance(world: World, gang: Gang, now_ms: int) -> None:
    since_ms = _note_stage(world, gang, now_ms)
    if gang.state is GangState.RESERVING:
        _advance_reserving(world, gang, since_ms, now_ms)
    elif gang.state is GangState.RELEASED:
        _advance_released(world, gang, since_ms, now_ms)
    else:
        _advance_stopping(world, gang, since_ms, now_ms)


def _note_stage(world: World, gang: Gang, now_ms: int) -> int:
    """Return when this process first saw the gang in its present state, in ms."""
    seen = world.gang_view.stages.get(gang.key)
    if seen is None or seen.state != gang.state:
        world.gang_view.stages[gang.key] = GangStage(gang.state, now_ms)
        return now_ms
    return seen.since_ms


def _propose(world: World, gang: Gang, body: RecordBody, now_ms: int) -> None:
    propose(world, body, now_ms)
    _look_again(world, gang.key, now_ms + LOOK_AGAIN_MS)


def _stop(
    world: World, gang: Gang, reason: str, now_ms: int, failed_worker: str = ""
) -> None:
    term = world.agreed.lease.term
    body = GangStop(term, gang.job, gang.incarnation, reason, failed_worker)
    _propose(world, gang, body, now_ms)


def _advance_reserving(world: World, gang: Gang, since_ms: int, now_ms: int) -> None:
    bound_ms = effective_value(
        world.agreed, "job.reserve_timeout_ms", team_path(gang.team)
    )
    rows = members_of(world, gang.key)
    states = [row.state for row in rows]
    if BROKEN_STATES.intersection(states):
        refused = {_member_of(row) for row in rows if row.state in BROKEN_STATES}
        _avoid_workers(world, gang, refused, now_ms)
        _stop(world, gang, "a member was refused", now_ms)
    elif states.count(TaskState.RESERVED) == len(gang.placements):
        for placement in gang.placements:
            trust_worker(world, placement.worker)
        term = world.agreed.lease.term
        _propose(world, gang, GangRelease(term, gang.job, gang.incarnation), now_ms)
    elif now_ms - since_ms >= bound_ms:
        reserved = {_member_of(row) for row in rows if row.state is TaskState.RESERVED}
        silent = set(range(len(gang.placements))) - reserved
        _avoid_workers(world, gang, silent, now_ms)
        _stop(world, gang, f"not all members reserved in {bound_ms} ms", now_ms)
    else:
        _look_again(world, gang.key, since_ms + bound_ms)


def _member_of(row: Reservation) -> int:
    return int(row.member_id.rpartition("/")[2])


def _avoid_workers(world: World, gang: Gang, members: set[int], now_ms: int) -> None:
    for worker in sorted({gang.placements[member].worker for member in members}):
        avoid_worker(world, worker, now_ms)


def _advance_released(world: World, gang: Gang, since_ms: int, now_ms: int) -> None:
    for row in members_of(world, gang.key):
        if row.state in BROKEN_STATES:
            member = _member_of(row)
            worker = gang.placements[member].worker
            failed = worker if row.state is TaskState.FAILED else ""
            _stop(world, gang, f"member {member} is {row.state}", now_ms, failed)
            return
    reason = lost_reason(world, gang, since_ms, now_ms)
    if reason:
        _stop(world, gang, reason, now_ms)
        return
    _look_again(world, gang.key, now_ms + lost_ms(world, gang))


def _advance_stopping(world: World, gang: Gang, since_ms: int, now_ms: int) -> None:
    """End a gang once nothing of it can run or hold its worker any more.

    An order to reserve that the worker did not answer may yet arrive, and would
    be in the way of the next gang until it lapses.
    """
    states = [row.state for row in members_of(world, gang.key)]
    over = sum(state in OVER_STATES for state in states)
    all_over = over == len(gang.placements) and TaskState.REFUSED not in states
    end_ms = lapsed_ms(world, gang, since_ms)
    if all_over or now_ms >= end_ms:
        body = GangEnd(world.agreed.lease.term, gang.job, gang.incarnation)
        _propose(world, gang, body, now_ms)
        return
    _look_again(world, gang.key, end_ms)
