"""Names on metrics pages, in log lines, of routes and on the command line."""

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
from kingcuppost.tests.format_files import FOLDER, lines_of, stored, values_of

PACKAGE = Path(__file__).parent.parent
HEADS = re.compile(r"^# TYPE .*$", re.MULTILINE)
KINDS = re.compile(r'^kingcuppost_messages_sent_total\{\w+="(\w+)"\}', re.MULTILINE)


@pytest.fixture
def world() -> Any:
    return make_world(read_config(str(FOLDER / "entry.toml")).ok)


@pytest.fixture
def batch_world(monkeypatch: pytest.MonkeyPatch) -> Any:
    monkeypatch.setenv("KINGCUPPOST_SETTINGS", str(FOLDER / "platform.toml"))
    return make_batch_world(read_settings(Role.ENTRY).ok.daemon, seed=1)


@pytest.fixture
def restored_logger() -> Iterator[None]:
    logger = logging.getLogger("kingcuppost")
    old = logger.handlers, logger.level, logger.propagate
    yield
    logger.handlers, logger.propagate = old[0], old[2]
    logger.setLevel(old[1])


def page_of(world: Any) -> str:
    registry = CollectorRegistry()
    registry.register(WorldCollector(world))
    return generate_latest(registry).decode()


def send_all(world: Any, kinds: Iterator[type]) -> None:
    """Send one message of each kind, all of them empty, in one tick."""
    reactor = Clock()
    loop = TickLoop(reactor, [])
    kinds = list(kinds)
    nowhere = dict.fromkeys(kinds, lambda context, message: None)
    loop.attach(SimpleNamespace(world=world, senders=nowhere), lambda: None)
    for kind in kinds:
        world.outbox.put(kind.__new__(kind))
    loop.wake()
    reactor.advance(0)


def test_the_metrics_page(world: Any) -> None:
    assert HEADS.findall(page_of(world)) == lines_of("metrics_page.txt")


def test_the_labels_of_metrics() -> None:
    found = {}
    for metric in metrics.values():
        name, kind, _, labels, _ = values_of(metric)
        found[name] = [kind, labels]
    assert found == stored("metrics.json")


def test_the_metrics_page_of_the_batch_world(batch_world: Any) -> None:
    send_all(batch_world, iter(batch_senders))
    page = metrics_text(batch_world).decode()
    assert HEADS.findall(page) == lines_of("batch_metrics_page.txt")


def test_the_kinds_of_sent_messages(world: Any) -> None:
    send_all(world, iter(senders))
    assert sorted(KINDS.findall(page_of(world))) == stored("message_kinds.json")


def test_the_kinds_of_sent_messages_of_the_batch_world(batch_world: Any) -> None:
    send_all(batch_world, iter(batch_senders))
    page = metrics_text(batch_world).decode()
    assert sorted(KINDS.findall(page)) == stored("batch_message_kinds.json")


def first_texts(folder: Path) -> Iterator[str]:
    """Yield the texts that the code of a folder passes as a first argument."""
    for path in folder.rglob("*.py"):
        for node in ast.walk(ast.parse(path.read_text(encoding="utf-8"))):
            if isinstance(node, ast.Call) and node.args:
                first = node.args[0]
                if isinstance(first, ast.Constant) and isinstance(first.value, str):
                    yield first.value


def test_the_counts_of_the_batch_world() -> None:
    found = {*first_texts(PACKAGE / "batch"), *first_texts(PACKAGE / "platform")}
    assert set(lines_of("batch_counts.txt")) <= found


@pytest.mark.usefixtures("restored_logger")
def test_the_fields_of_an_event_in_a_log_line(
    world: Any, capsys: pytest.CaptureFixture
) -> None:
    text, line = lines_of("event.jsonl")
    log = EventLog(world, configure_logs(world, "INFO"))
    world.events.append(TypeAdapter(Event).validate_json(text))
    world.event_count += 1
    log.flush()
    assert capsys.readouterr().err == f"{line}\n"


def test_the_routes() -> None:
    found = sorted([item.method, item.path] for item, _ in routes)
    assert found == stored("routes.json")


def test_the_paths_for_peers() -> None:
    assert sorted(peer_paths) == lines_of("peer_paths.txt")


def options_of(parser: argparse.ArgumentParser, verb: str) -> Iterator[list]:
    """Yield verb, names, choices, arity and need of each option of a parser."""
    for action in parser._actions:
        if isinstance(action, argparse._SubParsersAction):
            for name, inner in action.choices.items():
                yield from options_of(inner, f"{verb} {name}")
            continue
        choices = [str(item) for item in action.choices or ()]
        nargs = str(action.nargs)
        yield [verb, action.option_strings, choices, nargs, action.required]


def test_the_verbs_and_options_of_the_command_line() -> None:
    found = []
    for name, item in commands.items():
        parser = argparse.ArgumentParser()
        item.add_options(parser)
        found += options_of(parser, name)
    assert found == [json.loads(line) for line in lines_of("command_line.jsonl")]
