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
from kingcuppost.tables.record import Body, Record
from kingcuppost.tables.replies import ChangeAccepted, ChangeRefused
from kingcuppost.tables.request import Outcome
from kingcuppost.tables.world import World
from kingcuppost.utils.identifiers import new_identifier

__all__ = ["answer_proposers", "propose", "send_proposals", "take_wishes"]

STATUS_ACCEPTED = 200
STATUS_MISSING = 404
STATUS_LOST_RACE = 409
STATUS_INVALID = 422
STATUS_NOT_RUN = 503
STATUS_UNKNOWN = 504
RECORDS_PER_APPEND = 256
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


@system(Phase.INTAKE, roles=(Role.ENTRY,))
def take_wishes(world: World, now_ms: int) -> None:
    """Check what operators and callers want appended, and queue it."""
    limit = effective_value(world.agreed, "log.queue_limit")
    timeout_ms = effective_value(world.agreed, "operator.timeout_ms")
    for wish in world.inbox.take(Propose):
        body = complete(world, wish.body)
        fault = fault_of(world.agreed, body)
        if not world.log_view.caught_up:
            _refuse(world, wish.exchange_id, STATUS_NOT_RUN, "the log is not read yet")
        elif fault is not None:
            _refuse(world, wish.exchange_id, _status_of(fault), fault.reason)
        elif len(world.proposals) >= limit:
            reason = f"{limit} records wait for the log"
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
    body = proposal.record.body
    if verdict.accepted:
        name = getattr(body, "job", "") or getattr(body, "name", "")
        accepted = ChangeAccepted(verdict.offset, proposal.record_id, name)
        return Reply(proposal.exchange_id, STATUS_ACCEPTED, accepted)
    refusal = ChangeRefused(
        Outcome.NOT_RUN, STEP, f"log offset {verdict.offset}", verdict.reason
    )
    return Reply(proposal.exchange_id, STATUS_LOST_RACE, refusal)


def _give_up(world: World, proposal: Proposal) -> None:
    """Answer "unknown" if the record may be in the log, else withdraw it."""
    exchange_id = proposal.exchange_id
    world.proposals.delete(proposal.record_id)
    if proposal.appends == 0:
        _refuse(world, exchange_id, STATUS_NOT_RUN, "the log did not take it in time")
        return
    reason = f"the log did not confirm record {proposal.record_id} in time"
    unknown = ChangeRefused(Outcome.UNKNOWN, STEP, "log", reason)
    world.outbox.put(Reply(exchange_id, STATUS_UNKNOWN, unknown))


@system(Phase.PROPOSE)
def send_proposals(world: World, now_ms: int) -> None:
    """Append what is queued, all in one message; one append at a time."""
    _note_appends(world, now_ms)
    if world.proposals.count("state", ProposalState.SENT):
        return
    due = [
        row
        for row in world.proposals.find("state", ProposalState.QUEUED)
        if row.retry_ms <= now_ms
    ][:RECORDS_PER_APPEND]
    if not due:
        return
    for row in due:
        appends = row.appends + 1
        world.proposals.update(row.record_id, state=ProposalState.SENT, appends=appends)
    timeout_ms = effective_value(world.agreed, "log.timeout_ms")
    world.outbox.put(AppendRecords(tuple(row.record for row in due), timeout_ms))


def _note_appends(world: World, now_ms: int) -> None:
    """Queue records again, under the same identifiers, until they are folded."""
    retry_ms = now_ms + effective_value(world.agreed, "log.retry_ms")
    for done in world.inbox.take(AppendDone):
        if not done.ok:
            note(world, "log.append", f"Append not confirmed: {done.reason}.")
        for record_id in done.record_ids:
            if record_id in world.proposals:
                world.proposals.update(
                    record_id, state=ProposalState.QUEUED, retry_ms=retry_ms
                )
                world.deadlines.add(retry_ms)
