"""A wide job, whose record is larger than the store takes, stops all scheduling."""

import asyncio
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[2] / "common"))

from checks import works_at  # noqa: E402
from harness import Deployment, run_case  # noqa: E402

WIDE_TASKS = 4_000
NARROW_TASKS = 400
SMALL_JOBS = 4
WAIT_S = 30
IDLE_S = 3


async def play(deployment: Deployment, trouble: bool) -> list[str]:
    """Hand in a wide job, then small urgent ones, and wait for the small ones."""
    count = WIDE_TASKS if trouble else NARROW_TASKS
    fields = {"cpu": 40, "memMb": 16, "ms": 2_000}
    await deployment.submit(0, "stock", [{"count": count, **fields}])
    await asyncio.sleep(2)
    fields = {"cpu": 1_000, "memMb": 64, "gpu": 1, "ms": 500}
    jobs = [
        await deployment.submit(index % 3, "check", [{"count": 1, **fields}])
        for index in range(SMALL_JOBS)
    ]
    for _ in range(WAIT_S):
        await asyncio.sleep(1)
        if all([await deployment.is_completed(job) for job in jobs]):
            return []
    now = time.time()
    return [
        f"LOST: {WAIT_S} s after its acceptance job {job} is not completed, and nothing"
        f" of it has run for the last {IDLE_S} s"
        for job in jobs
        if not await deployment.is_completed(job)
        and not any(works_at(deployment, job, now - ago) for ago in range(IDLE_S + 1))
    ]


if __name__ == "__main__":
    sys.exit(run_case(str(Path(__file__).parent), play, entries=3, minions=4))
