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
    "StartModel",
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
    def from_row(cls, row: ReserveTask) -> "ReserveModel":
        """Return the model of an outbox message."""
        return cls(
            task_id=row.task_id,
            cores=row.cores,
            memory_mb=row.memory_mb,
            accelerators=list(row.accelerators),
            payload=row.payload,
            lease_ms=row.lease_ms,
        )


class StartModel(BorderModel):
    """Start, checkpoint or stop a task."""

    task_id: str
    lease_ms: int = 0


class LeaseModel(BorderModel):
    """The remaining time for which a task may run without renewal, in ms."""

    task_id: str
    lease_ms: int


class RenewModel(BorderModel):
    """Renew leases and request the list of all tasks."""

    leases: list[LeaseModel]

    @classmethod
    def from_row(cls, row: RenewTasks) -> "RenewModel":
        """Return the model of an outbox message."""
        leases = [
            LeaseModel(task_id=item.task_id, lease_ms=item.lease_ms)
            for item in row.leases
        ]
        return cls(leases=leases)


class TaskModel(BaseModel):
    """A task as the worker reports it."""

    model_config = ConfigDict(extra="ignore")

    task_id: str
    state: TaskState
    result: str = ""

    def to_row(self) -> WorkerTask:
        """Return the row."""
        return WorkerTask(self.task_id, self.state, self.result)


class TaskListModel(BaseModel):
    """All tasks of a worker."""

    model_config = ConfigDict(extra="ignore")

    tasks: list[TaskModel]
