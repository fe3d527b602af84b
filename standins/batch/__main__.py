"""Run days of random faults and print the violated guarantees."""

import argparse
import sys

from standins.batch.room_days import run_room_day
from standins.batch.soak import FAULTS_PER_DAY, run_day
from standins.batch.wide_days import run_wide_day

__all__ = ["main"]

MAX_SHOWN_VIOLATIONS = 5


def main() -> int:
    """Run one day of faults per seed; return 1 if any violated a guarantee."""
    parser = argparse.ArgumentParser(prog="standins.batch", description=__doc__)
    parser.add_argument("first", type=int, help="first seed")
    parser.add_argument("days", type=int, nargs="?", default=1, help="number of days")
    parser.add_argument(
        "--faults", type=int, default=FAULTS_PER_DAY, help="faults per day"
    )
    parser.add_argument(
        "--minion-faults", type=int, default=0, help="faults of single minions per day"
    )
    parser.add_argument(
        "--room",
        action="store_true",
        help="random jobs on fleets that change, instead of faults: "
        "is work left while room is free?",
    )
    parser.add_argument(
        "--wide",
        action="store_true",
        help="jobs of many steps on entries whose ticks take time: "
        "is other work kept from running?",
    )
    args = parser.parse_args()
    has_violations = False
    for seed in range(args.first, args.first + args.days):
        if args.wide:
            outcome = run_wide_day(seed)
        elif args.room:
            outcome = run_room_day(seed)
        else:
            outcome = run_day(seed, args.faults, args.minion_faults)
        has_violations = has_violations or bool(outcome.violations)
        print(f"{seed}: {outcome.completed} of {outcome.jobs} completed", flush=True)
        for line in outcome.violations[:MAX_SHOWN_VIOLATIONS]:
            print(f"  {line}")
        if outcome.violations:
            print("  " + "; ".join(outcome.injected_faults))
    return int(has_violations)


if __name__ == "__main__":
    sys.exit(main())
