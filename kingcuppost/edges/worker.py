"""The worker's interface over HTTP, as the repository's stand-in speaks it."""

from typing import Any

from kingcuppost.edges.context import EdgeContext, drivers, senders
from kingcuppost.edges.peers import run
from kingcuppost.exception import PeerError
from kingcuppost.models import decode, encode
from kingcuppost.models.worker import (
    RenewModel,
    ReserveModel,
    StartModel,
    TaskListModel,
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
    """Driver of the worker's interface over HTTP.

    Parameters
    ----------
    context : EdgeContext
        The process's edges.
    """

    def __init__(self, context: EdgeContext) -> None:
        self._context = context
        self._address = context.world.cfg.sidecar.worker.address

    def order(self, name: str, task_id: str, model: Any, timeout_ms: int) -> None:
        """Post an order and deliver the worker's answer."""

        async def work() -> WorkerAnswered:
            response = await self._context.client.exchange(
                "POST", self._address, f"/v1/{name}", encode(model), timeout_ms
            )
            if response.status != STATUS_OK:
                reason = response.body.decode("utf-8", "replace")
                return WorkerAnswered(name, task_id, False, reason=reason)
            parsed = decode(TaskListModel, response.body, "worker")
            if parsed.is_error():
                raise PeerError(parsed.error.reason, name, "worker")
            tasks = tuple(item.to_row() for item in parsed.ok.tasks)
            return WorkerAnswered(name, task_id, True, tasks)

        def failed(exc: PeerError) -> WorkerAnswered:
            return WorkerAnswered(name, task_id, False, reason=str(exc))

        run(self._context, work(), failed)


@senders.register(ReserveTask)
def reserve_task(context: EdgeContext, row: ReserveTask) -> None:
    """Reserve resources for a member."""
    model = ReserveModel.from_row(row)
    context.drivers["worker"].order("reserve", row.task_id, model, row.timeout_ms)


@senders.register(StartTask)
def start_task(context: EdgeContext, row: StartTask) -> None:
    """Start a reserved member."""
    model = StartModel(task_id=row.task_id, lease_ms=row.lease_ms)
    context.drivers["worker"].order("start", row.task_id, model, row.timeout_ms)


@senders.register(RenewTasks)
def renew_tasks(context: EdgeContext, row: RenewTasks) -> None:
    """Renew leases and ask for all tasks."""
    model = RenewModel.from_row(row)
    context.drivers["worker"].order("renew", "", model, row.timeout_ms)


@senders.register(CheckpointTask)
def checkpoint_task(context: EdgeContext, row: CheckpointTask) -> None:
    """Ask a member to write a checkpoint."""
    model = StartModel(task_id=row.task_id)
    context.drivers["worker"].order("checkpoint", row.task_id, model, row.timeout_ms)


@senders.register(StopTask)
def stop_task(context: EdgeContext, row: StopTask) -> None:
    """Stop a member."""
    model = StartModel(task_id=row.task_id)
    context.drivers["worker"].order("stop", row.task_id, model, row.timeout_ms)
