"""Sending attempts, and sending them again after silence.

A repeat carries the same attempt id, so that the sidecar runs the attempt once and
gives its outcome to every exchange that waits for it. Each exchange is answered
within its hold time, if only that the attempt still runs: an exchange that hears
nothing is abandoned, and the repeat goes over another connection.
"""

from kingcuppost.settings import effective_value
from kingcuppost.systems.events import note
from kingcuppost.systems.registry import Phase, system
from kingcuppost.systems.requests.pools import refresh_pool
from kingcuppost.tables.fleet import Minion
from kingcuppost.tables.identity import Role
from kingcuppost.tables.inbox import AttemptDone
from kingcuppost.tables.outbox import SendAttempt
from kingcuppost.tables.request import Attempt, Outcome, Request, RequestState
from kingcuppost.tables.world import World

__all__ = ["may_repeat", "repeat_attempts", "repeat_later", "send", "waiting_for"]

LONGEST_HOLD_MS = 8_000
MOST_DOUBLINGS = 8
SHARE_FOR_SIDECAR = 0.95
REPEAT_PAUSE_MS = 50
MOST_PAUSE_DOUBLINGS = 5
FAILURES_IDEMPOTENT = 2


def send(
    world: World,
    request: Request,
    minion: Minion,
    attempt_id: str,
    claim_offset: int,
    now_ms: int,
) -> None:
    """Send a request, or join the attempt that is under way for its key."""
    world.requests.update(
        request.request_id, state=RequestState.SENT, attempts=request.attempts + 1
    )
    if attempt_id in world.attempts:
        return
    attempt = Attempt(
        attempt_id,
        request.request_id,
        minion.name,
        minion.incarnation,
        now_ms,
        request.deadline_ms,
        request.key,
        claim_offset=claim_offset,
    )
    world.attempts.put(attempt)
    refresh_pool(world, minion.name, now_ms)
    _put(world, attempt, request, minion, now_ms)
    note(
        world,
        "request.send",
        "Attempt sent.",
        peer=minion.name,
        request=request.key or request.request_id,
        team=request.team,
        sends=attempt.attempt_id,
    )


def _put(
    world: World, attempt: Attempt, request: Request, minion: Minion, now_ms: int
) -> None:
    silence_ms = effective_value(world.agreed, "request.silence_ms")
    hold_ms = min(
        (silence_ms // 2) << min(attempt.repeats, MOST_DOUBLINGS), LONGEST_HOLD_MS
    )
    world.outbox.put(
        SendAttempt(
            attempt.attempt_id,
            minion.name,
            minion.incarnation,
            minion.host,
            minion.peer_port,
            request.team,
            request.body,
            bool(request.key),
            request.urgency,
            int((request.deadline_ms - now_ms) * SHARE_FOR_SIDECAR),
            attempt.claim_offset,
            hold_ms,
            min(hold_ms + silence_ms // 2, request.deadline_ms - now_ms),
        )
    )


def waiting_for(world: World, attempt: Attempt) -> list[Request]:
    """Return the open requests that an attempt is to answer."""
    if attempt.key:
        rows = world.requests.find("key", attempt.key)
    else:
        row = world.requests.get(attempt.request_id)
        rows = [row] if row is not None else []
    return [row for row in rows if row.state is RequestState.SENT]


def may_repeat(world: World, attempt: Attempt, done: AttemptDone) -> bool:
    """Return whether to ask the same process again for the same attempt."""
    minion = world.agreed.minions.get(attempt.minion)
    if minion is None or minion.incarnation != attempt.incarnation:
        return False
    if not waiting_for(world, attempt):
        return False
    if done.running or attempt.key:
        return True
    return not done.never_sent and attempt.failures < FAILURES_IDEMPOTENT


def repeat_later(
    world: World, attempt: Attempt, done: AttemptDone, now_ms: int
) -> None:
    """Plan to send an attempt again, at once unless it failed before."""
    failures = 0 if done.running else attempt.failures + 1
    world.attempts.update(
        attempt.attempt_id, repeats=attempt.repeats + 1, failures=failures
    )
    pause_ms = 0
    if failures > 1 or done.never_sent:
        pause_ms = REPEAT_PAUSE_MS << min(failures, MOST_PAUSE_DOUBLINGS)
    world.resend_deadlines.put(now_ms + pause_ms, attempt.attempt_id)
    if pause_ms:
        world.deadlines.add(now_ms + pause_ms)


@system(Phase.ACT, roles=(Role.ENTRY,), order=60)
def repeat_attempts(world: World, now_ms: int) -> None:
    """Send attempts again whose time has come, to the same process only."""
    for attempt_id in world.resend_deadlines.take_due(now_ms):
        attempt = world.attempts.get(attempt_id)
        if attempt is None:
            continue
        requests = waiting_for(world, attempt)
        minion = world.agreed.minions.get(attempt.minion)
        gone = minion is None or minion.incarnation != attempt.incarnation
        if gone or not requests:
            world.inbox.put(_unanswered(attempt))
            continue
        request = max(requests, key=lambda row: row.deadline_ms)
        _put(world, attempt, request, minion, now_ms)


def _unanswered(attempt: Attempt) -> AttemptDone:
    return AttemptDone(
        attempt.attempt_id,
        attempt.minion,
        "",
        Outcome.UNKNOWN,
        reason="the process that was to run it has gone",
    )
