"""One heartbeat of another writer takes the place of the true minion."""

import asyncio
import json
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "common"))

from checks import overlaps  # noqa: E402
from harness import Deployment, run_case  # noqa: E402
from http_json import call  # noqa: E402

WAIT_S = 16


async def send_foreign_heartbeat(deployment: Deployment, index: int) -> None:
    """Send a sidecar a heartbeat that names an unknown service, from its machine."""
    report = {
        "service": "other-service",
        "address": f"{deployment.sides[index]}:{deployment.base + 6}",
        "zone": "sfax",
        "version": "v1",
        "slots": 8,
        "state": "ready",
        "coldRemainingMs": 0,
        "capacity": {"cpu": 1_000, "memMb": 1_000, "gpu": 0},
        "labels": ["a", "r1-1"],
        "clockMs": 1_000,
        "born": time.time_ns() // 1_000_000,
        "sequence": 1,
    }
    reply = await call(
        f"{deployment.sides[index]}:{deployment.base + 3}",
        "PUT",
        "/kingcuppost/instances/i-0f0e0d0c",
        json.dumps(report).encode(),
        source=deployment.sides[index],
    )
    deployment.note("writer", "PUT a heartbeat", body=report, status=reply.status)


async def play(deployment: Deployment, trouble: bool) -> list[str]:
    """Let two minions work, and send the sidecar of one a foreign heartbeat."""
    fields = {"cpu": 40_000, "memMb": 64, "gpu": 1, "ms": 30_000}
    job = await deployment.submit(0, "stock", [{"count": 2, **fields}])
    await asyncio.sleep(2)
    if trouble:
        index = deployment.minion_ids.index(deployment.starts(job)[0]["who"])
        await send_foreign_heartbeat(deployment, index)
    await asyncio.sleep(WAIT_S)
    return overlaps(deployment, job)


if __name__ == "__main__":
    sys.exit(run_case(str(Path(__file__).parent), play, entries=3, minions=3))
