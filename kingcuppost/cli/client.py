"""Sending a command's request and printing the answer."""

import argparse
import json
import sys
from collections.abc import Callable
from typing import Any

from kingcuppost.cli.registry import (
    EXIT_FAILED,
    EXIT_INVALID,
    EXIT_OK,
    EXIT_UNKNOWN,
    parse_address,
    print_failure,
)
from kingcuppost.exception import Failure
from kingcuppost.programs.command_requests import CommandRequest, send_requests
from kingcuppost.tables.request import Outcome

__all__ = ["print_answer", "send", "send_to"]

STATUS_OK = 200
STEP_CONNECT = "connect"
STATUS_INVALID = (400, 404, 409, 422)


def send(
    args: argparse.Namespace,
    method: str,
    path: str,
    body: dict[str, Any] | None = None,
    show: Callable[[Any], str] | None = None,
) -> int:
    """Send one request to the operators' address and print the answer.

    Parameters
    ----------
    args : argparse.Namespace
        Options from `add_operator_options`.
    method, path : str
        HTTP method and path with query.
    body : dict, optional
        Fields of the border model.
    show : callable, optional
        Makes text for people; the answer's fields, one a line, if None.

    Returns
    -------
    int
        Exit code.
    """
    return send_to(args.entry, args.json, method, path, body, show)


def send_to(
    address: str,
    as_json: bool,
    method: str,
    path: str,
    body: dict[str, Any] | None,
    show: Callable[[Any], str] | None,
) -> int:
    """Send one request to an address and print the answer."""
    text = json.dumps(body).encode("utf-8") if body is not None else b""
    result = send_requests(
        [CommandRequest(method, path, parse_address(address), text)]
    )[0]
    if result.is_error():
        return _print_silence(result.error, method)
    return print_answer(result.ok.status, result.ok.body, as_json, show)


def _print_silence(failure: Failure, method: str) -> int:
    """Print why there is no answer; a change that was sent may have been made."""
    code = print_failure(failure)
    if method == "GET" or failure.step == STEP_CONNECT:
        return code
    print("kingcuppost: the outcome is unknown", file=sys.stderr)
    return EXIT_UNKNOWN


def print_answer(
    status: int, text: bytes, as_json: bool, show: Callable[[Any], str] | None
) -> int:
    """Print an answer and return the exit code that fits its status."""
    try:
        answer = json.loads(text)
    except ValueError:
        print(f"kingcuppost: status {status} without JSON", file=sys.stderr)
        return EXIT_UNKNOWN
    if as_json:
        print(json.dumps(answer))
    elif status == STATUS_OK:
        print((show or show_fields)(answer))
    else:
        print(f"kingcuppost: {answer['outcome']}: {answer['reason']}", file=sys.stderr)
    if status == STATUS_OK:
        return EXIT_OK
    if status in STATUS_INVALID:
        return EXIT_INVALID
    return EXIT_UNKNOWN if answer["outcome"] == Outcome.UNKNOWN else EXIT_FAILED


def show_fields(answer: Any) -> str:
    """Return an answer's fields, one a line."""
    return "\n".join(f"{name}: {value}" for name, value in answer.items())
