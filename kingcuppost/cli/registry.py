"""The registry of commands, with their shared options and exit codes."""

import argparse
import os
import sys
from collections.abc import Callable
from dataclasses import dataclass

from kingcuppost.exception import Failure, InvalidInputError
from kingcuppost.tables.config import Address
from kingcuppost.utils import addresses

__all__ = [
    "EXIT_FAILED",
    "EXIT_INVALID",
    "EXIT_OK",
    "EXIT_UNKNOWN",
    "Command",
    "add_operator_options",
    "command",
    "commands",
    "parse_address",
    "print_failure",
]

EXIT_OK = 0
EXIT_FAILED = 1
EXIT_INVALID = 2
EXIT_UNKNOWN = 3
DEFAULT_OPERATOR_ADDRESS = "127.0.0.1:7301"

RunCommand = Callable[[argparse.Namespace], int]
AddOptions = Callable[[argparse.ArgumentParser], None]


@dataclass(frozen=True, slots=True)
class Command:
    """A command of the command line.

    Attributes
    ----------
    name, text : str
        Its name, and its help in one sentence.
    add_options : callable
        Adds its options to a parser.
    run : callable
        Runs it and returns the exit code.
    """

    name: str
    text: str
    add_options: AddOptions
    run: RunCommand


commands: dict[str, Command] = {}


def command(
    name: str, text: str, add_options: AddOptions
) -> Callable[[RunCommand], RunCommand]:
    """Return a decorator that adds the decorated function to `commands`."""

    def register(run: RunCommand) -> RunCommand:
        commands[name] = Command(name, text, add_options, run)
        return run

    return register


def add_operator_options(parser: argparse.ArgumentParser) -> None:
    """Add the options shared by all commands that send requests to an entry."""
    parser.add_argument(
        "--entry",
        default=DEFAULT_OPERATOR_ADDRESS,
        help=f"operators' address of an entry, IP:PORT (default "
        f"{DEFAULT_OPERATOR_ADDRESS})",
    )
    parser.add_argument(
        "--operator",
        default=os.environ.get("USER") or "operator",
        help="name recorded with a change (default: $USER, or operator if unset)",
    )
    parser.add_argument("--json", action="store_true", help="print JSON")


def parse_address(text: str) -> Address:
    """Return an address given as ``IP:PORT``.

    Raises
    ------
    InvalidInputError
        If the text is not an address.

    Examples
    --------
    >>> parse_address("127.0.0.1:80")
    Address(host='127.0.0.1', port=80)
    """
    try:
        return addresses.parse_address(text)
    except ValueError as exc:
        reason = f"{text!r} is not an address IP:PORT: {exc}"
        raise InvalidInputError(reason, "options") from exc


def print_failure(failure: Failure) -> int:
    """Print the reason of a failure and return the exit code for it."""
    origin = " ".join(part for part in (failure.step, failure.peer) if part)
    print(f"kingcuppost: {origin}: {failure.reason}", file=sys.stderr)
    return EXIT_FAILED
