"""Checks that no accepted job is left while room is free, as its callers measure it.

A job is left if for `LEFT_MS` nothing of it runs although it has not ended, the turn
of one of its steps has come, the minions have room for that step twice over, and less
than half of the capacity is in use. Members of a gang that is not complete do not run.
It is judged by what callers are answered and what minions run. Preferences of racks are
no reason to wait.

Each fault and each change of the fleet takes a while to be noticed, so a job is judged
only after such a while without any. While some machines are disturbed again and again,
it is judged by the room of the others, and has that while in addition to `LEFT_MS`.
"""

from dataclasses import dataclass, fields
from itertools import count

from kingcuppost.batch.systems.run_end_rule import certain_expiry_ms
from kingcuppost.batch.tables.job import ENDED_STATES, JobState, StepSpec, TaskName
from kingcuppost.batch.tables.messages import CallOutcome
from kingcuppost.tables.identity import Role
from standins.batch.deployment import Deployment
from standins.batch.minions import Minion
from standins.batch.process import Process
from standins.batch.room import busy_ratio, holds_step

__all__ = ["RoomCheck", "WatchedJob"]

LEFT_MS = 3_000
ROOM_TIMES = 2
MAX_BUSY_RATIO = 0.5
PERIOD_MS = 100
ASK_PERIOD_MS = 1_000
# added to the time after which a lease has certainly expired: until the contact is
# lost, another holder is found, and a placed run is started
CALM_MARGIN_MS = 4_000


@dataclass(slots=True)
class WatchedJob:
    """A submitted job, and what its caller knows of it.

    Attributes
    ----------
    exchange_id, state_exchange_id : str
        Exchanges of its submission, and of the newest request for its state.
    asked_ms : int
        Time of that request, in ms.
    state : JobState or None
        The state that was answered last.
    could_run_since_ms : int or None
        Time since which nothing of it runs though it could, with log and entries
        undisturbed; None if something does, or it could not.
    is_reported : bool
        Whether its violation is reported.
    """

    id: str
    priority: int
    exchange_id: str
    state_exchange_id: str = ""
    asked_ms: int = 0
    state: JobState | None = None
    could_run_since_ms: int | None = None
    is_reported: bool = False


class RoomCheck:
    """Watches the jobs of a deployment, and adds ``LOST`` to its violations.

    Attributes
    ----------
    jobs : dict of str to WatchedJob
        The watched jobs.
    calm_since_ms : int
        Time since which nothing is disturbed and the fleet is the same.
    core_calm_since_ms : int
        Time since which that holds for the log, the entries and the zones.
    """

    def __init__(self, deployment: Deployment) -> None:
        self._deployment = deployment
        self.jobs: dict[str, WatchedJob] = {}
        self._cancelled: set[str] = set()
        self._ask_numbers = count()
        self._core_condition: tuple = ()
        self._machine_conditions: dict[str, tuple] = {}
        self._machine_changed_ms: dict[str, int] = {}
        self.calm_since_ms = deployment.clock.now_ms()
        self.core_calm_since_ms = deployment.clock.now_ms()
        self._calm_ms = certain_expiry_ms(deployment.bounds.lease_ms) + CALM_MARGIN_MS
        self._observe()

    def watch(self, job_id: str, priority: int, exchange_id: str) -> None:
        """Watch a job that was just submitted."""
        self.jobs[job_id] = WatchedJob(job_id, priority, exchange_id)

    def forget(self, job_id: str) -> None:
        """Watch a job no longer, since it is about to be cancelled."""
        self._cancelled.add(job_id)

    def note_disturbance(self) -> None:
        """Note a disturbance that does not show in the processes and minions."""
        self.calm_since_ms = self._deployment.clock.now_ms()
        self.core_calm_since_ms = self.calm_since_ms

    def open_jobs(self) -> list[WatchedJob]:
        """Return the accepted jobs that no caller knows as ended or has cancelled."""
        return [
            job
            for job in self.jobs.values()
            if self._is_accepted(job)
            and job.state not in ENDED_STATES
            and job.id not in self._cancelled
        ]

    def _is_accepted(self, job: WatchedJob) -> bool:
        reply = self._deployment.replies.get(job.exchange_id)
        return reply is not None and reply.outcome is CallOutcome.OK

    def _observe(self) -> None:
        self._note_disturbances()
        open_jobs = self.open_jobs()
        for job in open_jobs:
            self._ask(job)
        working = self._working_jobs()
        minions = self._usable_minions()
        in_touch = [item.minion for item in self._machines() if _is_in_touch(item)]
        is_free = busy_ratio(in_touch) < MAX_BUSY_RATIO
        for job in open_jobs:
            could_run = (
                is_free and job.id not in working and self._has_room(job, minions)
            )
            self._judge(job, could_run)
        self._deployment.after(PERIOD_MS, self._observe)

    # disturbances

    def _note_disturbances(self) -> None:
        now_ms = self._deployment.clock.now_ms()
        condition = self._find_core_condition()
        if condition != self._core_condition or self._is_core_disturbed():
            self.note_disturbance()
        self._core_condition = condition
        for item in self._machines():
            condition = _find_machine_condition(item)
            if self._machine_conditions.get(item.name) != condition:
                self._machine_conditions[item.name] = condition
                self._machine_changed_ms[item.name] = now_ms
                self.calm_since_ms = now_ms

    def _machines(self) -> list[Process]:
        processes = self._deployment.processes.values()
        return [item for item in processes if item.minion is not None]

    def _entries(self) -> list[Process]:
        processes = self._deployment.processes.values()
        return [item for item in processes if item.role is Role.ENTRY]

    def entries_in_touch(self) -> list[Process]:
        """Return the entries that nothing disturbs."""
        return [
            item
            for item in self._entries()
            if item.is_up
            and not (item.is_frozen or item.is_cut_off or item.is_rejected_by_log)
        ]

    def _find_core_condition(self) -> tuple:
        """Return the condition of the entries and the zones; a change is a fault."""
        entries = tuple(
            (
                item.incarnation,
                item.is_up,
                item.is_frozen,
                item.is_cut_off,
                item.is_rejected_by_log,
            )
            for item in self._entries()
        )
        return entries, frozenset(self._deployment.closed_zones)

    def _is_core_disturbed(self) -> bool:
        """Return whether the log or the orders are disturbed, or no entry is sound."""
        deployment = self._deployment
        return (
            not self.entries_in_touch()
            or deployment.log_is_down
            or deployment.log_delay_ms > 0
            or deployment.lost_answer_ratio > 0
            or deployment.late_order_ratio > 0
        )

    # what callers and minions see

    def _ask(self, job: WatchedJob) -> None:
        """Take the answer on a job's state, and ask an entry in touch for it again."""
        now_ms = self._deployment.clock.now_ms()
        reply = self._deployment.replies.pop(job.state_exchange_id, None)
        if reply is not None and reply.outcome is CallOutcome.OK:
            job.state = reply.state
        entries = self.entries_in_touch()
        if entries and now_ms - job.asked_ms >= ASK_PERIOD_MS:
            job.asked_ms = now_ms
            entry = entries[next(self._ask_numbers) % len(entries)].name
            job.state_exchange_id = self._deployment.ask_state(
                job.id, job.priority, entry
            )

    def _minions_up(self) -> list[Minion]:
        return [item for item in self._deployment.minions.values() if item.is_up]

    def _usable_minions(self) -> list[Minion]:
        """Return the minions that may be given work, and were so for long enough."""
        settled_ms = self._deployment.clock.now_ms() - self._calm_ms
        return [
            item.minion
            for item in self._machines()
            if self._is_usable(item)
            and self._machine_changed_ms[item.name] <= settled_ms
        ]

    def _is_usable(self, machine: Process) -> bool:
        minion = machine.minion
        return (
            _is_in_touch(machine)
            and minion.sends_heartbeats
            and not minion.draining
            and minion.zone not in self._deployment.closed_zones
        )

    def _working_jobs(self) -> set[str]:
        """Return the jobs with a task that works; a gang does so as a whole."""
        return {
            run.task.job
            for item in self._minions_up()
            for run in item.runs.values()
            if run.is_working or not run.step.gang
        }

    # judgement

    def _has_room(self, job: WatchedJob, minions: list[Minion]) -> bool:
        """Return whether one of a job's steps could run twice over."""
        return any(
            holds_step(step, minions, ROOM_TIMES) for step in self._due_steps(job)
        )

    def _due_steps(self, job: WatchedJob) -> list[StepSpec]:
        """Return the steps whose turn has come; of a job without any left, all.

        A job all of whose tasks have ended should be shown as ended.
        """
        steps = self._deployment.steps[job.id]
        open_steps = [
            step for index, step in enumerate(steps) if not self._is_done(job, index)
        ]
        return [step for step in open_steps or steps if self._is_due(job, step)]

    def _is_due(self, job: WatchedJob, step: StepSpec) -> bool:
        return all(self._is_done(job, needed) for needed in step.needs)

    def _is_done(self, job: WatchedJob, step: int) -> bool:
        tasks = self._deployment.steps[job.id][step].count
        completed = self._deployment.checks.completed_tasks
        return all(
            TaskName(job.id, 0, step, index) in completed for index in range(tasks)
        )

    def _judge(self, job: WatchedJob, could_run: bool) -> None:
        now_ms = self._deployment.clock.now_ms()
        if not could_run or now_ms - self.core_calm_since_ms < self._calm_ms:
            job.could_run_since_ms = None
            return
        if job.could_run_since_ms is None:
            job.could_run_since_ms = now_ms
        started_ms = self._deployment.checks.last_start_ms.get(job.id, 0)
        since_ms = max(job.could_run_since_ms, started_ms)
        calm_ms = now_ms - max(since_ms, self.calm_since_ms + self._calm_ms)
        is_left = calm_ms >= LEFT_MS or now_ms - since_ms >= self._calm_ms + LEFT_MS
        if is_left and not job.is_reported:
            job.is_reported = True
            self._deployment.checks.violations.append(
                f"LOST {job.id} could run since {since_ms} and does not: "
                + "; ".join(_describe(step) for step in self._due_steps(job))
            )


def _is_in_touch(machine: Process) -> bool:
    """Return whether a sidecar reaches its minion, and others the sidecar."""
    return (
        machine.is_up
        and not (machine.is_frozen or machine.is_cut_off)
        and machine.minion.is_up
        and machine.minion.receives_calls
    )


def _find_machine_condition(machine: Process) -> tuple:
    """Return the condition of a machine; a change is a fault or an end of one."""
    minion = machine.minion
    return (
        machine.incarnation,
        machine.is_up,
        machine.is_frozen,
        machine.is_cut_off,
        minion.incarnation,
        minion.is_up,
        minion.draining,
        minion.receives_calls,
        minion.loses_heartbeats,
        minion.fails_all_runs,
        minion.hangs,
    )


def _describe(step: StepSpec) -> str:
    """Return the fields of a step that differ from their defaults."""
    values = ((item.name, getattr(step, item.name), item) for item in fields(step))
    return " ".join(
        f"{name}={value}" for name, value, item in values if value != item.default
    )
