"""Rows of batch jobs, without behaviour, input or output."""

from kingcuppost.batch.tables.config import Bounds, DaemonConfig
from kingcuppost.batch.tables.job import (
    Job,
    JobState,
    RunEnd,
    StepSpec,
    TaskName,
    TaskPhase,
)
from kingcuppost.batch.tables.plan import Plan, PlanPhase
from kingcuppost.batch.tables.task import Task
from kingcuppost.batch.tables.world import BatchWorld, LogLine

__all__ = [
    "BatchWorld",
    "Bounds",
    "DaemonConfig",
    "Job",
    "JobState",
    "LogLine",
    "Plan",
    "PlanPhase",
    "RunEnd",
    "StepSpec",
    "Task",
    "TaskName",
    "TaskPhase",
]
