"""Commands that show the fleet and the status of a process."""

import argparse
from typing import Any

from kingcuppost.cli.client import send_to_entry
from kingcuppost.cli.registry import add_operator_options, command
from kingcuppost.cli.text_tables import format_table

__all__: list[str] = []

# `fresh_age_ms` of a process that has not yet read the log to its head.
NEVER_READ_AGE_MS = -1


@command("fleet", "Show entries, minions and workers.", add_operator_options)
def run_fleet(args: argparse.Namespace) -> int:
    """Show every process and worker recorded in the log; return the exit code."""
    return send_to_entry(args, "GET", "/v1/fleet", format_answer=format_fleet)


def format_fleet(answer: Any) -> str:
    """Return text tables of entries, minions and workers."""
    tables = (
        format_table(
            ["ENTRY", "ZONE", "STATE", "HOST", "CALLERS", "OPERATORS", "OFFSET"],
            [_entry_row(row) for row in answer["entries"]],
        ),
        format_table(
            ["MINION", "SERVICE", "ZONE", "WORKER", "STATE", "SLOTS", "OPERATORS"],
            [_minion_row(row) for row in answer["minions"]],
        ),
        format_table(
            ["WORKER", "ZONE", "RACK", "CORES", "MEMORY MB", "ACCELERATORS"],
            [_worker_row(row) for row in answer["workers"]],
        ),
    )
    return "\n\n".join(tables)


def _entry_row(row: Any) -> list[object]:
    names = ("name", "availability_zone", "state", "host", "caller_port")
    return [*(row[name] for name in names), row["operator_port"], row["offset"]]


def _minion_row(row: Any) -> list[object]:
    names = ("name", "service", "availability_zone", "worker", "state", "slots")
    address = f"{row['host']}:{row['operator_port']}"
    return [*(row[name] for name in names), address]


def _worker_row(row: Any) -> list[object]:
    names = ("name", "availability_zone", "rack", "cores", "memory_mb")
    return [*(row[name] for name in names), row["accelerators"]]


@command(
    "status",
    "Show the log offsets, scheduling lease and open work of a process.",
    add_operator_options,
)
def run_status(args: argparse.Namespace) -> int:
    """Show the log offsets, scheduling lease and open work of a process.

    Returns
    -------
    int
        Exit code.
    """
    return send_to_entry(args, "GET", "/v1/status", format_answer=format_status)


def format_status(answer: Any) -> str:
    """Return the text for the status of a process."""
    identity = answer["identity"]
    lease = answer["lease"]
    age_ms = answer["fresh_age_ms"]
    last_read = "never" if age_ms == NEVER_READ_AGE_MS else f"{age_ms} ms ago"
    return "\n".join(
        [
            f"process: {identity['role']} {identity['name']}, incarnation "
            f"{identity['incarnation']}, in {identity['availability_zone']}",
            f"log: folded {answer['folded_offset']} of {answer['head_offset']}, "
            f"last read at its head: {last_read}",
            f"scheduling lease: term {lease['term']}, held by "
            f"{lease['holder'] or 'nobody'}",
            f"open: {answer['requests']} requests, {answer['attempts']} attempts, "
            f"{answer['proposals']} records",
            f"stopping: {'yes' if answer['stopping'] else 'no'}",
        ]
    )
