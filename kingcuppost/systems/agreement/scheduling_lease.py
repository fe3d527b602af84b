"""The scheduling lease: its holder alone may place gangs."""

from kingcuppost.settings import effective_value
from kingcuppost.systems.agreement.freshness import is_following
from kingcuppost.systems.agreement.propose import propose
from kingcuppost.systems.events import note
from kingcuppost.systems.registry import Phase, system
from kingcuppost.tables.fleet import Entry
from kingcuppost.tables.identity import Role
from kingcuppost.tables.inbox import HolderAnswered, HolderPingArrived
from kingcuppost.tables.outbox import AskHolder, Reply
from kingcuppost.tables.record import LeaseClaim
from kingcuppost.tables.replies import HolderReply
from kingcuppost.tables.world import World

__all__ = ["answer_holder_pings", "is_scheduler", "monitor_holder"]

MAX_JITTER_RATIO = 0.5
STATUS_OK = 200


def is_scheduler(world: World) -> bool:
    """Return whether this process holds the scheduling lease in its own view.

    An outdated view does no harm: the fold rejects records of an old term.
    """
    lease = world.agreed.lease
    return (
        lease.holder == world.identity.name
        and lease.incarnation == world.identity.incarnation
    )


@system(Phase.MEMBERSHIP, roles=(Role.ENTRY,), order=20)
def monitor_holder(world: World, now_ms: int) -> None:
    """Ping the holder periodically; claim the lease when it is unresponsive.

    The lease is claimed at once if it has no holder, or if another process has been
    announced under the name of the holder.
    """
    monitor = world.holder_monitor
    _exclude_own_pause(world, now_ms)
    _record_holder_answers(world, now_ms)
    if not world.log_view.caught_up or world.stopping or is_scheduler(world):
        return
    if monitor.term != world.agreed.lease.term:
        monitor.term = world.agreed.lease.term
        monitor.last_answered_ping_ms = now_ms
    holder = world.agreed.entries.get(world.agreed.lease.holder)
    if holder is None or holder.incarnation != world.agreed.lease.incarnation:
        _claim_lease(world, now_ms)
        return
    if now_ms - monitor.last_answered_ping_ms >= _holder_timeout_ms(world):
        note(world, "lease.lost", "The holder is unresponsive.", peer=holder.name)
        _claim_lease(world, now_ms)
        return
    _ping_holder(world, holder, now_ms)


def _exclude_own_pause(world: World, now_ms: int) -> None:
    """Exclude a pause of this process from the time without an answer.

    A process that was paused has sent no pings and read no answers, so it knows nothing
    of the holder's silence. While it runs, it monitors the holder once a ping period.
    """
    monitor = world.holder_monitor
    period_ms = effective_value(world.agreed, "lease.ping_ms")
    paused_ms = now_ms - monitor.last_run_ms - period_ms
    monitor.last_run_ms = now_ms
    if paused_ms > period_ms:
        answered_ms = monitor.last_answered_ping_ms + paused_ms
        monitor.last_answered_ping_ms = min(answered_ms, now_ms)


def _holder_timeout_ms(world: World) -> int:
    """Return the time without an answer after which the lease is claimed, in ms.

    The jitter differs among processes, so that their claims do not coincide.
    """
    lost_ms = effective_value(world.agreed, "lease.lost_ms")
    return int(lost_ms * (1 + MAX_JITTER_RATIO * world.holder_monitor.jitter))


def _record_holder_answers(world: World, now_ms: int) -> None:
    """Accept answers only from a holder that can do its work.

    A holder that is cut off from the log while this process follows it counts as
    unresponsive. If neither follows the log, a new holder would do no better.
    """
    for answer in world.inbox.take(HolderAnswered):
        if not answer.ok or answer.incarnation != world.agreed.lease.incarnation:
            continue
        if answer.follows_log or not is_following(world, now_ms):
            world.holder_monitor.last_answered_ping_ms = max(
                world.holder_monitor.last_answered_ping_ms, answer.sent_ms
            )


def _claim_lease(world: World, now_ms: int) -> None:
    """Propose a claim based on the current term, unless one is already proposed."""
    for proposal in world.proposals:
        if isinstance(proposal.record.body, LeaseClaim):
            return
    body = LeaseClaim(
        world.identity.name, world.identity.incarnation, world.agreed.lease.term
    )
    propose(world, body, now_ms)


def _ping_holder(world: World, holder: Entry, now_ms: int) -> None:
    monitor = world.holder_monitor
    period_ms = effective_value(world.agreed, "lease.ping_ms")
    if now_ms >= monitor.next_ping_ms:
        monitor.next_ping_ms = now_ms + period_ms
        world.outbox.put(
            AskHolder(holder.name, holder.host, holder.peer_port, now_ms, period_ms)
        )
    world.deadlines.add(monitor.next_ping_ms)


@system(Phase.REPORT, roles=(Role.ENTRY,), order=20)
def answer_holder_pings(world: World, now_ms: int) -> None:
    """Answer other entries' pings, with whether this process follows the log."""
    follows = is_following(world, now_ms)
    reply = HolderReply(world.identity.name, world.identity.incarnation, follows)
    for ping in world.inbox.take(HolderPingArrived):
        world.outbox.put(Reply(ping.exchange_id, STATUS_OK, reply))
