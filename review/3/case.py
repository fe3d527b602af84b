"""A start that is tried again reaches the minion's next life; its task runs twice."""

import asyncio
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "common"))

from checks import overlaps, repeats  # noqa: E402
from harness import Deployment, run_case  # noqa: E402

MINIONS = 8
DOWN_S = 4.0
FIRST_BEAT_S = 0.75  # half of a heartbeat's period after the minion can be reached
FILLER_MS = 3_000
LONG_MS = 6_000
SHORT_MS = 400
WAIT_S = 12


async def play(deployment: Deployment, trouble: bool) -> list[str]:
    """Crash the one minion with room, hand a job in, and start the minion again.

    It starts under the id that it had. Meanwhile the other minions have room again.
    """
    filler = await deployment.submit(
        0,
        "stock",
        [{"count": MINIONS - 1, "cpu": 60_000, "memMb": 64, "gpu": 1, "ms": FILLER_MS}],
    )
    for _ in range(20):
        await asyncio.sleep(0.1)
        busy = {row["who"] for row in deployment.starts(filler)}
        if len(busy) == MINIONS - 1:
            break
    if len(busy) != MINIONS - 1:
        raise RuntimeError("the other minions aren't busy")
    idle = [i for i, name in enumerate(deployment.minion_ids) if name not in busy][0]
    if trouble:
        await deployment.kill(f"minion-{idle}")
    fields = {"count": 1, "cpu": 20_000, "memMb": 64, "gpu": 1}
    job = await deployment.submit(
        0, "stock", [{**fields, "ms": LONG_MS}, {**fields, "ms": SHORT_MS}]
    )
    await asyncio.sleep(DOWN_S)
    if trouble:
        deployment.minion_options[idle] = ["--first-beat-s", str(FIRST_BEAT_S)]
        await deployment.start_minion(idle)
    await asyncio.sleep(WAIT_S)
    return overlaps(deployment, job) + repeats(deployment, job)


if __name__ == "__main__":
    sys.exit(run_case(str(Path(__file__).parent), play, entries=3, minions=MINIONS))
