"""The command that prints reference tables for the documentation."""

import argparse
from collections.abc import Callable
from typing import Any

from pydantic import BaseModel

from kingcuppost.batch.tables.end_cause import CAUSE_TEXTS
from kingcuppost.cli.registry import EXIT_OK, command
from kingcuppost.edges.routes import routes
from kingcuppost.models.files import FileModel
from kingcuppost.settings import KEYS
from kingcuppost.settings.keys import SettingKey
from kingcuppost.systems.views.metrics import metrics
from kingcuppost.utils.registry import Registry

__all__ = ["references"]

references: Registry[str, Callable[[], str]] = Registry("reference")


def _add_options(parser: argparse.ArgumentParser) -> None:
    parser.add_argument("topic", choices=sorted(references))


@command("reference", "Print a reference table in Markdown.", _add_options)
def run_reference(args: argparse.Namespace) -> int:
    """Print one reference table; return the exit code."""
    print(references[args.topic]())
    return EXIT_OK


def _format_markdown_table(titles: list[str], rows: list[list[str]]) -> str:
    lines = [titles, ["---"] * len(titles), *rows]
    return "\n".join(f"| {' | '.join(line)} |" for line in lines)


@references.register("settings")
def settings_reference() -> str:
    """Return a table of the keys of the settings tree."""
    rows = [
        [
            f"`{key.name}`",
            f"`{key.default}`",
            key.unit or "-",
            _format_limits(key),
            key.description,
        ]
        for _, key in sorted(KEYS.items())
    ]
    return _format_markdown_table(
        ["key", "default", "unit", "allowed", "meaning"], rows
    )


def _format_limits(key: SettingKey) -> str:
    if key.choices:
        return ", ".join(f"`{choice}`" for choice in key.choices)
    if key.minimum is None and key.maximum is None:
        return type(key.default).__name__
    minimum = "" if key.minimum is None else f"{key.minimum:.10g}"
    maximum = "" if key.maximum is None else f"{key.maximum:.10g}"
    return f"{minimum} to {maximum}"


@references.register("files")
def files_reference() -> str:
    """Return a table of the keys in the settings file of a process."""
    rows: list[list[str]] = []
    _add_fields(rows, FileModel, "")
    return _format_markdown_table(["key", "type", "default"], rows)


def _add_fields(rows: list[list[str]], model: type[BaseModel], prefix: str) -> None:
    schema = model.model_json_schema()
    for name, field in model.model_fields.items():
        nested = _find_nested_model(field.annotation)
        if nested is not None:
            _add_fields(rows, nested, f"{prefix}{name}.")
            continue
        default = "required" if field.is_required() else f"`{field.default}`"
        type_text = _describe_type(schema, schema["properties"][name])
        rows.append([f"`{prefix}{name}`", type_text, default])


def _find_nested_model(annotation: Any) -> type[BaseModel] | None:
    for candidate in (annotation, *getattr(annotation, "__args__", ())):
        if isinstance(candidate, type) and issubclass(candidate, BaseModel):
            return candidate
    return None


def _describe_type(schema: dict[str, Any], field_schema: dict[str, Any]) -> str:
    """Return the type of a field with its limits, in words.

    `schema` is the JSON schema of the model, `field_schema` that of the field.
    """
    if "$ref" in field_schema:
        field_schema = schema["$defs"][field_schema["$ref"].rpartition("/")[2]]
    if "anyOf" in field_schema:
        field_schema = field_schema["anyOf"][0]
    if "enum" in field_schema:
        return ", ".join(f"`{value}`" for value in field_schema["enum"])
    text = field_schema["type"]
    if "pattern" in field_schema:
        text += f" matching `{field_schema['pattern']}`"
    if "minimum" in field_schema:
        text += f", at least {field_schema['minimum']}"
    if "maximum" in field_schema:
        text += f", at most {field_schema['maximum']}"
    return text


@references.register("metrics")
def metrics_reference() -> str:
    """Return a table of the metrics of a process."""
    rows = [
        [
            f"`{metric.name}`",
            str(metric.kind),
            ", ".join(metric.labels) or "-",
            metric.text,
        ]
        for metric in sorted(metrics.values(), key=lambda metric: metric.name)
    ]
    return _format_markdown_table(["metric", "kind", "labels", "meaning"], rows)


@references.register("causes")
def causes_reference() -> str:
    """Return a table of the causes of the ends of runs."""
    rows = [[f"`{cause}`", text] for cause, text in CAUSE_TEXTS.items()]
    return _format_markdown_table(["cause", "meaning"], rows)


@references.register("routes")
def routes_reference() -> str:
    """Return a table of the routes of all surfaces."""
    rows = [
        [
            route.surface,
            f"`{route.method}`",
            f"`{route.path}`",
            _summary_of(route.parse),
        ]
        for route, _ in sorted(
            routes, key=lambda pair: (pair[0].surface, pair[0].path, pair[0].method)
        )
    ]
    return _format_markdown_table(["surface", "method", "path", "what it does"], rows)


def _summary_of(function: Callable) -> str:
    return (function.__doc__ or "").strip().partition("\n")[0]
