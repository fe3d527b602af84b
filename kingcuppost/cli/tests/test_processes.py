"""An invalid settings file is refused as a whole, with the reason."""

from pathlib import Path

import pytest

from kingcuppost.cli import main

ENTRY = """
role = "entry"
name = "entry-0"
availability_zone = "vid-a"
region = "vidzeme"
peers = "127.0.0.1:0"
[log]
address = "127.0.0.1:7000"
[entry]
callers = "127.0.0.1:0"
operators = "127.0.0.1:0"
"""


def check(tmp_path: Path, text: str) -> int:
    path = tmp_path / "entry.toml"
    path.write_text(text)
    return main(["check", str(path)])


def test_valid_file_is_accepted(tmp_path: Path) -> None:
    assert check(tmp_path, ENTRY) == 0


@pytest.mark.parametrize(
    ("text", "reason"),
    [
        (ENTRY.replace("vid-a", "Vid A"), "availability_zone"),
        (ENTRY + "colour = 1\n", "entry.colour"),
        (ENTRY.replace('callers = "127.0.0.1:0"', 'callers = "localhost:0"'), "IP"),
        (ENTRY.replace('role = "entry"', 'role = "sidecar"'), "entry: this table"),
        (ENTRY.replace("[log]", "[log"), "line 7"),
    ],
)
def test_invalid_file_is_refused_with_the_reason(
    tmp_path: Path, text: str, reason: str, capsys: pytest.CaptureFixture
) -> None:
    assert check(tmp_path, text) == 2
    assert reason in capsys.readouterr().err


def test_missing_file_is_refused(tmp_path: Path) -> None:
    assert main(["check", str(tmp_path / "none.toml")]) == 2
