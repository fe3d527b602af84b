"""Helpers that read stored formats and turn rows into values without field names.

Without field names, a renamed field is not seen as a changed format.
"""

import json
from dataclasses import fields, is_dataclass
from enum import Enum
from functools import cache
from importlib import import_module
from inspect import getmembers, isclass
from pathlib import Path
from pkgutil import walk_packages
from typing import Any

import kingcuppost

__all__ = [
    "FORMATS_FOLDER",
    "list_package_classes",
    "read_json",
    "read_lines",
    "to_values",
]

FORMATS_FOLDER = Path(__file__).parent / "formats"


def read_lines(name: str) -> list[str]:
    """Return the lines of a file of stored formats."""
    return (FORMATS_FOLDER / name).read_text(encoding="utf-8").splitlines()


def read_json(name: str) -> Any:
    """Return the decoded JSON of a file of stored formats."""
    return json.loads((FORMATS_FOLDER / name).read_text(encoding="utf-8"))


def to_values(row: Any) -> Any:
    """Return a row as nested JSON lists, in the order of its fields.

    Sets are sorted, and members of enums are replaced by their values.
    """
    if is_dataclass(row):
        return [to_values(getattr(row, field.name)) for field in fields(row)]
    if isinstance(row, dict):
        return {str(key): to_values(value) for key, value in row.items()}
    if isinstance(row, set | frozenset):
        return sorted(to_values(item) for item in row)
    if isinstance(row, list | tuple):
        return [to_values(item) for item in row]
    return row.value if isinstance(row, Enum) else row


@cache
def list_package_classes() -> tuple[type, ...]:
    """Return the classes defined in the package, except those of tests."""
    found = []
    for module_info in walk_packages(kingcuppost.__path__, "kingcuppost."):
        if {"tests", "__main__"} & set(module_info.name.split(".")):
            continue
        module = import_module(module_info.name)
        found += [
            member
            for _, member in getmembers(module, isclass)
            if member.__module__ == module_info.name
        ]
    return tuple(found)
