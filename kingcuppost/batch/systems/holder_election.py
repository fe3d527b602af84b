"""The scheduling lease: claims, renewals and release by the entries.

A claim is a conditional append at the end of the members stream as the claimer has
read it, so only one of several concurrent claims succeeds. Its offset determines the
term. Clocks decide only when an entry tries to claim; safety rests on the log, which
rejects the writes of older terms.
"""

from kingcuppost.batch.systems.append_results import take_append_results
from kingcuppost.batch.systems.freshness import is_fresh
from kingcuppost.batch.systems.registry import Phase, system
from kingcuppost.batch.tables.messages import (
    PARTS_FORMAT,
    Append,
    AppendEnded,
    AppendOutcome,
    ClaimRecord,
    EntryRecord,
    RenewRecord,
    Stream,
    SyncReply,
)
from kingcuppost.batch.tables.world import BatchWorld, Schedule
from kingcuppost.tables.identity import Role
from kingcuppost.utils.backoff import Backoff
from kingcuppost.utils.identifiers import new_identifier

__all__ = [
    "announce_entry",
    "claim_lease",
    "extension_end_ms",
    "has_authority",
    "holds_lease",
    "make_redirect",
    "may_extend_leases",
    "release_lease",
    "renew_lease",
    "step_down",
]

RENEW_PERIOD_MS = 700
HOLDER_TIMEOUT_MS = 2_200
AUTHORITY_MS = 2_000  # below `HOLDER_TIMEOUT_MS`: ends before others claim
EXTENSION_MS = 5_000  # the next holder takes leases for extended as long
JITTER_MS = 500
MIN_RENEW_PAUSE_MS = 100  # after a renewal that another record came before
CLAIM_PAUSE_MS = 400
ANNOUNCE_PAUSE_MS = 1_000
APPEND_TIMEOUT_MS = 1_000


def holds_lease(world: BatchWorld) -> bool:
    """Return whether this process holds the newest term that it has read."""
    holder = world.agreed.holder
    is_mine = holder.incarnation == world.incarnation
    return is_mine and holder.term > world.schedule.lost_term


def has_authority(world: BatchWorld, now_ms: int) -> bool:
    """Return whether it is certain that no other entry has opened a term yet.

    Others claim after `HOLDER_TIMEOUT_MS` without a renewal. A holder whose renewals do
    not reach the log stops giving orders before that.
    """
    return now_ms < world.schedule.authority_until_ms


def may_extend_leases(world: BatchWorld, now_ms: int) -> bool:
    """Return whether this process may still extend minion leases.

    While the log is silent for all, no other entry can claim, and work should not end
    for want of an extension. The holder goes on extending for `EXTENSION_MS` from its
    last renewal; the holder of the next term takes leases for extended until then.
    """
    return now_ms < world.schedule.extension_until_ms


def extension_end_ms(world: BatchWorld) -> int:
    """Return the time until which holders of terms so far may extend minion leases."""
    holder = world.agreed.holder
    until_ms = holder.last_renewal_ms + EXTENSION_MS if holder.term > 0 else 0
    return max(holder.extended_until_ms, until_ms)


@system(Phase.MEMBERSHIP, (Role.ENTRY,), order=30)
def announce_entry(world: BatchWorld, now_ms: int) -> None:
    """Append this entry's record to the members stream if it is missing or outdated."""
    schedule = world.schedule
    writes = schedule.lease_writes
    for answer in take_append_results(world, {writes.announce_id}):
        _record_outcome(world, writes.announce_backoff, answer, now_ms)
    own_record = world.agreed.entries.get(world.cfg.name)
    if own_record is not None and own_record.incarnation == world.incarnation:
        return
    if world.stopping or world.agreed.views[Stream.MEMBERS].end < 0:
        return
    due_ms = max(schedule.announce_after_ms, writes.announce_backoff.until_ms)
    if now_ms < due_ms:
        world.deadlines.add(due_ms)
        return
    schedule.announce_after_ms = now_ms + ANNOUNCE_PAUSE_MS
    world.deadlines.add(schedule.announce_after_ms)
    cfg = world.cfg
    record = EntryRecord(
        cfg.name, cfg.peers, cfg.availability_zone, world.incarnation, PARTS_FORMAT
    )
    writes.announce_id = new_identifier(world.rng, "announce")
    world.outbox.put(
        Append(
            writes.announce_id,
            Stream.MEMBERS,
            (record,),
            timeout_ms=APPEND_TIMEOUT_MS,
        )
    )


def _record_outcome(
    world: BatchWorld, backoff: Backoff, answer: AppendEnded, now_ms: int
) -> None:
    """Put the next append off if the log did not decide on this one.

    An append that another one came before is no failure of the log.
    """
    if answer.outcome in (AppendOutcome.DONE, AppendOutcome.CONFLICT):
        backoff.succeed()
    else:
        backoff.fail(world.rng, now_ms)


@system(Phase.MEMBERSHIP, (Role.ENTRY,), order=40)
def claim_lease(world: BatchWorld, now_ms: int) -> None:
    """Claim the lease if it is free or was not renewed for `HOLDER_TIMEOUT_MS`."""
    schedule = world.schedule
    writes = schedule.lease_writes
    for answer in take_append_results(world, {writes.claim_id}):
        _record_outcome(world, writes.claim_backoff, answer, now_ms)
    if world.stopping or holds_lease(world):
        return
    due_ms = _claim_due_ms(world)
    if due_ms is None or not is_fresh(world, Stream.MEMBERS, now_ms):
        return
    due_ms = max(due_ms, schedule.claim_after_ms, writes.claim_backoff.until_ms)
    if now_ms < due_ms:
        world.deadlines.add(due_ms)
        return
    schedule.claim_after_ms = now_ms + CLAIM_PAUSE_MS
    world.deadlines.add(schedule.claim_after_ms)
    schedule.claim_sent_ms = now_ms
    writes.claim_id = new_identifier(world.rng, "claim")
    record = ClaimRecord(world.cfg.name, world.cfg.peers, world.incarnation)
    world.note("lease", "Claiming the lease.", after=world.agreed.holder.name)
    world.outbox.put(
        Append(
            writes.claim_id,
            Stream.MEMBERS,
            (record,),
            required_end=world.agreed.views[Stream.MEMBERS].end,
            timeout_ms=APPEND_TIMEOUT_MS,
        )
    )


def _claim_due_ms(world: BatchWorld) -> int | None:
    """Return when the lease may be claimed; None before the members stream was read.

    A lease that is free or was released may be claimed at once, and so may one whose
    holder has the name of this process: it is a previous incarnation, which has ended.
    Time without a renewal counts only while this process was able to read renewals.
    """
    view = world.agreed.views[Stream.MEMBERS]
    if view.end < 0:
        return None
    holder = world.agreed.holder
    is_predecessor = holder.name == world.cfg.name
    if holder.term <= 0 or holder.released or is_predecessor:
        return 0
    last_renewal_ms = max(holder.last_renewal_ms, view.gap_ended_ms)
    return last_renewal_ms + HOLDER_TIMEOUT_MS + world.schedule.jitter_ms


@system(Phase.MEMBERSHIP, (Role.ENTRY,), order=50)
def renew_lease(world: BatchWorld, now_ms: int) -> None:
    """Renew the lease while this process holds it; step down if it does not."""
    schedule = world.schedule
    if schedule.term >= 0 and schedule.term != world.agreed.holder.term:
        step_down(world, "another entry claimed the lease")
    if not holds_lease(world) or world.agreed.holder.released:
        return
    if schedule.authority_until_ms == 0:
        _extend_authority(schedule, schedule.claim_sent_ms)
    for answer in take_append_results(world, schedule.lease_writes.renewals):
        _handle_renewal_answer(world, answer, now_ms)
    if now_ms >= schedule.renew_at_ms:
        schedule.renew_at_ms = now_ms + RENEW_PERIOD_MS
        _append_renewal(world, now_ms, released=False)
    world.deadlines.add(schedule.renew_at_ms)


def _handle_renewal_answer(world: BatchWorld, answer: AppendEnded, now_ms: int) -> None:
    schedule = world.schedule
    writes = schedule.lease_writes
    sent_ms = writes.renewals.pop(answer.id)
    _record_outcome(world, writes.renewal_backoff, answer, now_ms)
    if answer.outcome is AppendOutcome.DONE:
        _extend_authority(schedule, sent_ms)
    else:
        retry_ms = max(writes.renewal_backoff.until_ms, now_ms + MIN_RENEW_PAUSE_MS)
        schedule.renew_at_ms = min(schedule.renew_at_ms, retry_ms)


def _extend_authority(schedule: Schedule, sent_ms: int) -> None:
    """Extend the authority of the holder from the sending of a claim or renewal on."""
    authority_ms, extension_ms = sent_ms + AUTHORITY_MS, sent_ms + EXTENSION_MS
    schedule.authority_until_ms = max(schedule.authority_until_ms, authority_ms)
    schedule.extension_until_ms = max(schedule.extension_until_ms, extension_ms)


def _append_renewal(world: BatchWorld, now_ms: int, released: bool) -> None:
    """Append a renewal or the release of the lease.

    A renewal is conditional on the end of the stream, so that it fails and gives no
    authority if a claim has come before it.
    """
    record = RenewRecord(world.agreed.holder.term, released)
    append_id = new_identifier(world.rng, "renew")
    world.schedule.lease_writes.renewals[append_id] = now_ms
    required_end = None if released else world.agreed.views[Stream.MEMBERS].end
    world.outbox.put(
        Append(
            append_id,
            Stream.MEMBERS,
            (record,),
            required_end=required_end,
            timeout_ms=APPEND_TIMEOUT_MS,
        )
    )


def make_redirect(world: BatchWorld, exchange_id: str) -> SyncReply:
    """Return the reply that redirects a sidecar to the holder of the lease.

    Its `holder` is None if no other entry is known to hold the lease.
    """
    holder = world.agreed.holder
    is_held_by_other = holder.incarnation != world.incarnation and not holder.released
    return SyncReply(
        exchange_id,
        -1,
        holder.address if is_held_by_other else None,
        entries=tuple(entry.address for entry in world.agreed.entries),
        holder_term=holder.term if is_held_by_other else 0,
        members_end=world.agreed.views[Stream.MEMBERS].end,
    )


def release_lease(world: BatchWorld, now_ms: int) -> None:
    """Release the lease, so that another entry can claim it at once."""
    if holds_lease(world) and not world.agreed.holder.released:
        world.note("lease", "Releasing the lease.", term=world.agreed.holder.term)
        world.agreed.holder.released = True
        world.schedule.authority_until_ms = now_ms
        world.schedule.extension_until_ms = now_ms
        _append_renewal(world, now_ms, released=True)


def step_down(world: BatchWorld, reason: str) -> None:
    """Reset the state that belongs to the holder of the lease.

    Pending reports are kept, so that their sidecars can be redirected.
    """
    old = world.schedule
    world.note("lease", "Stepping down.", term=old.term, reason=reason)
    world.schedule = Schedule(
        jitter_ms=old.jitter_ms,
        claim_after_ms=old.claim_after_ms,
        announce_after_ms=old.announce_after_ms,
        pending_syncs=old.pending_syncs,
        lost_term=max(old.term, old.lost_term),
    )
