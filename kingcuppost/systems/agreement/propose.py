"""Propose records for the log, and report the result of their fold."""

from kingcuppost.settings import effective_value
from kingcuppost.systems.agreement.change_defaults import fill_in_defaults
from kingcuppost.systems.events import note
from kingcuppost.systems.fold import Rejection, check_body
from kingcuppost.systems.record_events import note_proposal
from kingcuppost.systems.registry import Phase, system
from kingcuppost.tables.agreement import FoldResult, Proposal, ProposalState
from kingcuppost.tables.identity import Role
from kingcuppost.tables.inbox import ProposalRequest
from kingcuppost.tables.outbox import Reply
from kingcuppost.tables.record import Record, RecordBody
from kingcuppost.tables.replies import ChangeAccepted, ChangeRefused
from kingcuppost.tables.request import Outcome
from kingcuppost.tables.world import World
from kingcuppost.utils.identifiers import new_identifier

__all__ = [
    "answer_proposers",
    "handle_proposal_requests",
    "has_queue_capacity",
    "propose",
]

STATUS_OK = 200
STATUS_NOT_FOUND = 404
STATUS_CONFLICT = 409
STATUS_INVALID = 422
STATUS_UNAVAILABLE = 503
STATUS_GATEWAY_TIMEOUT = 504
CHANGE_STEP = "change"


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
    body : RecordBody
        Content of the record.
    now_ms : int
        Current monotonic time, in ms.
    author : str
        Operator or process that proposes it; this process if empty.
    exchange_id : str
        HTTP exchange that waits for the result of the fold; empty if none.
    give_up_ms : int
        When the exchange is answered even without a result, monotonic ms; 0 for
        never.

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


def has_queue_capacity(world: World) -> bool:
    """Return whether the queue accepts one more record that was requested.

    Records that this process proposes for itself are queued regardless.
    """
    limit = effective_value(world.agreed, "log.queue_limit")
    return len(world.proposals) < limit


@system(Phase.INTAKE, roles=(Role.ENTRY,), order=10)
def handle_proposal_requests(world: World, now_ms: int) -> None:
    """Check the records that operators and callers request, and queue them."""
    timeout_ms = effective_value(world.agreed, "operator.timeout_ms")
    for request in world.inbox.take(ProposalRequest):
        body = fill_in_defaults(world, request.body)
        rejection = check_body(world.agreed, body)
        if not world.log_view.caught_up:
            _refuse_change(
                world,
                request.exchange_id,
                STATUS_UNAVAILABLE,
                "the log is not read yet",
            )
        elif rejection is not None:
            _refuse_change(
                world, request.exchange_id, _status_of(rejection), rejection.reason
            )
        elif not has_queue_capacity(world):
            reason = f"{len(world.proposals)} records wait for the log"
            _refuse_change(world, request.exchange_id, STATUS_UNAVAILABLE, reason)
        else:
            propose(
                world,
                body,
                now_ms,
                author=request.author,
                exchange_id=request.exchange_id,
                give_up_ms=now_ms + timeout_ms,
            )


def _status_of(rejection: Rejection) -> int:
    if rejection.is_not_found:
        return STATUS_NOT_FOUND
    return STATUS_CONFLICT if rejection.is_conflict else STATUS_INVALID


def _refuse_change(world: World, exchange_id: str, status: int, reason: str) -> None:
    note(world, "change.refuse", f"Change refused: {reason}.")
    refusal = ChangeRefused(Outcome.NOT_RUN, CHANGE_STEP, world.identity.name, reason)
    world.outbox.put(Reply(exchange_id, status, refusal))


@system(Phase.MEMBERSHIP, order=30)
def answer_proposers(world: World, now_ms: int) -> None:
    """Answer the exchanges whose records were folded or that have timed out."""
    for record_id, fold_result in world.fold_results.items():
        proposal = world.proposals.delete(record_id)
        if proposal is not None and proposal.exchange_id:
            world.outbox.put(_reply_of(world, proposal, fold_result))
    world.fold_results.clear()
    for proposal in world.proposals:
        if proposal.exchange_id and 0 < proposal.give_up_ms <= now_ms:
            _abandon_proposal(world, proposal)


def _reply_of(world: World, proposal: Proposal, fold_result: FoldResult) -> Reply:
    if fold_result.is_possible_repeat:
        return _unknown_reply(proposal, fold_result.reason)
    if fold_result.accepted:
        name = _subject_name(proposal)
        accepted = ChangeAccepted(fold_result.offset, proposal.record_id, name)
        return Reply(proposal.exchange_id, STATUS_OK, accepted)
    refusal = ChangeRefused(
        Outcome.NOT_RUN,
        CHANGE_STEP,
        f"log offset {fold_result.offset}",
        fold_result.reason,
    )
    return Reply(proposal.exchange_id, STATUS_CONFLICT, refusal)


def _subject_name(proposal: Proposal) -> str:
    body = proposal.record.body
    return getattr(body, "job", "") or getattr(body, "name", "")


def _unknown_reply(proposal: Proposal, reason: str) -> Reply:
    """Return an answer that names the record, so that its outcome can be looked up."""
    name = _subject_name(proposal)
    subject = f"record {proposal.record_id}" + (f" about {name}" if name else "")
    unknown = ChangeRefused(Outcome.UNKNOWN, CHANGE_STEP, "log", f"{subject}: {reason}")
    return Reply(proposal.exchange_id, STATUS_GATEWAY_TIMEOUT, unknown)


def _abandon_proposal(world: World, proposal: Proposal) -> None:
    """Answer "unknown" if the record may be in the log, else "not run".

    Either way it is not sent again, so that a retry of the change cannot conflict
    with a copy sent after it. A copy that is still in flight takes effect or not,
    depending on its offset.
    """
    world.proposals.delete(proposal.record_id)
    if proposal.appends == 0:
        reason = "the log did not take it in time"
        _refuse_change(world, proposal.exchange_id, STATUS_UNAVAILABLE, reason)
        return
    note(world, "log.unknown", f"Record {proposal.record_id} was not confirmed.")
    world.outbox.put(_unknown_reply(proposal, "the log did not confirm it in time"))
