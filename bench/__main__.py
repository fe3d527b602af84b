"""Print each policy's figures: ``python -m bench [--seeds N] [--deployment NAME]``.

``python -m bench --holder`` prints the tick times of the holder at several sizes,
``python -m bench --wide`` what one task's change costs in jobs of several widths, and
``python -m bench --shapes`` the holder's longest ticks for work of any shape.
"""

import argparse
from statistics import mean

from bench.driver import Driver
from bench.figures import Figures, measure
from bench.holder_ticks import SIZES, measure_holder
from bench.shape_ticks import SHAPE_MINIONS, SHAPE_TASKS, measure_shape
from bench.shapes import shapes
from bench.ticks import tick_times
from bench.wide_plans import WIDTHS, measure_change
from bench.workloads import deployments

POLICIES = ("first_fit", "backfill", "shapes")
SEED_COUNT = 5
TICK_SEED = 1
SCALES = (1, 10)  # multiples of the design size
SECOND_MS = 1_000
MINUTE_MS = 60_000
HEADER = (
    "| deployment | policy | overnight mean / p50 / p99, min "
    "| interactive mean / p50 / p99, s | urgent start p50 / p99 / max, s "
    "| fragmentation | zone work | reclaims | lost to reclaims, acc h "
    "| lost in all, acc h | breaks / samples | unfinished |"
)


def percentile(values: list[float], fraction: float) -> float:
    """Return the value below which a fraction of all values lies."""
    ordered = sorted(values)
    return ordered[min(int(len(ordered) * fraction), len(ordered) - 1)]


def _format_times(values: list[int], unit_ms: int) -> str:
    """Return the mean and the percentiles of times in ms, as multiples of a unit."""
    parts = (mean(values), percentile(values, 0.5), percentile(values, 0.99))
    return " / ".join(f"{part / unit_ms:.1f}" for part in parts)


def _format_start_times(values: list[int]) -> str:
    """Return the percentiles and the maximum of times in ms, as seconds."""
    parts = (percentile(values, 0.5), percentile(values, 0.99), max(values))
    return " / ".join(f"{part / SECOND_MS:.2f}" for part in parts)


def _format_row(name: str, policy: str, runs: list[Figures]) -> str:
    overnight = [value for run in runs for value in run.overnight_ms]
    interactive = [value for run in runs for value in run.interactive_ms]
    urgent = [value for run in runs for value in run.urgent_start_ms]
    zone_work = [run.zone_work for run in runs]
    cells = (
        name,
        policy,
        _format_times(overnight, MINUTE_MS),
        _format_times(interactive, SECOND_MS),
        _format_start_times(urgent),
        f"{mean(run.fragmentation for run in runs):.3f}",
        f"{mean(zone_work):.3f} (least {min(zone_work):.3f})",
        str(sum(run.reclaims for run in runs)),
        f"{sum(run.reclaim_lost_hours for run in runs):.1f}",
        f"{sum(run.lost_hours for run in runs):.1f}",
        f"{sum(run.violations for run in runs)} / {sum(run.samples for run in runs)}",
        str(sum(run.unfinished for run in runs)),
    )
    return f"| {' | '.join(cells)} |"


def _print_ticks() -> None:
    print("\n| scale | ticks | tick p50, ms | p99, ms | max, ms |")
    print("| --- | --- | --- | --- | --- |")
    for scale in SCALES:
        times = tick_times(TICK_SEED, scale)
        parts = (percentile(times, 0.5), percentile(times, 0.99), max(times))
        figures = " | ".join(f"{part:.2f}" for part in parts)
        print(f"| {scale} | {len(times)} | {figures} |", flush=True)


def _print_holder() -> None:
    print("\n| minions | report p50, ms | p99, ms | decision p50, ms | p99, ms |")
    print("| --- | --- | --- | --- | --- |")
    for minions in SIZES:
        times = measure_holder(minions)
        parts = (
            times.report_p50,
            times.report_p99,
            times.decision_p50,
            times.decision_p99,
        )
        figures = " | ".join(f"{part:.2f}" for part in parts)
        print(f"| {minions} | {figures} |", flush=True)


def _print_wide_plans() -> None:
    print("\n| tasks of the job | bytes of a change | p50, ms |")
    print("| --- | --- | --- |")
    for tasks in WIDTHS:
        cost = measure_change(tasks)
        print(f"| {tasks} | {cost.size_bytes} | {cost.median_ms:.3f} |", flush=True)


def _print_shapes() -> None:
    print(
        "\n| shape | minions | tasks | first, ms | news, ms | load, ms | cancel, ms |"
    )
    print("| --- | --- | --- | --- | --- | --- | --- |")
    for shape in shapes:
        for minions in SHAPE_MINIONS:
            for tasks in SHAPE_TASKS:
                times = measure_shape(shape, tasks, minions)
                parts = (times.first, times.news, times.load, times.cancel)
                figures = " | ".join(f"{part:.1f}" for part in parts)
                print(
                    f"| {shape} | {minions} | {times.tasks} | {figures} |", flush=True
                )


def main() -> None:
    """Run all policies on all workloads and print the tables."""
    parser = argparse.ArgumentParser(prog="python -m bench", description=__doc__)
    parser.add_argument("--seeds", type=int, default=SEED_COUNT)
    parser.add_argument("--deployment", choices=sorted(deployments))
    parser.add_argument("--no-ticks", action="store_true")
    parser.add_argument(
        "--holder", action="store_true", help="only the holder's ticks at each size"
    )
    parser.add_argument(
        "--wide", action="store_true", help="only the changes of wide jobs"
    )
    parser.add_argument(
        "--shapes", action="store_true", help="only the holder's ticks by shape of work"
    )
    args = parser.parse_args()
    if args.shapes:
        _print_shapes()
        return
    if args.wide:
        _print_wide_plans()
        return
    if args.holder:
        _print_holder()
        return
    names = [args.deployment] if args.deployment else list(deployments)
    print(HEADER)
    print("|" + " --- |" * (HEADER.count("|") - 1))
    for name in names:
        for policy in POLICIES:
            runs = [
                measure(Driver(deployments[name](seed), policy))
                for seed in range(1, args.seeds + 1)
            ]
            print(_format_row(name, policy, runs), flush=True)
    if not args.no_ticks:
        _print_ticks()


if __name__ == "__main__":
    main()
