"""Proposing records and learning from the fold what became of them."""

from kingcuppost.settings import effective_value
from kingcuppost.systems.agreement.wishes import complete
from kingcuppost.systems.events import note
from kingcuppost.systems.fold import Fault, fault_of
from kingcuppost.systems.record_events import note_proposal
from kingcuppost.systems.registry import Phase, system
from kingcuppost.tables.agreement import Proposal, ProposalState, Verdict
from kingcuppost.tables.identity import Role
from kingcuppost.tables.inbox import AppendDone, Propose
from kingcuppost.tables.outbox import AppendRecords, Reply
from kingcuppost.tables.record import Body, Record, SnapshotPart
from kingcuppost.tables.replies import ChangeAccepted, ChangeRefused
from kingcuppost.tables.request import Outcome
from kingcuppost.tables.world import World
from kingcuppost.utils.identifiers import new_identifier

__all__ = [
    "answer_proposers",
    "has_room",
    "propose",
    "send_proposals",
    "take_wishes",
]

STATUS_ACCEPTED = 200
STATUS_MISSING = 404
STATUS_LOST_RACE = 409
STATUS_INVALID = 422
STATUS_NOT_RUN = 503
STATUS_UNKNOWN = 504
APPEND_WEIGHT = 256
SNAPSHOT_PART_WEIGHT = 64
APPENDS_UNDER_WAY = 16
MOST_DOUBLINGS = 4
STEP = "change"


def propose(
    world: World,
    body: Body,
    now_ms: int,
    *,
    author: str = "",
    exchange_id: str = "",
    give_up_ms: int = 0,
) -> str:
    """Queue a record for the log.

    Parameters
    ----------
    world : World
        Tables of the process.
    body : Body
        What the record says.
    now_ms : int
        Monotonic time.
    author : str
        Who wants it; the process itself if empty.
    exchange_id : str
        HTTP exchange that waits for the verdict.
    give_up_ms : int
        When the exchange is told that the outcome is unknown; 0 for never.

    Returns
    -------
    str
        Identifier of the record.
    """
    record = Record(
        new_identifier(world.rng, "rec"),
        author or world.identity.name,
        world.clock.wall_ms(),
        body,
        world.log_view.folded_offset,
    )
    world.proposals.put(
        Proposal(
            record.record_id,
            record,
            exchange_id,
            ProposalState.QUEUED,
            now_ms,
            now_ms,
            give_up_ms,
        )
    )
    if give_up_ms:
        world.deadlines.add(give_up_ms)
    note_proposal(world, record)
    return record.record_id


def has_room(world: World) -> bool:
    """Return whether one more record that somebody asks for may be queued."""
    limit = effective_value(world.agreed, "log.queue_limit")
    return len(world.proposals) < limit


@system(Phase.INTAKE, roles=(Role.ENTRY,))
def take_wishes(world: World, now_ms: int) -> None:
    """Check what operators and callers want appended, and queue it."""
    timeout_ms = effective_value(world.agreed, "operator.timeout_ms")
    for wish in world.inbox.take(Propose):
        body = complete(world, wish.body)
        fault = fault_of(world.agreed, body)
        if not world.log_view.caught_up:
            _refuse(world, wish.exchange_id, STATUS_NOT_RUN, "the log is not read yet")
        elif fault is not None:
            _refuse(world, wish.exchange_id, _status_of(fault), fault.reason)
        elif not has_room(world):
            reason = f"{len(world.proposals)} records wait for the log"
            _refuse(world, wish.exchange_id, STATUS_NOT_RUN, reason)
        else:
            propose(
                world,
                body,
                now_ms,
                author=wish.author,
                exchange_id=wish.exchange_id,
                give_up_ms=now_ms + timeout_ms,
            )


def _status_of(fault: Fault) -> int:
    if fault.missing:
        return STATUS_MISSING
    return STATUS_LOST_RACE if fault.lost_race else STATUS_INVALID


def _refuse(world: World, exchange_id: str, status: int, reason: str) -> None:
    note(world, "change.refuse", f"Change not made: {reason}.")
    refusal = ChangeRefused(Outcome.NOT_RUN, STEP, world.identity.name, reason)
    world.outbox.put(Reply(exchange_id, status, refusal))


@system(Phase.MEMBERSHIP)
def answer_proposers(world: World, now_ms: int) -> None:
    """Tell waiting exchanges what the fold made of their records."""
    for record_id, verdict in world.verdicts.items():
        proposal = world.proposals.delete(record_id)
        if proposal is not None and proposal.exchange_id:
            world.outbox.put(_reply_of(world, proposal, verdict))
    world.verdicts.clear()
    for proposal in world.proposals:
        if proposal.exchange_id and 0 < proposal.give_up_ms <= now_ms:
            _give_up(world, proposal)


def _reply_of(world: World, proposal: Proposal, verdict: Verdict) -> Reply:
    if verdict.unknown:
        return _unknown(proposal, verdict.reason)
    if verdict.accepted:
        name = _name_of(proposal)
        accepted = ChangeAccepted(verdict.offset, proposal.record_id, name)
        return Reply(proposal.exchange_id, STATUS_ACCEPTED, accepted)
    refusal = ChangeRefused(
        Outcome.NOT_RUN, STEP, f"log offset {verdict.offset}", verdict.reason
    )
    return Reply(proposal.exchange_id, STATUS_LOST_RACE, refusal)


def _name_of(proposal: Proposal) -> str:
    body = proposal.record.body
    return getattr(body, "job", "") or getattr(body, "name", "")


def _unknown(proposal: Proposal, reason: str) -> Reply:
    """Return an answer that names the record, so that its fate can be looked up."""
    name = _name_of(proposal)
    what = f"record {proposal.record_id}" + (f" about {name}" if name else "")
    unknown = ChangeRefused(Outcome.UNKNOWN, STEP, "log", f"{what}: {reason}")
    return Reply(proposal.exchange_id, STATUS_UNKNOWN, unknown)


def _give_up(world: World, proposal: Proposal) -> None:
    """Answer "unknown" if the record may be in the log, else withdraw it.

    Either way it is not sent again, so that a later try can't meet it twice; a
    copy that is on its way takes effect or not by its place in the log.
    """
    world.proposals.delete(proposal.record_id)
    if proposal.appends == 0:
        reason = "the log did not take it in time"
        _refuse(world, proposal.exchange_id, STATUS_NOT_RUN, reason)
        return
    note(world, "log.unknown", f"Record {proposal.record_id} was not confirmed.")
    world.outbox.put(_unknown(proposal, "the log did not confirm it in time"))


@system(Phase.PROPOSE)
def send_proposals(world: World, now_ms: int) -> None:
    """Append what is queued, in groups.

    An append under way holds later records back for a short time only, so that a
    log that is slow by seconds still takes them.
    """
    _note_appends(world, now_ms)
    _queue_late(world, now_ms)
    due = _due_group(world, now_ms)
    if not due or not _may_append(world, now_ms):
        return
    hedge = any(row.appends for row in due)
    for row in due:
        appends = row.appends + 1
        late_ms = now_ms + _late_ms(world, appends)
        world.proposals.update(
            row.record_id, state=ProposalState.SENT, appends=appends, retry_ms=late_ms
        )
        world.deadlines.add(late_ms)
    world.log_view.appends[due[0].record_id] = now_ms
    timeout_ms = effective_value(world.agreed, "log.timeout_ms")
    records = tuple(row.record for row in due)
    world.outbox.put(AppendRecords(records, timeout_ms, hedge))


def _due_group(world: World, now_ms: int) -> list[Proposal]:
    """Return the records of the next append, bounded in number and weight."""
    group: list[Proposal] = []
    weight = 0
    for row in world.proposals.find("state", ProposalState.QUEUED):
        if row.retry_ms > now_ms:
            continue
        weight += _weight_of(row.record.body)
        if group and weight > APPEND_WEIGHT:
            break
        group.append(row)
    return group


def _weight_of(body: Body) -> int:
    return SNAPSHOT_PART_WEIGHT if isinstance(body, SnapshotPart) else 1


def _may_append(world: World, now_ms: int) -> bool:
    appends = world.log_view.appends
    timeout_ms = effective_value(world.agreed, "log.timeout_ms")
    for key in [key for key, sent in appends.items() if now_ms - sent > timeout_ms]:
        del appends[key]
    if not appends:
        return True
    if len(appends) >= APPENDS_UNDER_WAY:
        return False
    group_ms = max(appends.values()) + effective_value(world.agreed, "log.group_ms")
    if now_ms >= group_ms:
        return True
    world.deadlines.add(group_ms)
    return False


def _late_ms(world: World, appends: int) -> int:
    """Return the silence after which a record is sent again; doubles each time."""
    late_ms = effective_value(world.agreed, "log.late_ms")
    return late_ms * 2 ** min(appends - 1, MOST_DOUBLINGS)


def _queue_late(world: World, now_ms: int) -> None:
    """Queue again, under the same identifiers, what the log is silent about."""
    for row in world.proposals.find("state", ProposalState.SENT):
        if row.retry_ms <= now_ms:
            world.proposals.update(row.record_id, state=ProposalState.QUEUED)
    fresh_ms = world.log_view.fresh_ms
    for row in world.proposals.find("state", ProposalState.APPENDED):
        if fresh_ms > row.appended_ms:
            world.proposals.update(
                row.record_id, state=ProposalState.QUEUED, retry_ms=now_ms
            )


def _note_appends(world: World, now_ms: int) -> None:
    """Wait for the fold of what the log confirmed; send the rest again."""
    for done in world.inbox.take(AppendDone):
        world.log_view.appends.pop(done.record_ids[0], None)
        if not done.ok:
            note(world, "log.append", f"Append not confirmed: {done.reason}.")
        for record_id in done.record_ids:
            row = world.proposals.get(record_id)
            if row is not None:
                _note_append(world, row, done, now_ms)


def _note_append(world: World, row: Proposal, done: AppendDone, now_ms: int) -> None:
    if done.ok:
        world.proposals.update(
            row.record_id, state=ProposalState.APPENDED, appended_ms=now_ms
        )
        return
    if row.state is ProposalState.APPENDED:
        return
    appends = row.appends - 1 if done.never_sent else row.appends
    retry_ms = now_ms + effective_value(world.agreed, "log.retry_ms")
    world.proposals.update(
        row.record_id, state=ProposalState.QUEUED, appends=appends, retry_ms=retry_ms
    )
    world.deadlines.add(retry_ms)
