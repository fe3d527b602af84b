"""Lost work is summed by cause and by job from the logs of several processes."""

import json
from pathlib import Path

import pytest

from kingcuppost.cli import main

GANG_JOB = "0123456789abcdef"
OTHER_JOB = "fedcba9876543210"


def make_end(
    wall_ms: int, task: str, how: str, lost_core_s: float, **fields: str | int
) -> str:
    line = {"wall_ms": wall_ms, "instance": "entry-0", "message": "run: A run ended."}
    line |= {"task": task, "run": 1, "how": how, "lost_core_s": lost_core_s, **fields}
    return json.dumps(line)


def write_log(path: Path, lines: list[str]) -> str:
    path.write_text("\n".join([*lines, "a line of another program"]))
    return str(path)


def read_table(text: str) -> dict[str, list[str]]:
    """Return the printed rows by cause, each as its runs, core-seconds and share."""
    rows = [line.split("  ") for line in text.splitlines()[1:]]
    cells = [[cell.strip() for cell in row if cell.strip()] for row in rows]
    return {row[0]: row[1:4] for row in cells}


def test_broken_members_count_for_the_member_that_ended_otherwise(
    tmp_path: Path, capsys: pytest.CaptureFixture
) -> None:
    # the members of a lost one break first, and would be a loss without a cause
    first = write_log(
        tmp_path / "entry-0.log",
        [
            make_end(2_000, f"{GANG_JOB}.0.0.0", "broken", 40.0, cause="broken"),
            make_end(9_000, f"{GANG_JOB}.0.0.2", "lost", 80.0, cause="lost"),
            make_end(9_500, f"{OTHER_JOB}.0.0.1", "done", 0.0, cause="done"),
        ],
    )
    second = write_log(
        tmp_path / "entry-1.log",
        [make_end(3_000, f"{GANG_JOB}.0.0.1", "broken", 40.0, cause="member broken")],
    )
    assert main(["lost-work", first, second]) == 0
    assert read_table(capsys.readouterr().out) == {
        "lost": ["1", "80.0", "50.0%"],
        "member lost": ["2", "80.0", "50.0%"],
        "all": ["3", "160.0", "100.0%"],
    }


def test_an_end_in_two_logs_counts_once_and_not_if_the_work_was_done(
    tmp_path: Path, capsys: pytest.CaptureFixture
) -> None:
    # the next holder logs the ends that the one before had not written to the log
    task, done = f"{OTHER_JOB}.0.0.1", f"{OTHER_JOB}.0.0.2"
    log = write_log(
        tmp_path / "log",
        [
            make_end(1_000, task, "stopped", 7.0, cause="preempted"),
            make_end(4_000, task, "stopped", 9.0, cause="an earlier holder"),
            make_end(1_000, done, "lost", 50.0, cause="lost"),
            make_end(2_000, done, "done", 0.0, cause="done"),
        ],
    )
    assert main(["lost-work", log]) == 0
    assert read_table(capsys.readouterr().out) == {
        "preempted": ["1", "7.0", "100.0%"],
        "all": ["1", "7.0", "100.0%"],
    }


def test_lines_of_an_earlier_build_have_the_kind_of_their_end_as_cause(
    tmp_path: Path, capsys: pytest.CaptureFixture
) -> None:
    # two builds run side by side during a rollout
    log = write_log(
        tmp_path / "log",
        [
            make_end(1_000, f"{OTHER_JOB}.0.0.1", "stopped", 3.0),
            make_end(1_000, f"{OTHER_JOB}.0.0.2", "lapsed", 1.0),
        ],
    )
    assert main(["lost-work", log]) == 0
    table = read_table(capsys.readouterr().out)
    assert set(table) == {"an earlier holder", "lapsed", "all"}


def test_the_jobs_that_lost_most_are_listed_with_their_causes(
    tmp_path: Path, capsys: pytest.CaptureFixture
) -> None:
    log = write_log(
        tmp_path / "log",
        [
            make_end(1_000, f"{OTHER_JOB}.0.0.1", "stopped", 3.0, cause="slow"),
            make_end(1_000, f"{GANG_JOB}.0.0.0", "failed", 4.0, cause="failed"),
            make_end(1_000, f"{GANG_JOB}.0.1.0", "stopped", 6.0, cause="draining"),
        ],
    )
    assert main(["lost-work", "--jobs", "1", log]) == 0
    title, row = capsys.readouterr().out.splitlines()[-2:]
    assert title.startswith("JOB")
    assert row.split(maxsplit=3) == [GANG_JOB, "2", "10.0", "draining 6.0, failed 4.0"]


def test_a_log_without_ends_is_no_table(
    tmp_path: Path, capsys: pytest.CaptureFixture
) -> None:
    log = write_log(tmp_path / "log", [])
    assert main(["lost-work", log]) == 1
    assert "no line tells" in capsys.readouterr().err
