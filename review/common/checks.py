"""Checks of the rules on what minions have recorded."""

from harness import Deployment

__all__ = ["overlaps", "repeats", "works_at"]


def _spans(
    deployment: Deployment, job: str
) -> list[tuple[str, int, str, float, float]]:
    """Return task, run, minion, begin and end of each run of a job.

    A run that works until its minion is killed ends with it.
    """
    ends = {(row["task"], row["run"]): row["at"] for row in deployment.ends(job)}
    lives = [row for row in deployment.rows if row["event"] == "killed"]
    spans = []
    for row in deployment.starts(job):
        index = deployment.minion_ids.index(row["who"])
        killed = [
            life["at"]
            for life in lives
            if life["who"] == f"minion-{index}" and life["at"] > row["at"]
        ]
        last = ends.get((row["task"], row["run"]), float("inf"))
        end = min([last, *killed])
        spans.append((row["task"], row["run"], row["who"], row["at"], end))
    return spans


def works_at(deployment: Deployment, job: str, at: float) -> bool:
    """Return whether a run of a job works at a Unix time."""
    return any(begin <= at < end for *_, begin, end in _spans(deployment, job))


def overlaps(deployment: Deployment, job: str) -> list[str]:
    """Return where two runs of one task worked at the same time."""
    spans = _spans(deployment, job)
    found = []
    for index, (task, run, who, begin, end) in enumerate(spans):
        for other, other_run, other_who, other_begin, other_end in spans[index + 1 :]:
            common_s = min(end, other_end) - max(begin, other_begin)
            if task == other and common_s > 0:
                found.append(
                    f"TWICE: {task} run {run} on {who} and run {other_run} on"
                    f" {other_who} at the same time, for {common_s:.3f} s"
                )
    return found


def repeats(deployment: Deployment, job: str) -> list[str]:
    """Return the starts after a run that was done, if its end was noted then or later.

    Nothing lapses in the cases that use this check.
    """
    noted = {
        (row["task"], row["run"]): row["at"]
        for row in deployment.rows
        if row["event"] == "noted"
    }
    found = []
    for done in deployment.ends(job):
        noted_at = noted.get((done["task"], done["run"]))
        if done["how"] != "done" or noted_at is None:
            continue
        for start in deployment.starts(job):
            if start["task"] == done["task"] and done["at"] < start["at"] <= noted_at:
                found.append(
                    f"TWICE: {done['task']} run {done['run']} was done on"
                    f" {done['who']} before run {start['run']} began on {start['who']},"
                    " and was noted after that"
                )
    return found
