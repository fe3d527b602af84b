"""The trace of a job is collected from the logs of several processes."""

import json
from pathlib import Path

import pytest

from kingcuppost.cli import main

JOB_ID = "0123456789abcdef"


def make_line(wall_ms: int, instance: str, message: str, **fields: str | int) -> str:
    return json.dumps(
        {"wall_ms": wall_ms, "instance": instance, "message": message, **fields}
    )


@pytest.fixture
def logs(tmp_path: Path) -> list[str]:
    entry = tmp_path / "entry.log"
    entry.write_text(
        "\n".join(
            [
                make_line(1_000, "entry-0", "lease: A term began.", term=3),
                "0.1 entry-0 "
                + make_line(2_000, "entry-0", "call: submit", job=JOB_ID),
                "a line of another program",
                make_line(
                    2_005, "entry-0", "place: A run is placed.", task=f"{JOB_ID}.0.0.1"
                ),
                make_line(
                    2_500, "entry-0", "minion: A minion is unreachable.", minion="m-1"
                ),
                make_line(
                    9_000, "entry-0", "minion: A minion is unreachable.", minion="m-2"
                ),
            ]
        )
    )
    sidecar = tmp_path / "side.log"
    sidecar.write_text(
        make_line(2_003, "side-1", "run: A run began.", task=f"{JOB_ID}.0.0.0")
    )
    return [str(entry), str(sidecar)]


def test_lines_of_a_job_are_merged_by_time(
    logs: list[str], capsys: pytest.CaptureFixture
) -> None:
    assert main(["trace", JOB_ID, *logs]) == 0
    words = [text.split()[1] for text in capsys.readouterr().out.splitlines()]
    assert words == ["entry-0", "side-1", "entry-0"]


def test_context_includes_other_lines_of_the_same_time(
    logs: list[str], capsys: pytest.CaptureFixture
) -> None:
    assert main(["trace", JOB_ID, *logs, "--context"]) == 0
    text = capsys.readouterr().out
    assert "m-1" in text
    assert "A term began" in text
    assert "m-2" not in text


def test_job_without_log_lines_is_an_error(
    logs: list[str], capsys: pytest.CaptureFixture
) -> None:
    assert main(["trace", "fedcba9876543210", *logs]) == 1
    assert "no line mentions" in capsys.readouterr().err
