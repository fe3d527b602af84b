"""The command line: runs the processes and sends requests to an entry."""

import argparse
import sys
from collections.abc import Sequence

from kingcuppost import __version__
from kingcuppost.cli import (
    changes,
    explain,
    fleet,
    jobs,
    lost_work,
    processes,
    reference,
    timeline,
    trace,
)
from kingcuppost.cli.registry import EXIT_INVALID, commands
from kingcuppost.exception import InvalidInputError

__all__ = ["main"]

EPILOG = (
    "exit codes: 0 done; 1 not run, or a peer failed; 2 refused as invalid, with the "
    "reason; 3 the outcome is unknown"
)


def _build_parser() -> argparse.ArgumentParser:
    parser = argparse.ArgumentParser(prog="kingcuppost", epilog=EPILOG)
    parser.add_argument("--version", action="version", version=__version__)
    subparsers = parser.add_subparsers(dest="command", required=True)
    for command in commands.values():
        command.add_options(subparsers.add_parser(command.name, help=command.text))
    return parser


def main(argv: Sequence[str] | None = None) -> int:
    """Run the command line and return the exit code.

    Parameters
    ----------
    argv : sequence of str, optional
        Arguments; those of the process if None.

    Returns
    -------
    int
        Exit code; `EPILOG` lists the meanings.
    """
    args = _build_parser().parse_args(argv)
    try:
        return commands[args.command].run(args)
    except InvalidInputError as exc:
        print(f"kingcuppost: {exc}", file=sys.stderr)
        return EXIT_INVALID


del changes, explain, fleet, jobs, lost_work, processes, reference, timeline, trace
