"""The command that reports which causes threw away how much work, from the logs."""

import argparse
import sys
from collections import defaultdict
from collections.abc import Iterable
from dataclasses import dataclass, field, replace

from kingcuppost.batch.systems.end_causes import MEMBER_CAUSES, SYMPTOMS
from kingcuppost.batch.tables.end_cause import CAUSE_TEXTS, CauseKind
from kingcuppost.batch.tables.job import RunEnd, TaskName
from kingcuppost.cli.log_lines import LogLine, read_logs
from kingcuppost.cli.registry import EXIT_FAILED, EXIT_OK, command
from kingcuppost.cli.text_tables import format_table

__all__ = ["LostRun", "find_lost_runs"]

END_MESSAGE = "run: A run ended."
FULL_PERCENT = 100
# Lines of builds that logged no cause have only the kind of the end.
UNLOGGED_CAUSES = {RunEnd.STOPPED: CauseKind.EARLIER_HOLDER}


@dataclass(frozen=True, slots=True)
class LostRun:
    """A run that ended without completing its work.

    Attributes
    ----------
    task : TaskName
        Task of the run.
    run : int
        Number of the run; the members of a gang share it.
    how : RunEnd
        How the run ended.
    cause : CauseKind
        Why it ended.
    lost_core_s : float
        Work that its end threw away, in core-seconds.
    """

    task: TaskName
    run: int
    how: RunEnd
    cause: CauseKind
    lost_core_s: float


@dataclass(slots=True)
class LostSum:
    """Sum of the work that one cause or job lost.

    Attributes
    ----------
    runs : int
        Number of runs.
    lost_core_s : float
        Work that was lost, in core-seconds.
    by_cause : dict
        The same work by cause.
    """

    runs: int = 0
    lost_core_s: float = 0.0
    by_cause: dict[CauseKind, float] = field(default_factory=dict)

    def add(self, run: LostRun) -> None:
        """Add the work that a run lost."""
        self.runs += 1
        self.lost_core_s += run.lost_core_s
        previous = self.by_cause.get(run.cause, 0.0)
        self.by_cause[run.cause] = previous + run.lost_core_s


def _parse_end(line: LogLine) -> LostRun | None:
    """Return the run whose end a line reports, or None if it can't be read."""
    fields = line.fields
    try:
        how = RunEnd(fields["how"])
        text = fields.get("cause") or UNLOGGED_CAUSES.get(how, how)
        task = TaskName.parse(fields["task"])
        lost_core_s = float(fields.get("lost_core_s", 0.0))
        return LostRun(task, int(fields["run"]), how, CauseKind(text), lost_core_s)
    except (KeyError, TypeError, ValueError) as exc:
        print(f"kingcuppost: skipped a line: {exc!r}", file=sys.stderr)
        return None


def find_lost_runs(lines: Iterable[LogLine]) -> list[LostRun]:
    """Return the runs that ended without completing their work, in order of time.

    Two holders may log the end of one run: the first line counts, unless another tells
    that the work was completed after all. A gang member that missed another one takes
    the cause of the first member that ended otherwise.
    """
    ends: dict[tuple[TaskName, int], LostRun] = {}
    for line in sorted(lines, key=lambda line: line.wall_ms):
        run = _parse_end(line) if line.message == END_MESSAGE else None
        if run is None:
            continue
        key = (run.task, run.run)
        if key not in ends or run.how is RunEnd.DONE:
            ends[key] = run
    lost = [run for run in ends.values() if run.how is not RunEnd.DONE]
    origins: dict[tuple[str, int, int], CauseKind] = {}
    for run in lost:
        if run.cause not in SYMPTOMS:
            cause = MEMBER_CAUSES.get(run.cause, run.cause)
            origins.setdefault(_gang_key(run), cause)
    return [_with_origin(run, origins) for run in lost]


def _gang_key(run: LostRun) -> tuple[str, int, int]:
    """Return the job, step and run, which the members of a gang share."""
    return run.task.job, run.task.step, run.run


def _with_origin(
    run: LostRun, origins: dict[tuple[str, int, int], CauseKind]
) -> LostRun:
    """Return a run with the cause of its gang if its own is only a symptom."""
    if run.cause not in SYMPTOMS:
        return run
    return replace(run, cause=origins.get(_gang_key(run), run.cause))


def _format_causes(runs: list[LostRun]) -> str:
    sums: dict[CauseKind, LostSum] = defaultdict(LostSum)
    for run in runs:
        sums[run.cause].add(run)
    total_core_s = sum(row.lost_core_s for row in sums.values())
    rows = [
        [
            cause,
            row.runs,
            f"{row.lost_core_s:.1f}",
            _format_share(row.lost_core_s, total_core_s),
            CAUSE_TEXTS[cause],
        ]
        for cause, row in sorted(sums.items(), key=_order_by_loss)
    ]
    rows.append(
        [
            "all",
            len(runs),
            f"{total_core_s:.1f}",
            _format_share(total_core_s, total_core_s),
            "all causes",
        ]
    )
    return format_table(["CAUSE", "RUNS", "LOST CORE-S", "SHARE", "MEANING"], rows)


def _format_share(part: float, whole: float) -> str:
    return f"{FULL_PERCENT * part / whole:.1f}%" if whole else "-"


def _order_by_loss(item: tuple[str, LostSum]) -> tuple[float, str]:
    """Return the sort key that puts the largest loss first."""
    return -item[1].lost_core_s, item[0]


def _format_jobs(runs: list[LostRun], count: int) -> str:
    sums: dict[str, LostSum] = defaultdict(LostSum)
    for run in runs:
        sums[run.task.job].add(run)
    rows = []
    for job, row in sorted(sums.items(), key=_order_by_loss)[:count]:
        causes = sorted(row.by_cause.items(), key=lambda item: (-item[1], item[0]))
        texts = [f"{cause} {lost_core_s:.1f}" for cause, lost_core_s in causes]
        rows.append([job, row.runs, f"{row.lost_core_s:.1f}", ", ".join(texts)])
    return format_table(["JOB", "RUNS", "LOST CORE-S", "BY CAUSE"], rows)


def _add_options(parser: argparse.ArgumentParser) -> None:
    parser.add_argument("logs", nargs="+", help="log files; - for standard input")
    parser.add_argument(
        "--jobs",
        type=int,
        default=0,
        metavar="N",
        help="also show the N jobs that lost the most work (default 0)",
    )


@command("lost-work", "Show which causes threw away how much work.", _add_options)
def run_lost_work(args: argparse.Namespace) -> int:
    """Print the lost work by cause, and by job if asked; return the exit code.

    Returns
    -------
    int
        Exit code; `EXIT_FAILED` if no line tells of the end of a run.
    """
    lines = [line for line in read_logs(args.logs) if line.message == END_MESSAGE]
    if not lines:
        print("kingcuppost: no line tells of the end of a run", file=sys.stderr)
        return EXIT_FAILED
    runs = find_lost_runs(lines)
    print(_format_causes(runs))
    if args.jobs > 0:
        print()
        print(_format_jobs(runs, args.jobs))
    return EXIT_OK
