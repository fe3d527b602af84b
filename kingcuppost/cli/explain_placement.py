"""Explaining where a job would be placed, without submitting it."""

import argparse
import json
import sys
from collections.abc import Iterator
from pathlib import Path

from expression import Error, Result

from kingcuppost.batch.models.explanations import (
    ExplainCallModel,
    ExplainReplyModel,
    ExplanationModel,
    StepExplanationModel,
    decode_explain_reply,
)
from kingcuppost.batch.tables.decision import Timeliness
from kingcuppost.batch.tables.messages import ExplainOutcome
from kingcuppost.batch.tables.waiting import WaitReason
from kingcuppost.cli.registry import (
    EXIT_FAILED,
    EXIT_INVALID,
    EXIT_OK,
    parse_address,
    print_failure,
)
from kingcuppost.edges.http_client import Response
from kingcuppost.exception import Failure, InvalidInputError
from kingcuppost.programs.command_requests import CommandRequest, send_with_follow_ups
from kingcuppost.tables.config import Address

__all__ = ["add_placement_options", "explain_placement", "format_placement"]

EXPLAIN_PATH = "/peer/explain"
REQUEST_TIMEOUT_MS = 5_000
MS_PER_SECOND = 1_000
EXIT_CODES = {
    ExplainOutcome.EXPLAINED: EXIT_OK,
    ExplainOutcome.REDIRECTED: EXIT_FAILED,
    ExplainOutcome.BAD: EXIT_INVALID,
    ExplainOutcome.NOT_NOW: EXIT_FAILED,
}
TIMELINESS_TEXTS = {
    Timeliness.IN_TIME: "can end in time if it starts now",
    Timeliness.LATE: "can end late, but of use, if it starts now",
    Timeliness.TOO_LATE: "is of no use any more if it starts now",
}
WAIT_EVENTS = {
    WaitReason.NO_MINION: "a minion of its service with its label that may be used",
    WaitReason.NO_CAPACITY: "the end of runs",
    WaitReason.LOCALITY: "free capacity where it runs fast, or the end of that wait",
    WaitReason.FAILED_MINIONS: "other minions than those where runs of it failed",
    WaitReason.PREEMPTION: "the end of runs that are stopped for it or end soon",
}
NEVER_FITS_EVENT = "more or larger minions, since those that suit would be too small"


def add_placement_options(parser: argparse.ArgumentParser) -> None:
    """Add the options of the command."""
    parser.add_argument("file", help="JSON body of a submission; - for standard input")
    parser.add_argument("--queue", required=True, help="queue of the job")
    parser.add_argument(
        "--team",
        default="",
        help="team of the job, whose guarantee counts (default: none)",
    )
    parser.add_argument(
        "--peer", required=True, help="peers' address of any entry, IP:PORT"
    )
    parser.add_argument("--json", action="store_true", help="print JSON")


def explain_placement(args: argparse.Namespace) -> int:
    """Ask the holder of the lease about a job, print its answer; return the exit code.

    An entry that does not hold the lease answers with the holder's address, which is
    asked next.
    """
    model = ExplainCallModel(
        queue=args.queue, team=args.team, submission=_read_file(args.file)
    )
    body = model.model_dump_json().encode()

    def make_request(address: Address) -> CommandRequest:
        return CommandRequest("POST", EXPLAIN_PATH, address, body, REQUEST_TIMEOUT_MS)

    def follow(result: Result[Response, Failure]) -> list[CommandRequest]:
        reply = result.bind(_decode).default_value(None)
        if reply is None or reply.outcome is not ExplainOutcome.REDIRECTED:
            return []
        return [make_request(parse_address(reply.holder))]

    results = send_with_follow_ups(make_request(parse_address(args.peer)), follow)
    decoded = results[-1].bind(_decode)
    if decoded.is_error():
        return print_failure(decoded.error)
    return _print_reply(decoded.ok, args.json)


def _read_file(path: str) -> str:
    if path == "-":
        return sys.stdin.read()
    try:
        return Path(path).read_text(encoding="utf-8")
    except (OSError, ValueError) as exc:
        raise InvalidInputError(f"{path}: {exc}", "options") from exc


def _decode(response: Response) -> Result[ExplainReplyModel, Failure]:
    if not response.body:
        reason = (
            f"status {response.status}; is this the peers' address of an entry, and "
            "does its build explain placements?"
        )
        return Error(Failure(reason, "explain placement"))
    return decode_explain_reply(response.body, f"answer of status {response.status}")


def _print_reply(reply: ExplainReplyModel, as_json: bool) -> int:
    if as_json:
        print(json.dumps(reply.model_dump(mode="json")))
    elif reply.explanation is not None:
        print(format_placement(reply.explanation))
    else:
        reason = reply.reason or f"the lease has moved to {reply.holder}"
        print(f"kingcuppost: {reply.outcome}: {reason}", file=sys.stderr)
    return EXIT_CODES[reply.outcome]


def format_placement(explanation: ExplanationModel) -> str:
    """Return the text for an explanation."""
    guaranteed = ", within its team's guarantee" if explanation.rank == 0 else ""
    lines = [
        f"rank {explanation.rank}{guaranteed}; the job "
        f"{TIMELINESS_TEXTS[explanation.timeliness]}",
        f"{explanation.usable} of {explanation.minions} minions may be used; "
        f"{explanation.waiting_steps} steps of other jobs wait",
    ]
    if explanation.is_decision_due:
        lines.append("a decision on other work is due, which may change this")
    if not explanation.are_reservations_whole:
        lines.append("some capacity that is kept for other work is not regarded")
    for step in explanation.steps:
        lines.extend(_format_step(step))
    return "\n".join(lines)


def _format_step(step: StepExplanationModel) -> Iterator[str]:
    if step.needs:
        needs = ", ".join(map(str, step.needs))
        yield f"step {step.step}: {step.tasks} tasks wait for the steps {needs}"
        return
    placed = step.tasks - step.waiting
    yield (
        f"step {step.step}: {placed} of {step.tasks} tasks would be placed now, "
        f"{step.eligible} minions suit"
    )
    for item in step.chosen:
        slow = ", slow" if item.is_slow else ""
        yield (
            f"  {item.tasks} on {item.minion} in rack {item.rack}, zone "
            f"{item.availability_zone}, speed {item.speed:.2f}{slow}"
        )
    for run in step.preempted:
        members = f" with its gang of {run.stopped}" if run.stopped > 1 else ""
        yield (
            f"  preempts {run.task} of rank {run.rank} on {run.minion}{members}, which "
            f"loses {run.lost_core_s:.1f} core-seconds"
        )
    if step.reason is not None:
        yield f"  {step.waiting} would wait: {step.reason}"
        event = WAIT_EVENTS[step.reason]
        if step.eligible and not step.fits_idle:
            event = NEVER_FITS_EVENT
        yield f"  until: {event}{_format_times(step)}"


def _format_times(step: StepExplanationModel) -> str:
    parts = []
    if step.expected_ms is not None:
        parts.append(f"expected in {step.expected_ms / MS_PER_SECOND:.1f} s")
    if step.retry_ms is not None:
        parts.append(f"next decision in {step.retry_ms / MS_PER_SECOND:.1f} s at most")
    return f" ({', '.join(parts)})" if parts else ""
