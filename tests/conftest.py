"""Fixtures for the end-to-end tests, which start real processes."""

import sys
from collections.abc import Iterator
from pathlib import Path

import pytest

from standins.processes import Deployment

EXECUTABLE = Path(__file__).parent.parent / "dist" / "kingcuppost"


@pytest.fixture(scope="session")
def command() -> tuple[str, ...]:
    """Return the command that runs the executable; `scripts/check` builds it first."""
    assert EXECUTABLE.exists(), "run scripts/build first"
    return (sys.executable, str(EXECUTABLE))


@pytest.fixture
def deployment(
    command: tuple[str, ...], request: pytest.FixtureRequest
) -> Iterator[Deployment]:
    """Yield an empty deployment; print what its processes logged if the test fails.

    That is the merged event log of those that run, and the logs of those that ended.
    """
    with Deployment(command=command) as running:
        yield running
        report = getattr(request.node, "report_call", None)
        if report is not None and report.failed:
            print(running.timeline())
            print(running.ended_logs())


@pytest.hookimpl(hookwrapper=True)
def pytest_runtest_makereport(item: pytest.Item) -> Iterator[None]:
    outcome = yield
    report = outcome.get_result()
    setattr(item, f"report_{report.when}", report)
