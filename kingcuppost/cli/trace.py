"""The command that follows one job through the logs of all processes."""

import argparse
import sys

from kingcuppost.cli.log_lines import LogLine, read_logs
from kingcuppost.cli.registry import EXIT_FAILED, EXIT_OK, command

__all__: list[str] = []

# Parts of the program whose log lines concern all jobs.
CONTEXT_PARTS = ("lease", "log", "minion", "process", "settings", "store")
CONTEXT_MS = 1_000  # before the first and after the last line of the job
MS_PER_SECOND = 1_000


def _select_lines(
    lines: list[LogLine], job_id: str, with_context: bool
) -> list[LogLine]:
    """Return the lines of a job, optionally with `CONTEXT_PARTS` of the same time."""
    job_lines = [line for line in lines if line.mentions(job_id)]
    if not job_lines or not with_context:
        return job_lines
    first_ms = job_lines[0].wall_ms - CONTEXT_MS
    last_ms = job_lines[-1].wall_ms + CONTEXT_MS
    return [
        line
        for line in lines
        if line.mentions(job_id)
        or (line.part in CONTEXT_PARTS and first_ms <= line.wall_ms <= last_ms)
    ]


def _format_line(line: LogLine, first_ms: int) -> str:
    elapsed_s = (line.wall_ms - first_ms) / MS_PER_SECOND
    details = " ".join(f"{key}={value}" for key, value in line.fields.items())
    return f"{elapsed_s:9.3f} {line.instance:20} {line.message} {details}".rstrip()


def _add_options(parser: argparse.ArgumentParser) -> None:
    parser.add_argument(
        "job", help="identifier of a job, or the beginning of a task identifier"
    )
    parser.add_argument("logs", nargs="+", help="log files; - for standard input")
    parser.add_argument(
        "--context",
        action="store_true",
        help="also show lines of the log, store, leases, minions, processes and "
        "settings, from 1 s before to 1 s after those of the job",
    )


@command("trace", "Show the log lines of one job from all processes.", _add_options)
def run_trace(args: argparse.Namespace) -> int:
    """Print the log lines of all processes that mention a job, ordered by time.

    Returns
    -------
    int
        Exit code; `EXIT_FAILED` if no line mentions the job.
    """
    lines = sorted(read_logs(args.logs), key=lambda line: line.wall_ms)
    selected = _select_lines(lines, args.job, args.context)
    if not selected:
        print(f"kingcuppost: no line mentions {args.job}", file=sys.stderr)
        return EXIT_FAILED
    for line in selected:
        print(_format_line(line, selected[0].wall_ms))
    return EXIT_OK
