"""Reading of the log lines of the system's processes."""

import json
import sys
from collections.abc import Iterable, Iterator
from dataclasses import dataclass
from pathlib import Path

__all__ = ["LogLine", "read_logs"]

STANDARD_FIELDS = ("wall_ms", "instance", "incarnation", "message", "levelname")


@dataclass(frozen=True, slots=True)
class LogLine:
    """One log line.

    Attributes
    ----------
    wall_ms : int
        Unix time in ms by the clock of the process that wrote it.
    instance : str
        Name of the process that wrote the line.
    message : str
        Text of the line, which begins with the part of the program and a colon.
    fields : dict
        All other fields.
    """

    wall_ms: int
    instance: str
    message: str
    fields: dict

    @property
    def part(self) -> str:
        """Return the part of the program that wrote the line."""
        return self.message.partition(":")[0]

    def mentions(self, text: str) -> bool:
        """Return whether the value of any field begins with a text."""
        return any(str(value).startswith(text) for value in self.fields.values())


def _parse_lines(texts: Iterable[str]) -> Iterator[LogLine]:
    """Yield the log lines of the system; skip others, such as those of a benchmark."""
    for text in texts:
        start = text.find("{")
        if start < 0:
            continue
        try:
            row = json.loads(text[start:])
        except ValueError:
            continue
        if isinstance(row, dict) and isinstance(row.get("wall_ms"), int):
            fields = {key: row[key] for key in row if key not in STANDARD_FIELDS}
            instance = str(row.get("instance", ""))
            yield LogLine(row["wall_ms"], instance, str(row.get("message", "")), fields)


def read_logs(paths: list[str]) -> Iterator[LogLine]:
    """Yield the log lines of the system in files; `-` is standard input."""
    for path in paths:
        if path == "-":
            yield from _parse_lines(sys.stdin)
        else:
            with Path(path).open(encoding="utf-8", errors="replace") as file:
                yield from _parse_lines(file)
