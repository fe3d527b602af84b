"""Stand-in of a minion that runs single tasks under a lease, as PROTOCOL.md says.

The work of a task stands in the job's `spec`, a JSON object with a row for each step:
`ms`, `cpu`, `memMb` and `gpu` of its tasks. What the minion receives and what becomes
of its runs is written to standard output, a JSON object a line.
"""

import argparse
import asyncio
import contextlib
import json
import time
from dataclasses import dataclass, field

from http_json import Call, Reply, call, serve

HEARTBEAT_S = 1.5
STEP_S = 0.01
STOP_MS = 200
HOLD_MAX_MS = 6_000
MAX_ENDS = 500


@dataclass
class Run:
    """A run that works."""

    task: str
    number: int
    needs: dict[str, int]
    work_ms: float
    done_ms: float = 0.0
    stop_at_ms: float | None = None


@dataclass
class Minion:
    """One life of a minion."""

    options: argparse.Namespace
    born_ms: int = field(default_factory=lambda: time.time_ns() // 1_000_000)
    started: float = field(default_factory=time.monotonic)
    sequence: int = 0
    token: int = 0
    until_ms: float = 0.0
    runs: dict[tuple[str, int], Run] = field(default_factory=dict)
    highest_ended: dict[str, int] = field(default_factory=dict)
    ends: list[list] = field(default_factory=list)
    last_end: int = 0
    changed: asyncio.Condition = field(default_factory=asyncio.Condition)

    @property
    def clock_ms(self) -> float:
        """Return the minion's steady clock."""
        return (time.monotonic() - self.started) * 1_000

    def record(self, event: str, **fields: object) -> None:
        """Write a line of what happened."""
        row = {"at": time.time(), "who": self.options.id, "event": event, **fields}
        print(json.dumps(row), flush=True)

    def answer(self, status: int, **fields: object) -> Reply:
        """Return an answer with the minion's clock."""
        body = {"clockMs": int(self.clock_ms), "born": self.born_ms, **fields}
        return Reply(status, json.dumps(body).encode())

    async def handle(self, received: Call) -> Reply:
        """Answer one call."""
        if received.headers.get("expect-instance") not in (None, self.options.id):
            return self.answer(421)
        fields = json.loads(received.body or b"{}")
        token = int(fields.get("fencingToken", 0))
        if received.path == "/kingcuppost/hold":
            return await self._hold(fields, token)
        if token < self.token:
            return self.answer(409, reason="fence")
        self.token = token
        if received.path == "/kingcuppost/run-start":
            return self._start(fields)
        if received.path == "/kingcuppost/run-stop":
            return self._stop(fields)
        return self.answer(404)

    def _extend(self, until_ms: float | None) -> None:
        if until_ms is not None:
            longest_ms = self.clock_ms + HOLD_MAX_MS
            self.until_ms = max(self.until_ms, min(until_ms, longest_ms))

    def _refuse(self, fields: dict, reason: str) -> Reply:
        task, number = fields["task"], fields["run"]
        self.record("start refused", task=task, run=number, reason=reason)
        return self.answer(409, reason=reason)

    def _start(self, fields: dict) -> Reply:
        task, number = fields["task"], int(fields["run"])
        if (task, number) in self.runs:
            return self.answer(200)
        if fields["deadlineMs"] <= self.clock_ms:
            return self._refuse(fields, "late")
        self._extend(fields["deadlineMs"])
        if number <= self.highest_ended.get(task, 0):
            return self._refuse(fields, "old")
        needs = json.loads(fields["spec"])[int(task.split(".")[2])]
        for name in ("cpu", "memMb", "gpu"):
            used = sum(run.needs.get(name, 0) for run in self.runs.values())
            if used + needs.get(name, 0) > getattr(self.options, name):
                return self._refuse(fields, "room")
        self.runs[task, number] = Run(task, number, needs, needs["ms"])
        self.record("start", task=task, run=number)
        return self.answer(200)

    def _stop(self, fields: dict) -> Reply:
        task, number = fields["task"], int(fields["run"])
        self.highest_ended[task] = max(self.highest_ended.get(task, 0), number)
        run = self.runs.get((task, number))
        if run is not None and run.stop_at_ms is None:
            run.stop_at_ms = self.clock_ms + STOP_MS / 2
        self.record("stop asked", task=task, run=number)
        return self.answer(200)

    async def _hold(self, fields: dict, token: int) -> Reply:
        if token >= self.token:
            self.token = token
            self._extend(fields.get("deadlineMs"))
            seen = int(fields.get("lastSeen", 0))
            noted = [end for end in self.ends if end[0] <= seen]
            self.ends = [end for end in self.ends if end[0] > seen]
            for end in noted:
                self.record("noted", task=end[1], run=end[2], how=end[3])
            wait_s = int(fields.get("waitMs", 0)) / 1_000
            if wait_s and not self.ends:
                async with self.changed:
                    with contextlib.suppress(TimeoutError):
                        await asyncio.wait_for(self.changed.wait(), wait_s)
        running = [
            [run.task, run.number, "", min(int(100 * run.done_ms / run.work_ms), 99)]
            for run in self.runs.values()
        ]
        return self.answer(200, running=running, finishedRuns=self.ends[:MAX_ENDS])

    async def _end(self, run: Run, how: str) -> None:
        del self.runs[run.task, run.number]
        highest = max(self.highest_ended.get(run.task, 0), run.number)
        self.highest_ended[run.task] = highest
        self.last_end += 1
        self.ends.append([self.last_end, run.task, run.number, how, ""])
        self.record("end", task=run.task, run=run.number, how=how)
        async with self.changed:
            self.changed.notify_all()

    async def work(self) -> None:
        """Let the runs work, and end those that are done, stopped or lapsed."""
        last_ms = self.clock_ms
        while True:
            await asyncio.sleep(STEP_S)
            now_ms = self.clock_ms
            for run in list(self.runs.values()):
                run.done_ms += now_ms - last_ms
                if now_ms >= self.until_ms:
                    await self._end(run, "lapsed")
                elif run.stop_at_ms is not None and now_ms >= run.stop_at_ms:
                    await self._end(run, "stopped")
                elif run.done_ms >= run.work_ms:
                    await self._end(run, "done")
            last_ms = now_ms

    async def beat(self) -> None:
        """Report to the machine's control address from time to time."""
        options = self.options
        await asyncio.sleep(options.first_beat_s)
        while True:
            self.sequence += 1
            report = {
                "service": options.service,
                "address": f"{options.host}:{options.port}",
                "zone": options.zone,
                "version": "v1",
                "slots": 8,
                "state": "ready",
                "coldRemainingMs": 0,
                "capacity": {
                    "cpu": options.cpu,
                    "memMb": options.memMb,
                    "gpu": options.gpu,
                },
                "labels": ["a", "r1-1"],
                "clockMs": int(self.clock_ms),
                "born": self.born_ms,
                "sequence": self.sequence,
            }
            await call(
                options.control,
                "PUT",
                f"/kingcuppost/instances/{options.id}",
                json.dumps(report).encode(),
                timeout_s=1.0,
            )
            await asyncio.sleep(HEARTBEAT_S)


async def main() -> None:
    """Serve until the process is ended."""
    parser = argparse.ArgumentParser()
    parser.add_argument("--id", required=True)
    parser.add_argument("--host", required=True)
    parser.add_argument("--port", type=int, required=True)
    parser.add_argument("--control", required=True)
    parser.add_argument("--service", default="planner")
    parser.add_argument("--zone", default="sfax")
    parser.add_argument("--cpu", type=int, default=64_000)
    parser.add_argument("--memMb", type=int, default=131_072)
    parser.add_argument("--gpu", type=int, default=8)
    parser.add_argument("--first-beat-s", type=float, default=0.0)
    minion = Minion(parser.parse_args())
    server = await serve(minion.options.host, minion.options.port, minion.handle)
    minion.record("up", born=minion.born_ms)
    await asyncio.gather(server.serve_forever(), minion.work(), minion.beat())


if __name__ == "__main__":
    asyncio.run(main())
