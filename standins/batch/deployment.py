"""Simulates entries, sidecars, minions and the log over a seeded network."""

import heapq
import random
from collections.abc import Callable
from dataclasses import dataclass, field, replace
from itertools import count
from typing import Any

from kingcuppost.batch.edges.processes import make_batch_world
from kingcuppost.batch.models import (
    decode_record,
    decode_sync_call,
    decode_sync_reply,
    encode_record,
    encode_sync_call,
    encode_sync_reply,
)
from kingcuppost.batch.systems import load_systems, run_tick
from kingcuppost.batch.tables.config import Bounds, DaemonConfig
from kingcuppost.batch.tables.fleet import Configuration, Queue, Resources, Team
from kingcuppost.batch.tables.job import JobState, RunEnd, StepSpec, TaskName
from kingcuppost.batch.tables.messages import (
    Append,
    AppendEnded,
    AppendOutcome,
    CallerCall,
    CallKind,
    CallOutcome,
    CallReply,
    ConfigRecord,
    HoldMinion,
    HoldMinionAnswered,
    JobRecord,
    ListMembers,
    MinionHeartbeat,
    MinionReport,
    OrderAnswered,
    OrderOutcome,
    RecordsRead,
    SendSync,
    StartRun,
    StopProcess,
    StopRequested,
    StopRun,
    Stream,
    SubmittedJob,
    SyncAnswered,
    SyncReply,
    ZoneRecord,
)
from kingcuppost.tables.config import Address
from kingcuppost.tables.identity import Role
from kingcuppost.utils import ManualClock
from standins.batch.checks import Checks
from standins.batch.minions import Minion
from standins.batch.store import Store

__all__ = ["Deployment", "Process"]

HOST = "desk.example"
API_KEY = "key-a"
PATH_PREFIXES = ("/urgent/", "/design/", "/batch/")
SLOW_SPEED = 0.55
FAST_SPEED = 1.2

STEP_MS = 10
STEPS_PER_CHECK = 5
FROZEN_POLL_PERIOD_MS = 50
LOG_POLL_PERIOD_MS = 1_100
HEARTBEAT_PERIOD_MS = 500
END_POLL_PERIOD_MS = 20
PORT = 7000

# Simulated delays and timeouts.
LISTING_DELAY_MS = 5
REFUSED_APPEND_MS = 20
MAX_LATE_APPEND_MS = 3_000
REFUSED_CONNECTION_MS = 5
ORDER_TIMEOUT_MS = 600
MIN_LATE_ORDER_MS = 2_000
LATE_ORDER_SPREAD_MS = 6_000
CALL_TIMEOUT_MS = 3_000


@dataclass
class Process:
    """A simulated entry or sidecar.

    Attributes
    ----------
    is_cut_off : bool
        Whether it can reach neither the log nor its peers.
    is_rejected_by_log : bool
        Whether the log refuses its requests.
    is_frozen : bool
        Whether it is paused and runs no ticks.
    missed_streams : set of Stream
        Streams of which its reads return nothing.
    incarnation : int
        Number of starts of the process.
    next_offsets : dict of Stream to int
        Offset to read next from each stream; -1 before the first read.
    """

    name: str
    zone: str
    role: Role
    address: Address
    world: Any = None
    systems: Any = None
    incarnation: int = 0
    is_up: bool = False
    is_cut_off: bool = False
    is_rejected_by_log: bool = False
    is_frozen: bool = False
    missed_streams: set[Stream] = field(default_factory=set)
    minion: Minion | None = None
    next_offsets: dict[Stream, int] | None = None


class Deployment:
    """A simulated deployment.

    Parameters
    ----------
    seed : int
        Seed of the network, the processes and the faults.
    entries, minions : int
        Number of entries, and of minions with their sidecars.

    Attributes
    ----------
    work_ms_by_job : dict of str to list of float
        For each job, the work of a task of each step, in ms at speed 1.
    replies : dict of str to CallReply
        Replies to callers, by the identifier of the exchange.
    log_is_down : bool
        Whether no process can reach the log.
    lost_answer_ratio : float
        Share of appends whose answer is lost; half of these appends are late, too, by
        up to `MAX_LATE_APPEND_MS`.
    late_order_ratio : float
        Share of orders to minions with an unknown outcome; they take effect later.
    closed_zones : set of str
        Availability zones that operators have taken out of service.
    """

    def __init__(self, seed: int = 1, entries: int = 3, minions: int = 9) -> None:
        self.rng = random.Random(seed)
        self.clock = ManualClock(start_ms=1_000)
        self.store = Store()
        self.checks = Checks()
        self.checks.now_ms = self.clock.now_ms
        self.bounds = Bounds(lease_ms=6_000, gang_ms=3_000, stop_ms=200)
        self.work_ms_by_job: dict[str, list[float]] = {}
        self.steps: dict[str, tuple[StepSpec, ...]] = {}
        self.replies: dict[str, CallReply] = {}
        self.log_is_down = False
        self.lost_answer_ratio = 0.0
        self.late_order_ratio = 0.0
        self.processes: dict[str, Process] = {}
        self.minions: dict[str, Minion] = {}
        self._events: list[tuple[int, int, Callable[[], None]]] = []
        self._sequence_numbers = count()
        self._exchanges: dict[tuple[str, int, str], Callable[[bytes], None]] = {}
        self._scheduled_ticks: set[tuple[str, int]] = set()
        self._call_numbers = count()
        self._cancelled_job_by_call: dict[str, str] = {}
        self._configure()
        for index in range(entries):
            self._add_process(
                f"entry-{index}", f"zone-{index % 3}", Role.ENTRY, index + 1
            )
        for index in range(minions):
            name = f"side-{index}"
            process = self._add_process(
                name, f"zone-{index % 3}", Role.SIDECAR, index + 101
            )
            process.minion = self._add_minion(index)
        for process in self.processes.values():
            self.start(process.name)

    def _configure(self) -> None:
        queues = tuple(
            Queue(f"queue-{priority}", HOST, prefix, "svc", priority, 3, 2.0)
            for priority, prefix in enumerate(PATH_PREFIXES)
        )
        teams = {"a": Team("a", frozenset({API_KEY}), 16)}
        self.configuration = Configuration(1, queues, teams, {API_KEY: "a"})
        self.closed_zones: set[str] = set()
        self.operator_end = 0

    def _add_process(self, name: str, zone: str, role: Role, host: int) -> Process:
        process = Process(name, zone, role, Address(f"10.0.0.{host}", PORT))
        self.processes[name] = process
        return process

    def _add_minion(self, index: int) -> Minion:
        minion = Minion(
            f"m-{index}",
            f"zone-{index % 3}",
            f"r{index % 3}-1",
            Resources(64_000, 131_072, 8),
            self.checks,
            self.clock.now_ms,
            self._task_work,
            self.bounds.lease_ms,
            self.bounds.gang_ms,
            speed=SLOW_SPEED if index % 4 == 0 else FAST_SPEED,
        )
        self.minions[minion.id] = minion
        return minion

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
        process.world = make_batch_world(cfg, self.clock, self.rng.getrandbits(32))
        process.systems = load_systems(process.role)
        process.next_offsets = dict.fromkeys(Stream, -1)
        self.request_tick(process)
        if process.role is Role.ENTRY:
            for stream in Stream:
                self._poll_stream(process, process.incarnation, stream)
        else:
            self._send_heartbeats(process, process.incarnation, 1)

    def kill(self, name: str) -> None:
        """Kill a process without notice."""
        self.processes[name].is_up = False

    def stop(self, name: str) -> None:
        """Request a graceful stop of a process."""
        self._deliver(self.processes[name], StopRequested())

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
        heapq.heappush(self._events, (due_ms, next(self._sequence_numbers), run))

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
                lambda: (
                    self.request_tick(process)
                    if process.incarnation == key[1]
                    else None
                ),
            )
            return
        world = process.world
        run_tick(world, process.systems, self.clock.now_ms())
        for message in world.outbox.take_all():
            self._send(process, message)
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

    def _deliver(
        self, process: Process, message: Any, incarnation: int | None = None
    ) -> None:
        if process.is_up and incarnation in (None, process.incarnation):
            process.world.inbox.put(message)
            self.request_tick(process)

    def _deliver_later(
        self, process: Process, delay_ms: float, make_message: Callable[[], Any]
    ) -> None:
        incarnation = process.incarnation
        self.after(
            delay_ms, lambda: self._deliver(process, make_message(), incarnation)
        )

    def _delay_ms(self) -> float:
        return 1 + self.rng.random() * 4

    # messages

    def _send(self, process: Process, message: Any) -> None:
        if isinstance(message, Append):
            self._append_records(process, message)
        elif isinstance(message, SendSync):
            self._send_sync(process, message)
        elif isinstance(message, SyncReply):
            self._answer_sync(process, message)
        elif isinstance(message, CallReply):
            self._record_reply(message)
        elif isinstance(message, HoldMinion):
            self._renew_lease(process, message)
        elif isinstance(message, StartRun | StopRun):
            self._apply_order(process, message)
        elif isinstance(message, ListMembers):
            batch = self._read_newest(Stream.MEMBERS)
            if not process.is_cut_off and not self.log_is_down:
                self._deliver_later(process, LISTING_DELAY_MS, lambda: batch)
        elif isinstance(message, StopProcess):
            process.is_up = False

    def _record_reply(self, reply: CallReply) -> None:
        self.replies[reply.exchange_id] = reply
        job_id = self._cancelled_job_by_call.pop(reply.exchange_id, None)
        if job_id is not None and reply.outcome is CallOutcome.OK:
            self.checks.cancelled.setdefault(job_id, self.clock.now_ms())

    def _can_reach_log(self, process: Process) -> bool:
        return not (
            process.is_cut_off or process.is_rejected_by_log or self.log_is_down
        )

    def _append_records(self, process: Process, message: Append) -> None:
        if not self._can_reach_log(process):
            answer = AppendEnded(
                message.id, AppendOutcome.REFUSED, reason="rejected by the log"
            )
            self._deliver_later(process, REFUSED_APPEND_MS, lambda: answer)
            return
        lost = self.rng.random() < self.lost_answer_ratio
        late_ms = (
            self.rng.random() * MAX_LATE_APPEND_MS
            if lost and self.rng.random() < 0.5
            else 0
        )

        def apply() -> None:
            records = [encode_record(record) for record in message.records]
            result = self.store.append(
                message.stream,
                records,
                message.required_end,
                message.term,
                message.sequence,
            )
            if not lost:
                answer = AppendEnded(
                    message.id, result.outcome, result.offset, result.end
                )
                self._deliver_later(process, self._delay_ms(), lambda: answer)
            self._notify_entries(message.stream)

        self.after(late_ms + self._delay_ms(), apply)
        if lost:
            answer = AppendEnded(message.id, AppendOutcome.UNKNOWN, reason="lost")
            self._deliver_later(process, message.timeout_ms, lambda: answer)

    def _notify_entries(self, stream: Stream) -> None:
        for process in self.processes.values():
            if process.role is Role.ENTRY and process.is_up:
                incarnation = process.incarnation
                self.after(
                    self._delay_ms(),
                    lambda process=process, incarnation=incarnation: self._read_stream(
                        process, incarnation, stream
                    ),
                )

    def _poll_stream(self, process: Process, incarnation: int, stream: Stream) -> None:
        """Read a stream periodically, as a long poll does."""
        if process.incarnation != incarnation or not process.is_up:
            return
        self._read_stream(process, incarnation, stream)
        self.after(
            LOG_POLL_PERIOD_MS, lambda: self._poll_stream(process, incarnation, stream)
        )

    def _read_stream(self, process: Process, incarnation: int, stream: Stream) -> None:
        if process.incarnation != incarnation or not process.is_up or process.is_frozen:
            return
        if stream in process.missed_streams or not self._can_reach_log(process):
            return
        if stream is Stream.OPERATORS:
            self._deliver(process, self._read_operator_stream())
            return
        position = process.next_offsets[stream]
        records = None if position < 0 else self.store.read(stream, position)
        if records is None:
            batch = self._read_newest(stream)
        else:
            rows = [
                (offset, self._decode(key, value))
                for offset, (key, value) in enumerate(records, position)
            ]
            now_ms = self.clock.now_ms()
            batch = RecordsRead(stream, rows, now_ms, position + len(rows))
        process.next_offsets[stream] = batch.end
        self._deliver(process, batch)

    def _decode(self, key: str, value: bytes) -> Any:
        return decode_record(key, value, "log").ok

    def _read_newest(self, stream: Stream) -> RecordsRead:
        rows = [
            (offset, self._decode(key, value))
            for offset, key, value in self.store.newest(stream)
        ]
        # An entry ignores the other records of a job that it does not know yet.
        rows.sort(key=lambda row: (not isinstance(row[1], JobRecord), row[0]))
        end = self.store.end(stream)
        return RecordsRead(stream, rows, self.clock.now_ms(), end, is_complete=True)

    def _read_operator_stream(self) -> RecordsRead:
        records = [ConfigRecord(self.configuration)]
        records += [ZoneRecord(zone) for zone in sorted(self.closed_zones)]
        # a later listing ends at a higher offset, as after a change
        rows = list(enumerate(records, self.operator_end))
        self.operator_end += len(rows)
        return RecordsRead(
            Stream.OPERATORS,
            rows,
            self.clock.now_ms(),
            self.operator_end,
            is_complete=True,
        )

    def _send_sync(self, process: Process, message: SendSync) -> None:
        sent_ms = self.clock.now_ms()
        incarnation = process.incarnation
        other = next(
            (
                item
                for item in self.processes.values()
                if item.address == message.address
            ),
            None,
        )
        is_open = [True]

        def finish_exchange(reply: SyncReply | None, reason: str = "") -> None:
            if is_open[0]:
                is_open[0] = False
                answered = SyncAnswered(
                    message.number, message.address, sent_ms, reply, reason
                )
                self._deliver(process, answered, incarnation)

        def arrive() -> None:
            if (
                other is None
                or not other.is_up
                or other.is_cut_off
                or process.is_cut_off
            ):
                return
            exchange_id = f"x{next(self._sequence_numbers)}"
            text = encode_sync_call(message.call)
            call = decode_sync_call(text, exchange_id, process.name).ok
            self._exchanges[other.name, other.incarnation, exchange_id] = answer
            self._deliver(other, call)

        def answer(text: bytes) -> None:
            if not process.is_cut_off and not other.is_cut_off:
                finish_exchange(decode_sync_reply(text, other.name).ok)

        self.after(self._delay_ms(), arrive)
        is_refused = other is None or not other.is_up
        timeout_ms = REFUSED_CONNECTION_MS if is_refused else message.timeout_ms
        self.after(timeout_ms, lambda: finish_exchange(None, "no answer"))

    def _answer_sync(self, process: Process, reply: SyncReply) -> None:
        key = (process.name, process.incarnation, reply.exchange_id)
        answer = self._exchanges.pop(key, None)
        if answer is not None:
            text = encode_sync_reply(reply)
            self.after(self._delay_ms(), lambda: answer(text))

    # minions

    def _send_heartbeats(self, process: Process, incarnation: int, number: int) -> None:
        if process.incarnation != incarnation or not process.is_up:
            return
        minion = process.minion
        if minion is not None and minion.is_up and not process.is_frozen:
            report = MinionReport(
                minion.incarnation,
                "svc",
                minion.zone,
                ("a", minion.rack),
                replace(minion.resources),
                minion.draining,
                0,
                False,
            )
            address = Address("10.1.0.1", PORT)
            self._deliver(process, MinionHeartbeat(address, report, number))
        self.after(
            HEARTBEAT_PERIOD_MS,
            lambda: self._send_heartbeats(process, incarnation, number + 1),
        )

    def _renew_lease(self, process: Process, message: HoldMinion) -> None:
        minion = process.minion
        sent_ms = self.clock.now_ms()
        incarnation = process.incarnation
        answer_by_ms = sent_ms + message.wait_ms

        def check_ends(is_first: bool) -> None:
            if process.incarnation != incarnation:
                return
            now_ms = self.clock.now_ms()
            if not minion.is_up or minion.incarnation != message.incarnation:
                answer = HoldMinionAnswered(
                    message.incarnation, sent_ms, now_ms, reason="other incarnation"
                )
                self._deliver(process, answer, incarnation)
                return
            until_ms = message.lease_until_ms if is_first else None
            running, ended = minion.renew_lease(
                message.term, message.acknowledged_end, until_ms
            )
            if not ended and now_ms < answer_by_ms:
                self.after(END_POLL_PERIOD_MS, lambda: check_ends(False))
                return
            answer = HoldMinionAnswered(
                message.incarnation, sent_ms, now_ms, now_ms, running, ended
            )
            self._deliver_later(process, 1, lambda: answer)

        self.after(1, lambda: check_ends(True))

    def _apply_order(self, process: Process, message: StartRun | StopRun) -> None:
        minion = process.minion
        incarnation = process.incarnation
        is_start = isinstance(message, StartRun)
        is_late = self.rng.random() < self.late_order_ratio

        def apply() -> None:
            if not minion.is_up or minion.incarnation != message.incarnation:
                return
            order = message.order
            if is_start:
                reason = minion.start(
                    message.term,
                    order.task,
                    order.run,
                    order.checkpoint,
                    message.lease_until_ms,
                )
            else:
                reason = minion.stop(message.term, order.task, order.run)
            if not is_late:
                outcome = OrderOutcome.REFUSED if reason else OrderOutcome.DONE
                deliver_answer(outcome, reason)

        def deliver_answer(outcome: OrderOutcome, reason: str) -> None:
            order = message.order
            answer = OrderAnswered(
                message.incarnation, order.task, order.run, is_start, outcome, reason
            )
            self._deliver_later(process, 1, lambda: answer)

        if is_late:
            self.after(
                MIN_LATE_ORDER_MS + self.rng.random() * LATE_ORDER_SPREAD_MS, apply
            )
            self.after(
                ORDER_TIMEOUT_MS,
                lambda: self._deliver_unknown_outcome(
                    process, incarnation, message, is_start
                ),
            )
        else:
            self.after(1, apply)

    def _deliver_unknown_outcome(
        self, process: Process, incarnation: int, message: Any, is_start: bool
    ) -> None:
        order = message.order
        answer = OrderAnswered(
            message.incarnation,
            order.task,
            order.run,
            is_start,
            OrderOutcome.UNKNOWN,
            "late",
        )
        self._deliver(process, answer, incarnation)

    # callers

    def call(
        self,
        kind: CallKind,
        path: str,
        entry: str = "",
        job: SubmittedJob | None = None,
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
            self._deliver(
                process,
                CallerCall(
                    exchange_id, kind, HOST, path, API_KEY, now_ms, CALL_TIMEOUT_MS, job
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
        job = SubmittedJob("work", steps)
        return job_id, self.call(CallKind.SUBMIT, path, entry, job)

    def state(self, job_id: str, priority: int = 1) -> JobState | None:
        """Return the job state that a random entry shows, or None if it shows none."""
        exchange_id = self.call(CallKind.STATE, PATH_PREFIXES[priority] + job_id)
        self.run_for(30)
        reply = self.replies.get(exchange_id)
        if reply is None or reply.outcome is not CallOutcome.OK:
            return None
        if reply.state is not None:
            self.checks.check_shown_state(job_id, reply.state)
        return reply.state

    def cancel(self, job_id: str, priority: int = 1) -> str:
        """Send the cancellation of a job; return the identifier of the exchange."""
        exchange_id = self.call(CallKind.CANCEL, PATH_PREFIXES[priority] + job_id)
        self._cancelled_job_by_call[exchange_id] = job_id
        return exchange_id
