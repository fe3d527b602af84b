"""One job of many steps must not keep accepted jobs from running."""

import asyncio
import json
import sys
from pathlib import Path

FOLDER = Path(__file__).parent
sys.path.insert(0, str(FOLDER.parent / "harness2"))

from fleet import Fleet, now_ms, run_case  # noqa: E402
from minion import CPU as MINION_CPU  # noqa: E402

LARGE_JOB = "1c0e7a21d94b36f8"
SMALL_JOBS = ("2c0e7a21d94b36f8", "3c0e7a21d94b36f8", "4c0e7a21d94b36f8")
STEPS = 600
TASKS_PER_JOB = 50  # of the same work without the disruption
CPU, MEM_MB = 1_000, 1_000
WORK_MS = 1_000
FINISH_S = 14.0  # the site's `finish_s`
IDLE_MS = 3_000  # for which a job may have nothing running, by the rule
WATCH_S = 20.0
SAMPLE_S = 0.1


def make_job(steps: list[dict]) -> dict:
    """Return the body of a submission."""
    spec = json.dumps({"work_ms": WORK_MS, "cpu": CPU, "mem": MEM_MB})
    return {"spec": spec, "steps": steps}


async def play(fleet: Fleet, with_trouble: bool) -> list[str]:
    """Submit the work, and after `finish_s` watch whether all jobs run or are done."""
    step = {"cpu": CPU, "memMb": MEM_MB, "estimateMs": WORK_MS}
    one_task = step | {"count": 1}
    tasks: dict[str, int] = {}
    entries = ["entry-1", "entry-2", "entry-3"]
    entries.remove(fleet.holder())  # the others go on answering for a while
    if with_trouble:
        await fleet.submit(entries[0], LARGE_JOB, make_job([one_task] * STEPS))
        tasks[LARGE_JOB] = STEPS
    else:
        for number in range(STEPS // TASKS_PER_JOB):
            job = f"{number:02x}ce7a21d94b36f8"[:16].ljust(16, "0")
            await fleet.submit(
                "entry-1", job, make_job([step | {"count": TASKS_PER_JOB}])
            )
            tasks[job] = TASKS_PER_JOB
    for number, job in enumerate(SMALL_JOBS):
        await fleet.submit(entries[number % 2], job, make_job([one_task]))
        tasks[job] = 1
    fleet.record("traffic ends")
    await asyncio.sleep(FINISH_S)
    broken = await watch(fleet, tasks)
    for entry in ("entry-1", "entry-2", "entry-3"):
        await fleet.state(entry, SMALL_JOBS[0])
    return broken


async def watch(fleet: Fleet, tasks: dict[str, int]) -> list[str]:
    """Return the jobs that had nothing running for 3 s though there was capacity."""
    idle_since_ms = dict.fromkeys(tasks, now_ms())
    broken: dict[str, str] = {}
    end_ms = now_ms() + WATCH_S * 1_000
    while now_ms() < end_ms:
        await asyncio.sleep(SAMPLE_S)
        running = [run for minion in fleet.minions.values() for run in minion.runs]
        is_half_idle = len(running) * CPU < len(fleet.minions) * MINION_CPU / 2
        done = {
            end.task for end in fleet.events.ends if end.how == "done"
        }  # the steps depend on nothing, so each task's turn has come
        for job, count in tasks.items():
            has_run = any(task.startswith(job) for task, _ in running)
            is_done = sum(task.startswith(job) for task in done) == count
            if has_run or is_done or not is_half_idle:
                idle_since_ms[job] = now_ms()
            idle_ms = now_ms() - idle_since_ms[job]
            if idle_ms > IDLE_MS and job not in broken:
                broken[job] = (
                    f"LOST {job}: nothing of it runs for {idle_ms} ms,"
                    f" {len(running)} tasks run on {len(fleet.minions)} minions"
                )
                fleet.record(broken[job])
    return list(broken.values())


if __name__ == "__main__":
    sys.exit(run_case(FOLDER, play))
