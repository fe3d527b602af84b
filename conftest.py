"""Marks the tests listed in KNOWN-RED.txt as expected failures and prints the list."""

from pathlib import Path

import pytest

KNOWN_RED_FILE = Path(__file__).parent / "KNOWN-RED.txt"


def read_known_red() -> dict[str, str]:
    """Return the lines of KNOWN-RED.txt by the node id of their test."""
    lines = KNOWN_RED_FILE.read_text(encoding="utf-8").splitlines()
    entries = [line for line in lines if line.strip() and not line.startswith("#")]
    return {line.split("|")[0].strip(): line for line in entries}


def pytest_collection_modifyitems(items: list[pytest.Item]) -> None:
    """Mark the listed tests, and no others, as expected failures."""
    entries = read_known_red()
    for item in items:
        if item.nodeid in entries:
            item.add_marker(pytest.mark.xfail(reason=entries[item.nodeid]))


def pytest_terminal_summary(terminalreporter: pytest.TerminalReporter) -> None:
    """Print the list, so that a passing run does not hide it."""
    for line in read_known_red().values():
        terminalreporter.write_line(f"known red: {line}")
