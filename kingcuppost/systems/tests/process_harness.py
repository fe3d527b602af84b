"""A harness of a process without sockets, with a fake log, clock and worker."""

from dataclasses import dataclass, field
from typing import Any

from kingcuppost.programs import make_world
from kingcuppost.systems import run_tick, systems_of
from kingcuppost.systems.members.orders import ENDED_STATES
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
    ReadAnswered,
    StoredRecord,
    WorkerAnswered,
    WorkerTask,
)
from kingcuppost.tables.job import Decision, Placement, Urgency
from kingcuppost.tables.outbox import (
    AppendRecords,
    CheckpointTask,
    ReadLog,
    RenewTasks,
    ReserveTask,
    StartTask,
    StopTask,
)
from kingcuppost.tables.record import (
    EntryAnnounce,
    GangPlace,
    GangRelease,
    JobSubmit,
    LeaseClaim,
    MinionAnnounce,
    Record,
    SettingPut,
    TeamPut,
    ZonePut,
)
from kingcuppost.tables.task import MemberTask, TaskState
from kingcuppost.utils import ManualClock

LOCALHOST = Address("127.0.0.1", 0)
ZONE = "vid-a"
START_MS = 1_000_000
LEASE_MS = 5_000
STEP_MS = 10


class FakeLog:
    """A log of records at offsets from 1."""

    def __init__(self) -> None:
        self.records: list[Record] = []
        self.up = True

    def add(self, *bodies: Any) -> None:
        for body in bodies:
            name = f"test-{len(self.records)}"
            self.records.append(Record(name, "test", START_MS, body))

    def bodies(self, kind: type) -> list[Any]:
        return [row.body for row in self.records if isinstance(row.body, kind)]


@dataclass
class FakeTask:
    """A task at the fake worker."""

    state: TaskState
    lease_expiry_ms: int
    result: str = ""
    starts: int = 0


@dataclass
class FakeWorker:
    """A worker that keeps tasks under leases."""

    tasks: dict[str, FakeTask] = field(default_factory=dict)
    ignores_stop: bool = False

    def expire_leases(self, now_ms: int) -> None:
        for task in self.tasks.values():
            if task.state not in ENDED_STATES and task.lease_expiry_ms <= now_ms:
                task.state = TaskState.STOPPED

    def state(self, task_id: str) -> TaskState:
        return self.tasks[task_id].state

    def finish(self, task_id: str, result: str) -> None:
        self.tasks[task_id].state = TaskState.FINISHED
        self.tasks[task_id].result = result

    def answer(self, order: Any, now_ms: int) -> WorkerAnswered:
        self.expire_leases(now_ms)
        name, task_id, ok = self._carry_out(order, now_ms)
        rows = tuple(
            WorkerTask(key, task.state, task.result) for key, task in self.tasks.items()
        )
        return WorkerAnswered(name, task_id, ok, rows)

    def _carry_out(self, order: Any, now_ms: int) -> tuple[str, str, bool]:
        """Return the name of the order, its task, and whether it was carried out."""
        if isinstance(order, RenewTasks):
            for lease in order.leases:
                task = self.tasks.get(lease.task_id)
                if task is not None and task.state not in ENDED_STATES:
                    task.lease_expiry_ms = now_ms + lease.lease_ms
            return "renew", "", True
        if isinstance(order, ReserveTask):
            task = FakeTask(TaskState.RESERVED, now_ms + order.lease_ms)
            self.tasks[order.task_id] = task
            return "reserve", order.task_id, True
        task = self.tasks.get(order.task_id)
        if isinstance(order, StartTask):
            if task is None or task.state is not TaskState.RESERVED:
                return "start", order.task_id, False
            task.state = TaskState.RUNNING
            task.lease_expiry_ms = now_ms + order.lease_ms
            task.starts += 1
            return "start", order.task_id, True
        if isinstance(order, CheckpointTask):
            return "checkpoint", order.task_id, True
        open_task = task is not None and task.state not in ENDED_STATES
        if open_task and not self.ignores_stop:
            task.state = TaskState.STOPPED
        return "stop", order.task_id, True


WORKER_ORDERS = (ReserveTask, StartTask, RenewTasks, CheckpointTask, StopTask)


class ProcessHarness:
    """One process without sockets.

    The log answers at once while it is up. The worker carries out orders at once,
    except orders of `withheld_types`, which are delivered on request.
    """

    def __init__(self, cfg: ProcessConfig, log: FakeLog, clock: ManualClock) -> None:
        self.clock = clock
        self.log = log
        self.world = make_world(cfg, clock)
        self.worker = FakeWorker()
        self.withheld_types: tuple[type, ...] = ()
        self.withheld: list[Any] = []
        self.sent: list[Any] = []
        self._reads: list[ReadLog] = []

    @property
    def now_ms(self) -> int:
        return self.clock.now_ms()

    def settle(self) -> None:
        """Tick until no more messages arrive at this time."""
        self.worker.expire_leases(self.now_ms)
        for _ in range(100):
            run_tick(self.world, systems_of(self.world.identity.role), self.now_ms)
            for message in self.world.outbox.take_all():
                self._dispatch(message)
            self._answer_reads()
            if not len(self.world.inbox):
                return
        raise AssertionError("the process does not settle")

    def run(self, for_ms: int) -> None:
        """Advance the clock in small steps, and settle after each."""
        for _ in range(for_ms // STEP_MS):
            self.clock.advance(STEP_MS)
            self.settle()

    def task(self, task_id: str) -> MemberTask:
        return self.world.tasks.get(task_id)

    def deliver_withheld(self) -> None:
        """Deliver the withheld orders to the worker."""
        withheld, self.withheld = self.withheld, []
        for order in withheld:
            self.world.inbox.put(self.worker.answer(order, self.now_ms))

    def _dispatch(self, message: Any) -> None:
        self.sent.append(message)
        if isinstance(message, ReadLog):
            self._reads.append(message)
        elif isinstance(message, AppendRecords):
            if self.log.up:
                self.log.records.extend(message.records)
            ids = tuple(row.record_id for row in message.records)
            self.world.inbox.put(AppendAnswered(ids, self.log.up, "down"))
        elif isinstance(message, self.withheld_types):
            self.withheld.append(message)
        elif isinstance(message, WORKER_ORDERS):
            self.world.inbox.put(self.worker.answer(message, self.now_ms))

    def _answer_reads(self) -> None:
        """Answer the reads that have records or do not wait; keep the others."""
        reads, self._reads = self._reads, []
        for read in reads:
            waits = read.wait_ms and read.after >= len(self.log.records)
            if self.log.up and waits:
                self._reads.append(read)
            else:
                self._answer_read(read)

    def _answer_read(self, read: ReadLog) -> None:
        if not self.log.up:
            self.world.inbox.put(ReadAnswered(read.read_id, False, reason="down"))
            return
        head = len(self.log.records)
        rows = tuple(
            StoredRecord(offset + 1, self.log.records[offset])
            for offset in range(read.after, head)
        )
        self.world.inbox.put(ReadAnswered(read.read_id, True, rows, head, 1, head))


def make_sidecar_harness(
    log: FakeLog, clock: ManualClock, number: int = 0
) -> ProcessHarness:
    """Return a harness of the sidecar beside worker `number`."""
    worker = WorkerConfig(
        "http", f"worker-{number}", "rack-0", LOCALHOST, 64, 131_072, 8
    )
    sidecar = SidecarConfig("planner", LOCALHOST, 8, 64, worker, LOCALHOST)
    cfg = ProcessConfig(
        Role.SIDECAR,
        f"minion-{number}",
        ZONE,
        "vidzeme",
        LOCALHOST,
        LogConfig("http", LOCALHOST),
        sidecar=sidecar,
        seed=number,
    )
    return ProcessHarness(cfg, log, clock)


def make_entry_harness(
    log: FakeLog, clock: ManualClock, number: int = 0
) -> ProcessHarness:
    """Return a harness of entry `number`."""
    cfg = ProcessConfig(
        Role.ENTRY,
        f"entry-{number}",
        ZONE,
        "vidzeme",
        LOCALHOST,
        LogConfig("http", LOCALHOST),
        entry=EntryConfig(LOCALHOST, LOCALHOST),
        seed=100 + number,
    )
    return ProcessHarness(cfg, log, clock)


def minion_announcement(number: int) -> MinionAnnounce:
    return MinionAnnounce(
        f"minion-{number}",
        "planner",
        f"worker-{number}",
        ZONE,
        "rack-0",
        f"earlier-{number}",
        "127.0.0.1",
        9_000 + number,
        8,
        64,
        64,
        131_072,
        8,
    )


def make_cluster_log(workers: int = 2) -> FakeLog:
    """Return a log with a zone, a team, workers, an entry and a scheduling term."""
    log = FakeLog()
    log.add(
        ZonePut(ZONE, "vidzeme", True, 0),
        TeamPut("design", (), 0, 0),
        *(minion_announcement(number) for number in range(workers)),
        EntryAnnounce("entry-9", ZONE, "inc-9", "127.0.0.1", 1, 2, 3),
        LeaseClaim("entry-9", "inc-9", 0),
        SettingPut("", "job.lease_ms", LEASE_MS, 0),
    )
    return log


def term_of(log: FakeLog) -> int:
    """Return the scheduling term: the offset of the latest lease claim."""
    offsets = [
        offset
        for offset, row in enumerate(log.records, 1)
        if isinstance(row.body, LeaseClaim)
    ]
    return offsets[-1]


def place_gang(
    log: FakeLog, job: str, workers: tuple[str, ...], incarnation: int = 1
) -> None:
    """Submit a job if this is its first gang, and place the gang."""
    if incarnation == 1:
        log.add(
            JobSubmit(job, "design", len(workers), 1, 1, 1, Urgency.OVERNIGHT, 0, "{}")
        )
    placements = tuple(Placement(name, (0,)) for name in workers)
    decision = Decision("first_fit", 0)
    log.add(GangPlace(term_of(log), job, incarnation, placements, False, decision))


def release_gang(log: FakeLog, job: str, incarnation: int = 1) -> None:
    """Release a gang of a job."""
    log.add(GangRelease(term_of(log), job, incarnation))
