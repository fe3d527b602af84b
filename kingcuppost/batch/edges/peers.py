"""Reports of sidecars to entries, explanations of placements, and the metrics."""

from twisted.web.server import Request

from kingcuppost.batch.edges.context import (
    BatchContext,
    batch_senders,
    deliver_later,
)
from kingcuppost.batch.edges.server import Handler, answer, open_exchange, surfaces
from kingcuppost.batch.edges.submissions import CALLERS_SURFACE, submission_decoders
from kingcuppost.batch.models.sync import (
    decode_sync_call,
    decode_sync_reply,
    encode_sync_call,
    encode_sync_reply,
)
from kingcuppost.batch.tables.messages import (
    ExplainCall,
    ExplainOutcome,
    ExplainReply,
    SendSync,
    SyncAnswered,
    SyncReply,
)
from kingcuppost.exception import PeerError
from kingcuppost.tables.identity import Role
from kingcuppost.utils.registry import Registry

__all__ = ["peer_paths"]

SYNC_PATH = "/peer/sync"
EXPLAIN_PATH = "/peer/explain"
STATUS_OK = 200
STATUS_BAD = 400
STATUS_NOT_FOUND = 404
STATUS_UNAVAILABLE = 503
EXPLAIN_STATUSES = {
    ExplainOutcome.EXPLAINED: STATUS_OK,
    ExplainOutcome.REDIRECTED: STATUS_OK,
    ExplainOutcome.BAD: STATUS_BAD,
    ExplainOutcome.NOT_NOW: STATUS_UNAVAILABLE,
}

peer_paths: Registry[str, Handler] = Registry("path for peers")


@surfaces.register("peers")
def serve_peer(context: BatchContext, request: Request) -> None:
    """Pass a request to the handler of its path; answer 404 if there is none."""
    path = request.path.decode("ascii", "replace")
    if path not in peer_paths:
        answer(request, STATUS_NOT_FOUND)
        return
    peer_paths[path](context, request)


@peer_paths.register(SYNC_PATH)
def receive_sync(context: BatchContext, request: Request) -> None:
    """Deliver a sidecar's report to the systems; answer 400 if it is invalid."""
    peer = request.getClientAddress().host
    exchange_id = open_exchange(context, request)
    parsed = decode_sync_call(request.content.read(), exchange_id, peer)
    if parsed.is_error():
        context.exchanges.pop(exchange_id)
        context.world.note(
            "peer", "Rejected an invalid report.", reason=str(parsed.error)
        )
        answer(request, STATUS_BAD)
        return
    context.deliver(parsed.ok)


@batch_senders.register(SyncReply)
def send_sync_reply(context: BatchContext, reply: SyncReply) -> None:
    """Answer a sidecar's report, unless its connection is closed."""
    request = context.exchanges.pop(reply.exchange_id, None)
    if request is not None:
        answer(request, STATUS_OK, encode_sync_reply(reply))


@batch_senders.register(SendSync)
def send_sync(context: BatchContext, message: SendSync) -> None:
    """Send a report to an entry, and deliver its outcome as `SyncAnswered`."""
    deliver_later(context, _send_report(context, message))


async def _send_report(context: BatchContext, message: SendSync) -> SyncAnswered:
    sent_ms = context.world.clock.now_ms()
    number, address = message.number, message.address
    try:
        response = await context.client.exchange(
            "POST",
            address,
            SYNC_PATH,
            encode_sync_call(message.call),
            message.timeout_ms,
        )
    except PeerError as exc:
        return SyncAnswered(number, address, sent_ms, None, str(exc))
    if response.status != STATUS_OK:
        return SyncAnswered(number, address, sent_ms, None, f"status {response.status}")
    parsed = decode_sync_reply(response.body, str(address))
    if parsed.is_error():
        return SyncAnswered(number, address, sent_ms, None, parsed.error.reason)
    return SyncAnswered(number, address, sent_ms, parsed.ok)


@peer_paths.register(EXPLAIN_PATH)
def receive_explain_call(context: BatchContext, request: Request) -> None:
    """Deliver a request to explain a placement; answer 400 if it is invalid."""
    if context.world.cfg.role is not Role.ENTRY:
        answer(request, STATUS_NOT_FOUND)
        return
    # imported on the first request, since start-up time is part of every recovery
    from kingcuppost.batch.models.explanations import decode_explain_call

    exchange_id = open_exchange(context, request)
    peer = request.getClientAddress().host
    parsed = decode_explain_call(request.content.read(), peer)
    if parsed.is_error():
        _refuse_explain_call(context, exchange_id, parsed.error.reason)
        return
    decode = submission_decoders[CALLERS_SURFACE]
    job = decode(parsed.ok.submission.encode())
    if job.is_error():
        _refuse_explain_call(context, exchange_id, job.error)
        return
    context.deliver(ExplainCall(exchange_id, parsed.ok.queue, parsed.ok.team, job.ok))


def _refuse_explain_call(context: BatchContext, exchange_id: str, reason: str) -> None:
    send_explain_reply(context, ExplainReply(exchange_id, ExplainOutcome.BAD, reason))


@batch_senders.register(ExplainReply)
def send_explain_reply(context: BatchContext, reply: ExplainReply) -> None:
    """Answer a request to explain a placement, unless its connection is closed."""
    from kingcuppost.batch.models.explanations import encode_explain_reply

    request = context.exchanges.pop(reply.exchange_id, None)
    if request is not None:
        answer(request, EXPLAIN_STATUSES[reply.outcome], encode_explain_reply(reply))


@peer_paths.register("/metrics")
def serve_metrics(context: BatchContext, request: Request) -> None:
    """Serve the metrics in the Prometheus text format."""
    # imported on the first request, since start-up time is part of every recovery
    from kingcuppost.batch.edges.metrics import metrics_text

    answer(request, STATUS_OK, metrics_text(context.world))
