"""Jobs, gangs and the decisions that placed them."""

from dataclasses import dataclass
from enum import StrEnum

__all__ = [
    "Decision",
    "EffectiveValue",
    "Gang",
    "GangState",
    "Job",
    "JobState",
    "Placement",
    "RefusedAlternative",
    "Urgency",
    "gang_key",
]

SettingValue = str | int | float | bool | None


class Urgency(StrEnum):
    """Whether a user waits for the result."""

    INTERACTIVE = "interactive"
    OVERNIGHT = "overnight"


class JobState(StrEnum):
    """Stage of a job; the last four are final."""

    WAITING = "waiting"
    PARKED = "parked"
    ACTIVE = "active"
    DONE = "done"
    FAILED = "failed"
    CANCELLED = "cancelled"
    REFUSED = "refused"


class GangState(StrEnum):
    """Stage of a gang."""

    RESERVING = "reserving"
    RELEASED = "released"
    STOPPING = "stopping"


@dataclass(frozen=True, slots=True)
class Placement:
    """Worker and accelerators of one gang member.

    Attributes
    ----------
    worker : str
        Name of the worker.
    accelerators : tuple of int
        Numbers of the worker's accelerators.
    cell : int
        Number of accelerators in the guaranteed cell that contains them, a block
        aligned on its own size; 0 for a member that borrows.
    """

    worker: str
    accelerators: tuple[int, ...]
    cell: int = 0


@dataclass(frozen=True, slots=True)
class EffectiveValue:
    """The value of a setting in effect, with the branch and record that set it.

    Attributes
    ----------
    key : str
        Name of the setting.
    value : str, int, float, bool or None
        The value in effect.
    path : str
        Branch of the settings tree that set it; ``"root"`` for the root, ``"default"``
        if no branch did.
    offset : int
        Log offset of the record; 0 for a default.
    operator : str
        Author of the record; empty for a default.
    """

    key: str
    value: SettingValue
    path: str
    offset: int
    operator: str


@dataclass(frozen=True, slots=True)
class RefusedAlternative:
    """A place or choice that was considered and rejected.

    Attributes
    ----------
    place : str
        Worker or minion that was considered, or a wider subject, such as the team.
    reason : str
        Why it was rejected.
    """

    place: str
    reason: str


@dataclass(frozen=True, slots=True)
class Decision:
    """The basis of a gang's placement, or of the choice of a minion for a request.

    Attributes
    ----------
    policy : str
        Name of the policy that made the choice.
    settings_offset : int
        Offset of the last log record of any kind that the deciding process had
        folded; the settings are those in force after it.
    values : tuple of EffectiveValue
        Settings that the decision used.
    refused : tuple of RefusedAlternative
        The first few alternatives that were rejected.
    """

    policy: str
    settings_offset: int
    values: tuple[EffectiveValue, ...] = ()
    refused: tuple[RefusedAlternative, ...] = ()


@dataclass(slots=True)
class Job:
    """A job submitted by an operator or caller.

    Attributes
    ----------
    name, team : str
        Identifiers.
    members, accelerators : int
        Number of gang members; number of adjacent accelerators that each needs.
    cores, memory_mb : int
        Cores and memory that each member needs.
    urgency : Urgency
        Whether a user waits for the result.
    declared_ms : int
        Run time declared by the submitter, in ms; 0 if unknown.
    payload : str
        What the members run; opaque to the scheduler.
    state : JobState
        Stage of the job.
    incarnation : int
        Number of the latest gang, from 1; 0 before the first.
    submitted_offset, submitted_wall_ms : int
        Log offset and time of the submission.
    reason, result : str
        Reason for the current state; result of the finished job.
    failed_workers : tuple of str
        Distinct workers on which the job has failed.
    finished_wall_ms : int
        Time of the record that ended the job; 0 before.
    failures : int
        Number of failures of members on any worker.
    """

    name: str
    team: str
    members: int
    accelerators: int
    cores: int
    memory_mb: int
    urgency: Urgency
    declared_ms: int
    payload: str
    state: JobState
    incarnation: int
    submitted_offset: int
    submitted_wall_ms: int
    reason: str = ""
    result: str = ""
    failed_workers: tuple[str, ...] = ()
    finished_wall_ms: int = 0
    failures: int = 0


@dataclass(slots=True)
class Gang:
    """The placed members of a job; each restart of the job creates a new gang.

    Its accelerators stay allocated until the row is deleted.

    Attributes
    ----------
    key : str
        ``gang_key(job, incarnation)``.
    job, team : str
        Identifiers.
    incarnation : int
        Number of the gang among those of its job, from 1.
    term : int
        Scheduling term that placed it.
    placements : tuple of Placement
        One for each member, by member number.
    borrowed : bool
        Whether it runs beyond its team's guarantees.
    state : GangState
        Stage of the gang.
    decision : Decision
        Basis of the placement.
    placed_offset, placed_wall_ms : int
        Log offset and time of the placement.
    released_wall_ms : int
        Time of the release record; 0 before.
    reason : str
        Why it is stopping; empty before.
    grace_ms : int
        Time for a checkpoint before the stop, in ms; -1 for the value of the setting.
    """

    key: str
    job: str
    team: str
    incarnation: int
    term: int
    placements: tuple[Placement, ...]
    borrowed: bool
    state: GangState
    decision: Decision
    placed_offset: int
    placed_wall_ms: int
    released_wall_ms: int = 0
    reason: str = ""
    grace_ms: int = -1


def gang_key(job: str, incarnation: int) -> str:
    """Return the key of a gang.

    Examples
    --------
    >>> gang_key("job-7", 2)
    'job-7/2'
    """
    return f"{job}/{incarnation}"
