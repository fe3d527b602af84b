"""Commands that change and show teams, availability zones and settings."""

import argparse
import json
from typing import Any
from urllib.parse import quote

from kingcuppost.cli.client import send_to_entry
from kingcuppost.cli.registry import add_operator_options, command
from kingcuppost.cli.text_tables import format_table
from kingcuppost.exception import InvalidInputError
from kingcuppost.tables.record import ANY_OFFSET

__all__: list[str] = []

SHAPE_HELP = "guaranteed shape MEMBERSxACCELERATORS or COUNT*MEMBERSxACCELERATORS"


def parse_shape(text: str) -> dict[str, int]:
    """Return the fields of a guaranteed shape given as text.

    The count is 1 if the text has none.

    Raises
    ------
    InvalidInputError
        If the text is not a shape.

    Examples
    --------
    >>> parse_shape("3*2x4")
    {'members': 2, 'accelerators': 4, 'count': 3}
    """
    count, _, shape = text.rpartition("*")
    members, _, accelerators = shape.partition("x")
    numbers = (members, accelerators, count or "1")
    if not all(number.isdigit() for number in numbers):
        raise InvalidInputError(f"{text!r} is not a shape such as 2x4", "options")
    return {
        "members": int(members),
        "accelerators": int(accelerators),
        "count": int(count or "1"),
    }


def parse_setting_value(text: str) -> str | int | float | bool:
    """Return the value of a setting given as text.

    The value is a number, true, false or a JSON string; any other text is returned
    unchanged.

    Examples
    --------
    >>> [parse_setting_value(text) for text in ("250", "true", "shapes")]
    [250, True, 'shapes']
    """
    try:
        value = json.loads(text)
    except json.JSONDecodeError:
        return text
    return value if isinstance(value, str | int | float | bool) else text


def _add_team_options(parser: argparse.ArgumentParser) -> None:
    subparsers = parser.add_subparsers(dest="action", required=True)
    put = subparsers.add_parser("put", help="create or change a team")
    put.add_argument("name")
    put.add_argument("--guarantee", action="append", default=[], help=SHAPE_HELP)
    put.add_argument("--accelerator-limit", type=int, default=0)
    put.add_argument("--base-offset", type=int, default=ANY_OFFSET)
    show = subparsers.add_parser("show", help="show a team, or all")
    show.add_argument("name", nargs="?", default="")
    for subparser in (put, show):
        add_operator_options(subparser)


@command("team", "Create, change and show teams.", _add_team_options)
def run_team(args: argparse.Namespace) -> int:
    """Create, change or show a team; return the exit code."""
    if args.action == "put":
        body = {
            "operator": args.operator,
            "guarantees": [parse_shape(text) for text in args.guarantee],
            "accelerator_limit": args.accelerator_limit,
            "base_offset": args.base_offset,
        }
        return send_to_entry(
            args, "PUT", f"/v1/teams/{quote(args.name, safe='')}", body
        )
    if args.name:
        return send_to_entry(args, "GET", f"/v1/teams/{quote(args.name, safe='')}")
    return send_to_entry(args, "GET", "/v1/teams", format_answer=_format_teams)


def _format_teams(answer: Any) -> str:
    rows = [
        [
            row["name"],
            " ".join(
                f"{shape['count']}*{shape['members']}x{shape['accelerators']}"
                for shape in row["guarantees"]
            ),
            row["offset"],
            row["operator"],
        ]
        for row in answer["rows"]
    ]
    return format_table(["TEAM", "GUARANTEES", "OFFSET", "OPERATOR"], rows)


def _add_zone_options(parser: argparse.ArgumentParser) -> None:
    subparsers = parser.add_subparsers(dest="action", required=True)
    for name, text in (
        ("add", "create a zone, in service"),
        ("out", "take a zone out of service"),
        ("in", "take a zone back into service"),
        ("show", "show all zones"),
    ):
        subparser = subparsers.add_parser(name, help=text)
        if name != "show":
            subparser.add_argument("name")
            subparser.add_argument("--region", required=name == "add", default="")
            subparser.add_argument("--base-offset", type=int, default=ANY_OFFSET)
        add_operator_options(subparser)


@command(
    "availability-zone",
    "Create zones, take them out of service and back in, and show them.",
    _add_zone_options,
)
def run_zone(args: argparse.Namespace) -> int:
    """Create a zone, change whether it is in service, or show all zones.

    Returns
    -------
    int
        Exit code.
    """
    if args.action == "show":
        return send_to_entry(
            args, "GET", "/v1/availability-zones", format_answer=_format_zones
        )
    path = f"/v1/availability-zones/{quote(args.name, safe='')}"
    if args.action == "add":
        body = {"operator": args.operator, "region": args.region, "in_service": True}
        return send_to_entry(args, "PUT", path, body)
    body = {
        "operator": args.operator,
        "in_service": args.action == "in",
        "base_offset": args.base_offset,
    }
    return send_to_entry(args, "POST", f"{path}/service", body)


def _format_zones(answer: Any) -> str:
    rows = [
        [
            row["name"],
            row["region"],
            "in" if row["in_service"] else "OUT",
            row["offset"],
            row["operator"],
        ]
        for row in answer["rows"]
    ]
    return format_table(["ZONE", "REGION", "SERVICE", "OFFSET", "OPERATOR"], rows)


def _add_settings_options(parser: argparse.ArgumentParser) -> None:
    subparsers = parser.add_subparsers(dest="action", required=True)
    set_parser = subparsers.add_parser("set", help="set a key on a branch")
    set_parser.add_argument("key")
    set_parser.add_argument("value")
    unset_parser = subparsers.add_parser(
        "unset", help="remove a key from a branch, which then inherits its value"
    )
    unset_parser.add_argument("key")
    for subparser in (set_parser, unset_parser):
        subparser.add_argument("--base-offset", type=int, default=ANY_OFFSET)
    show_parser = subparsers.add_parser(
        "show", help="show the effective values of a branch"
    )
    for subparser in (set_parser, unset_parser, show_parser):
        subparser.add_argument(
            "--path", default="", help="branch of the settings tree (default: the root)"
        )
        add_operator_options(subparser)


@command("settings", "Change and show the settings tree.", _add_settings_options)
def run_settings(args: argparse.Namespace) -> int:
    """Set, unset or show keys on a branch of the settings tree.

    Returns
    -------
    int
        Exit code.
    """
    if args.action == "show":
        path = f"/v1/settings?path={quote(args.path, safe='')}"
        return send_to_entry(args, "GET", path, format_answer=_format_branch)
    body = {
        "operator": args.operator,
        "path": args.path,
        "key": args.key,
        "value": parse_setting_value(args.value) if args.action == "set" else None,
        "base_offset": args.base_offset,
    }
    return send_to_entry(args, "PUT", "/v1/settings", body)


def _format_branch(answer: Any) -> str:
    rows = [
        [row["key"], row["value"], row["path"], row["offset"], row["operator"]]
        for row in answer["effective"]
    ]
    return format_table(["KEY", "VALUE", "FROM", "OFFSET", "OPERATOR"], rows)
