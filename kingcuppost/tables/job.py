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
    """Whether somebody waits for the work."""

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
    """Stage of one try to run a job."""

    RESERVING = "reserving"
    RELEASED = "released"
    STOPPING = "stopping"


@dataclass(frozen=True, slots=True)
class Placement:
    """Where one member of a gang runs.

    Attributes
    ----------
    worker : str
        Name of the worker.
    accelerators : tuple of int
        Numbers of the worker's accelerators.
    cell : int
        Size of the guaranteed cell that they are part of, a block aligned on its
        own size; 0 for a borrower.
    """

    worker: str
    accelerators: tuple[int, ...]
    cell: int = 0


@dataclass(frozen=True, slots=True)
class EffectiveValue:
    """A setting's value with the branch and record that gave it.

    Attributes
    ----------
    key : str
        Name of the setting.
    value : str, int, float, bool or None
        The value used.
    path : str
        Branch that set it; ``"default"`` if none did.
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
    """A place or choice that was considered and not taken.

    Attributes
    ----------
    place : str
        What was considered.
    reason : str
        Why it was refused.
    """

    place: str
    reason: str


@dataclass(frozen=True, slots=True)
class Decision:
    """Why a gang was placed where it was.

    Attributes
    ----------
    policy : str
        Name of the placement policy.
    settings_offset : int
        Log offset up to which settings had been applied.
    values : tuple of EffectiveValue
        Settings that the decision used.
    refused : tuple of RefusedAlternative
        Alternatives that were not taken; the first few.
    """

    policy: str
    settings_offset: int
    values: tuple[EffectiveValue, ...] = ()
    refused: tuple[RefusedAlternative, ...] = ()


@dataclass(slots=True)
class Job:
    """A job accepted from an operator or caller.

    Attributes
    ----------
    name, team : str
        Identifiers.
    members, accelerators : int
        Gang size; adjacent accelerators of one worker for each member.
    cores, memory_mb : int
        Needs of each member.
    urgency : Urgency
        Whether somebody waits.
    declared_ms : int
        Run time that the submitter declared, in ms; 0 if unknown.
    payload : str
        What the members run; opaque to the scheduler.
    state : JobState
        Stage of the job.
    incarnation : int
        Number of the latest gang, from 1; 0 before the first.
    submitted_offset, submitted_wall_ms : int
        Log offset and time of the submission.
    reason, result : str
        Why the state is what it is; what the finished job returned.
    failed_workers : tuple of str
        Distinct workers on which the job has failed.
    finished_wall_ms : int
        Time of the record that ended the job; 0 before.
    failures : int
        How often a member failed, on whatever worker.
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
    """One try to run a job; it holds accelerators until its row goes.

    Attributes
    ----------
    key : str
        ``gang_key(job, incarnation)``.
    job, team : str
        Identifiers.
    incarnation : int
        Number of the try, from 1.
    term : int
        Scheduling term that placed it.
    placements : tuple of Placement
        One for each member, in order of member number.
    borrowed : bool
        True if it runs beyond its team's guarantees.
    state : GangState
        Stage of the gang.
    decision : Decision
        Why it stands where it does.
    placed_offset, placed_wall_ms : int
        Log offset and time of the placement.
    released_wall_ms : int
        Time of the release record; 0 before.
    reason : str
        Why it is stopping.
    grace_ms : int
        Time for a checkpoint before the stop, in ms; -1 for the setting's.
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
