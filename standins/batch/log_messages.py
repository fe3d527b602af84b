"""Appends to the simulated log, and reads of its streams."""

from dataclasses import replace
from typing import Any

from kingcuppost.batch.models import decode_record, encode_record
from kingcuppost.batch.tables.messages import (
    Append,
    AppendEnded,
    AppendOutcome,
    ConfigRecord,
    EntryRecord,
    JobRecord,
    ListMembers,
    ProgressPartRecord,
    ReadStream,
    RecordsRead,
    Stream,
    ZoneRecord,
)
from kingcuppost.tables.identity import Role
from standins.batch.deployment import Deployment, senders, starters
from standins.batch.process import Process

__all__: list[str] = []

LOG_POLL_PERIOD_MS = 1_100
LISTING_DELAY_MS = 5
REFUSED_APPEND_MS = 20
MAX_LATE_APPEND_MS = 3_000
LATE_APPEND_RATIO = 0.5  # of the appends whose answer is lost


@starters.register(Role.ENTRY)
def poll_streams(deployment: Deployment, process: Process) -> None:
    """Poll all streams for an entry until it ends."""
    for stream in Stream:
        _poll_stream(deployment, process, process.incarnation, stream)


@senders.register(ListMembers)
def list_members(
    deployment: Deployment, process: Process, message: ListMembers
) -> None:
    """Answer with the newest records of the members stream."""
    batch = _read_newest(deployment, Stream.MEMBERS)
    if not process.is_cut_off and not deployment.log_is_down:
        deployment.deliver_later(process, LISTING_DELAY_MS, lambda: batch)


@senders.register(ReadStream)
def read_stream(deployment: Deployment, process: Process, message: ReadStream) -> None:
    """Read a stream to its end, beside the reads that follow it."""
    incarnation = process.incarnation
    deployment.after(
        deployment.delay_ms(),
        lambda: _read_stream(deployment, process, incarnation, message.stream),
    )


def _can_reach_log(deployment: Deployment, process: Process) -> bool:
    return not (
        process.is_cut_off or process.is_rejected_by_log or deployment.log_is_down
    )


@senders.register(Append)
def append_records(deployment: Deployment, process: Process, message: Append) -> None:
    """Append records; an answer may be lost, and a lost one be carried out late."""
    if not _can_reach_log(deployment, process):
        answer = AppendEnded(
            message.id, AppendOutcome.REFUSED, reason="rejected by the log"
        )
        deployment.deliver_later(process, REFUSED_APPEND_MS, lambda: answer)
        return
    lost = deployment.rng.random() < deployment.lost_answer_ratio
    late_ms = (
        deployment.rng.random() * MAX_LATE_APPEND_MS
        if lost and deployment.rng.random() < LATE_APPEND_RATIO
        else 0
    )

    def apply() -> None:
        records = [encode_record(record) for record in _restrict(process, message)]
        result = deployment.store.append(
            message.stream,
            records,
            message.required_end,
            message.term,
            message.sequence,
        )
        if not lost:
            answer = AppendEnded(
                message.id, result.outcome, result.offset, result.end, result.reason
            )
            delay_ms = deployment.delay_ms() + deployment.log_delay_ms
            deployment.deliver_later(process, delay_ms, lambda: answer)
        _notify_entries(deployment, message.stream)

    deployment.after(late_ms + deployment.delay_ms(), apply)
    if lost:
        answer = AppendEnded(message.id, AppendOutcome.UNKNOWN, reason="lost")
        deployment.deliver_later(process, message.timeout_ms, lambda: answer)


def _restrict(process: Process, message: Append) -> list[Any]:
    """Return the records of an append as the build of the process writes them."""
    if process.reads_parts:
        return list(message.records)
    return [
        replace(record, record_format=0) if isinstance(record, EntryRecord) else record
        for record in message.records
    ]


def _restrict_read(process: Process, batch: RecordsRead) -> RecordsRead:
    """Leave out the records that the build of the process ignores."""
    if process.reads_parts:
        return batch
    rows = [row for row in batch.records if not isinstance(row[1], ProgressPartRecord)]
    return replace(batch, records=rows)


def _notify_entries(deployment: Deployment, stream: Stream) -> None:
    for process in deployment.processes.values():
        if process.role is Role.ENTRY and process.is_up:
            incarnation = process.incarnation
            deployment.after(
                deployment.delay_ms(),
                lambda process=process, incarnation=incarnation: _read_stream(
                    deployment, process, incarnation, stream
                ),
            )


def _poll_stream(
    deployment: Deployment, process: Process, incarnation: int, stream: Stream
) -> None:
    """Read a stream periodically, as a long poll does."""
    if process.incarnation != incarnation or not process.is_up:
        return
    _read_stream(deployment, process, incarnation, stream)
    deployment.after(
        LOG_POLL_PERIOD_MS,
        lambda: _poll_stream(deployment, process, incarnation, stream),
    )


def _read_stream(
    deployment: Deployment, process: Process, incarnation: int, stream: Stream
) -> None:
    if process.incarnation != incarnation or not process.is_up or process.is_frozen:
        return
    if stream in process.missed_streams | process.slow_reads or not _can_reach_log(
        deployment, process
    ):
        return
    if stream is Stream.OPERATORS:
        deployment.deliver(process, _read_operator_stream(deployment))
        return
    position = process.next_offsets[stream]
    records = None if position < 0 else deployment.store.read(stream, position)
    if records is None:
        batch = _read_newest(deployment, stream)
    else:
        rows = [
            (offset, _decode(key, value))
            for offset, (key, value) in enumerate(records, position)
        ]
        now_ms = deployment.clock.now_ms()
        batch = RecordsRead(stream, rows, now_ms, position + len(rows))
    batch = _restrict_read(process, batch)
    process.next_offsets[stream] = batch.end
    if deployment.log_delay_ms:
        _deliver_slowly(deployment, process, batch)
    else:
        deployment.deliver(process, batch)


def _deliver_slowly(
    deployment: Deployment, process: Process, batch: RecordsRead
) -> None:
    """Deliver records late; what is appended meanwhile is read after that."""
    incarnation = process.incarnation
    process.slow_reads.add(batch.stream)

    def deliver() -> None:
        if process.incarnation != incarnation:
            return
        process.slow_reads.discard(batch.stream)
        deployment.deliver(process, batch, incarnation)
        if deployment.store.end(batch.stream) > batch.end:
            _read_stream(deployment, process, incarnation, batch.stream)

    deployment.after(deployment.log_delay_ms, deliver)


def _decode(key: str, value: bytes) -> Any:
    return decode_record(key, value, "log").ok


def _read_newest(deployment: Deployment, stream: Stream) -> RecordsRead:
    rows = [
        (offset, _decode(key, value))
        for offset, key, value in deployment.store.newest(stream)
    ]
    # An entry ignores the other records of a job that it does not know yet.
    rows.sort(key=lambda row: (not isinstance(row[1], JobRecord), row[0]))
    end = deployment.store.end(stream)
    return RecordsRead(stream, rows, deployment.clock.now_ms(), end, is_complete=True)


def _read_operator_stream(deployment: Deployment) -> RecordsRead:
    records = [ConfigRecord(deployment.configuration)]
    records += [ZoneRecord(zone) for zone in sorted(deployment.closed_zones)]
    # a later listing ends at a higher offset, as after a change
    rows = list(enumerate(records, deployment.operator_end))
    deployment.operator_end += len(rows)
    return RecordsRead(
        Stream.OPERATORS,
        rows,
        deployment.clock.now_ms(),
        deployment.operator_end,
        is_complete=True,
    )
