"""Stand-in of a minion and its life, as PROTOCOL.md describes it.

The text of a job (`spec`) is JSON that says how its tasks behave: `work_ms`, whether
they fail at the end (`fails`) or checkpoint (`saves`), and the members of a `gang`.
"""

import asyncio
import contextlib
import json
import time
from collections.abc import Callable
from dataclasses import dataclass, field

from http_io import Answer, Call, Server, request

STEP_S = 0.02
LISTED_ENDS = 500
MAX_CHANNELS = 64
HEARTBEAT_S = 1.5
CPU, MEM_MB, GPU = 64_000, 131_072, 8


def now_ms() -> int:
    """Return steady time in ms."""
    return time.monotonic_ns() // 1_000_000


@dataclass(frozen=True)
class Bounds:
    """The bounds of the site that a minion keeps to, in ms."""

    hold_max_ms: int = 10_000
    stop_ms: int = 400
    gang_ms: int = 3_000
    checkpoint_ms: int = 1_000


@dataclass
class Run:
    """A run that is present at a minion."""

    task: str
    run: int
    spec: str
    checkpoint: str
    started_ms: int
    work_ms: float
    done_ms: float = 0.0
    saves: bool = False
    gang: int = 0
    fails: bool = False
    is_whole: bool = False
    stop_at_ms: int | None = None

    @property
    def group(self) -> tuple[str, int]:
        """Return job, step and run, which the members of a gang share."""
        return self.task.rpartition(".")[0], self.run

    def percent(self) -> int:
        """Return the finished share of the work."""
        return min(int(100 * self.done_ms / self.work_ms), 99)


@dataclass(frozen=True)
class Start:
    """A start that a minion has carried out."""

    at_ms: int
    minion: str
    task: str
    run: int
    checkpoint: str
    spec: str


@dataclass
class End:
    """An end of a run, and when it was taken note of."""

    at_ms: int
    minion: str
    number: int
    task: str
    run: int
    how: str
    saved: str
    noted_ms: int | None = None
    has_lapsed: bool = False


@dataclass
class Events:
    """What all minions have seen."""

    record: Callable[[str], None]
    starts: list[Start] = field(default_factory=list)
    ends: list[End] = field(default_factory=list)
    lost: dict[tuple[str, str, int], int] = field(default_factory=dict)


def make_checkpoint(job: str, done_ms: float) -> str:
    """Return the checkpoint of an amount of work, in the form of the pages' example."""
    return f"{int(done_ms):08x}{job[4:12]}"


def checkpoint_work_ms(text: str) -> int:
    """Return the work that a checkpoint covers, in ms."""
    return int(text[:8], 16) if text else 0


class Minion:
    """One life of a minion at an address; `Fleet.gangs` has the gangs of all."""

    def __init__(
        self,
        events: Events,
        gangs: "Gangs",
        minion_id: str,
        place: dict[str, str],
        address: tuple[str, int],
        control: tuple[str, int],
        bounds: Bounds,
    ) -> None:
        self.id = minion_id
        self.place = place
        self.address = address
        self.bounds = bounds
        self.born = time.time_ns() // 1_000_000
        self.state = "ready"
        self.runs: dict[tuple[str, int], Run] = {}
        self.ends: list[End] = []
        self.is_up = True
        # seconds after which a call is carried out without an answer; None for others
        self.order_fate: Callable[[Call], float | None] = lambda call: None
        self._late: set[asyncio.Task] = set()
        self._events = events
        self._gangs = gangs
        self._control = control
        self._zero_ms = now_ms() - 1_000
        self._until_ms = 0
        self._token = 0
        self._newest_run: dict[str, int] = {}
        self._numbers = 0
        self._sequence = 0
        self._ended = asyncio.Event()
        self._server = Server(self._handle, MAX_CHANNELS)
        self._tasks: list[asyncio.Task] = []

    async def open(self) -> None:
        """Begin this life."""
        await self._server.open(*self.address)
        self._tasks = [
            asyncio.create_task(self._send_heartbeats()),
            asyncio.create_task(self._work()),
        ]

    def crash(self) -> None:
        """End without a word, with everything that runs here."""
        self._events.record(f"minion {self.id}: crashes")
        self.is_up = False
        self._server.close()
        for task in self._tasks:
            task.cancel()
        for run in list(self.runs.values()):
            self._events.lost[self.id, run.task, run.run] = now_ms()
            self._gangs.leave(self, run)
        self.runs.clear()

    def clock_ms(self) -> int:
        """Return the time on its steady clock."""
        return now_ms() - self._zero_ms

    async def _send_heartbeats(self) -> None:
        while True:
            self._sequence += 1
            body = self.place | {
                "address": f"{self.address[0]}:{self.address[1]}",
                "version": "v1",
                "slots": 8,
                "state": self.state,
                "coldRemainingMs": 0,
                "capacity": {"cpu": CPU, "memMb": MEM_MB, "gpu": GPU},
                "labels": ["a", self.place["rack"]],
                "clockMs": self.clock_ms(),
                "born": self.born,
                "sequence": self._sequence,
            }
            path = f"/kingcuppost/instances/{self.id}"
            text = json.dumps(body).encode()
            await request(*self._control, "PUT", path, text, timeout_s=1.0)
            await asyncio.sleep(HEARTBEAT_S if self._sequence > 3 else 0.3)

    async def _handle(self, call: Call) -> Answer:
        if call.headers.get("expect-instance", self.id) != self.id:
            return Answer(421)
        late_s = self.order_fate(call)
        if late_s is not None:
            self._events.record(f"minion {self.id}: no answer to {call.body!r}")
            self._late.add(asyncio.create_task(self._carry_out_late(call, late_s)))
            return Answer(-1)
        if call.path == "/kingcuppost/run-start":
            return self._answer(self._start(call.json()))
        if call.path == "/kingcuppost/run-stop":
            return self._answer(self._stop(call.json()))
        if call.path == "/kingcuppost/hold":
            return await self._hold(call.json())
        return Answer(404)

    async def _carry_out_late(self, call: Call, late_s: float) -> None:
        await asyncio.sleep(late_s)
        if self.is_up:
            self.carry_out(call)

    def carry_out(self, call: Call) -> None:
        """Carry out an order that arrives late, and to whose answer nobody listens."""
        if call.headers.get("expect-instance", self.id) != self.id:
            return
        order = self._start if call.path.endswith("start") else self._stop
        reason = order(call.json())
        self._events.record(
            f"minion {self.id}, born {self.born}: late {call.body!r}: {reason!r}"
        )

    def _answer(self, reason: str) -> Answer:
        fields: dict = {"clockMs": self.clock_ms()}
        if reason:
            fields["reason"] = reason
        return Answer(409 if reason else 200, json.dumps(fields).encode())

    def _extend(self, deadline_ms: int) -> None:
        longest_ms = self.clock_ms() + self.bounds.hold_max_ms
        self._until_ms = max(self._until_ms, min(deadline_ms, longest_ms))

    def _start(self, body: dict) -> str:
        task, run = body["task"], body["run"]
        if body.get("fencingToken", 0) < self._token:
            return "fence"
        self._token = body["fencingToken"]
        if (task, run) in self.runs:
            return ""
        if body["deadlineMs"] <= self.clock_ms():
            return "late"
        self._extend(body["deadlineMs"])
        if run <= self._newest_run.get(task, 0):
            return "old"
        behaviour = json.loads(body["spec"])
        if not self._has_room(behaviour):
            return "room"
        checkpoint = body.get("checkpoint", "")
        new = Run(
            task,
            run,
            body["spec"],
            checkpoint,
            now_ms(),
            behaviour["work_ms"],
            checkpoint_work_ms(checkpoint),
            behaviour.get("saves", False),
            behaviour.get("gang", 0),
            behaviour.get("fails", False),
        )
        self.runs[task, run] = new
        self._events.starts.append(
            Start(now_ms(), self.id, task, run, checkpoint, body["spec"])
        )
        self._events.record(
            f"minion {self.id}: start {task} run {run} checkpoint {checkpoint!r}"
        )
        self._gangs.join(self, new)
        return ""

    def _has_room(self, wanted: dict) -> bool:
        uses = [json.loads(run.spec) for run in self.runs.values()] + [wanted]
        sums = [sum(use.get(key, 0) for use in uses) for key in ("cpu", "mem", "gpu")]
        return all(
            used <= limit for used, limit in zip(sums, (CPU, MEM_MB, GPU), strict=True)
        )

    def _stop(self, body: dict) -> str:
        task, run = body["task"], body["run"]
        if body.get("fencingToken", 0) < self._token:
            return "fence"
        self._token = body["fencingToken"]
        self._newest_run[task] = max(self._newest_run.get(task, 0), run)
        present = self.runs.get((task, run))
        self._events.record(
            f"minion {self.id}: stop {task} run {run} present {present is not None}"
        )
        if present is not None and present.stop_at_ms is None:
            present.stop_at_ms = now_ms() + self.bounds.stop_ms // 2
        return ""

    async def _hold(self, body: dict) -> Answer:
        if body.get("fencingToken", 0) < self._token:
            return self._answer("fence")
        self._token = body["fencingToken"]
        if "deadlineMs" in body:
            self._extend(body["deadlineMs"])
        self._note(body.get("lastSeen", 0))
        wait_s = min(body.get("waitMs", 0), 2_000) / 1_000
        if wait_s and not self.ends:
            with contextlib.suppress(TimeoutError):
                await asyncio.wait_for(self._ended.wait(), wait_s)
        lists = {
            "clockMs": self.clock_ms(),
            "born": self.born,
            "running": [
                [run.task, run.run, run.checkpoint, run.percent(), 0]
                for run in self.runs.values()
            ],
            "finishedRuns": [
                [end.number, end.task, end.run, end.how, end.saved]
                for end in self.ends[:LISTED_ENDS]
            ],
        }
        return Answer(200, json.dumps(lists).encode())

    def _note(self, last_seen: int) -> None:
        for end in [end for end in self.ends if end.number <= last_seen]:
            end.noted_ms = now_ms()
            self.ends.remove(end)

    def end(self, run: Run, how: str) -> None:
        """End a run and list its end."""
        if self.runs.pop((run.task, run.run), None) is None:
            return
        self._numbers += 1
        self._newest_run[run.task] = max(self._newest_run.get(run.task, 0), run.run)
        if run.saves and how in ("stopped", "broken"):
            run.checkpoint = make_checkpoint(run.task, run.done_ms)
        saved = run.checkpoint if run.saves else ""
        end = End(now_ms(), self.id, self._numbers, run.task, run.run, how, saved)
        self.ends.append(end)
        self._events.ends.append(end)
        self._events.record(
            f"minion {self.id}: end {end.number} {run.task} run {run.run} {how}"
        )
        self._ended.set()
        self._ended = asyncio.Event()
        self._gangs.leave(self, run, how)

    async def _work(self) -> None:
        last_ms = now_ms()
        while True:
            await asyncio.sleep(STEP_S)
            passed_ms, last_ms = now_ms() - last_ms, now_ms()
            if self.runs and self.clock_ms() >= self._until_ms:
                self._lapse()
            for run in list(self.runs.values()):
                self._advance(run, passed_ms)

    def _lapse(self) -> None:
        for end in self.ends:
            end.has_lapsed = True
        for run in list(self.runs.values()):
            self.end(run, "lapsed")

    def _advance(self, run: Run, passed_ms: int) -> None:
        if run.stop_at_ms is not None and now_ms() >= run.stop_at_ms:
            self.end(run, "stopped")
        elif run.gang and not run.is_whole:
            if now_ms() - run.started_ms >= self.bounds.gang_ms:
                self.end(run, "alone")
        else:
            run.done_ms += passed_ms
            saved_ms = checkpoint_work_ms(run.checkpoint)
            # with each whole `checkpoint_ms` of work: equal progress has equal values
            whole_ms = run.done_ms // self.bounds.checkpoint_ms
            whole_ms *= self.bounds.checkpoint_ms
            if run.saves and whole_ms > saved_ms:
                run.checkpoint = make_checkpoint(run.task, whole_ms)
            if run.done_ms >= run.work_ms:
                self._gangs.complete(self, run)


class Gangs:
    """The gangs of all minions: whole once all members of one run are present."""

    def __init__(self) -> None:
        self._members: dict[tuple[str, int], dict[str, tuple[Minion, Run]]] = {}

    def join(self, minion: Minion, run: Run) -> None:
        """Add a member; the gang begins its work with the last one."""
        if not run.gang:
            return
        members = self._members.setdefault(run.group, {})
        members[run.task] = (minion, run)
        if len(members) == run.gang:
            for _, member in members.values():
                member.is_whole = True

    def leave(self, minion: Minion, run: Run, how: str = "lost") -> None:
        """Remove a member; the others of a whole gang end as broken."""
        if not run.gang:
            return
        members = self._members.get(run.group, {})
        members.pop(run.task, None)
        if how == "done" or not run.is_whole:
            return
        for other, member in list(members.values()):
            if other.is_up:
                other.end(member, "broken")

    def complete(self, minion: Minion, run: Run) -> None:
        """End a run as done, and with it all members of its gang."""
        members = list(self._members.get(run.group, {}).values())
        for other, member in members if run.gang else [(minion, run)]:
            other.end(member, "failed" if member.fails else "done")
