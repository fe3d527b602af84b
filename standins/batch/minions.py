"""Simulated minions that run single tasks and gang members under a lease."""

from collections.abc import Callable
from dataclasses import dataclass, field, replace

from kingcuppost.batch.tables.job import MinionIncarnation, RunEnd, StepSpec, TaskName
from kingcuppost.batch.tables.messages import EndedRun, RunningRun
from kingcuppost.batch.tables.resources import Resources
from standins.batch.checks import Checks

__all__ = ["Minion", "Run"]

CHECKPOINT_WORK_MS = 1_000  # work between two checkpoints, in ms at speed 1
MAX_LISTED_ENDS = 500  # as many as the platform returns at a time
STOP_MS = 200


@dataclass
class Run:
    """A run of a task on a minion.

    Attributes
    ----------
    run : int
        Number of the run among those of the task.
    work_ms : float
        Work of the task, in ms at speed 1.
    done_ms : float
        Work done, in ms at speed 1.
    checkpoint_ms : float
        Work covered by the newest checkpoint, in ms at speed 1.
    stop_at_ms : int or None
        Time at which an ordered stop takes effect; None without such an order.
    is_working : bool
        Whether the whole gang of this run has started; False outside gangs.
    """

    task: TaskName
    run: int
    step: StepSpec
    work_ms: float
    started_ms: int
    done_ms: float = 0.0
    checkpoint_ms: float = 0.0
    stop_at_ms: int | None = None
    is_working: bool = False

    @property
    def percent(self) -> int:
        """Return the finished share of the work, at most 99 percent."""
        return min(int(100 * self.done_ms / self.work_ms), 99)


@dataclass
class Minion:
    """A back end that runs tasks within its resources.

    Attributes
    ----------
    task_work : callable
        Returns the step of a task, and its work in ms at speed 1.
    lease_ms : int
        Longest duration of the lease.
    gang_ms : int
        Time for which a member of a gang waits for the others.
    speed : float
        Work done per ms, in ms at speed 1.
    kind : str
        Label that steps may require.
    born_ms : int
        Start of the current incarnation.
    fails_all_runs : bool
        Whether every run fails as soon as it starts.
    hangs : bool
        Whether its runs make no progress.
    is_frozen : bool
        Whether it does nothing and answers nothing; its lease runs on.
    loses_calls : bool
        Whether calls do not reach it while it works.
    loses_heartbeats : bool
        Whether its heartbeats are lost while it works.
    is_busy_for_starts, is_busy_for_stops : bool
        Whether it answers starts, or stops, as busy and does nothing.
    ignores_starts, ignores_stops : bool
        Whether starts, or stops, get no answer and are not carried out.
    leaves_starts_unanswered : bool
        Whether starts get no answer and are carried out.
    swallows_starts, swallows_stops : bool
        Whether it accepts starts, or stops, and does nothing.
    heartbeats_from_ms : int
        Time of its first heartbeat; it takes calls before that.
    clock_started_ms : int
        Time at which its clock was 0; it starts anew with each incarnation.
    until_ms : int
        Time on its clock at which the lease expires.
    token : int
        Highest fencing token received; starts and stops with a lower one are refused.
    last_ended_run : dict of TaskName to int
        Highest run number of each task that has ended or was ordered to stop.
    ended : list of EndedRun
        Run ends that the scheduler has not acknowledged yet.
    ends_before_lapse : set of int
        Numbers of the ends in `ended` when the lease expired. Their tasks may run
        again even after the ends are acknowledged.
    """

    id: str
    zone: str
    rack: str
    resources: Resources
    checks: Checks
    now_ms: Callable[[], int]
    task_work: Callable[[TaskName], tuple[StepSpec, float]]
    lease_ms: int
    gang_ms: int
    speed: float = 1.0
    kind: str = "a"
    born_ms: int = 0
    draining: bool = False
    fails_all_runs: bool = False
    hangs: bool = False
    is_up: bool = True
    is_frozen: bool = False
    loses_calls: bool = False
    loses_heartbeats: bool = False
    is_busy_for_starts: bool = False
    is_busy_for_stops: bool = False
    ignores_starts: bool = False
    ignores_stops: bool = False
    leaves_starts_unanswered: bool = False
    swallows_starts: bool = False
    swallows_stops: bool = False
    heartbeats_from_ms: int = 0
    clock_started_ms: int = 0
    until_ms: int = 0
    token: int = 0
    runs: dict[tuple[TaskName, int], Run] = field(default_factory=dict)
    last_ended_run: dict[TaskName, int] = field(default_factory=dict)
    ended: list[EndedRun] = field(default_factory=list)
    last_end_number: int = 0
    ends_before_lapse: set[int] = field(default_factory=set)

    @property
    def incarnation(self) -> MinionIncarnation:
        """Return the current incarnation."""
        return MinionIncarnation(self.id, self.born_ms)

    @property
    def receives_calls(self) -> bool:
        """Return whether calls reach it; those to a minion that is down are refused."""
        return not (self.is_frozen or self.loses_calls)

    @property
    def sends_heartbeats(self) -> bool:
        """Return whether it sends heartbeats at present."""
        is_silent = self.is_frozen or self.loses_heartbeats
        has_begun = self.now_ms() >= self.heartbeats_from_ms
        return self.is_up and not is_silent and has_begun

    def crash(self) -> None:
        """End without a word; all runs end with it."""
        self.is_up = False
        self._forget_all()

    def restart(self, heartbeats_after_ms: int = 0, minion_id: str = "") -> None:
        """Begin a new incarnation without runs and without memory of earlier ones.

        It keeps its identifier unless another one is given.
        """
        self.id = minion_id or self.id
        self.is_up = True
        self.is_frozen = False
        self.born_ms = self.now_ms() + 1
        self.clock_started_ms = self.now_ms()
        self.heartbeats_from_ms = self.now_ms() + heartbeats_after_ms
        self._forget_all()

    def _forget_all(self) -> None:
        self.lose_runs()
        self.last_ended_run.clear()
        self.ended.clear()
        self.last_end_number = 0
        self.ends_before_lapse.clear()
        self.until_ms = 0
        self.token = 0
        self.draining = False

    def lose_runs(self) -> None:
        """Forget all runs without an end."""
        for key in list(self.runs):
            self.checks.record_lost_run(key[0], key[1])
        self.runs.clear()

    def clock_ms(self) -> int:
        """Return the time on its clock."""
        return self.now_ms() - self.clock_started_ms

    def _free_resources(self) -> Resources:
        resources = replace(self.resources)
        for run in self.runs.values():
            resources.cpu_millis -= run.step.cpu_millis
            resources.memory_mb -= run.step.memory_mb
            resources.accelerators -= run.step.accelerators
        return resources

    def start(
        self, token: int, task: TaskName, run: int, checkpoint: str, until_ms: int
    ) -> str:
        """Start a run; return why it is refused, or an empty text.

        The reasons are ``"fence"`` for an outdated token, ``"old"`` for a run not newer
        than the last ended one, ``"late"`` for a deadline in the past and ``"room"``
        for a lack of resources.
        """
        if token < self.token:
            return "fence"
        self.token = token
        if (task, run) in self.runs:
            return ""
        if run <= self.last_ended_run.get(task, 0):
            return "old"
        if until_ms <= self.clock_ms():
            return "late"
        self._extend_lease(until_ms)
        step, work_ms = self.task_work(task)
        free = self._free_resources()
        if (
            free.cpu_millis < step.cpu_millis
            or free.memory_mb < step.memory_mb
            or free.accelerators < step.accelerators
        ):
            return "room"
        done_ms = float(checkpoint or 0)
        new_run = Run(task, run, step, work_ms, self.now_ms(), done_ms, done_ms)
        self.runs[task, run] = new_run
        self.checks.record_start(self.id, task, run, checkpoint)
        if self.fails_all_runs:
            self.end(new_run, RunEnd.FAILED)
        return ""

    def stop(self, token: int, task: TaskName, run: int) -> str:
        """Stop a run after `STOP_MS`; return why it is refused, or an empty text."""
        if token < self.token:
            return "fence"
        self.last_ended_run[task] = max(self.last_ended_run.get(task, 0), run)
        stopping_run = self.runs.get((task, run))
        if stopping_run is not None and stopping_run.stop_at_ms is None:
            stopping_run.stop_at_ms = self.now_ms() + STOP_MS
        return ""

    def _extend_lease(self, until_ms: int) -> None:
        longest_ms = self.clock_ms() + self.lease_ms
        self.until_ms = max(self.until_ms, min(until_ms, longest_ms))

    def renew_lease(
        self, token: int, acknowledged_end: int, until_ms: int | None
    ) -> tuple[tuple[RunningRun, ...], tuple[EndedRun, ...]]:
        """Extend the lease; return the running and the ended runs.

        Ends up to the number `acknowledged_end` are dropped from the list. Of the
        others, the first `MAX_LISTED_ENDS` are returned.
        """
        self.token = max(token, self.token)
        if until_ms is not None:
            self._extend_lease(until_ms)
        acknowledged = [end for end in self.ended if end.number <= acknowledged_end]
        self.checks.record_acknowledged(
            self.id,
            [end for end in acknowledged if end.number not in self.ends_before_lapse],
        )
        self.ended = [end for end in self.ended if end.number > acknowledged_end]
        running = tuple(
            RunningRun(
                run.task, run.run, _format_checkpoint(run.checkpoint_ms), run.percent
            )
            for run in self.runs.values()
        )
        return running, tuple(self.ended[:MAX_LISTED_ENDS])

    def end(self, run: Run, how: RunEnd) -> None:
        """End a run and add its end to the list."""
        del self.runs[run.task, run.run]
        self.last_ended_run[run.task] = max(
            self.last_ended_run.get(run.task, 0), run.run
        )
        self.last_end_number += 1
        if how is RunEnd.STOPPED and run.step.saves:
            run.checkpoint_ms = run.done_ms
        checkpoint = _format_checkpoint(run.checkpoint_ms) if run.step.saves else ""
        self.ended.append(
            EndedRun(self.last_end_number, run.task, run.run, how, checkpoint)
        )
        self.checks.record_end(self.id, run.task, run.run, how)

    def advance(self, by_ms: int) -> None:
        """Simulate `by_ms` of work, expiry of the lease and ordered stops.

        The deployment starts gangs and ends those that are done or broken.
        """
        now_ms = self.now_ms()
        if self.clock_ms() >= self.until_ms:
            self.ends_before_lapse.update(end.number for end in self.ended)
            for run in list(self.runs.values()):
                self.end(run, RunEnd.LAPSED)
        if self.is_frozen:
            return
        for run in list(self.runs.values()):
            if run.stop_at_ms is not None and now_ms >= run.stop_at_ms:
                self.end(run, RunEnd.STOPPED)
            elif run.step.gang and not run.is_working:
                if now_ms - run.started_ms > self.gang_ms:
                    self.end(run, RunEnd.ALONE)
            elif not self.hangs:
                self._work(run, by_ms)

    def _work(self, run: Run, by_ms: int) -> None:
        run.done_ms += by_ms * self.speed
        if run.step.saves and run.done_ms - run.checkpoint_ms >= CHECKPOINT_WORK_MS:
            run.checkpoint_ms = run.done_ms
        if run.done_ms >= run.work_ms and not run.step.gang:
            self.end(run, RunEnd.DONE)


def _format_checkpoint(checkpoint_ms: float) -> str:
    return str(int(checkpoint_ms)) if checkpoint_ms else ""
