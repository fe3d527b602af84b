"""Metrics, log lines, routes and the command line keep their stored names."""

import argparse
import ast
import json
import logging
import re
from collections.abc import Iterator
from pathlib import Path
from types import SimpleNamespace
from typing import Any

import pytest
from prometheus_client import CollectorRegistry, generate_latest
from pydantic import TypeAdapter
from twisted.internet.task import Clock

import kingcuppost.cli  # noqa: F401
import kingcuppost.edges.http_server  # noqa: F401
import kingcuppost.edges.signals  # noqa: F401
import kingcuppost.platform.callers  # noqa: F401
import kingcuppost.platform.minion  # noqa: F401
import kingcuppost.platform.store  # noqa: F401
import kingcuppost.platform.streams  # noqa: F401
from kingcuppost.batch.edges.context import batch_senders
from kingcuppost.batch.edges.metrics import metrics_text
from kingcuppost.batch.edges.peers import peer_paths
from kingcuppost.batch.edges.processes import make_batch_world
from kingcuppost.cli.registry import commands
from kingcuppost.edges import EventLog, TickLoop, configure_logs, senders
from kingcuppost.edges.observe import WorldCollector
from kingcuppost.edges.routes import routes
from kingcuppost.models.files import read_config
from kingcuppost.platform.settings import read_settings
from kingcuppost.programs import make_world
from kingcuppost.systems.views.metrics import metrics
from kingcuppost.tables.event import Event
from kingcuppost.tables.identity import Role
from kingcuppost.tests.format_files import (
    FORMATS_FOLDER,
    read_json,
    read_lines,
    to_values,
)

PACKAGE = Path(__file__).parent.parent
TYPE_LINES = re.compile(r"^# TYPE .*$", re.MULTILINE)
SENT_KINDS = re.compile(
    r'^kingcuppost_messages_sent_total\{\w+="(\w+)"\}', re.MULTILINE
)


@pytest.fixture
def world() -> Any:
    return make_world(read_config(str(FORMATS_FOLDER / "entry.toml")).ok)


@pytest.fixture
def batch_world(monkeypatch: pytest.MonkeyPatch) -> Any:
    monkeypatch.setenv("KINGCUPPOST_SETTINGS", str(FORMATS_FOLDER / "platform.toml"))
    return make_batch_world(read_settings(Role.ENTRY).ok.daemon, seed=1)


@pytest.fixture
def restored_logger() -> Iterator[None]:
    logger = logging.getLogger("kingcuppost")
    previous = logger.handlers, logger.level, logger.propagate
    yield
    logger.handlers, logger.propagate = previous[0], previous[2]
    logger.setLevel(previous[1])


def render_metrics_page(world: Any) -> str:
    registry = CollectorRegistry()
    registry.register(WorldCollector(world))
    return generate_latest(registry).decode()


def send_each_kind(world: Any, kinds: Iterator[type]) -> None:
    """Send one message of each kind, without any field set, in one tick."""
    reactor = Clock()
    loop = TickLoop(reactor, [])
    kinds = list(kinds)
    no_op_senders = dict.fromkeys(kinds, lambda context, message: None)
    loop.attach(SimpleNamespace(world=world, senders=no_op_senders), lambda: None)
    for kind in kinds:
        world.outbox.put(kind.__new__(kind))
    loop.wake()
    reactor.advance(0)


def test_metrics_keep_their_names_and_types(world: Any) -> None:
    assert TYPE_LINES.findall(render_metrics_page(world)) == read_lines(
        "metrics_page.txt"
    )


def test_metrics_keep_their_kinds_and_labels() -> None:
    found = {}
    for metric in metrics.values():
        name, kind, _, labels, _ = to_values(metric)
        found[name] = [kind, labels]
    assert found == read_json("metrics.json")


def test_batch_metrics_keep_their_names_and_types(batch_world: Any) -> None:
    send_each_kind(batch_world, iter(batch_senders))
    page = metrics_text(batch_world).decode()
    assert TYPE_LINES.findall(page) == read_lines("batch_metrics_page.txt")


def test_sent_messages_keep_their_kind_label(world: Any) -> None:
    send_each_kind(world, iter(senders))
    assert sorted(SENT_KINDS.findall(render_metrics_page(world))) == read_json(
        "message_kinds.json"
    )


def test_sent_batch_messages_keep_their_kind_label(batch_world: Any) -> None:
    send_each_kind(batch_world, iter(batch_senders))
    page = metrics_text(batch_world).decode()
    assert sorted(SENT_KINDS.findall(page)) == read_json("batch_message_kinds.json")


def iter_first_string_arguments(folder: Path) -> Iterator[str]:
    """Yield the string constants passed as the first argument of a call."""
    for path in folder.rglob("*.py"):
        for node in ast.walk(ast.parse(path.read_text(encoding="utf-8"))):
            if isinstance(node, ast.Call) and node.args:
                first = node.args[0]
                if isinstance(first, ast.Constant) and isinstance(first.value, str):
                    yield first.value


def test_batch_counters_keep_their_keys() -> None:
    found = {
        *iter_first_string_arguments(PACKAGE / "batch"),
        *iter_first_string_arguments(PACKAGE / "platform"),
    }
    assert set(read_lines("batch_counts.txt")) <= found


@pytest.mark.usefixtures("restored_logger")
def test_the_log_line_of_an_event_keeps_its_fields(
    world: Any, capsys: pytest.CaptureFixture
) -> None:
    text, line = read_lines("event.jsonl")
    log = EventLog(world, configure_logs(world, "INFO"))
    world.events.append(TypeAdapter(Event).validate_json(text))
    world.event_count += 1
    log.flush()
    assert capsys.readouterr().err == f"{line}\n"


def test_routes_keep_their_methods_and_paths() -> None:
    found = sorted([route.method, route.path] for route, _ in routes)
    assert found == read_json("routes.json")


def test_paths_for_peers_are_kept() -> None:
    assert sorted(peer_paths) == read_lines("peer_paths.txt")


def iter_options(parser: argparse.ArgumentParser, command: str) -> Iterator[list]:
    """Yield command, names, choices, `nargs` and `required` of each option."""
    for action in parser._actions:
        if isinstance(action, argparse._SubParsersAction):
            for name, subparser in action.choices.items():
                yield from iter_options(subparser, f"{command} {name}")
            continue
        choices = [str(choice) for choice in action.choices or ()]
        nargs = str(action.nargs)
        yield [command, action.option_strings, choices, nargs, action.required]


def test_commands_keep_their_names_and_options() -> None:
    found = []
    for name, command in commands.items():
        parser = argparse.ArgumentParser()
        command.add_options(parser)
        found += iter_options(parser, name)
    assert found == [json.loads(line) for line in read_lines("command_line.jsonl")]
