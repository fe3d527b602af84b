"""Sending of attempts, and resending of those that got no response.

A resend carries the same attempt id, so that the sidecar runs the attempt once and
gives its outcome to every exchange that waits for it. The sidecar answers each
exchange within its hold time, with "still running" if the attempt has not ended. An
exchange without an answer is abandoned, and the attempt is resent over another
connection.
"""

from kingcuppost.settings import effective_value
from kingcuppost.systems.events import note
from kingcuppost.systems.registry import Phase, system
from kingcuppost.systems.requests.pools import refresh_pool
from kingcuppost.tables.fleet import Minion
from kingcuppost.tables.identity import Role
from kingcuppost.tables.inbox import AttemptAnswered
from kingcuppost.tables.outbox import SendAttempt
from kingcuppost.tables.request import Attempt, Outcome, Request, RequestState
from kingcuppost.tables.world import World

__all__ = [
    "can_resend",
    "requests_awaiting",
    "resend_attempts",
    "schedule_resend",
    "send_attempt",
]

MAX_HOLD_MS = 8_000
MAX_HOLD_DOUBLINGS = 8
SIDECAR_TIMEOUT_RATIO = 0.95  # part of the remaining time that the sidecar gets
BASE_RESEND_PAUSE_MS = 50
MAX_PAUSE_DOUBLINGS = 5
MAX_IDEMPOTENT_FAILURES = 2  # failed exchanges before another minion may be tried


def send_attempt(
    world: World,
    request: Request,
    minion: Minion,
    attempt_id: str,
    claim_offset: int,
    now_ms: int,
) -> None:
    """Send an attempt, or join the open attempt of the request's key."""
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
    _enqueue_attempt(world, attempt, request, minion, now_ms)
    note(
        world,
        "request.send",
        "Attempt sent.",
        peer=minion.name,
        request=request.key or request.request_id,
        team=request.team,
        sends=attempt.attempt_id,
    )


def _enqueue_attempt(
    world: World, attempt: Attempt, request: Request, minion: Minion, now_ms: int
) -> None:
    silence_ms = effective_value(world.agreed, "request.silence_ms")
    hold_ms = min(
        (silence_ms // 2) << min(attempt.resends, MAX_HOLD_DOUBLINGS), MAX_HOLD_MS
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
            int((request.deadline_ms - now_ms) * SIDECAR_TIMEOUT_RATIO),
            attempt.claim_offset,
            hold_ms,
            min(hold_ms + silence_ms // 2, request.deadline_ms - now_ms),
        )
    )


def requests_awaiting(world: World, attempt: Attempt) -> list[Request]:
    """Return the open requests that wait for an attempt."""
    if attempt.key:
        rows = world.requests.find("key", attempt.key)
    else:
        row = world.requests.get(attempt.request_id)
        rows = [row] if row is not None else []
    return [row for row in rows if row.state is RequestState.SENT]


def can_resend(world: World, attempt: Attempt, answer: AttemptAnswered) -> bool:
    """Return whether the attempt can be sent to the same process again."""
    minion = world.agreed.minions.get(attempt.minion)
    if minion is None or minion.incarnation != attempt.incarnation:
        return False
    if not requests_awaiting(world, attempt):
        return False
    if answer.running or attempt.key:
        return True
    return not answer.never_sent and attempt.failures < MAX_IDEMPOTENT_FAILURES


def schedule_resend(
    world: World, attempt: Attempt, answer: AttemptAnswered, now_ms: int
) -> None:
    """Schedule a resend of an attempt.

    It is sent at once, or after a pause if it failed repeatedly or was never sent.
    """
    failures = 0 if answer.running else attempt.failures + 1
    world.attempts.update(
        attempt.attempt_id, resends=attempt.resends + 1, failures=failures
    )
    pause_ms = 0
    if failures > 1 or answer.never_sent:
        pause_ms = BASE_RESEND_PAUSE_MS << min(failures, MAX_PAUSE_DOUBLINGS)
    world.resend_deadlines.put(now_ms + pause_ms, attempt.attempt_id)
    if pause_ms:
        world.deadlines.add(now_ms + pause_ms)


@system(Phase.ACT, roles=(Role.ENTRY,), order=60)
def resend_attempts(world: World, now_ms: int) -> None:
    """Resend attempts that are due, to the same process only.

    An attempt whose process has gone, or that no request awaits any more, gets an
    unknown outcome.
    """
    for attempt_id in world.resend_deadlines.take_due(now_ms):
        attempt = world.attempts.get(attempt_id)
        if attempt is None:
            continue
        requests = requests_awaiting(world, attempt)
        minion = world.agreed.minions.get(attempt.minion)
        is_process_gone = minion is None or minion.incarnation != attempt.incarnation
        if is_process_gone or not requests:
            world.inbox.put(_unknown_outcome(attempt))
            continue
        request = max(requests, key=lambda row: row.deadline_ms)
        _enqueue_attempt(world, attempt, request, minion, now_ms)


def _unknown_outcome(attempt: Attempt) -> AttemptAnswered:
    return AttemptAnswered(
        attempt.attempt_id,
        attempt.minion,
        "",
        Outcome.UNKNOWN,
        reason="the process that was to run it has gone",
    )
