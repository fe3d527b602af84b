"""An invalid settings file is refused as a whole, with the reason."""

from pathlib import Path

import pytest

from kingcuppost.cli import main

ENTRY_SETTINGS = """
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


def run_check(tmp_path: Path, text: str) -> int:
    path = tmp_path / "entry.toml"
    path.write_text(text)
    return main(["check", str(path)])


def test_valid_file_is_accepted(tmp_path: Path) -> None:
    assert run_check(tmp_path, ENTRY_SETTINGS) == 0


@pytest.mark.parametrize(
    ("text", "reason"),
    [
        (ENTRY_SETTINGS.replace("vid-a", "Vid A"), "availability_zone"),
        (ENTRY_SETTINGS + "colour = 1\n", "entry.colour"),
        (
            ENTRY_SETTINGS.replace(
                'callers = "127.0.0.1:0"', 'callers = "localhost:0"'
            ),
            "IP",
        ),
        (
            ENTRY_SETTINGS.replace('role = "entry"', 'role = "sidecar"'),
            "entry: this table",
        ),
        (ENTRY_SETTINGS.replace("[log]", "[log"), "line 7"),
    ],
)
def test_invalid_file_is_refused_with_the_reason(
    tmp_path: Path, text: str, reason: str, capsys: pytest.CaptureFixture
) -> None:
    assert run_check(tmp_path, text) == 2
    assert reason in capsys.readouterr().err


def test_missing_file_is_refused(tmp_path: Path) -> None:
    assert main(["check", str(tmp_path / "none.toml")]) == 2
