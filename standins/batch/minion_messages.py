"""Heartbeats of simulated minions, and the requests of their sidecars."""

from dataclasses import replace

from kingcuppost.batch.tables.job import MinionIncarnation
from kingcuppost.batch.tables.messages import (
    HoldMinion,
    HoldMinionAnswered,
    MinionHeartbeat,
    MinionReport,
    OrderAnswered,
    OrderOutcome,
    StartRun,
    StopRun,
)
from kingcuppost.tables.config import Address
from kingcuppost.tables.identity import Role
from standins.batch.deployment import Deployment, senders, starters
from standins.batch.minions import MAX_LISTED_ENDS, Minion
from standins.batch.process import Process

__all__: list[str] = []

MINION_ADDRESS = Address("10.1.0.1", 7000)
FIRST_SEQUENCE_NUMBER = 1
HEARTBEAT_PERIOD_MS = 500
END_POLL_PERIOD_MS = 20
ORDER_TIMEOUT_MS = 600
HOLD_MARGIN_MS = 700  # added to the time for which the minion may wait
MIN_LATE_ORDER_MS = 2_000
LATE_ORDER_SPREAD_MS = 6_000


@starters.register(Role.SIDECAR)
def send_heartbeats(deployment: Deployment, process: Process) -> None:
    """Send the heartbeats of a sidecar's minion until the sidecar ends."""
    _send_heartbeats(deployment, process, process.incarnation, FIRST_SEQUENCE_NUMBER)


def _send_heartbeats(
    deployment: Deployment, process: Process, incarnation: int, number: int
) -> None:
    if process.incarnation != incarnation or not process.is_up:
        return
    minion = process.minion
    if minion is not None and minion.sends_heartbeats and not process.is_frozen:
        report = MinionReport(
            minion.incarnation,
            "svc",
            minion.zone,
            (minion.kind, minion.rack),
            replace(minion.resources),
            minion.draining,
            0,
            listed=False,
            in_contact=False,
        )
        deployment.deliver(process, MinionHeartbeat(MINION_ADDRESS, report, number))
    deployment.after(
        HEARTBEAT_PERIOD_MS,
        lambda: _send_heartbeats(deployment, process, incarnation, number + 1),
    )


@senders.register(HoldMinion)
def renew_lease(deployment: Deployment, process: Process, message: HoldMinion) -> None:
    """Extend the lease of a sidecar's minion, and answer with its lists of runs."""
    minion = process.minion
    sent_ms = deployment.clock.now_ms()
    incarnation = process.incarnation
    answer_by_ms = sent_ms + message.wait_ms

    def check_ends(is_first: bool) -> None:
        if process.incarnation != incarnation:
            return
        now_ms = deployment.clock.now_ms()
        if not minion.receives_calls and now_ms < answer_by_ms + HOLD_MARGIN_MS:
            deployment.after(END_POLL_PERIOD_MS, lambda: check_ends(is_first))
            return
        if not minion.receives_calls:
            answer = HoldMinionAnswered(
                message.incarnation, sent_ms, now_ms, reason="timeout"
            )
            deployment.deliver(process, answer, incarnation)
            return
        if not minion.is_up:
            answer = HoldMinionAnswered(
                message.incarnation,
                sent_ms,
                now_ms,
                reason="connection refused",
                is_refused=True,
            )
            deployment.deliver(process, answer, incarnation)
            return
        running, ended = (), ()
        if minion.id == message.incarnation.minion:
            # an earlier incarnation under this identifier may have been meant
            until_ms = message.lease_until_ms if is_first else None
            running, ended = minion.renew_lease(
                message.term, message.acknowledged_end, until_ms
            )
        if minion.incarnation != message.incarnation:
            answer = HoldMinionAnswered(
                message.incarnation, sent_ms, now_ms, reason="other incarnation"
            )
            deployment.deliver(process, answer, incarnation)
            return
        if not ended and now_ms < answer_by_ms:
            deployment.after(END_POLL_PERIOD_MS, lambda: check_ends(False))
            return
        answer = HoldMinionAnswered(
            message.incarnation,
            sent_ms,
            now_ms,
            minion.clock_ms(),
            running,
            ended,
            is_whole=len(ended) < MAX_LISTED_ENDS,
        )
        deployment.deliver_later(process, 1, lambda: answer)

    deployment.after(1, lambda: check_ends(True))


def _is_busy(minion: Minion, message: StartRun | StopRun) -> bool:
    """Return whether a minion answers an order as busy."""
    if isinstance(message, StopRun):
        return minion.is_busy_for_stops
    return minion.is_busy_for_starts


def _is_ignored(minion: Minion, message: StartRun | StopRun) -> bool:
    """Return whether a minion neither carries out nor answers an order."""
    if isinstance(message, StopRun):
        return minion.ignores_stops
    return minion.ignores_starts


def _is_swallowed(minion: Minion, message: StartRun | StopRun) -> bool:
    """Return whether a minion accepts an order and does nothing."""
    if isinstance(message, StopRun):
        return minion.swallows_stops
    return minion.swallows_starts


def _carry_out(minion: Minion, message: StartRun | StopRun) -> str:
    """Let a minion carry out an order; return why it refuses, or an empty text."""
    order = message.order
    if _is_swallowed(minion, message):
        return ""
    if isinstance(message, StopRun):
        return minion.stop(message.term, order.task, order.run)
    return minion.start(
        message.term, order.task, order.run, order.checkpoint, message.deadline_ms
    )


@senders.register(StartRun)
@senders.register(StopRun)
def apply_order(
    deployment: Deployment, process: Process, message: StartRun | StopRun
) -> None:
    """Carry out a start or a stop at a sidecar's minion, perhaps late.

    A late order, and one that waits for its minion, has an unknown outcome.
    """
    is_late = deployment.rng.random() < deployment.late_order_ratio
    if not is_late and process.minion.receives_calls:
        deployment.after(1, lambda: _answer_order(deployment, process, message))
        return
    delay_ms = MIN_LATE_ORDER_MS + deployment.rng.random() * LATE_ORDER_SPREAD_MS
    deployment.after(
        delay_ms if is_late else 1,
        lambda: _apply_when_received(deployment, process.minion, message),
    )
    _deliver_answer(
        deployment, process, message, OrderOutcome.UNKNOWN, "late", ORDER_TIMEOUT_MS
    )


def _apply_when_received(
    deployment: Deployment,
    minion: Minion,
    message: StartRun | StopRun,
    incarnation: MinionIncarnation | None = None,
) -> None:
    """Carry out an order once the minion receives calls.

    An order that has arrived at an incarnation, and waits there, ends with it.
    """
    if incarnation not in (None, minion.incarnation):
        return
    if not minion.receives_calls:
        arrived_at = minion.incarnation
        deployment.after(
            END_POLL_PERIOD_MS,
            lambda: _apply_when_received(deployment, minion, message, arrived_at),
        )
        return
    if _is_busy(minion, message) or _is_ignored(minion, message):
        return
    if minion.is_up and minion.id == message.incarnation.minion:
        _carry_out(minion, message)


def _answer_order(
    deployment: Deployment, process: Process, message: StartRun | StopRun
) -> None:
    """Carry an order out at a minion that answers; answer for one that does not."""
    minion = process.minion
    if minion.is_up and _is_ignored(minion, message):
        _deliver_timeout(deployment, process, message)
        return
    if not minion.is_up:
        outcome, reason = OrderOutcome.BUSY, "connection refused"
    elif minion.id != message.incarnation.minion:
        outcome, reason = OrderOutcome.REFUSED, "other minion"
    elif _is_busy(minion, message):
        outcome, reason = OrderOutcome.BUSY, "status 503"
    else:
        reason = _carry_out(minion, message)
        outcome = OrderOutcome.REFUSED if reason else OrderOutcome.DONE
        if isinstance(message, StartRun) and minion.leaves_starts_unanswered:
            _deliver_timeout(deployment, process, message)
            return
    _deliver_answer(deployment, process, message, outcome, reason)


def _deliver_timeout(
    deployment: Deployment, process: Process, message: StartRun | StopRun
) -> None:
    _deliver_answer(
        deployment,
        process,
        message,
        OrderOutcome.UNKNOWN,
        "timeout",
        ORDER_TIMEOUT_MS,
    )


def _deliver_answer(
    deployment: Deployment,
    process: Process,
    message: StartRun | StopRun,
    outcome: OrderOutcome,
    reason: str,
    delay_ms: int = 1,
) -> None:
    answer = OrderAnswered(
        message.incarnation,
        message.order.task,
        message.order.run,
        isinstance(message, StartRun),
        outcome,
        reason,
    )
    deployment.deliver_later(process, delay_ms, lambda: answer)
