"""Sending the request of a command and printing the answer."""

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

__all__ = ["print_answer", "send_request", "send_to_entry"]

STATUS_OK = 200
STEP_CONNECT = "connect"  # a failure at this step means that nothing was sent
INVALID_STATUSES = (400, 404, 409, 422)


def send_to_entry(
    args: argparse.Namespace,
    method: str,
    path: str,
    body: dict[str, Any] | None = None,
    format_answer: Callable[[Any], str] | None = None,
) -> int:
    """Send one request to the operators' address of an entry and print the answer.

    Parameters
    ----------
    args : argparse.Namespace
        Options from `add_operator_options`.
    method, path : str
        HTTP method, and path with its query.
    body : dict, optional
        Fields of the request's model.
    format_answer : callable, optional
        Returns the text to print for an answer; if None, its fields are printed, one
        a line.

    Returns
    -------
    int
        Exit code.
    """
    return send_request(args.entry, args.json, method, path, body, format_answer)


def send_request(
    address: str,
    as_json: bool,
    method: str,
    path: str,
    body: dict[str, Any] | None,
    format_answer: Callable[[Any], str] | None,
) -> int:
    """Send one request to an address, print the answer and return the exit code.

    The parameters are those of `send_to_entry`, but for the address as ``IP:PORT`` and
    `as_json`, which prints the answer as JSON.
    """
    encoded_body = json.dumps(body).encode("utf-8") if body is not None else b""
    result = send_requests(
        [CommandRequest(method, path, parse_address(address), encoded_body)]
    )[0]
    if result.is_error():
        return _print_missing_answer(result.error, method)
    return print_answer(result.ok.status, result.ok.body, as_json, format_answer)


def _print_missing_answer(failure: Failure, method: str) -> int:
    """Print why there is no answer, and return the exit code.

    If a change was sent, it may have been made, so its outcome is unknown.
    """
    exit_code = print_failure(failure)
    if method == "GET" or failure.step == STEP_CONNECT:
        return exit_code
    print("kingcuppost: the outcome is unknown", file=sys.stderr)
    return EXIT_UNKNOWN


def print_answer(
    status: int, body: bytes, as_json: bool, format_answer: Callable[[Any], str] | None
) -> int:
    """Print an answer and return the exit code for its status.

    Without `as_json`, the outcome and reason of a refusal go to standard error.
    """
    try:
        answer = json.loads(body)
    except ValueError:
        print(
            f"kingcuppost: status {status}, and the body is not JSON", file=sys.stderr
        )
        return EXIT_UNKNOWN
    if as_json:
        print(json.dumps(answer))
    elif status == STATUS_OK:
        print((format_answer or format_fields)(answer))
    else:
        print(f"kingcuppost: {answer['outcome']}: {answer['reason']}", file=sys.stderr)
    if status == STATUS_OK:
        return EXIT_OK
    if status in INVALID_STATUSES:
        return EXIT_INVALID
    return EXIT_UNKNOWN if answer["outcome"] == Outcome.UNKNOWN else EXIT_FAILED


def format_fields(answer: Any) -> str:
    """Return an answer's fields, one a line."""
    return "\n".join(f"{name}: {value}" for name, value in answer.items())
