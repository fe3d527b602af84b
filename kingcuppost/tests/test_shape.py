"""Rules for the shape of the code base: allowed imports and sizes of modules."""

import ast
from pathlib import Path

import pytest

PACKAGE = Path(__file__).parent.parent
MODULES = [
    path for path in sorted(PACKAGE.rglob("*.py")) if "tests" not in path.parts[-2:]
]
INNER_LAYERS = ("tables", "systems", "settings", "utils")
TWISTED_LAYERS = ("edges", "programs", "platform")
PLATFORM_REFERENCES = ("kingcuppost.platform", "/kingcuppost/")
INPUT_OUTPUT_MODULES = {
    "twisted",
    "json",
    "pydantic",
    "socket",
    "logging",
    "time",
    "datetime",
}
FORBIDDEN_MODULES = {
    "threading",
    "multiprocessing",
    "subprocess",
    "concurrent",
    "asyncio",
}


def list_imported_modules(path: Path) -> set[str]:
    names = set()
    for node in ast.walk(ast.parse(path.read_text())):
        if isinstance(node, ast.Import):
            names.update(alias.name for alias in node.names)
        elif isinstance(node, ast.ImportFrom) and node.module:
            names.add(node.module)
    return names


def list_imported_packages(path: Path) -> set[str]:
    return {name.partition(".")[0] for name in list_imported_modules(path)}


def layer_of(path: Path) -> str:
    """Return the layer of a module; the package `batch` has its own layers."""
    parts = path.relative_to(PACKAGE).parts
    return parts[1] if parts[0] == "batch" and len(parts) > 2 else parts[0]


@pytest.mark.parametrize("path", MODULES, ids=lambda path: path.name)
def test_no_threads_and_no_child_processes(path: Path) -> None:
    assert not list_imported_packages(path) & FORBIDDEN_MODULES
    text = path.read_text()
    assert "deferToThread" not in text
    assert "callInThread" not in text


@pytest.mark.parametrize(
    "path",
    [path for path in MODULES if layer_of(path) in INNER_LAYERS],
    ids=lambda path: path.name,
)
def test_inner_layers_do_no_input_or_output(path: Path) -> None:
    allowed = {"time"} if path.name == "clock.py" else set()
    assert not (list_imported_packages(path) & INPUT_OUTPUT_MODULES) - allowed


@pytest.mark.parametrize(
    "path",
    [path for path in MODULES if layer_of(path) in INNER_LAYERS],
    ids=lambda path: path.name,
)
def test_inner_layers_do_not_import_outer_ones(path: Path) -> None:
    outer = ("edges", "models", "programs", "cli", "platform")
    prefixes = [
        f"kingcuppost.{package}{layer}" for layer in outer for package in ("", "batch.")
    ]
    forbidden_imports = [
        name for name in list_imported_modules(path) if name.startswith(tuple(prefixes))
    ]
    assert not forbidden_imports


@pytest.mark.parametrize("path", MODULES, ids=lambda path: path.name)
def test_only_edges_programs_and_the_adapter_import_twisted(path: Path) -> None:
    if layer_of(path) not in TWISTED_LAYERS:
        assert "twisted" not in list_imported_packages(path)


@pytest.mark.parametrize(
    "path",
    [path for path in MODULES if layer_of(path) != "platform"],
    ids=lambda path: path.name,
)
def test_only_the_adapter_refers_to_the_platform(path: Path) -> None:
    text = path.read_text()
    assert not any(reference in text for reference in PLATFORM_REFERENCES)


def test_the_adapter_has_at_most_a_tenth_of_the_lines() -> None:
    def count_lines(paths: list[Path]) -> int:
        return sum(len(path.read_text().splitlines()) for path in paths)

    adapter = [path for path in MODULES if layer_of(path) == "platform"]
    assert count_lines(adapter) * 10 <= count_lines(MODULES)


def test_modules_have_at_most_500_lines() -> None:
    longest = max(MODULES, key=lambda path: len(path.read_text().splitlines()))
    assert len(longest.read_text().splitlines()) <= 500, longest
