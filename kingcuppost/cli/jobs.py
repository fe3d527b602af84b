"""Commands for jobs and for callers' requests."""

import argparse
from typing import Any
from urllib.parse import quote

from kingcuppost.cli.client import send_request, send_to_entry
from kingcuppost.cli.registry import add_operator_options, command
from kingcuppost.cli.text_tables import format_table

__all__ = ["format_jobs", "format_members"]

DEFAULT_CALLER_ADDRESS = "127.0.0.1:7300"
JOB_FIELDS = (
    "operator",
    "name",
    "team",
    "members",
    "accelerators",
    "cores",
    "memory_mb",
    "urgency",
    "declared_ms",
    "payload",
)


def _add_job_options(parser: argparse.ArgumentParser) -> None:
    subparsers = parser.add_subparsers(dest="action", required=True)
    submit = subparsers.add_parser("submit", help="submit a job")
    submit.add_argument("--name", default="")
    submit.add_argument("--team", required=True)
    submit.add_argument("--members", type=int, default=1)
    submit.add_argument("--accelerators", type=int, default=0)
    submit.add_argument("--cores", type=int, default=1)
    submit.add_argument("--memory-mb", type=int, default=0)
    submit.add_argument(
        "--urgency", choices=["interactive", "overnight"], default="overnight"
    )
    submit.add_argument("--declared-ms", type=int, default=0)
    submit.add_argument("--payload", default="")
    show = subparsers.add_parser("show", help="show a job, or all")
    show.add_argument("name", nargs="?", default="")
    cancel = subparsers.add_parser("cancel", help="cancel a job")
    cancel.add_argument("name")
    for subparser in (submit, show, cancel):
        add_operator_options(subparser)


@command("job", "Submit, show and cancel jobs.", _add_job_options)
def run_job(args: argparse.Namespace) -> int:
    """Submit, show or cancel a job; return the exit code."""
    if args.action == "submit":
        body = {name: getattr(args, name) for name in JOB_FIELDS}
        return send_to_entry(args, "POST", "/v1/jobs", body)
    path = f"/v1/jobs/{quote(args.name, safe='')}"
    if args.action == "cancel":
        return send_to_entry(
            args, "POST", f"{path}/cancel", {"operator": args.operator}
        )
    if args.name:
        return send_to_entry(args, "GET", path, format_answer=_format_job)
    return send_to_entry(args, "GET", "/v1/jobs", format_answer=format_jobs)


def format_jobs(answer: Any) -> str:
    """Return a text table of jobs."""
    rows = [
        [
            row["name"],
            row["team"],
            f"{row['members']}x{row['accelerators']}",
            row["urgency"],
            row["state"],
            row["incarnation"],
            row["reason"],
        ]
        for row in answer["rows"]
    ]
    return format_table(
        ["JOB", "TEAM", "GANG", "URGENCY", "STATE", "TRY", "REASON"], rows
    )


def _format_job(answer: Any) -> str:
    lines = [format_jobs({"rows": [answer["job"]]})]
    if answer["job"]["result"]:
        lines.append(f"result: {answer['job']['result']}")
    for gang in answer["gangs"]:
        lines.append(f"gang {gang['key']}: {gang['state']}")
        lines.extend(format_members(gang))
    return "\n".join(lines)


def format_members(gang: Any) -> list[str]:
    """Return a line for each member of a gang."""
    return [
        f"  member {number} on {placement['worker']}, "
        f"accelerators {placement['accelerators']}"
        for number, placement in enumerate(gang["placements"])
    ]


def _add_request_options(parser: argparse.ArgumentParser) -> None:
    parser.add_argument(
        "--callers",
        default=DEFAULT_CALLER_ADDRESS,
        help="callers' address of an entry, IP:PORT",
    )
    parser.add_argument("--team", required=True)
    parser.add_argument("--service", required=True)
    parser.add_argument("--body", default="")
    parser.add_argument(
        "--urgency", choices=["interactive", "overnight"], default="interactive"
    )
    parser.add_argument("--key", default="", help="run at most once under this key")
    parser.add_argument(
        "--issued-ms",
        type=int,
        default=0,
        help="when the key was created, Unix ms; the same in every retry",
    )
    parser.add_argument("--timeout-ms", type=int, default=0)
    parser.add_argument("--json", action="store_true", help="print JSON")


@command("request", "Send a request to a service.", _add_request_options)
def run_request(args: argparse.Namespace) -> int:
    """Send a caller's request, print the outcome and return the exit code."""
    body = {
        "team": args.team,
        "service": args.service,
        "body": args.body,
        "urgency": args.urgency,
        "idempotent": not args.key,
        "key": args.key,
        "issued_ms": args.issued_ms,
        "timeout_ms": args.timeout_ms,
    }
    return send_request(args.callers, args.json, "POST", "/v1/requests", body, None)
