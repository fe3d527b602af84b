"""Messages of the worker, in the protocol of the repository's stand-in."""

from pydantic import BaseModel, ConfigDict

from kingcuppost.models.base import BorderModel
from kingcuppost.tables.inbox import WorkerTask
from kingcuppost.tables.outbox import RenewTasks, ReserveTask
from kingcuppost.tables.task import TaskState

__all__ = [
    "LeaseModel",
    "RenewModel",
    "ReserveModel",
    "TaskOrderModel",
    "TaskListModel",
    "TaskModel",
]


class ReserveModel(BorderModel):
    """Reserve resources for a task."""

    task_id: str
    cores: int
    memory_mb: int
    accelerators: list[int]
    payload: str
    lease_ms: int

    @classmethod
    def from_message(cls, message: ReserveTask) -> "ReserveModel":
        """Return the model of an outbox message."""
        return cls(
            task_id=message.task_id,
            cores=message.cores,
            memory_mb=message.memory_mb,
            accelerators=list(message.accelerators),
            payload=message.payload,
            lease_ms=message.lease_ms,
        )


class TaskOrderModel(BorderModel):
    """Start, checkpoint or stop a task; only a start has a lease."""

    task_id: str
    lease_ms: int = 0


class LeaseModel(BorderModel):
    """Lease of a task: the time for which it may run without renewal, in ms."""

    task_id: str
    lease_ms: int


class RenewModel(BorderModel):
    """Renew leases and request the list of all tasks."""

    leases: list[LeaseModel]

    @classmethod
    def from_message(cls, message: RenewTasks) -> "RenewModel":
        """Return the model of an outbox message."""
        leases = [
            LeaseModel(task_id=item.task_id, lease_ms=item.lease_ms)
            for item in message.leases
        ]
        return cls(leases=leases)


class TaskModel(BaseModel):
    """A task as the worker reports it."""

    model_config = ConfigDict(extra="ignore")

    task_id: str
    state: TaskState
    result: str = ""

    def to_task(self) -> WorkerTask:
        """Return the task as a data class."""
        return WorkerTask(self.task_id, self.state, self.result)


class TaskListModel(BaseModel):
    """All tasks of a worker."""

    model_config = ConfigDict(extra="ignore")

    tasks: list[TaskModel]
