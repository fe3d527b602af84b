"""HTTP requests to the other processes and to the minion."""

from collections.abc import Callable
from typing import Any

from twisted.internet.defer import ensureDeferred

from kingcuppost.edges.context import EdgeContext, senders
from kingcuppost.exception import PeerError
from kingcuppost.models import decode, encode
from kingcuppost.models.peer import (
    AttemptModel,
    AttemptReplyModel,
    GangReplyModel,
    GangReportsModel,
    HeartbeatModel,
    HeartbeatReplyModel,
    HolderPingModel,
    HolderPingReplyModel,
)
from kingcuppost.tables.config import Address
from kingcuppost.tables.inbox import (
    AttemptAnswered,
    GangReplyArrived,
    HeartbeatAnswered,
    HolderAnswered,
    MinionAnswered,
)
from kingcuppost.tables.outbox import (
    AskHolder,
    HandOver,
    SendAttempt,
    SendGangReports,
    SendHeartbeat,
)
from kingcuppost.tables.request import Outcome

__all__ = ["deliver_later", "post_model"]

STATUS_OK = 200


def deliver_later(
    context: EdgeContext, coroutine: Any, make_failure: Callable[[PeerError], Any]
) -> None:
    """Run a coroutine and deliver the inbox message that it returns.

    Any exception is delivered as a failure, so that the systems always get a message.

    Parameters
    ----------
    context : EdgeContext
        Edges of the process.
    coroutine : coroutine
        Returns the message; raises `PeerError` if the exchange fails.
    make_failure : callable
        Returns the message that is delivered instead after a failure.
    """

    async def finish() -> None:
        try:
            message = await coroutine
        except PeerError as exc:
            message = make_failure(exc)
        except Exception as exc:
            message = make_failure(PeerError(repr(exc), "exchange"))
        context.deliver(message)

    ensureDeferred(finish())


async def post_model(
    context: EdgeContext,
    address: Address,
    path: str,
    model: Any,
    reply_model: type,
    timeout_ms: int,
) -> Any:
    """Send a POST request and return the peer's validated reply.

    Parameters
    ----------
    context : EdgeContext
        Edges of the process.
    address : Address
        IP address and port of the peer.
    path : str
        Path of the request.
    model : BorderModel
        Body of the request.
    reply_model : type
        Border model of the reply.
    timeout_ms : int
        Timeout of the whole exchange, in ms.

    Raises
    ------
    PeerError
        If the exchange failed or the reply does not match `reply_model`.
    """
    response = await context.client.exchange(
        "POST", address, path, encode(model), timeout_ms
    )
    if response.status != STATUS_OK:
        raise PeerError(f"status {response.status}", "exchange", str(address))
    parsed = decode(reply_model, response.body, str(address))
    if parsed.is_error():
        raise PeerError(parsed.error.reason, "decode", str(address))
    return parsed.ok


@senders.register(SendAttempt)
def send_attempt(context: EdgeContext, message: SendAttempt) -> None:
    """Send an attempt to a sidecar.

    If the exchange fails after the connection was established, it is unknown whether
    the attempt ran.
    """

    async def exchange() -> AttemptAnswered:
        address = Address(message.host, message.port)
        model = AttemptModel.from_message(message)
        reply = await post_model(
            context,
            address,
            "/peer/attempts",
            model,
            AttemptReplyModel,
            message.silence_ms,
        )
        return reply.to_message(message)

    def make_failure(exc: PeerError) -> AttemptAnswered:
        return AttemptAnswered(
            message.attempt_id,
            message.minion,
            "",
            Outcome.UNKNOWN,
            never_sent=exc.step == "connect",
            reason=str(exc),
        )

    deliver_later(context, exchange(), make_failure)


@senders.register(HandOver)
def hand_over(context: EdgeContext, message: HandOver) -> None:
    """Pass an attempt to the minion and deliver its answer."""
    address = context.world.cfg.sidecar.minion

    async def exchange() -> MinionAnswered:
        response = await context.client.exchange(
            "POST", address, "/v1/run", message.body.encode("utf-8"), message.timeout_ms
        )
        if response.status != STATUS_OK:
            reason = f"the minion answered with status {response.status}"
            return MinionAnswered(message.attempt_id, False, reason=reason)
        return MinionAnswered(
            message.attempt_id, True, response.body.decode("utf-8", "replace")
        )

    def make_failure(exc: PeerError) -> MinionAnswered:
        never_sent = exc.step == "connect"
        return MinionAnswered(message.attempt_id, False, "", never_sent, str(exc))

    deliver_later(context, exchange(), make_failure)


@senders.register(SendHeartbeat)
def send_heartbeat(context: EdgeContext, message: SendHeartbeat) -> None:
    """Send a heartbeat to an entry."""

    async def exchange() -> HeartbeatAnswered:
        address = Address(message.host, message.port)
        model = HeartbeatModel.from_message(message)
        reply = await post_model(
            context,
            address,
            "/peer/heartbeats",
            model,
            HeartbeatReplyModel,
            message.timeout_ms,
        )
        return HeartbeatAnswered(message.entry, True, "", reply.folded_offset)

    deliver_later(
        context,
        exchange(),
        lambda exc: HeartbeatAnswered(message.entry, False, str(exc)),
    )


@senders.register(SendGangReports)
def send_gang_reports(context: EdgeContext, message: SendGangReports) -> None:
    """Send reports of gang members to the sidecar of the gang's leader."""

    async def exchange() -> GangReplyArrived:
        address = Address(message.host, message.port)
        model = GangReportsModel.from_message(message)
        reply = await post_model(
            context, address, "/peer/gangs", model, GangReplyModel, message.timeout_ms
        )
        return reply.to_message(message)

    deliver_later(
        context,
        exchange(),
        lambda exc: GangReplyArrived(message.worker, False, message.sent_ms),
    )


@senders.register(AskHolder)
def ask_holder(context: EdgeContext, message: AskHolder) -> None:
    """Ping the holder of the scheduling lease."""

    async def exchange() -> HolderAnswered:
        address = Address(message.host, message.port)
        model = HolderPingModel(entry=context.world.identity.name)
        reply = await post_model(
            context,
            address,
            "/peer/holder",
            model,
            HolderPingReplyModel,
            message.timeout_ms,
        )
        return reply.to_message(message)

    deliver_later(
        context,
        exchange(),
        lambda exc: HolderAnswered(False, "", message.sent_ms, str(exc)),
    )
