"""The holder of the scheduling lease with a fleet of reporting sidecars, no socket.

The fleet may have any size, and the caller chooses what changes, so that the work of a
tick can be compared between sizes.
"""

from dataclasses import replace

from kingcuppost.batch.edges.processes import make_batch_world
from kingcuppost.batch.systems import load_systems, run_tick
from kingcuppost.batch.systems.holder_election import has_authority, step_down
from kingcuppost.batch.tables.config import DaemonConfig
from kingcuppost.batch.tables.fleet import Configuration, HolderView, Queue, Team
from kingcuppost.batch.tables.job import (
    Job,
    JobPolicy,
    MinionIncarnation,
    RunEnd,
    StepSpec,
    TaskName,
    TaskPhase,
)
from kingcuppost.batch.tables.messages import (
    Append,
    AppendEnded,
    AppendOutcome,
    CancelRecord,
    EndedRun,
    JobRecord,
    MinionReport,
    RecordsRead,
    RunningRun,
    Stream,
    SyncCall,
    SyncReply,
)
from kingcuppost.batch.tables.resources import Resources
from kingcuppost.tables.config import Address
from kingcuppost.tables.identity import Role
from kingcuppost.utils import ManualClock

__all__ = ["MINION_CAPACITY", "Holder"]

MINION_CAPACITY = Resources(64_000, 262_144, 8)
MINIONS_PER_RACK = 12
ZONES = 5
REPORT_WAIT_MS = 1_000
FLEET_SETTLE_MS = 1_000  # more than a new term waits for minions
AUTHORITY_MS = 10**9  # the lease is not what is measured


class Holder:
    """The holder and its sidecars, which carry out every order at once.

    Parameters
    ----------
    minions : int
        Number of minions, each with a sidecar.
    clock : ManualClock, optional
        Clock of the holder; one that stands still between ticks if None.

    Attributes
    ----------
    running : dict of str to dict
        Runs that each sidecar reports, by task and run.
    stopped : dict of str to list
        Task and run of the stops that each sidecar has not reported yet.
    waiting : dict of str to str
        Identifier of the unanswered report of each sidecar.
    """

    def __init__(self, minions: int, clock: ManualClock | None = None) -> None:
        cfg = DaemonConfig(Role.ENTRY, "entry-0", "zone-0", Address("10.0.0.1", 7000))
        self.clock = clock or ManualClock(start_ms=100_000)
        self.world = make_batch_world(cfg, self.clock, seed=1)
        self.systems = load_systems(Role.ENTRY)
        self.running: dict[str, dict[tuple[TaskName, int], RunningRun]] = {}
        self.stopped: dict[str, list[tuple[TaskName, int]]] = {}
        self.waiting: dict[str, str] = {}
        self._numbers: dict[int, int] = {}
        self._end_numbers: dict[str, int] = {}
        self._job_count = 0
        self._offset = 1
        self._hold_lease()
        for index in range(minions):
            self.add_minion(index)
        self.tick()
        self.clock.advance(FLEET_SETTLE_MS)

    def _hold_lease(self) -> None:
        world = self.world
        queues = tuple(
            Queue(f"queue-{priority}", "host", f"/{priority}/", "svc", priority)
            for priority in range(3)
        )
        world.agreed.configuration = Configuration(
            1, queues, {"a": Team("a", frozenset({"key"}))}, {"key": "a"}
        )
        world.agreed.holder = HolderView(
            1, world.cfg.name, world.incarnation, world.cfg.peers
        )
        self._open_term()
        world.schedule.is_loaded = True

    def _open_term(self) -> None:
        schedule = self.world.schedule
        schedule.term = 1
        schedule.lost_term = 0
        schedule.is_open = True
        schedule.authority_until_ms = self.clock.now_ms() + AUTHORITY_MS
        schedule.extension_until_ms = self.clock.now_ms() + AUTHORITY_MS
        schedule.renew_at_ms = schedule.authority_until_ms

    def hand_over(self) -> None:
        """Continue as another holder, which has yet to load the plans of all jobs."""
        step_down(self.world, "another entry takes over")
        self.world.schedule.pending_syncs.clear()
        self.waiting.clear()
        self._open_term()

    @staticmethod
    def _sidecar(index: int) -> str:
        return f"side-{index}"

    def add_minion(self, index: int) -> None:
        """Add a minion, whose sidecar reports for the first time."""
        self._numbers[index] = 0
        self.running[self._sidecar(index)] = {}
        self.report(index)

    def submit(
        self, steps: tuple[StepSpec, ...], priority: int = 2, waited_ms: int = 0
    ) -> str:
        """Put a job into the log, accepted `waited_ms` ago; return its identifier."""
        self._job_count += 1
        job_id = f"{self._job_count:016x}"
        job = Job(
            job_id,
            f"queue-{priority}",
            "a",
            "work",
            steps,
            self.clock.wall_ms() - waited_ms,
            -1,
            JobPolicy("svc", priority, 3, 2.0),
        )
        self._log(JobRecord(job))
        return job_id

    def cancel(self, job_id: str) -> None:
        """Put the cancellation of a job into the log."""
        self._log(CancelRecord(job_id))

    def _log(self, record: JobRecord | CancelRecord) -> None:
        """Let the holder read a record of the jobs stream."""
        offset = self._offset
        self._offset += 1
        rows = [(offset, record)]
        read = RecordsRead(Stream.JOBS, rows, self.clock.now_ms(), offset + 1)
        self.world.inbox.put(read)

    def report(
        self,
        index: int,
        ended: tuple[tuple[TaskName, int], ...] = (),
        run_end: RunEnd = RunEnd.DONE,
        lists_are_whole: bool = True,
    ) -> None:
        """Send the report of a sidecar, with the ends of the runs in `ended`."""
        sidecar = self._sidecar(index)
        rows = []
        for key in ended:
            del self.running[sidecar][key]
            rows.append(self._end_run(sidecar, key, run_end))
        for key in self.stopped.pop(sidecar, ()):
            rows.append(self._end_run(sidecar, key, RunEnd.STOPPED))
        self._numbers[index] += 1
        exchange_id = f"{sidecar}/{self._numbers[index]}"
        self.waiting[sidecar] = exchange_id
        self.world.inbox.put(
            SyncCall(
                exchange_id,
                sidecar,
                "inc",
                self._numbers[index],
                REPORT_WAIT_MS,
                replace(self._minion_report(index), lists_are_whole=lists_are_whole),
                tuple(self.running[sidecar].values()),
                tuple(rows),
                (),
            )
        )

    def _end_run(
        self, sidecar: str, key: tuple[TaskName, int], run_end: RunEnd
    ) -> EndedRun:
        number = self._end_numbers[sidecar] = self._end_numbers.get(sidecar, 0) + 1
        return EndedRun(number, *key, run_end, "")

    @staticmethod
    def _minion_report(index: int) -> MinionReport:
        zone = f"zone-{index % ZONES}"
        rack = f"r{index % ZONES}-{index // ZONES // MINIONS_PER_RACK}"
        return MinionReport(
            MinionIncarnation(f"minion-{index}", 1),
            "svc",
            zone,
            ("a", rack),
            replace(MINION_CAPACITY),
            draining=False,
            remaining_ms=0,
            listed=True,
            in_contact=True,
        )

    def tick(self) -> None:
        """Run a tick, and answer what the holder sends."""
        now_ms = self.clock.now_ms()
        for view in self.world.agreed.views.values():
            view.fresh_ms = now_ms
        run_tick(self.world, self.systems, now_ms)
        assert has_authority(self.world, now_ms)
        for message in self.world.outbox.take_all():
            self._answer(message)
        self.world.log_lines.clear()

    def _answer(self, message: object) -> None:
        if isinstance(message, Append):
            self.world.inbox.put(AppendEnded(message.id, AppendOutcome.DONE))
        elif isinstance(message, SyncReply):
            self._carry_out(message)

    def _carry_out(self, reply: SyncReply) -> None:
        sidecar = reply.exchange_id.partition("/")[0]
        if self.waiting.get(sidecar) != reply.exchange_id:
            return
        del self.waiting[sidecar]
        for start in reply.starts:
            key = (start.task, start.run)
            self.running[sidecar][key] = RunningRun(*key, "", 0)
        for stop in reply.stops:
            key = (stop.task, stop.run)
            if self.running[sidecar].pop(key, None) is not None:
                self.stopped.setdefault(sidecar, []).append(key)

    def placed(self, job_id: str) -> int:
        """Return how many tasks of a job have a run at present."""
        plan = self.world.schedule.plans[job_id]
        return plan.phase_counts[TaskPhase.PLACED]

    def settle(self, rounds: int = 4) -> None:
        """Let every sidecar report until all placed runs are confirmed."""
        for _ in range(rounds):
            for index in self._numbers:
                self.report(index)
            self.tick()
            self.tick()
            self.clock.advance(10)
