"""Simulates entries, sidecars, minions and the log over a seeded network."""

import heapq
import random
from collections.abc import Callable
from itertools import count
from typing import Any

from kingcuppost.batch.edges.processes import make_batch_world
from kingcuppost.batch.systems import load_systems, run_tick
from kingcuppost.batch.tables.config import Bounds, DaemonConfig
from kingcuppost.batch.tables.fleet import Configuration, Queue, Team
from kingcuppost.batch.tables.job import JobState, RunEnd, StepSpec, TaskName
from kingcuppost.batch.tables.messages import (
    CallerCall,
    CallKind,
    CallOutcome,
    CallReply,
    StopProcess,
    StopRequested,
    Stream,
    SubmittedJob,
)
from kingcuppost.tables.config import Address
from kingcuppost.tables.identity import Role
from kingcuppost.utils import Clock, ManualClock
from kingcuppost.utils.registry import Registry
from standins.batch.checks import Checks
from standins.batch.fleets import MinionSpec, make_default_fleet
from standins.batch.minions import Minion
from standins.batch.process import Process
from standins.batch.store import Store
from standins.batch.work_clock import WorkClock

__all__ = ["Deployment", "senders", "starters"]

HOST = "desk.example"
API_KEY = "key-a"
GUARANTEES = {"a": 16, "b": 8, "c": 0}  # accelerators by team
PATH_PREFIXES = ("/urgent/", "/design/", "/batch/")
FIRST_SIDECAR_HOST = 101

STEP_MS = 10
STEPS_PER_CHECK = 5
FROZEN_POLL_PERIOD_MS = 50
PORT = 7000
CALL_TIMEOUT_MS = 3_000


Sender = Callable[["Deployment", Process, Any], None]
Starter = Callable[["Deployment", Process], None]
senders: Registry[type, Sender] = Registry("sender of message")
starters: Registry[Role, Starter] = Registry("starter of role")


class Deployment:
    """A simulated deployment.

    Parameters
    ----------
    seed : int
        Seed of the network, the processes and the faults.
    entries, minions : int
        Number of entries, and of minions with their sidecars.
    fleet : tuple of MinionSpec
        The minions; if empty, `minions` like ones in one rack of each zone.
    lines_per_ms : int
        Lines of Python that an entry executes in 1 ms; if 0, its ticks take no time.

    Attributes
    ----------
    work_ms_by_job : dict of str to list of float
        For each job, the work of a task of each step, in ms at speed 1.
    replies : dict of str to CallReply
        Replies to callers, by the identifier of the exchange.
    log_is_down : bool
        Whether no process can reach the log.
    log_delay_ms : int
        Time by which the log's answers are delayed.
    lost_answer_ratio : float
        Share of appends whose answer is lost; some of these appends are late, too.
    late_order_ratio : float
        Share of orders to minions with an unknown outcome; they take effect later.
    closed_zones : set of str
        Availability zones that operators have taken out of service.
    operator_end : int
        Offset after the last record that a listing of the operators' stream returned.
    exchanges : dict of tuple to callable
        Functions that answer reports, by entry, its incarnation and the exchange.
    cancelled_job_by_call : dict of str to str
        Job that a call cancels, by the identifier of the exchange.
    """

    def __init__(
        self,
        seed: int = 1,
        entries: int = 3,
        minions: int = 9,
        fleet: tuple[MinionSpec, ...] = (),
        lines_per_ms: int = 0,
    ) -> None:
        self.rng = random.Random(seed)
        self.clock = ManualClock(start_ms=1_000)
        self._lines_per_ms = lines_per_ms
        self.store = Store()
        self.checks = Checks()
        self.checks.now_ms = self.clock.now_ms
        self.bounds = Bounds(lease_ms=6_000, gang_ms=3_000, stop_ms=200)
        self.work_ms_by_job: dict[str, list[float]] = {}
        self.steps: dict[str, tuple[StepSpec, ...]] = {}
        self.replies: dict[str, CallReply] = {}
        self.log_is_down = False
        self.log_delay_ms = 0
        self.lost_answer_ratio = 0.0
        self.late_order_ratio = 0.0
        self.processes: dict[str, Process] = {}
        self.minions: dict[str, Minion] = {}
        self._events: list[tuple[int, int, Callable[[], None]]] = []
        self.sequence_numbers = count()
        self.exchanges: dict[tuple[str, int, str], Callable[[bytes], None]] = {}
        self._scheduled_ticks: set[tuple[str, int]] = set()
        self._submitter_keys: dict[str, str] = {}
        self._call_numbers = count()
        self.cancelled_job_by_call: dict[str, str] = {}
        self._configure()
        for index in range(entries):
            self._add_process(
                f"entry-{index}", f"zone-{index % 3}", Role.ENTRY, index + 1
            )
        for spec in fleet or make_default_fleet(minions):
            self._add_sidecar(spec)
        for process in self.processes.values():
            self.start(process.name)

    def _configure(self) -> None:
        queues = tuple(
            Queue(f"queue-{priority}", HOST, prefix, "svc", priority, 3, 2.0)
            for priority, prefix in enumerate(PATH_PREFIXES)
        )
        teams = {
            name: Team(name, frozenset({f"key-{name}"}), guaranteed)
            for name, guaranteed in GUARANTEES.items()
        }
        keys = {f"key-{name}": name for name in teams}
        self.configuration = Configuration(1, queues, teams, keys)
        self.closed_zones: set[str] = set()
        self.operator_end = 0

    def _add_process(self, name: str, zone: str, role: Role, host: int) -> Process:
        process = Process(name, zone, role, Address(f"10.0.0.{host}", PORT))
        self.processes[name] = process
        return process

    def _add_sidecar(self, spec: MinionSpec) -> Process:
        """Add a machine: a minion and the sidecar beside it, not started yet."""
        index = len(self.minions)
        host = FIRST_SIDECAR_HOST + index
        process = self._add_process(f"side-{index}", spec.zone, Role.SIDECAR, host)
        process.minion = Minion(
            spec.id,
            spec.zone,
            spec.rack,
            spec.resources,
            self.checks,
            self.clock.now_ms,
            self._task_work,
            self.bounds.lease_ms,
            self.bounds.gang_ms,
            speed=spec.speed,
            kind=spec.kind,
        )
        self.minions[spec.id] = process.minion
        return process

    def add_machine(self, spec: MinionSpec) -> None:
        """Add a machine, and start its sidecar."""
        process = self._add_sidecar(spec)
        process.minion.clock_started_ms = self.clock.now_ms()
        process.minion.born_ms = self.clock.now_ms()
        self.start(process.name)

    def _task_work(self, task: TaskName) -> tuple[StepSpec, float]:
        """Return the step of a task, and its work in ms at speed 1."""
        return self.steps[task.job][task.step], self.work_ms_by_job[task.job][task.step]

    # processes

    def start(self, name: str) -> None:
        """Start or restart a process without any earlier state."""
        process = self.processes[name]
        process.incarnation += 1
        process.is_up = True
        process.is_frozen = False
        seeds = tuple(
            other.address
            for other in self.processes.values()
            if other.role is Role.ENTRY
        )[:3]
        cfg = DaemonConfig(
            process.role, name, process.zone, process.address, seeds, self.bounds
        )
        process.busy_until_ms = 0
        clock = self._make_clock(process.role)
        process.world = make_batch_world(cfg, clock, self.rng.getrandbits(32))
        process.systems = load_systems(process.role)
        process.next_offsets = dict.fromkeys(Stream, -1)
        process.slow_reads = set()
        self.request_tick(process)
        starters[process.role](self, process)

    def _make_clock(self, role: Role) -> Clock:
        """Return the clock of a process."""
        if role is Role.ENTRY and self._lines_per_ms:
            return WorkClock(self.clock, self._lines_per_ms)
        return self.clock

    def kill(self, name: str) -> None:
        """Kill a process without notice."""
        self.processes[name].is_up = False

    def stop(self, name: str) -> None:
        """Request a graceful stop of a process."""
        self.deliver(self.processes[name], StopRequested())

    def holder(self) -> Process | None:
        """Return the running entry with a loaded schedule, or None."""
        for process in self.processes.values():
            is_running_entry = process.role is Role.ENTRY and process.is_up
            if is_running_entry and process.world.schedule.is_loaded:
                return process
        return None

    # time

    def after(self, delay_ms: float, run: Callable[[], None]) -> None:
        """Schedule a function to run after a delay."""
        due_ms = self.clock.now_ms() + max(int(delay_ms), 0)
        heapq.heappush(self._events, (due_ms, next(self.sequence_numbers), run))

    def run_for(self, span_ms: int) -> None:
        """Advance simulated time by `span_ms`."""
        end_ms = self.clock.now_ms() + span_ms
        while self.clock.now_ms() < end_ms:
            step_end_ms = min(self.clock.now_ms() + STEP_MS, end_ms)
            while self._events and self._events[0][0] <= step_end_ms:
                due_ms, _, run = heapq.heappop(self._events)
                self.clock.advance(max(due_ms - self.clock.now_ms(), 0))
                run()
            self.clock.advance(max(step_end_ms - self.clock.now_ms(), 0))
            self._advance_minions()

    def run_until(self, condition: Callable[[], bool], limit_ms: int) -> bool:
        """Advance time until a condition holds, for at most `limit_ms`.

        Returns whether the condition holds at the end.
        """
        end_ms = self.clock.now_ms() + limit_ms
        while not condition() and self.clock.now_ms() < end_ms:
            self.run_for(STEP_MS * STEPS_PER_CHECK)
        return condition()

    def _advance_minions(self) -> None:
        running_minions = [minion for minion in self.minions.values() if minion.is_up]
        for minion in running_minions:
            minion.advance(STEP_MS)
        self._advance_gangs(running_minions)

    def _advance_gangs(self, running_minions: list[Minion]) -> None:
        """Start complete gangs and end their members together.

        When a member of a working gang is missing or stopping, the runs of the others
        end as broken.
        """
        gangs: dict[tuple, list[tuple[Minion, Any]]] = {}
        for minion in running_minions:
            for run in minion.runs.values():
                if run.step.gang:
                    key = (run.task.job, run.task.step, run.run)
                    gangs.setdefault(key, []).append((minion, run))
        for members in gangs.values():
            is_complete = len(members) == members[0][1].step.count
            if is_complete and all(run.stop_at_ms is None for _, run in members):
                self._advance_gang(members)
            else:
                for minion, run in members:
                    if run.is_working and run.stop_at_ms is None:
                        minion.end(run, RunEnd.BROKEN)

    def _advance_gang(self, members: list[tuple[Minion, Any]]) -> None:
        for _, run in members:
            run.is_working = True
        if all(run.done_ms >= run.work_ms for _, run in members):
            for minion, run in members:
                minion.end(run, RunEnd.DONE)

    # ticks

    def request_tick(self, process: Process) -> None:
        """Schedule a tick of a process unless one is scheduled already."""
        key = (process.name, process.incarnation)
        if key not in self._scheduled_ticks:
            self._scheduled_ticks.add(key)
            self.after(0, lambda: self._tick(process, key))

    def _tick(self, process: Process, key: tuple[str, int]) -> None:
        self._scheduled_ticks.discard(key)
        if not process.is_up or process.incarnation != key[1]:
            return
        if process.is_frozen:
            self.after(
                FROZEN_POLL_PERIOD_MS,
                lambda: self._request_same(process, key),
            )
            return
        wait_ms = process.busy_until_ms - self.clock.now_ms()
        if wait_ms > 0:
            self.after(wait_ms, lambda: self._request_same(process, key))
            return
        taken_ms = self._run_systems(process)
        process.busy_until_ms = self.clock.now_ms() + taken_ms
        if taken_ms:
            self.after(taken_ms, lambda: self._finish_tick(process, key))
        else:
            self._finish_tick(process, key)

    def _request_same(self, process: Process, key: tuple[str, int]) -> None:
        """Schedule a tick of an incarnation of a process, if it still runs."""
        if process.incarnation == key[1]:
            self.request_tick(process)

    def _run_systems(self, process: Process) -> int:
        """Run the systems of a process once; return the time that it takes, in ms."""
        world, now_ms = process.world, self.clock.now_ms()
        if isinstance(world.clock, WorkClock):
            return world.clock.run(lambda: run_tick(world, process.systems, now_ms))
        run_tick(world, process.systems, now_ms)
        return 0

    def _finish_tick(self, process: Process, key: tuple[str, int]) -> None:
        """Send what a tick has put into the outbox, and schedule the next tick."""
        if not process.is_up or process.incarnation != key[1]:
            return
        world = process.world
        for message in world.outbox.take_all():
            senders[type(message)](self, process, message)
        if len(world.inbox):
            self.request_tick(process)
        due_ms = world.deadlines.next_ms()
        if due_ms is not None:
            self.after(
                max(due_ms - self.clock.now_ms(), 1),
                lambda: self._tick_if_due(process, key),
            )

    def _tick_if_due(self, process: Process, key: tuple[str, int]) -> None:
        due_ms = process.world.deadlines.next_ms()
        is_due = due_ms is not None and due_ms <= self.clock.now_ms()
        if process.incarnation == key[1] and is_due:
            self.request_tick(process)

    def deliver(
        self, process: Process, message: Any, incarnation: int | None = None
    ) -> None:
        """Put a message into the inbox of a process, unless it has ended since."""
        if process.is_up and incarnation in (None, process.incarnation):
            process.world.inbox.put(message)
            self.request_tick(process)

    def deliver_later(
        self, process: Process, delay_ms: float, make_message: Callable[[], Any]
    ) -> None:
        """Deliver a message after a delay; it is made at that time."""
        incarnation = process.incarnation
        self.after(delay_ms, lambda: self.deliver(process, make_message(), incarnation))

    def delay_ms(self) -> float:
        """Return a random delay of the network, in ms."""
        return 1 + self.rng.random() * 4

    # callers

    def call(
        self,
        kind: CallKind,
        path: str,
        entry: str = "",
        job: SubmittedJob | None = None,
        api_key: str = API_KEY,
    ) -> str:
        """Send a call to an entry; return the identifier of the exchange.

        Without an entry, one of the running entries is picked at random; the call is
        lost if none runs.
        """
        running_entries = [
            process
            for process in self.processes.values()
            if process.role is Role.ENTRY and process.is_up
        ]
        process = (
            self.processes[entry]
            if entry
            else self.rng.choice(running_entries or [None])
        )
        exchange_id = f"call-{next(self._call_numbers)}"
        if process is not None:
            now_ms = self.clock.now_ms()
            self.deliver(
                process,
                CallerCall(
                    exchange_id, kind, HOST, path, api_key, now_ms, CALL_TIMEOUT_MS, job
                ),
            )
        return exchange_id

    def submit(
        self,
        steps: tuple[StepSpec, ...],
        work_ms: list[float],
        priority: int = 1,
        job_id: str = "",
        entry: str = "",
        api_key: str = API_KEY,
    ) -> tuple[str, str]:
        """Submit a job; return its identifier and that of the exchange.

        `work_ms` is the work of a task of each step, in ms at speed 1.
        """
        job_id = job_id or f"{self.rng.getrandbits(64):016x}"
        self.steps[job_id] = steps
        self.work_ms_by_job[job_id] = work_ms
        self.checks.record_job(
            job_id,
            [step.count for step in steps],
            tuple(step.needs for step in steps),
            tuple(step.gang for step in steps),
            self.configuration.queues[priority].most_failures,
        )
        path = PATH_PREFIXES[priority] + job_id
        self._submitter_keys.setdefault(job_id, api_key)
        job = SubmittedJob("work", steps)
        return job_id, self.call(CallKind.SUBMIT, path, entry, job, api_key)

    def state(self, job_id: str, priority: int = 1, entry: str = "") -> JobState | None:
        """Return the job state that an entry shows, or None if it shows none.

        Without an entry, one of the running entries is picked at random.
        """
        exchange_id = self.ask_state(job_id, priority, entry)
        self.run_for(30)
        reply = self.replies.get(exchange_id)
        if reply is None or reply.outcome is not CallOutcome.OK:
            return None
        if reply.state is not None:
            self.checks.check_shown_state(job_id, reply.state)
        return reply.state

    def ask_state(self, job_id: str, priority: int = 1, entry: str = "") -> str:
        """Request a job's state as its submitter; return the exchange's identifier."""
        path = PATH_PREFIXES[priority] + job_id
        api_key = self._submitter_keys.get(job_id, API_KEY)
        return self.call(CallKind.STATE, path, entry, api_key=api_key)

    def cancel(self, job_id: str, priority: int = 1, entry: str = "") -> str:
        """Send the cancellation of a job; return the identifier of the exchange."""
        path = PATH_PREFIXES[priority] + job_id
        api_key = self._submitter_keys.get(job_id, API_KEY)
        exchange_id = self.call(CallKind.CANCEL, path, entry, api_key=api_key)
        self.cancelled_job_by_call[exchange_id] = job_id
        return exchange_id


@senders.register(CallReply)
def record_reply(deployment: Deployment, process: Process, reply: CallReply) -> None:
    """Keep the reply to a caller, and note an accepted cancellation."""
    deployment.replies[reply.exchange_id] = reply
    job_id = deployment.cancelled_job_by_call.pop(reply.exchange_id, None)
    if job_id is not None and reply.outcome is CallOutcome.OK:
        deployment.checks.cancelled.setdefault(job_id, deployment.clock.now_ms())


@senders.register(StopProcess)
def stop_process(
    deployment: Deployment, process: Process, message: StopProcess
) -> None:
    """End a process."""
    process.is_up = False
