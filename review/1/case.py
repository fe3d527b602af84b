"""A minion crashes for good beside a sidecar that lives: its task is never redone."""

import asyncio
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "common"))

from checks import works_at  # noqa: E402
from harness import Deployment, run_case  # noqa: E402

MINIONS = 8
FINISH_S = 14
WAIT_S = 40
IDLE_S = 3
FIELDS = {"cpu": 40_000, "memMb": 64, "gpu": 1, "ms": 4_000}


async def play(deployment: Deployment, trouble: bool) -> list[str]:
    """Give each minion a task, crash one minion for good, and wait for the job.

    All else is idle meanwhile: seven minions of 64 cores, for a task of 40 cores.
    """
    job = await deployment.submit(0, "check", [{"count": MINIONS, **FIELDS}])
    await asyncio.sleep(2)
    if trouble:
        await deployment.kill("minion-1")
    for _ in range(WAIT_S):
        await asyncio.sleep(1)
        if await deployment.is_completed(job):
            return []
    now = time.time()
    idle = not any(works_at(deployment, job, now - ago) for ago in range(IDLE_S + 1))
    if not idle:
        return []
    return [
        f"LOST: {WAIT_S} s after the crash (finish_s is {FINISH_S}) job {job} is not"
        f" completed, and nothing of it has run for the last {IDLE_S} s"
    ]


if __name__ == "__main__":
    sys.exit(run_case(str(Path(__file__).parent), play, entries=3, minions=MINIONS))
