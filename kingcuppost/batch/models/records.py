"""Encoding of the records in the system's own streams as a key and a JSON value."""

from collections.abc import Callable
from dataclasses import replace
from typing import Annotated, Any

from expression import Error, Ok, Result
from pydantic import AfterValidator, BaseModel, ConfigDict, Field, ValidationError

from kingcuppost.batch.tables.fleet import Speed
from kingcuppost.batch.tables.job import (
    MAX_JOB_TASKS,
    Job,
    JobPolicy,
    JobState,
    Progress,
    StepSpec,
    TaskPhase,
    TaskProgress,
)
from kingcuppost.batch.tables.messages import (
    CancelRecord,
    ClaimRecord,
    EntryRecord,
    JobRecord,
    ProgressPartRecord,
    ProgressRecord,
    Record,
    RemovalRecord,
    RenewRecord,
    SpeedsRecord,
)
from kingcuppost.exception import Failure
from kingcuppost.models.addresses import HostText, PortNumber
from kingcuppost.models.base import Amount, format_validation_error
from kingcuppost.tables.config import Address
from kingcuppost.utils.registry import Registry

__all__ = ["decode_record", "encode_record"]

KEY_SEPARATOR = "/"
SPEED_DECIMALS = 2

decoders: Registry[str, Callable[[str, bytes], Record]] = Registry("decoder of record")
encoders: Registry[type, Callable[[Any], tuple[str, bytes]]] = Registry(
    "encoder of record"
)


class RecordModel(BaseModel):
    """Value of a record; unknown fields of later versions are ignored."""

    model_config = ConfigDict(extra="ignore", frozen=True, defer_build=True)

    def to_json(self) -> bytes:
        """Return the JSON text, without fields that have their default value."""
        return self.model_dump_json(exclude_defaults=True).encode()


class StepModel(RecordModel):
    """Step of a job."""

    count: Annotated[int, Field(ge=1, le=MAX_JOB_TASKS)]
    cpu_millis: Amount = 0
    memory_mb: Amount = 0
    accelerators: Amount = 0
    estimate_ms: Amount = 0
    needs: tuple[Amount, ...] = ()
    gang: bool = False
    one_rack: bool = False
    label: str = ""
    rack: str = ""
    most_per_minion: Amount = 0
    saves: bool = False


def _validate_steps(steps: tuple[StepModel, ...]) -> tuple[StepModel, ...]:
    if sum(step.count for step in steps) > MAX_JOB_TASKS:
        raise ValueError(f"more than {MAX_JOB_TASKS} tasks")
    for index, step in enumerate(steps):
        if any(needed >= index for needed in step.needs):
            raise ValueError(f"step {index} needs a step that is not before it")
    return steps


class JobModel(RecordModel):
    """Accepted job."""

    queue: str
    team: str
    spec: str
    accepted_ms: Amount
    steps: Annotated[tuple[StepModel, ...], AfterValidator(_validate_steps)]
    service: str = ""
    priority: int = 1
    most_failures: int = 1
    slack_factor: float = 1.0


class ProgressModel(RecordModel):
    """State of a job and of its tasks, without tasks that never had a run.

    A task is a row of step, index, phase, run, failures, minion, Unix time of the
    minion's start in ms, sidecar, Unix time of the run's placement in ms, and
    checkpoint. A row of step and checkpoint says what the placed runs of a gang start
    from, if that is not the checkpoint of their rows.
    """

    state: JobState
    begun: bool = False
    tasks: tuple[
        tuple[
            Amount,
            Amount,
            TaskPhase,
            Amount,
            Amount,
            str,
            int,
            str,
            int,
            str,
        ],
        ...,
    ] = ()
    gang_starts: tuple[tuple[Amount, str], ...] = ()


class EntryModel(RecordModel):
    """Address and identity of an entry."""

    host: HostText
    port: PortNumber
    availability_zone: str
    incarnation: str
    record_format: int = 0


class ClaimModel(RecordModel):
    """Claim of the scheduling lease."""

    name: str
    host: HostText
    port: PortNumber
    incarnation: str


class RenewModel(RecordModel):
    """Renewal or release of the scheduling lease."""

    term: int
    released: bool = False


class SpeedsModel(RecordModel):
    """Speed and number of runs that it is based on, by sidecar."""

    speeds: dict[str, tuple[float, float]] = {}


class CancelModel(RecordModel):
    """Cancellation of a job by a caller."""


@encoders.register(JobRecord)
def _encode_job(record: JobRecord) -> tuple[str, bytes]:
    job = record.job
    model = JobModel(
        queue=job.queue,
        team=job.team,
        spec=job.spec,
        accepted_ms=job.accepted_ms,
        service=job.policy.service,
        priority=job.policy.priority,
        most_failures=job.policy.most_failures,
        slack_factor=job.policy.slack_factor,
        steps=tuple(
            StepModel(**{name: getattr(step, name) for name in StepModel.model_fields})
            for step in job.steps
        ),
    )
    return f"job/{job.id}", model.to_json()


@decoders.register("job")
def _decode_job(job_id: str, value: bytes) -> Record:
    model = JobModel.model_validate_json(value)
    steps = tuple(StepSpec(**step.model_dump()) for step in model.steps)
    policy = JobPolicy(
        model.service, model.priority, model.most_failures, model.slack_factor
    )
    return JobRecord(
        Job(
            job_id,
            model.queue,
            model.team,
            model.spec,
            steps,
            model.accepted_ms,
            -1,
            policy,
        )
    )


@encoders.register(CancelRecord)
def _encode_cancel(record: CancelRecord) -> tuple[str, bytes]:
    return f"cancel/{record.job_id}", CancelModel().to_json()


@decoders.register("cancel")
def _decode_cancel(job_id: str, value: bytes) -> Record:
    CancelModel.model_validate_json(value)
    return CancelRecord(job_id)


@encoders.register(ProgressRecord)
def _encode_progress(record: ProgressRecord) -> tuple[str, bytes]:
    return f"progress/{record.job_id}", _encode_progress_value(record.progress)


@encoders.register(ProgressPartRecord)
def _encode_progress_part(record: ProgressPartRecord) -> tuple[str, bytes]:
    value = _encode_progress_value(record.progress)
    return f"progress/{record.job_id}/{record.part}", value


def _encode_progress_value(progress: Progress) -> bytes:
    rows = tuple(
        (
            task.step,
            task.index,
            task.phase,
            task.run,
            task.failures,
            task.minion,
            task.born_ms,
            task.sidecar,
            task.placed_ms,
            task.checkpoint,
        )
        for task in progress.tasks
    )
    gang_starts = {
        task.step: task.started_from
        for task in progress.tasks
        if task.started_from is not None
    }
    model = ProgressModel(
        state=progress.state,
        begun=progress.begun,
        tasks=rows,
        gang_starts=tuple(gang_starts.items()),
    )
    return model.to_json()


@decoders.register("progress")
def _decode_progress(rest: str, value: bytes) -> Record:
    """Return the progress of a job, or of the part that the key ends with."""
    model = ProgressModel.model_validate_json(value)
    gang_starts = dict(model.gang_starts)
    tasks = tuple(_make_task_progress(row, gang_starts) for row in model.tasks)
    progress = Progress(model.state, model.begun, tasks)
    job_id, _, part = rest.partition(KEY_SEPARATOR)
    if part.isascii() and part.isdecimal():
        return ProgressPartRecord(job_id, int(part), progress)
    return ProgressRecord(rest, progress)


def _make_task_progress(row: tuple, gang_starts: dict[int, str]) -> TaskProgress:
    """Return the progress of a task, with the start of its gang's run if it is placed.

    All placed members of a gang belong to one run.
    """
    progress = TaskProgress(*row)
    if progress.phase is not TaskPhase.PLACED or progress.step not in gang_starts:
        return progress
    return replace(progress, started_from=gang_starts[progress.step])


@encoders.register(EntryRecord)
def _encode_entry(record: EntryRecord) -> tuple[str, bytes]:
    model = EntryModel(
        host=record.address.host,
        port=record.address.port,
        availability_zone=record.availability_zone,
        incarnation=record.incarnation,
        record_format=record.record_format,
    )
    return f"entry/{record.name}", model.to_json()


@decoders.register("entry")
def _decode_entry(name: str, value: bytes) -> Record:
    model = EntryModel.model_validate_json(value)
    address = Address(model.host, model.port)
    return EntryRecord(
        name,
        address,
        model.availability_zone,
        model.incarnation,
        model.record_format,
    )


@encoders.register(ClaimRecord)
def _encode_claim(record: ClaimRecord) -> tuple[str, bytes]:
    model = ClaimModel(
        name=record.name,
        host=record.address.host,
        port=record.address.port,
        incarnation=record.incarnation,
    )
    return "claim", model.to_json()


@decoders.register("claim")
def _decode_claim(rest: str, value: bytes) -> Record:
    model = ClaimModel.model_validate_json(value)
    return ClaimRecord(model.name, Address(model.host, model.port), model.incarnation)


@encoders.register(RenewRecord)
def _encode_renewal(record: RenewRecord) -> tuple[str, bytes]:
    model = RenewModel(term=record.term, released=record.released)
    return "renew", model.to_json()


@decoders.register("renew")
def _decode_renewal(rest: str, value: bytes) -> Record:
    model = RenewModel.model_validate_json(value)
    return RenewRecord(model.term, model.released)


@encoders.register(SpeedsRecord)
def _encode_speeds(record: SpeedsRecord) -> tuple[str, bytes]:
    rows = {
        name: (round(speed.value, SPEED_DECIMALS), speed.weight)
        for name, speed in record.speeds.items()
    }
    return "speeds", SpeedsModel(speeds=rows).to_json()


@decoders.register("speeds")
def _decode_speeds(rest: str, value: bytes) -> Record:
    model = SpeedsModel.model_validate_json(value)
    return SpeedsRecord({name: Speed(*row) for name, row in model.speeds.items()})


@encoders.register(RemovalRecord)
def _encode_removal(record: RemovalRecord) -> tuple[str, bytes]:
    return record.key, b""


def encode_record(record: Record) -> tuple[str, bytes]:
    """Return the key and the value of a record; an empty value removes the key.

    Examples
    --------
    >>> encode_record(RenewRecord(7, False))
    ('renew', b'{"term":7}')
    """
    return encoders[type(record)](record)


def decode_record(key: str, value: bytes, peer: str) -> Result[Record, Failure]:
    """Return the record of a key and a value, or why they are invalid.

    An empty value yields the removal of the key.

    Examples
    --------
    >>> decode_record("renew", b'{"term":7}', "log").ok
    RenewRecord(term=7, released=False)
    >>> decode_record("renew", b"{}", "log").error.reason
    'renew: term: Field required'
    """
    if not value:
        return Ok(RemovalRecord(key))
    kind, _, rest = key.partition(KEY_SEPARATOR)
    if kind not in decoders:
        return Error(Failure(f"unknown kind of record: {key!r}", "decode", peer))
    try:
        return Ok(decoders[kind](rest, value))
    except ValidationError as exc:
        return Error(Failure(f"{key}: {format_validation_error(exc)}", "decode", peer))
