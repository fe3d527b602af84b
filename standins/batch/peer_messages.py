"""Reports of sidecars to entries over the simulated network, and their answers."""

from kingcuppost.batch.models import (
    decode_sync_call,
    decode_sync_reply,
    encode_sync_call,
    encode_sync_reply,
)
from kingcuppost.batch.tables.messages import SendSync, SyncAnswered, SyncReply
from standins.batch.deployment import Deployment, senders
from standins.batch.process import Process

__all__: list[str] = []

REFUSED_CONNECTION_MS = 5


@senders.register(SendSync)
def send_sync(deployment: Deployment, process: Process, message: SendSync) -> None:
    """Send a report to an entry, and deliver its answer or its timeout."""
    sent_ms = deployment.clock.now_ms()
    incarnation = process.incarnation
    other = next(
        (
            item
            for item in deployment.processes.values()
            if item.address == message.address
        ),
        None,
    )
    is_open = [True]

    def finish_exchange(reply: SyncReply | None, reason: str = "") -> None:
        if is_open[0]:
            is_open[0] = False
            answered = SyncAnswered(
                message.number, message.address, sent_ms, reply, reason
            )
            deployment.deliver(process, answered, incarnation)

    def arrive() -> None:
        if other is None or not other.is_up or other.is_cut_off or process.is_cut_off:
            return
        exchange_id = f"x{next(deployment.sequence_numbers)}"
        text = encode_sync_call(message.call)
        call = decode_sync_call(text, exchange_id, process.name).ok
        deployment.exchanges[other.name, other.incarnation, exchange_id] = answer
        deployment.deliver(other, call)

    def answer(text: bytes) -> None:
        if not process.is_cut_off and not other.is_cut_off:
            finish_exchange(decode_sync_reply(text, other.name).ok)

    deployment.after(deployment.delay_ms(), arrive)
    is_refused = other is None or not other.is_up
    timeout_ms = REFUSED_CONNECTION_MS if is_refused else message.timeout_ms
    deployment.after(timeout_ms, lambda: finish_exchange(None, "no answer"))


@senders.register(SyncReply)
def answer_sync(deployment: Deployment, process: Process, reply: SyncReply) -> None:
    """Send an entry's answer to the sidecar that reported."""
    key = (process.name, process.incarnation, reply.exchange_id)
    answer = deployment.exchanges.pop(key, None)
    if answer is not None:
        text = encode_sync_reply(reply)
        deployment.after(deployment.delay_ms(), lambda: answer(text))
