"""Tasks in the scheduler's plans."""

from dataclasses import dataclass, field

from kingcuppost.batch.tables.end_cause import EndCause
from kingcuppost.batch.tables.job import MinionIncarnation, TaskName, TaskPhase

__all__ = ["Task"]


@dataclass(slots=True)
class Task:
    """A task in the scheduler's plan.

    Times are readings of the monotonic clock, unless described as Unix times.

    Attributes
    ----------
    name : TaskName
        Name of the task.
    phase : TaskPhase
        Whether the task waits, has a run, or is done.
    run : int
        Number of its newest run; 0 before the first.
    failures : int
        Number of failed runs.
    incarnation : MinionIncarnation or None
        Minion incarnation where its run is placed.
    sidecar : str
        Sidecar of the minion where its run is placed.
    placed_ms : int
        Unix time at which its run was placed, in ms.
    checkpoint : str
        Newest checkpoint; empty for none. Of a gang's member, the one that its run
        starts from, which is the same for all members; `Plan.gang_checkpoints` has the
        newest.
    listed_checkpoint : str
        Checkpoint that the run of a gang's member was last reported with.
    checkpoint_ms : int
        Unix time at which the newest checkpoint was first reported, in ms.
    plan_version : int
        Version of the plan that placed the run.
    start_sent_ms : int or None
        Time at which the start was last sent to the sidecar.
    reported_ms : int or None
        Time of the newest report of the run; before the first, time at which its start
        was first sent; None before that.
    confirmed : bool
        Whether the minion has reported the run.
    running_since_ms : int or None
        Time at which the first reported percentage was read.
    stopping : bool
        Whether the run is to be stopped.
    stop_requested_ms : int
        Time at which the stop was first requested, while the run is to be stopped.
    stop_cause : EndCause or None
        Why the stop of its newest run was first requested; None if it was not.
    stop_sent_ms : int or None
        Time at which the stop was last sent to the sidecar.
    was_lost : bool
        Whether the run was lost with an earlier incarnation of its minion, where it is
        stopped so that no copy of its start is carried out any more.
    percent : int
        Percentage of the run's work that is done, as reported by the minion.
    initial_percent : int
        Percentage that was done when the run was first reported.
    percent_changed_ms : int
        Time at which the reported percentage was read first.
    percent_read_ms : int
        Time at which it was read last.
    was_migrated : bool
        Whether a run of it was stopped because its minion was slow.
    last_failed_run : int
        Newest run of the gang that was counted as failed; set at its first member.
    avoided_minions : set of str
        Minions where a run of it failed, did not begin, made no progress or was slow.
    avoid_until_ms : int
        Time until which it waits for other minions rather than run on one of those.
    reserved_incarnation : MinionIncarnation or None
        Minion incarnation where runs are stopped to make room for it.
    reserved_until_ms : int
        Time until which that room is kept for it.
    """

    name: TaskName
    phase: TaskPhase = TaskPhase.WAITING
    run: int = 0
    failures: int = 0
    incarnation: MinionIncarnation | None = None
    sidecar: str = ""
    placed_ms: int = 0
    checkpoint: str = ""
    listed_checkpoint: str = ""
    checkpoint_ms: int = 0
    plan_version: int = 0
    start_sent_ms: int | None = None
    reported_ms: int | None = None
    confirmed: bool = False
    running_since_ms: int | None = None
    stopping: bool = False
    stop_requested_ms: int = 0
    stop_cause: EndCause | None = None
    stop_sent_ms: int | None = None
    was_lost: bool = False
    percent: int = 0
    initial_percent: int = 0
    percent_changed_ms: int = 0
    percent_read_ms: int = 0
    last_failed_run: int = 0
    was_migrated: bool = False
    avoided_minions: set[str] = field(default_factory=set)
    avoid_until_ms: int = 0
    reserved_incarnation: MinionIncarnation | None = None
    reserved_until_ms: int = 0

    @property
    def percent_unchanged_ms(self) -> int:
        """Return how long the percentage had not changed when it was read last."""
        return self.percent_read_ms - self.percent_changed_ms
