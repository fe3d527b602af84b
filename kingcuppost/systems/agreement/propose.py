"""Proposing records and learning from the fold what became of them."""

from kingcuppost.settings import effective_value
from kingcuppost.systems.agreement.wishes import complete
from kingcuppost.systems.events import note
from kingcuppost.systems.fold import Rejection, check_body
from kingcuppost.systems.record_events import note_proposal
from kingcuppost.systems.registry import Phase, system
from kingcuppost.tables.agreement import FoldResult, Proposal, ProposalState
from kingcuppost.tables.identity import Role
from kingcuppost.tables.inbox import Propose
from kingcuppost.tables.outbox import Reply
from kingcuppost.tables.record import Record, RecordBody
from kingcuppost.tables.replies import ChangeAccepted, ChangeRefused
from kingcuppost.tables.request import Outcome
from kingcuppost.tables.world import World
from kingcuppost.utils.identifiers import new_identifier

__all__ = [
    "answer_proposers",
    "has_room",
    "propose",
    "take_wishes",
]

STATUS_ACCEPTED = 200
STATUS_MISSING = 404
STATUS_LOST_RACE = 409
STATUS_INVALID = 422
STATUS_NOT_RUN = 503
STATUS_UNKNOWN = 504
STEP = "change"


def propose(
    world: World,
    body: RecordBody,
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


@system(Phase.INTAKE, roles=(Role.ENTRY,), order=10)
def take_wishes(world: World, now_ms: int) -> None:
    """Check what operators and callers want appended, and queue it."""
    timeout_ms = effective_value(world.agreed, "operator.timeout_ms")
    for wish in world.inbox.take(Propose):
        body = complete(world, wish.body)
        rejection = check_body(world.agreed, body)
        if not world.log_view.caught_up:
            _refuse(world, wish.exchange_id, STATUS_NOT_RUN, "the log is not read yet")
        elif rejection is not None:
            _refuse(world, wish.exchange_id, _status_of(rejection), rejection.reason)
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


def _status_of(rejection: Rejection) -> int:
    if rejection.missing:
        return STATUS_MISSING
    return STATUS_LOST_RACE if rejection.lost_race else STATUS_INVALID


def _refuse(world: World, exchange_id: str, status: int, reason: str) -> None:
    note(world, "change.refuse", f"Change not made: {reason}.")
    refusal = ChangeRefused(Outcome.NOT_RUN, STEP, world.identity.name, reason)
    world.outbox.put(Reply(exchange_id, status, refusal))


@system(Phase.MEMBERSHIP, order=30)
def answer_proposers(world: World, now_ms: int) -> None:
    """Tell waiting exchanges what the fold made of their records."""
    for record_id, fold_result in world.fold_results.items():
        proposal = world.proposals.delete(record_id)
        if proposal is not None and proposal.exchange_id:
            world.outbox.put(_reply_of(world, proposal, fold_result))
    world.fold_results.clear()
    for proposal in world.proposals:
        if proposal.exchange_id and 0 < proposal.give_up_ms <= now_ms:
            _give_up(world, proposal)


def _reply_of(world: World, proposal: Proposal, fold_result: FoldResult) -> Reply:
    if fold_result.unknown:
        return _unknown(proposal, fold_result.reason)
    if fold_result.accepted:
        name = _name_of(proposal)
        accepted = ChangeAccepted(fold_result.offset, proposal.record_id, name)
        return Reply(proposal.exchange_id, STATUS_ACCEPTED, accepted)
    refusal = ChangeRefused(
        Outcome.NOT_RUN, STEP, f"log offset {fold_result.offset}", fold_result.reason
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
