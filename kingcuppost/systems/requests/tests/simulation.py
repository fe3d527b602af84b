"""Simulation of entries and sidecars without sockets, on a manual clock."""

import heapq
import itertools
import random
from collections import Counter
from collections.abc import Callable

from kingcuppost.programs import make_world
from kingcuppost.systems import run_tick, systems_of
from kingcuppost.tables.config import (
    Address,
    EntryConfig,
    LogConfig,
    ProcessConfig,
    SidecarConfig,
    WorkerConfig,
)
from kingcuppost.tables.identity import Role
from kingcuppost.tables.inbox import (
    AppendAnswered,
    AttemptAnswered,
    AttemptArrived,
    CallerRequest,
    ExchangeLost,
    HeartbeatAnswered,
    HeartbeatArrived,
    HolderAnswered,
    HolderPingArrived,
    MinionAnswered,
    ReadAnswered,
    StoredRecord,
)
from kingcuppost.tables.job import Urgency
from kingcuppost.tables.outbox import (
    AppendRecords,
    AskHolder,
    HandOver,
    ReadLog,
    Reply,
    SendAttempt,
    SendHeartbeat,
)
from kingcuppost.tables.record import Record, TeamPut, ZonePut
from kingcuppost.tables.replies import RequestReply
from kingcuppost.tables.request import Outcome
from kingcuppost.tables.world import World
from kingcuppost.utils import ManualClock

UNUSED_ADDRESS = Address("127.0.0.1", 0)
LATENCY_MS = 1
SERVICE = "planner"
ZONE = "vid-a"


class Simulation:
    """Processes whose messages arrive after a latency, with faults that tests inject.

    Attributes
    ----------
    run_ms : dict of str to int
        Mean run time of a request at each minion, in ms.
    runs : Counter
        Number of times that each body was handed over to a minion.
    running, max_running : Counter
        Number of requests that each minion runs now, and the maximum so far.
    answers : dict of str to RequestReply
        Replies to callers, by exchange.
    answered_ms : dict of str to int
        Time of each reply to a caller, by exchange, in ms.
    sent : list of SendAttempt or SendHeartbeat
        Attempts and heartbeats sent by all processes, in order.
    lose_answers, unreachable : set of str
        Processes that neither send nor receive answers, and processes that cannot be
        reached.
    log_up : bool
        Whether the log confirms appends and returns records.
    """

    def __init__(self, run_ms: dict[str, int], entries: int = 2, slots: int = 8):
        self.clock = ManualClock(start_ms=1_000)
        self.rng = random.Random(7)
        self.run_ms = run_ms
        self.slots = slots
        self.log: list[Record] = []
        self.log_up = True
        self.worlds: dict[str, World] = {}
        self.systems: dict[str, list] = {}
        self.runs: Counter[str] = Counter()
        self.running: Counter[str] = Counter()
        self.max_running: Counter[str] = Counter()
        self.answers: dict[str, RequestReply] = {}
        self.answered_ms: dict[str, int] = {}
        self.lose_answers: set[str] = set()
        self.unreachable: set[str] = set()
        self.sent: list[SendAttempt | SendHeartbeat] = []
        self._numbers = itertools.count(1)
        self._scheduled: list[tuple[int, int, Callable[[], None]]] = []
        self._open_exchanges: dict[str, Callable[[Reply], None]] = {}
        for number in range(entries):
            self.start(f"entry-{number}")
        for name in run_ms:
            self.start(name)
        self.propose(ZonePut(ZONE, "vidzeme", True, 0))
        self.propose(TeamPut("design", (), 0, 0))
        self.propose(TeamPut("shop", (), 0, 0))

    def propose(self, body: object) -> None:
        """Append a record to the log."""
        number = next(self._numbers)
        self.log.append(Record(f"rec-{number}", "test", 0, body))

    def start(self, name: str) -> World:
        """Start a process, or restart it with a new incarnation."""
        role = Role.ENTRY if name.startswith("entry") else Role.SIDECAR
        sidecar = None
        if role is Role.SIDECAR:
            worker = WorkerConfig("none", f"w-{name}", "r", UNUSED_ADDRESS, 8, 1024, 8)
            sidecar = SidecarConfig(
                SERVICE, UNUSED_ADDRESS, self.slots, 64, worker, UNUSED_ADDRESS
            )
        cfg = ProcessConfig(
            role=role,
            name=name,
            availability_zone=ZONE,
            region="vidzeme",
            peers=UNUSED_ADDRESS,
            log=LogConfig("none", UNUSED_ADDRESS),
            entry=EntryConfig(UNUSED_ADDRESS, UNUSED_ADDRESS)
            if role is Role.ENTRY
            else None,
            sidecar=sidecar,
            seed=next(self._numbers),
        )
        self.worlds[name] = make_world(cfg, self.clock)
        self.systems[name] = systems_of(role)
        return self.worlds[name]

    def send_request(self, entry: str, body: str = "b", key: str = "", **fields) -> str:
        """Send a caller's request to an entry; return the id of its exchange."""
        exchange = f"call-{next(self._numbers)}"
        message = CallerRequest(
            exchange,
            fields.get("team", "design"),
            SERVICE,
            body,
            fields.get("urgency", Urgency.INTERACTIVE),
            key,
            fields.get("timeout_ms", 0),
            fields.get("issued_ms", 0),
        )
        self.worlds[entry].inbox.put(message)
        return exchange

    def advance(self, ms: int) -> None:
        """Advance the clock by `ms`, and run everything that is due meanwhile."""
        end_ms = self.clock.now_ms() + ms
        while True:
            self._tick_all()
            next_ms = self._next_ms()
            if next_ms is None or next_ms > end_ms:
                break
            self.clock.advance(max(next_ms - self.clock.now_ms(), 0))
            while self._scheduled and self._scheduled[0][0] <= self.clock.now_ms():
                heapq.heappop(self._scheduled)[2]()
        self.clock.advance(max(end_ms - self.clock.now_ms(), 0))
        self._tick_all()

    def outcome(self, exchange: str) -> Outcome | None:
        """Return the outcome that the caller got, or None."""
        reply = self.answers.get(exchange)
        return reply.outcome if reply else None

    def _next_ms(self) -> int | None:
        times = [world.deadlines.next_ms() for world in self.worlds.values()]
        if self._scheduled:
            times.append(self._scheduled[0][0])
        return min((at for at in times if at is not None), default=None)

    def _tick_all(self) -> None:
        now_ms = self.clock.now_ms()
        for name, world in list(self.worlds.items()):
            due = world.deadlines.next_ms()
            started = world.event_count or len(world.inbox)
            if len(world.inbox) or (due is not None and due <= now_ms) or not started:
                while True:
                    run_tick(world, self.systems[name], now_ms)
                    for message in world.outbox.take_all():
                        self._dispatch(name, message)
                    if not len(world.inbox):
                        break

    def after(self, ms: int, run: Callable[[], None]) -> None:
        """Schedule a callback after a delay in ms."""
        at_ms = self.clock.now_ms() + ms
        heapq.heappush(self._scheduled, (at_ms, next(self._numbers), run))

    def deliver(self, world: World, message: object, ms: int = LATENCY_MS) -> None:
        """Deliver a message after `ms`, unless the process is killed or restarted."""
        name = world.identity.name

        def put() -> None:
            if self.worlds.get(name) is world:
                world.inbox.put(message)

        self.after(ms, put)

    def _dispatch(self, name: str, message: object) -> None:
        world = self.worlds[name]
        if isinstance(message, AppendRecords):
            self._append_records(world, message)
        elif isinstance(message, ReadLog):
            self._read_log(world, message)
        elif isinstance(message, SendAttempt):
            self._send_attempt(world, message)
        elif isinstance(message, SendHeartbeat):
            self._send_heartbeat(world, message)
        elif isinstance(message, AskHolder):
            self._ask_holder(world, message)
        elif isinstance(message, HandOver):
            self._hand_over(world, message)
        elif isinstance(message, Reply):
            self._deliver_reply(message)

    def _append_records(self, world: World, message: AppendRecords) -> None:
        if self.log_up:
            self.log.extend(message.records)
        ids = tuple(record.record_id for record in message.records)
        self.deliver(world, AppendAnswered(ids, self.log_up))

    def _read_log(self, world: World, message: ReadLog) -> None:
        def answer() -> None:
            new = enumerate(self.log[message.after :], message.after + 1)
            rows = tuple(StoredRecord(offset, record) for offset, record in new)
            head = len(self.log)
            up = self.log_up
            done = ReadAnswered(message.read_id, up, rows if up else (), head, 1, head)
            self.deliver(world, done)

        self.after(20 if message.after >= len(self.log) else 0, answer)

    def _send_attempt(self, world: World, message: SendAttempt) -> None:
        self.sent.append(message)

        def fail(never_sent: bool) -> AttemptAnswered:
            return AttemptAnswered(
                message.attempt_id,
                message.minion,
                "",
                Outcome.UNKNOWN,
                never_sent=never_sent,
                reason="no answer",
            )

        sidecar = self.worlds.get(message.minion)
        if sidecar is None or message.minion in self.unreachable:
            self.deliver(world, fail(never_sent=True))
            return

        def answer(reply: Reply) -> object:
            body = reply.body
            return AttemptAnswered(
                message.attempt_id,
                message.minion,
                body.incarnation,
                body.outcome,
                body.body,
                body.free_slots,
                body.leaving,
                body.service_ms,
                reason=body.reason,
                running=body.running,
            )

        arrived = AttemptArrived(
            "",
            message.attempt_id,
            message.incarnation,
            message.team,
            message.body,
            message.keyed,
            message.urgency,
            message.timeout_ms,
            message.claim_offset,
            message.hold_ms,
        )
        self._exchange(
            world, sidecar, arrived, answer, fail(never_sent=False), message.silence_ms
        )

    def _send_heartbeat(self, world: World, message: SendHeartbeat) -> None:
        self.sent.append(message)
        failed = HeartbeatAnswered(message.entry, False, "no answer")
        entry = self.worlds.get(message.entry)
        if entry is None or message.entry in self.unreachable:
            self.deliver(world, failed)
            return
        arrived = HeartbeatArrived(
            "",
            message.minion,
            message.incarnation,
            message.free_slots,
            message.leaving,
            message.service_ms,
            message.reports,
        )
        self._exchange(
            world,
            entry,
            arrived,
            lambda reply: HeartbeatAnswered(
                message.entry, True, "", reply.body.folded_offset
            ),
            failed,
            message.timeout_ms,
        )

    def _ask_holder(self, world: World, message: AskHolder) -> None:
        failed = HolderAnswered(False, "", message.sent_ms, "no answer")
        holder = self.worlds.get(message.entry)
        if holder is None or message.entry in self.unreachable:
            self.deliver(world, failed)
            return
        asked = HolderPingArrived("", world.identity.name)

        def answer(reply: Reply) -> HolderAnswered:
            return HolderAnswered(True, reply.body.incarnation, message.sent_ms)

        self._exchange(world, holder, asked, answer, failed, message.timeout_ms)

    def _exchange(
        self,
        sender: World,
        receiver: World,
        arrived: object,
        answer: Callable[[Reply], object],
        failed: object,
        timeout_ms: int,
    ) -> None:
        """Deliver a request, then its answer or a timeout, whichever comes first."""
        exchange = f"exc-{next(self._numbers)}"
        fields = {name: getattr(arrived, name) for name in arrived.__slots__}
        self.deliver(receiver, type(arrived)(**{**fields, "exchange_id": exchange}))

        def reply(message: Reply) -> None:
            if {receiver.identity.name, sender.identity.name} & self.lose_answers:
                return
            self._open_exchanges.pop(exchange)
            self.deliver(sender, answer(message))

        def expire() -> None:
            if self._open_exchanges.pop(exchange, None) is not None:
                self.deliver(sender, failed, 0)
                self.deliver(receiver, ExchangeLost(exchange), 0)

        self._open_exchanges[exchange] = reply
        self.after(timeout_ms, expire)

    def _hand_over(self, world: World, message: HandOver) -> None:
        name = world.identity.name
        self.runs[message.body] += 1
        self.running[name] += 1
        self.max_running[name] = max(self.max_running[name], self.running[name])
        run_ms = self.run_ms[name]
        took_ms = int(self.rng.uniform(0.5, 1.5) * run_ms)

        def done() -> None:
            self.running[name] -= 1
            body = f"{name} {message.body}"
            self.deliver(world, MinionAnswered(message.attempt_id, True, body), 0)

        self.after(took_ms, done)

    def _deliver_reply(self, message: Reply) -> None:
        if message.exchange_id in self._open_exchanges:
            self._open_exchanges[message.exchange_id](message)
        elif isinstance(message.body, RequestReply):
            self.answers[message.exchange_id] = message.body
            self.answered_ms[message.exchange_id] = self.clock.now_ms()
