"""Encoding of a sidecar's reports and of the scheduler's orders as JSON."""

from typing import Annotated

from expression import Error, Ok, Result
from pydantic import BaseModel, ConfigDict, FailFast, Field, ValidationError

from kingcuppost.batch.tables.job import MinionIncarnation, RunEnd, TaskName
from kingcuppost.batch.tables.messages import (
    EndedRun,
    MinionReport,
    RefusedRun,
    RunningRun,
    StartOrder,
    StopOrder,
    SyncCall,
    SyncReply,
)
from kingcuppost.batch.tables.resources import Resources
from kingcuppost.exception import Failure
from kingcuppost.models.base import format_validation_error, validate_text
from kingcuppost.utils.addresses import parse_address

__all__ = [
    "decode_sync_call",
    "decode_sync_reply",
    "encode_sync_call",
    "encode_sync_reply",
]

MAX_REPLY_WAIT_MS = 10_000


class PeerModel(BaseModel):
    """Message between processes; unknown fields of later versions are ignored."""

    model_config = ConfigDict(extra="ignore", frozen=True, defer_build=True)


class MinionModel(PeerModel):
    """State of a minion, as reported by its sidecar."""

    id: str
    born_ms: int
    service: str
    availability_zone: str
    labels: Annotated[tuple[str, ...], FailFast()]
    cpu_millis: int
    memory_mb: int
    accelerators: int
    draining: bool = False
    remaining_ms: int = 0
    listed: bool = False
    # earlier versions extend the lease by each report
    in_contact: bool = True
    # earlier versions take each list for a whole one
    lists_are_whole: bool = True


class SyncCallModel(PeerModel):
    """Report of a sidecar.

    Each running run is a row of task, run, checkpoint and percentage of work done; each
    ended run a row of number, task, run, kind of end and checkpoint; each refused run a
    row of task, run and reason.
    """

    sidecar: str
    incarnation: str
    number: int
    wait_ms: Annotated[int, Field(ge=0, le=MAX_REPLY_WAIT_MS)]
    minion: MinionModel | None = None
    running: Annotated[tuple[tuple[str, int, str, int], ...], FailFast()] = ()
    ended: Annotated[tuple[tuple[int, str, int, RunEnd, str], ...], FailFast()] = ()
    refused: Annotated[tuple[tuple[str, int, str], ...], FailFast()] = ()
    lists_age_ms: Annotated[int, Field(ge=0)] = 0
    # incarnation that has certainly ended; empty for none
    ended_minion: str = ""
    ended_born_ms: int = 0


class SyncReplyModel(PeerModel):
    """Orders for a sidecar.

    Each start is a row of task, run, spec and checkpoint; each stop and each settled
    run is a row of task and run.
    """

    term: int
    holder: str = ""
    minion: str = ""
    born_ms: int = 0
    starts: tuple[tuple[str, int, str, str], ...] = ()
    stops: tuple[tuple[str, int], ...] = ()
    settled: tuple[tuple[str, int], ...] = ()
    noted: int = 0
    entries: tuple[str, ...] = ()
    holder_term: int = 0
    members_end: int = -1
    # earlier versions give orders with each extension of a lease
    only_extends: bool = False


def _to_minion_model(report: MinionReport) -> MinionModel:
    return MinionModel(
        id=report.incarnation.minion,
        born_ms=report.incarnation.born_ms,
        service=report.service,
        availability_zone=report.availability_zone,
        labels=report.labels,
        cpu_millis=report.resources.cpu_millis,
        memory_mb=report.resources.memory_mb,
        accelerators=report.resources.accelerators,
        draining=report.draining,
        remaining_ms=report.remaining_ms,
        listed=report.listed,
        in_contact=report.in_contact,
        lists_are_whole=report.lists_are_whole,
    )


def _to_minion_report(model: MinionModel) -> MinionReport:
    return MinionReport(
        MinionIncarnation(model.id, model.born_ms),
        model.service,
        model.availability_zone,
        model.labels,
        Resources(model.cpu_millis, model.memory_mb, model.accelerators),
        model.draining,
        model.remaining_ms,
        model.listed,
        model.in_contact,
        model.lists_are_whole,
    )


def encode_sync_call(call: SyncCall) -> bytes:
    """Return the JSON text of a report."""
    model = SyncCallModel(
        sidecar=call.sidecar,
        incarnation=call.incarnation,
        number=call.number,
        wait_ms=call.wait_ms,
        minion=_to_minion_model(call.minion) if call.minion else None,
        running=tuple(
            (str(row.task), row.run, row.checkpoint, row.percent)
            for row in call.running
        ),
        ended=tuple(
            (row.number, str(row.task), row.run, row.run_end, row.checkpoint)
            for row in call.ended
        ),
        refused=tuple((str(row.task), row.run, row.reason) for row in call.refused),
        lists_age_ms=call.lists_age_ms,
        ended_minion=call.ended_minion.minion if call.ended_minion else "",
        ended_born_ms=call.ended_minion.born_ms if call.ended_minion else 0,
    )
    return model.model_dump_json(exclude_defaults=True).encode()


def decode_sync_call(
    text: bytes, exchange_id: str, peer: str
) -> Result[SyncCall, Failure]:
    """Return the report in a text, or why the text is invalid."""
    try:
        model = validate_text(SyncCallModel, text)
        return Ok(_to_sync_call(model, exchange_id))
    except ValidationError as exc:
        return Error(Failure(format_validation_error(exc), "decode", peer))
    except ValueError as exc:
        return Error(Failure(str(exc), "decode", peer))


def _to_sync_call(model: SyncCallModel, exchange_id: str) -> SyncCall:
    parse_task_name = TaskName.parse
    return SyncCall(
        exchange_id,
        model.sidecar,
        model.incarnation,
        model.number,
        model.wait_ms,
        _to_minion_report(model.minion) if model.minion else None,
        tuple(RunningRun(parse_task_name(row[0]), *row[1:]) for row in model.running),
        tuple(
            EndedRun(number, parse_task_name(task), run, run_end, checkpoint)
            for number, task, run, run_end, checkpoint in model.ended
        ),
        tuple(RefusedRun(parse_task_name(row[0]), *row[1:]) for row in model.refused),
        model.lists_age_ms,
        _to_ended_minion(model),
    )


def _to_ended_minion(model: SyncCallModel) -> MinionIncarnation | None:
    if not model.ended_minion:
        return None
    return MinionIncarnation(model.ended_minion, model.ended_born_ms)


def encode_sync_reply(reply: SyncReply) -> bytes:
    """Return the JSON text of the orders for a sidecar."""
    incarnation = reply.incarnation or MinionIncarnation("", 0)
    model = SyncReplyModel(
        term=reply.term,
        holder=str(reply.holder) if reply.holder else "",
        minion=incarnation.minion,
        born_ms=incarnation.born_ms,
        starts=tuple(
            (str(row.task), row.run, row.spec, row.checkpoint) for row in reply.starts
        ),
        stops=tuple((str(row.task), row.run) for row in reply.stops),
        settled=tuple((str(row.task), row.run) for row in reply.settled),
        noted=reply.noted,
        entries=tuple(str(address) for address in reply.entries),
        holder_term=reply.holder_term,
        members_end=reply.members_end,
        only_extends=reply.only_extends,
    )
    return model.model_dump_json(exclude_defaults=True).encode()


def decode_sync_reply(text: bytes, peer: str) -> Result[SyncReply, Failure]:
    """Return the orders in a text, or why the text is invalid."""
    try:
        model = SyncReplyModel.model_validate_json(text)
        return Ok(_to_sync_reply(model))
    except ValidationError as exc:
        return Error(Failure(format_validation_error(exc), "decode", peer))
    except ValueError as exc:
        return Error(Failure(str(exc), "decode", peer))


def _to_sync_reply(model: SyncReplyModel) -> SyncReply:
    parse_task_name = TaskName.parse
    return SyncReply(
        "",
        model.term,
        parse_address(model.holder) if model.holder else None,
        MinionIncarnation(model.minion, model.born_ms) if model.minion else None,
        tuple(StartOrder(parse_task_name(row[0]), *row[1:]) for row in model.starts),
        tuple(StopOrder(parse_task_name(row[0]), row[1]) for row in model.stops),
        tuple(StopOrder(parse_task_name(row[0]), row[1]) for row in model.settled),
        model.noted,
        tuple(parse_address(text) for text in model.entries),
        model.holder_term,
        model.members_end,
        model.only_extends,
    )
