"""The trace of a job is collected from the logs of several processes."""

import json
from pathlib import Path

import pytest

from kingcuppost.cli import main

JOB = "0123456789abcdef"


def line(wall_ms: int, instance: str, message: str, **fields: str | int) -> str:
    return json.dumps(
        {"wall_ms": wall_ms, "instance": instance, "message": message, **fields}
    )


@pytest.fixture
def logs(tmp_path: Path) -> list[str]:
    entry = tmp_path / "entry.log"
    entry.write_text(
        "\n".join(
            [
                line(1_000, "entry-0", "lease: A term began.", term=3),
                "0.1 entry-0 " + line(2_000, "entry-0", "call: submit", job=JOB),
                "a line of another program",
                line(2_005, "entry-0", "place: A run is placed.", task=f"{JOB}.0.0.1"),
                line(
                    2_500, "entry-0", "minion: A minion is unreachable.", minion="m-1"
                ),
                line(
                    9_000, "entry-0", "minion: A minion is unreachable.", minion="m-2"
                ),
            ]
        )
    )
    side = tmp_path / "side.log"
    side.write_text(line(2_003, "side-1", "run: A run began.", task=f"{JOB}.0.0.0"))
    return [str(entry), str(side)]


def test_lines_of_a_job_are_merged_by_time(
    logs: list[str], capsys: pytest.CaptureFixture
) -> None:
    assert main(["trace", JOB, *logs]) == 0
    words = [text.split()[1] for text in capsys.readouterr().out.splitlines()]
    assert words == ["entry-0", "side-1", "entry-0"]


def test_context_includes_other_lines_of_the_same_time(
    logs: list[str], capsys: pytest.CaptureFixture
) -> None:
    assert main(["trace", JOB, *logs, "--context"]) == 0
    text = capsys.readouterr().out
    assert "m-1" in text
    assert "A term began" in text
    assert "m-2" not in text


def test_job_without_log_lines_is_an_error(
    logs: list[str], capsys: pytest.CaptureFixture
) -> None:
    assert main(["trace", "fedcba9876543210", *logs]) == 1
    assert "no line mentions" in capsys.readouterr().err
