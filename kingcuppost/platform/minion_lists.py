"""Requests for the lists of runs of the minion beside a sidecar."""

import json
from collections.abc import Callable, Iterator
from typing import Any

from pydantic import Field, TypeAdapter, ValidationError

from kingcuppost.batch.edges.context import (
    BatchContext,
    batch_senders,
    deliver_later,
)
from kingcuppost.batch.tables.job import MinionIncarnation, RunEnd, TaskName
from kingcuppost.batch.tables.messages import (
    EndedRun,
    HoldMinion,
    HoldMinionAnswered,
    RunningRun,
)
from kingcuppost.exception import PeerError
from kingcuppost.models.base import Amount, format_validation_error
from kingcuppost.platform.minion_models import (
    INSTANCE_HEADER,
    MAX_REASON_BYTES,
    STATUS_OK,
    PlatformModel,
)

__all__: list[str] = []

HOLD_MARGIN_MS = 700  # added to the time for which the minion may wait
RUNNING_COLUMNS = 4
MAX_LISTED_ENDS = 500  # the others are returned once these are acknowledged


class _HoldReplyModel(PlatformModel):
    # time of the answer on the minion's clock, in ms
    clock_ms: Amount = Field(alias="clockMs")
    born: Amount = 0
    running: tuple[Any, ...] = ()
    finished: tuple[Any, ...] = Field((), alias="finishedRuns")


# task, run, checkpoint, percentage of work done; more columns may follow
_RunningRow = TypeAdapter(tuple[str, Amount, str, int])
# number, task, run, kind of end, checkpoint
_EndedRow = TypeAdapter(tuple[Amount, str, Amount, RunEnd, str])


@batch_senders.register(HoldMinion)
def send_hold(context: BatchContext, message: HoldMinion) -> None:
    """Request the minion's lists of runs; with `lease_until_ms`, extend its lease."""
    deliver_later(context, _request_hold(context, message))


async def _request_hold(
    context: BatchContext, message: HoldMinion
) -> HoldMinionAnswered:
    body = {"fencingToken": message.term, "lastSeen": message.acknowledged_end}
    if message.wait_ms:
        body["waitMs"] = message.wait_ms
    if message.lease_until_ms is not None:
        body["deadlineMs"] = message.lease_until_ms
    clock = context.world.clock
    sent_ms = clock.now_ms()
    incarnation = message.incarnation
    try:
        response = await context.client.exchange(
            "POST",
            message.address,
            "/kingcuppost/hold",
            json.dumps(body).encode(),
            message.wait_ms + HOLD_MARGIN_MS,
            {INSTANCE_HEADER: incarnation.minion},
        )
    except PeerError as exc:
        return HoldMinionAnswered(
            incarnation,
            sent_ms,
            clock.now_ms(),
            reason=str(exc),
            is_refused=exc.is_refused,
        )
    now_ms = clock.now_ms()
    if response.status != STATUS_OK:
        text = response.body[:MAX_REASON_BYTES].decode("utf-8", "replace")
        reason = f"status {response.status} {text}"
        return HoldMinionAnswered(incarnation, sent_ms, now_ms, reason=reason)
    try:
        return _parse_hold_reply(context, incarnation, sent_ms, now_ms, response.body)
    except ValueError as exc:
        return HoldMinionAnswered(
            incarnation, sent_ms, now_ms, reason=f"invalid lists of runs: {exc}"
        )


def _parse_hold_reply(
    context: BatchContext,
    incarnation: MinionIncarnation,
    sent_ms: int,
    now_ms: int,
    body: bytes,
) -> HoldMinionAnswered:
    model = _HoldReplyModel.model_validate_json(body)
    if model.born and model.born != incarnation.born_ms:
        return HoldMinionAnswered(
            incarnation,
            sent_ms,
            now_ms,
            reason="another incarnation of the minion answered",
        )
    running = tuple(_parse_rows(context, model.running, _parse_running_run))
    ended = tuple(_parse_rows(context, model.finished, _parse_ended_run))
    return HoldMinionAnswered(
        incarnation,
        sent_ms,
        now_ms,
        model.clock_ms,
        running,
        ended,
        is_whole=len(model.finished) < MAX_LISTED_ENDS,
    )


def _parse_rows(
    context: BatchContext, rows: tuple[Any, ...], parse_row: Callable[[Any], Any]
) -> Iterator[Any]:
    """Yield the rows that can be read; log and skip the others."""
    for row in rows:
        try:
            yield parse_row(row)
        except ValidationError as exc:
            _log_skipped_row(context, format_validation_error(exc))
        except ValueError as exc:
            _log_skipped_row(context, str(exc))


def _log_skipped_row(context: BatchContext, reason: str) -> None:
    context.world.tally.add("rows_skipped")
    context.world.note("minion", "A row of a list of runs was skipped.", reason=reason)


def _parse_running_run(row: Any) -> RunningRun:
    columns = row[:RUNNING_COLUMNS] if isinstance(row, list) else row
    task, run, checkpoint, percent = _RunningRow.validate_python(columns)
    return RunningRun(TaskName.parse(task), run, checkpoint, percent)


def _parse_ended_run(row: Any) -> EndedRun:
    number, task, run, run_end, checkpoint = _EndedRow.validate_python(row)
    return EndedRun(number, TaskName.parse(task), run, run_end, checkpoint)
