"""The command that merges the events of all processes."""

import argparse
import json
from typing import Any

from kingcuppost.cli.registry import (
    EXIT_OK,
    add_operator_options,
    command,
    parse_address,
    print_failure,
)
from kingcuppost.programs.command import Exchange, exchange_all

__all__ = ["merge_events"]


def _add_options(parser: argparse.ArgumentParser) -> None:
    add_operator_options(parser)
    parser.add_argument(
        "--process",
        action="append",
        default=[],
        help="operators' address of one more process, IP:PORT",
    )
    for name in ("job", "request", "team"):
        parser.add_argument(f"--{name}", default="")


def merge_events(events: list[dict[str, Any]]) -> list[dict[str, Any]]:
    """Return events ordered by log offset first and by clock second."""
    return sorted(
        events, key=lambda row: (row["offset"], row["wall_ms"], row["sequence"])
    )


@command("timeline", "Show the events of all processes in one line.", _add_options)
def run_timeline(args: argparse.Namespace) -> int:
    """Merge and print the events of the processes named."""
    addresses = [args.entry, *args.process]
    exchanges = [
        Exchange("GET", "/v1/events", parse_address(text)) for text in addresses
    ]
    events = []
    for result in exchange_all(exchanges):
        if result.is_error():
            print_failure(result.error)
            continue
        events.extend(json.loads(result.ok.body)["events"])
    for event in merge_events(events):
        if _wanted(args, event):
            print(json.dumps(event) if args.json else _show(event))
    return EXIT_OK


def _wanted(args: argparse.Namespace, event: dict[str, Any]) -> bool:
    return all(
        not getattr(args, name) or event[name] == getattr(args, name)
        for name in ("job", "request", "team")
    )


def _show(event: dict[str, Any]) -> str:
    subject = event["job"] or event["request"] or event["peer"]
    return (
        f"{event['offset']:>6} {event['wall_ms']} {event['process']:<16} "
        f"{event['step']:<18} {subject:<24} {event['text']}"
    )
