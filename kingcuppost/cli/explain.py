"""The command that explains a job, a request or a placement."""

import argparse
from typing import Any
from urllib.parse import quote

from kingcuppost.cli.client import send_to_entry
from kingcuppost.cli.explain_placement import (
    add_placement_options,
    explain_placement,
)
from kingcuppost.cli.jobs import format_jobs, format_members
from kingcuppost.cli.registry import add_operator_options, command

__all__: list[str] = []


def _add_options(parser: argparse.ArgumentParser) -> None:
    subparsers = parser.add_subparsers(dest="action", required=True)
    job = subparsers.add_parser("job", help="settings, decisions and outcome of a job")
    job.add_argument("name", help="name of the job")
    request = subparsers.add_parser(
        "request", help="settings, decision and outcome of a request"
    )
    request.add_argument("name", metavar="TEAM/KEY", help="team and key of the request")
    for subparser in (job, request):
        add_operator_options(subparser)
    placement = subparsers.add_parser(
        "placement", help="where a batch job would be placed now, without submitting it"
    )
    add_placement_options(placement)


@command(
    "explain",
    "Explain the outcome of a job or request, or the placement of a job.",
    _add_options,
)
def run_explain(args: argparse.Namespace) -> int:
    """Show the settings, decisions and outcome of a job or request.

    A decision is shown with the alternatives that it refused. For a job that is not
    submitted, show where it would be placed.

    Returns
    -------
    int
        Exit code.
    """
    if args.action == "placement":
        return explain_placement(args)
    name = quote(args.name, safe="")
    if args.action == "job":
        return send_to_entry(
            args,
            "GET",
            f"/v1/jobs/{name}/explain",
            format_answer=format_job_explanation,
        )
    path = f"/v1/requests/explain?key={name}"
    return send_to_entry(args, "GET", path, format_answer=format_request_explanation)


def format_job_explanation(answer: Any) -> str:
    """Return the text for a job with its gangs and their decisions."""
    job = answer["job"]
    lines = [format_jobs({"rows": [job]})]
    lines.append(f"submitted at offset {job['submitted_offset']}")
    if job["result"]:
        lines.append(f"result, kept in the log: {job['result']}")
    if not answer["gangs"]:
        lines.append("no gang was placed for the job")
    for gang in answer["gangs"]:
        borrowed = ", borrowed" if gang["borrowed"] else ""
        lines.append(
            f"gang {gang['key']}, placed at offset {gang['placed_offset']} in term "
            f"{gang['term']}{borrowed}"
        )
        lines.extend(format_members(gang))
        lines.extend(_format_decision(gang["decision"]))
        if gang["reason"]:
            lines.append(f"  stopped: {gang['reason']}")
    return "\n".join(lines)


def format_request_explanation(answer: Any) -> str:
    """Return the text for a request with its claim and outcome."""
    lines = [f"request {answer['key']}: {answer['outcome']}"]
    lines.append(f"known by {answer['known_by']}")
    claim = answer["claim"]
    if claim is not None:
        lines.append(
            f"claimed at offset {claim['offset']} by attempt {claim['attempt_id']} "
            f"for {claim['minion']}, incarnation {claim['minion_incarnation']}"
        )
        if claim["decision"] is not None:
            lines.extend(_format_decision(claim["decision"]))
    else:
        lines.append("settings in force now:")
        lines.extend(_format_setting_values(answer["settings_now"]))
    for event in answer["events"]:
        lines.append(f"  {event['process']} {event['step']}: {event['text']}")
    return "\n".join(lines)


def _format_decision(decision: Any) -> list[str]:
    lines = [
        f"  by policy {decision['policy']}, settings up to offset "
        f"{decision['settings_offset']}:"
    ]
    lines.extend(_format_setting_values(decision["values"]))
    for alternative in decision["refused"]:
        lines.append(f"  not on {alternative['place']}: {alternative['reason']}")
    return lines


def _format_setting_values(values: list[Any]) -> list[str]:
    return [
        f"  {row['key']} = {row['value']} from {row['path']}, "
        f"offset {row['offset']}, {row['operator'] or 'no operator'}"
        for row in values
    ]
