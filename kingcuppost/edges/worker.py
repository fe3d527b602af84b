"""Client of the worker over HTTP, in the protocol of the repository's stand-in."""

from typing import Any

from kingcuppost.edges.context import EdgeContext, drivers, senders
from kingcuppost.edges.peers import deliver_later
from kingcuppost.exception import PeerError
from kingcuppost.models import decode, encode
from kingcuppost.models.worker import (
    RenewModel,
    ReserveModel,
    TaskListModel,
    TaskOrderModel,
)
from kingcuppost.tables.inbox import WorkerAnswered
from kingcuppost.tables.outbox import (
    CheckpointTask,
    RenewTasks,
    ReserveTask,
    StartTask,
    StopTask,
)

__all__ = ["HttpWorker"]

STATUS_OK = 200


@drivers.register(("worker", "http"))
class HttpWorker:
    """Sends orders to the worker over HTTP.

    Parameters
    ----------
    context : EdgeContext
        Edges of the process.
    """

    def __init__(self, context: EdgeContext) -> None:
        self._context = context
        self._address = context.world.cfg.sidecar.worker.address

    def send_order(self, order: str, task_id: str, model: Any, timeout_ms: int) -> None:
        """Send an order and deliver the worker's answer."""

        async def exchange() -> WorkerAnswered:
            response = await self._context.client.exchange(
                "POST", self._address, f"/v1/{order}", encode(model), timeout_ms
            )
            if response.status != STATUS_OK:
                reason = response.body.decode("utf-8", "replace")
                return WorkerAnswered(order, task_id, False, reason=reason)
            parsed = decode(TaskListModel, response.body, "worker")
            if parsed.is_error():
                raise PeerError(parsed.error.reason, order, "worker")
            tasks = tuple(item.to_task() for item in parsed.ok.tasks)
            return WorkerAnswered(order, task_id, True, tasks)

        def make_failure(exc: PeerError) -> WorkerAnswered:
            return WorkerAnswered(order, task_id, False, reason=str(exc))

        deliver_later(self._context, exchange(), make_failure)


@senders.register(ReserveTask)
def reserve_task(context: EdgeContext, message: ReserveTask) -> None:
    """Order the worker to reserve resources for a gang member."""
    model = ReserveModel.from_message(message)
    context.external_clients["worker"].send_order(
        "reserve", message.task_id, model, message.timeout_ms
    )


@senders.register(StartTask)
def start_task(context: EdgeContext, message: StartTask) -> None:
    """Order the worker to start a reserved member."""
    model = TaskOrderModel(task_id=message.task_id, lease_ms=message.lease_ms)
    context.external_clients["worker"].send_order(
        "start", message.task_id, model, message.timeout_ms
    )


@senders.register(RenewTasks)
def renew_tasks(context: EdgeContext, message: RenewTasks) -> None:
    """Renew leases of tasks and request the list of all tasks."""
    model = RenewModel.from_message(message)
    context.external_clients["worker"].send_order(
        "renew", "", model, message.timeout_ms
    )


@senders.register(CheckpointTask)
def checkpoint_task(context: EdgeContext, message: CheckpointTask) -> None:
    """Order the worker to checkpoint a member."""
    model = TaskOrderModel(task_id=message.task_id)
    context.external_clients["worker"].send_order(
        "checkpoint", message.task_id, model, message.timeout_ms
    )


@senders.register(StopTask)
def stop_task(context: EdgeContext, message: StopTask) -> None:
    """Order the worker to stop a member."""
    model = TaskOrderModel(task_id=message.task_id)
    context.external_clients["worker"].send_order(
        "stop", message.task_id, model, message.timeout_ms
    )
