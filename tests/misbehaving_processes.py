"""Deployment with low limits, and the memory and descriptors of its processes."""

import json
import os
import subprocess
import time
from collections.abc import Callable
from http.client import HTTPException
from pathlib import Path
from typing import Self

from tests.misbehaving_kinds import Endpoint
from tests.platform_deployment import (
    PlatformDeployment,
    PlatformSite,
    wait_until,
)

__all__ = ["LimitedDeployment", "Usage"]

# An idle entry takes about 53 MB and has about 20 descriptors. Both bounds are fixed.
MEMORY_MB = 88
MAX_DESCRIPTORS = 600
# A process that keeps more than this is restarted before the next test, so that its
# memory counts only what that test needs.
REUSE_MEMORY_MB = 60
KB_PER_MB = 1_024
RETRY_LIMIT_S = 30
RETRY_PAUSE_S = 0.05
STOP_LIMIT_S = 1
STATUS_OK = 200
# utime and stime in /proc/PID/stat, counted after the name of the program
CPU_TIME_FIELDS = (11, 12)
# of 10 ms between two samples; an idle entry spends at most one
BUSY_TICKS = 2
SPEC = json.dumps([{"count": 2, "saves": True, "work_ms": 100}])
JOB = json.dumps(
    {"spec": SPEC, "steps": [{"count": 2, "cpu": 1_000, "gpu": 1, "estimateMs": 100}]}
)
SITE = PlatformSite(
    store_ip="127.0.0.95",
    ips={"entry-1": "127.0.0.96", "side-1": "127.0.0.97"},
    extra_settings=f"[limits]\nmemoryMb = {MEMORY_MB}\nmaxFds = {MAX_DESCRIPTORS}\n",
    built=False,
)


class Usage:
    """Largest memory and number of descriptors of a process from now on."""

    def __init__(self, process: subprocess.Popen) -> None:
        self.process = process
        self.memory_mb = 0.0
        self.descriptors = 0
        self._cpu_ticks = 0
        self._folder = Path(f"/proc/{process.pid}")
        # sets VmHWM to VmRSS
        (self._folder / "clear_refs").write_text("5")

    def read_resident_mb(self) -> float:
        """Return the resident memory now."""
        return self._read_memory_mb("VmRSS")

    def _read_memory_mb(self, field: str) -> float:
        for line in (self._folder / "status").read_text().splitlines():
            if line.startswith(f"{field}:"):
                return int(line.split()[1]) / KB_PER_MB
        return 0

    def sample(self) -> bool:
        """Update the largest values; return whether the process has been busy."""
        if self.process.poll() is not None:
            return False
        self.memory_mb = max(self.memory_mb, self._read_memory_mb("VmHWM"))
        count = len(os.listdir(self._folder / "fd"))
        self.descriptors = max(self.descriptors, count)
        stat = (self._folder / "stat").read_text().rpartition(")")[2].split()
        cpu_ticks = sum(int(stat[index]) for index in CPU_TIME_FIELDS)
        spent_ticks, self._cpu_ticks = cpu_ticks - self._cpu_ticks, cpu_ticks
        return spent_ticks >= BUSY_TICKS

    def describe(self) -> dict[str, float]:
        """Return the largest values."""
        return {
            "memory_mb": round(self.memory_mb, 1),
            "descriptors": self.descriptors,
        }


def is_true_in_time(condition: Callable[[], bool]) -> bool:
    """Try a condition until it is true, for `RETRY_LIMIT_S` at most."""
    end_s = time.monotonic() + RETRY_LIMIT_S
    while not condition():
        if time.monotonic() > end_s:
            return False
        time.sleep(RETRY_PAUSE_S)
    return True


def end_process(process: subprocess.Popen) -> None:
    """Stop a process in order, so that its lease is released, or else kill it."""
    process.terminate()
    try:
        process.wait(STOP_LIMIT_S)
    except subprocess.TimeoutExpired:
        process.kill()
        process.wait()


class LimitedDeployment(PlatformDeployment):
    """An entry and a sidecar with low limits; each submitted job has its own number."""

    def __init__(self, folder: Path, job_ids: list[str]) -> None:
        super().__init__(folder, job_ids, SITE)
        self._unused_job_ids = iter(job_ids)

    def __enter__(self) -> Self:
        return self

    def __exit__(self, *exc_info: object) -> None:
        self.stop()

    def prepare(self, name: str) -> Usage:
        """Return the usage of a process that runs and keeps little memory."""
        process = self.processes[name]
        if process.poll() is None:
            usage = Usage(process)
            if usage.read_resident_mb() > REUSE_MEMORY_MB:
                end_process(process)
        if process.poll() is not None:
            self.start(name)
        wait_until(
            lambda: all(self.is_serving(each) for each in self.ips), "all serve", 30
        )
        return Usage(self.processes[name])

    def is_serving(self, name: str) -> bool:
        """Return whether a process serves its last address."""
        if name.startswith("entry"):
            return self.is_ready(name)
        return self.is_answered(name, Endpoint("peers", "/metrics"))

    def is_answered(self, name: str, endpoint: Endpoint) -> bool:
        """Return whether an ordinary request is answered with success."""
        try:
            status, _ = self.call_raw(name, "GET", endpoint.path, port=endpoint.port)
        except HTTPException:
            return False
        return status == STATUS_OK

    def find_problems(self, name: str, ordinary: Endpoint, usage: Usage) -> list[str]:
        """Return what a crowd of clients has done to a process."""
        problems = []
        if not is_true_in_time(lambda: self.is_answered(name, ordinary)):
            problems.append("an ordinary request is not answered")
        job_id = next(self._unused_job_ids)
        if not is_true_in_time(lambda: self._submit(job_id)):
            problems.append("a job is not accepted")
        elif not is_true_in_time(
            lambda: self.get_job_state("entry-1", job_id) == "completed"
        ):
            problems.append("an accepted job does not run to its end")
        usage.sample()
        if usage.process.poll() is not None:
            problems.append(f"the process ended with {usage.process.returncode}")
        if usage.memory_mb > MEMORY_MB:
            problems.append(f"more than {MEMORY_MB} MB of memory")
        if usage.descriptors > MAX_DESCRIPTORS:
            problems.append(f"more than {MAX_DESCRIPTORS} descriptors")
        return problems

    def _submit(self, job_id: str) -> bool:
        return self.call("entry-1", "POST", f"/q/{job_id}", JOB)[0] == STATUS_OK
