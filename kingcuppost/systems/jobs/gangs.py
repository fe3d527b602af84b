"""Stages of gangs at the scheduler: release, stop and end.

A gang is checked when its row or the state of a member changes and when one of its
time limits expires, so that the cost of a tick depends on the number of changes only.
"""

from kingcuppost.settings import effective_value, team_path
from kingcuppost.systems.agreement.propose import propose
from kingcuppost.systems.agreement.scheduling_lease import is_scheduler
from kingcuppost.systems.jobs.faults import pause_worker, reset_refusals
from kingcuppost.systems.jobs.gang_liveness import (
    lost_reason,
    member_timeout_ms,
    stopped_by_ms,
)
from kingcuppost.systems.jobs.member_reports import (
    BROKEN_STATES,
    ENDED_STATES,
    gang_members,
)
from kingcuppost.systems.registry import Phase, system
from kingcuppost.tables.gang_view import GangStage
from kingcuppost.tables.identity import Role
from kingcuppost.tables.job import Gang, GangState, gang_key
from kingcuppost.tables.record import GangEnd, GangRelease, GangStop, RecordBody
from kingcuppost.tables.task import MemberStatus, TaskState
from kingcuppost.tables.world import World

__all__ = ["advance_gangs"]

RECHECK_MS = 1_000  # interval of checks while a proposal about the gang is pending


@system(Phase.DECIDE, roles=(Role.ENTRY,), order=30)
def advance_gangs(world: World, now_ms: int) -> None:
    """Propose the next stage of every gang that has reached it."""
    keys = world.agreed.gangs.take_changes("advance")
    if not is_scheduler(world):
        _reset_view(world)
        return
    if world.gang_view.term != world.agreed.lease.term:
        keys = _begin_term(world)
    keys.extend(world.gang_view.due.take_due(now_ms))
    if not keys:
        return
    pending = _pending_gangs(world)
    for key in dict.fromkeys(keys):
        gang = world.agreed.gangs.get(key)
        if gang is None:
            _drop_gang_state(world, key)
        elif key in pending:
            _schedule_check(world, key, now_ms + RECHECK_MS)
        else:
            _advance(world, gang, now_ms)


def _reset_view(world: World) -> None:
    """Clear the state of an earlier term of this process, once for each term."""
    if world.gang_view.term != world.agreed.lease.term:
        world.gang_view.term = world.agreed.lease.term
        world.member_statuses.clear()
        world.gang_view.stages.clear()
        world.gang_view.due.clear()


def _begin_term(world: World) -> list[str]:
    """Restart the time limits of all gangs for a new term, and return their keys."""
    world.gang_view.term = world.agreed.lease.term
    world.gang_view.stages.clear()
    return [gang.key for gang in world.agreed.gangs]


def _drop_gang_state(world: World, key: str) -> None:
    world.gang_view.stages.pop(key, None)
    world.gang_view.due.discard(key)
    for row in gang_members(world, key):
        world.member_statuses.delete(row.member_id)


def _pending_gangs(world: World) -> set[str]:
    return {
        gang_key(row.record.body.job, row.record.body.incarnation)
        for row in world.proposals
        if isinstance(row.record.body, GangRelease | GangStop | GangEnd)
    }


def _schedule_check(world: World, key: str, at_ms: int) -> None:
    world.gang_view.due.set(key, at_ms)
    world.deadlines.add(at_ms)


def _advance(world: World, gang: Gang, now_ms: int) -> None:
    since_ms = _track_stage(world, gang, now_ms)
    if gang.state is GangState.RESERVING:
        _advance_reserving(world, gang, since_ms, now_ms)
    elif gang.state is GangState.RELEASED:
        _advance_released(world, gang, since_ms, now_ms)
    else:
        _advance_stopping(world, gang, since_ms, now_ms)


def _track_stage(world: World, gang: Gang, now_ms: int) -> int:
    """Return when this process first observed the gang's state, monotonic ms."""
    stage = world.gang_view.stages.get(gang.key)
    if stage is None or stage.state != gang.state:
        world.gang_view.stages[gang.key] = GangStage(gang.state, now_ms)
        return now_ms
    return stage.since_ms


def _propose(world: World, gang: Gang, body: RecordBody, now_ms: int) -> None:
    propose(world, body, now_ms)
    _schedule_check(world, gang.key, now_ms + RECHECK_MS)


def _stop(
    world: World, gang: Gang, reason: str, now_ms: int, failed_worker: str = ""
) -> None:
    term = world.agreed.lease.term
    body = GangStop(term, gang.job, gang.incarnation, reason, failed_worker)
    _propose(world, gang, body, now_ms)


def _advance_reserving(world: World, gang: Gang, since_ms: int, now_ms: int) -> None:
    timeout_ms = effective_value(
        world.agreed, "job.reserve_timeout_ms", team_path(gang.team)
    )
    rows = gang_members(world, gang.key)
    states = [row.state for row in rows]
    if BROKEN_STATES.intersection(states):
        refusing = {_member_number(row) for row in rows if row.state in BROKEN_STATES}
        _pause_workers(world, gang, refusing, now_ms)
        _stop(world, gang, "a member was refused", now_ms)
    elif states.count(TaskState.RESERVED) == len(gang.placements):
        for placement in gang.placements:
            reset_refusals(world, placement.worker)
        term = world.agreed.lease.term
        _propose(world, gang, GangRelease(term, gang.job, gang.incarnation), now_ms)
    elif now_ms - since_ms >= timeout_ms:
        reserved = {
            _member_number(row) for row in rows if row.state is TaskState.RESERVED
        }
        unanswered = set(range(len(gang.placements))) - reserved
        _pause_workers(world, gang, unanswered, now_ms)
        _stop(world, gang, f"not all members reserved in {timeout_ms} ms", now_ms)
    else:
        _schedule_check(world, gang.key, since_ms + timeout_ms)


def _member_number(row: MemberStatus) -> int:
    return int(row.member_id.rpartition("/")[2])


def _pause_workers(world: World, gang: Gang, members: set[int], now_ms: int) -> None:
    for worker in sorted({gang.placements[member].worker for member in members}):
        pause_worker(world, worker, now_ms)


def _advance_released(world: World, gang: Gang, since_ms: int, now_ms: int) -> None:
    for row in gang_members(world, gang.key):
        if row.state in BROKEN_STATES:
            member = _member_number(row)
            worker = gang.placements[member].worker
            failed = worker if row.state is TaskState.FAILED else ""
            _stop(world, gang, f"member {member} is {row.state}", now_ms, failed)
            return
    reason = lost_reason(world, gang, since_ms, now_ms)
    if reason:
        _stop(world, gang, reason, now_ms)
        return
    _schedule_check(world, gang.key, now_ms + member_timeout_ms(world, gang))


def _advance_stopping(world: World, gang: Gang, since_ms: int, now_ms: int) -> None:
    """End a gang once no member can still run or occupy its worker.

    A refused member does not count as ended: its worker may not have answered the
    reserve order, which can still arrive and would block the next gang until that
    reservation expires.
    """
    states = [row.state for row in gang_members(world, gang.key)]
    ended_count = sum(state in ENDED_STATES for state in states)
    all_ended = ended_count == len(gang.placements) and TaskState.REFUSED not in states
    end_ms = stopped_by_ms(world, gang, since_ms)
    if all_ended or now_ms >= end_ms:
        body = GangEnd(world.agreed.lease.term, gang.job, gang.incarnation)
        _propose(world, gang, body, now_ms)
        return
    _schedule_check(world, gang.key, end_ms)
