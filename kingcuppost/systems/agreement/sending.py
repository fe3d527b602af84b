"""Append queued records to the log in groups; resend them until they are folded."""

from kingcuppost.settings import effective_value
from kingcuppost.systems.events import note
from kingcuppost.systems.registry import Phase, system
from kingcuppost.tables.agreement import Proposal, ProposalState
from kingcuppost.tables.inbox import AppendAnswered
from kingcuppost.tables.outbox import AppendRecords
from kingcuppost.tables.record import RecordBody, SnapshotPart
from kingcuppost.tables.world import World

__all__ = ["send_proposals"]

MAX_APPEND_WEIGHT = 256
SNAPSHOT_PART_WEIGHT = 64  # any other record weighs 1
MAX_PENDING_APPENDS = 16
MAX_RESEND_DOUBLINGS = 4  # at most 16 times log.late_ms


@system(Phase.PROPOSE, order=20)
def send_proposals(world: World, now_ms: int) -> None:
    """Append the queued records as one group.

    Up to `MAX_PENDING_APPENDS` appends may be pending, so that a log that answers
    seconds late still accepts all records. While any is pending, the next is sent at
    least `log.group_ms` after the latest.
    """
    _process_append_answers(world, now_ms)
    _requeue_overdue(world, now_ms)
    due = _due_group(world, now_ms)
    if not due or not _may_append(world, now_ms):
        return
    hedge = any(proposal.appends for proposal in due)
    for proposal in due:
        appends = proposal.appends + 1
        retry_ms = now_ms + _resend_delay_ms(world, appends)
        world.proposals.update(
            proposal.record_id,
            state=ProposalState.SENT,
            appends=appends,
            retry_ms=retry_ms,
        )
        world.deadlines.add(retry_ms)
    world.log_view.appends[due[0].record_id] = now_ms
    timeout_ms = effective_value(world.agreed, "log.timeout_ms")
    records = tuple(proposal.record for proposal in due)
    world.outbox.put(AppendRecords(records, timeout_ms, hedge))


def _due_group(world: World, now_ms: int) -> list[Proposal]:
    """Return the proposals for the next append, up to the maximum weight."""
    group: list[Proposal] = []
    weight = 0
    for proposal in world.proposals.find("state", ProposalState.QUEUED):
        if proposal.retry_ms > now_ms:
            continue
        weight += _weight_of(proposal.record.body)
        if group and weight > MAX_APPEND_WEIGHT:
            break
        group.append(proposal)
    return group


def _weight_of(body: RecordBody) -> int:
    return SNAPSHOT_PART_WEIGHT if isinstance(body, SnapshotPart) else 1


def _may_append(world: World, now_ms: int) -> bool:
    """Return whether an append may be sent now; if it is too early, set a deadline.

    Appends that have timed out are dropped and no longer count as pending.
    """
    appends = world.log_view.appends
    timeout_ms = effective_value(world.agreed, "log.timeout_ms")
    for record_id in [
        record_id
        for record_id, sent_ms in appends.items()
        if now_ms - sent_ms > timeout_ms
    ]:
        del appends[record_id]
    if not appends:
        return True
    if len(appends) >= MAX_PENDING_APPENDS:
        return False
    next_append_ms = max(appends.values()) + effective_value(
        world.agreed, "log.group_ms"
    )
    if now_ms >= next_append_ms:
        return True
    world.deadlines.add(next_append_ms)
    return False


def _resend_delay_ms(world: World, appends: int) -> int:
    """Return the time without an answer after which a record is sent again, in ms.

    It doubles with each append of the record.
    """
    late_ms = effective_value(world.agreed, "log.late_ms")
    return late_ms * 2 ** min(appends - 1, MAX_RESEND_DOUBLINGS)


def _requeue_overdue(world: World, now_ms: int) -> None:
    """Queue overdue records again, under the same identifiers.

    A confirmed append is overdue once a later read has reached the head without
    returning the record.
    """
    for proposal in world.proposals.find("state", ProposalState.SENT):
        if proposal.retry_ms <= now_ms:
            world.proposals.update(proposal.record_id, state=ProposalState.QUEUED)
    fresh_as_of_ms = world.log_view.fresh_as_of_ms
    for proposal in world.proposals.find("state", ProposalState.APPENDED):
        if fresh_as_of_ms > proposal.appended_ms:
            world.proposals.update(
                proposal.record_id, state=ProposalState.QUEUED, retry_ms=now_ms
            )


def _process_append_answers(world: World, now_ms: int) -> None:
    """Mark the records of confirmed appends; queue those of failed appends again."""
    for answer in world.inbox.take(AppendAnswered):
        world.log_view.appends.pop(answer.record_ids[0], None)
        if not answer.ok:
            note(world, "log.append", f"Append not confirmed: {answer.reason}.")
        for record_id in answer.record_ids:
            proposal = world.proposals.get(record_id)
            if proposal is not None:
                _update_proposal(world, proposal, answer, now_ms)


def _update_proposal(
    world: World, proposal: Proposal, answer: AppendAnswered, now_ms: int
) -> None:
    """Mark the proposal as appended, or queue it again after a failed append.

    A failed append does not undo an earlier confirmed one. An append that was never
    sent does not count, since the record cannot be in the log because of it.
    """
    if answer.ok:
        world.proposals.update(
            proposal.record_id, state=ProposalState.APPENDED, appended_ms=now_ms
        )
        return
    if proposal.state is ProposalState.APPENDED:
        return
    appends = proposal.appends - 1 if answer.never_sent else proposal.appends
    retry_ms = now_ms + effective_value(world.agreed, "log.retry_ms")
    world.proposals.update(
        proposal.record_id,
        state=ProposalState.QUEUED,
        appends=appends,
        retry_ms=retry_ms,
    )
    world.deadlines.add(retry_ms)
