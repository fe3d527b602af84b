"""Tests that the reference tables in docs/ match the code."""

from pathlib import Path

import pytest

from kingcuppost.cli.reference import references
from kingcuppost.edges.routes import routes
from standins.pages import DOCS, renew_tables

PAGE_PATHS = sorted(DOCS.glob("*.md"))
PAGE_OF_TOPIC = {
    "settings": "SETTINGS.md",
    "files": "SETTINGS.md",
    "causes": "OPERATIONS.md",
    "metrics": "METRICS.md",
    "routes": "API.md",
}


@pytest.mark.parametrize("path", PAGE_PATHS, ids=lambda path: path.name)
def test_tables_are_up_to_date(path: Path) -> None:
    text = path.read_text(encoding="utf-8")
    assert renew_tables(text) == text, "run scripts/reference"


@pytest.mark.parametrize("topic", list(references))
def test_each_table_is_on_its_page(topic: str) -> None:
    page = (DOCS / PAGE_OF_TOPIC[topic]).read_text(encoding="utf-8")
    assert references[topic]() in page


def test_every_route_is_documented() -> None:
    page = (DOCS / "API.md").read_text(encoding="utf-8")
    for route, _ in routes:
        assert f"| `{route.method}` | `{route.path}` |" in page
        assert route.parse.__doc__
