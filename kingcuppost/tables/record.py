"""Records of the platform's log, as data classes.

Each body names its kind. A body with a `term` counts only in that scheduling
term; a body with a `base_offset` counts only if the row that it changes was last
set at that offset (0 for a row that must not exist yet). A wish with `ANY_OFFSET`
is based on the row as the entry that takes it knows it.
"""

from dataclasses import dataclass
from typing import Literal

from kingcuppost.tables.job import Decision, Placement, SettingValue, Urgency
from kingcuppost.tables.snapshot import AgreedSlice
from kingcuppost.tables.team import Shape

__all__ = [
    "ANY_OFFSET",
    "RecordBody",
    "EntryAnnounce",
    "GangEnd",
    "GangFinish",
    "GangPlace",
    "GangRelease",
    "GangStop",
    "JobCancel",
    "JobPark",
    "JobRefuse",
    "JobSubmit",
    "KeyClaimPut",
    "KeyOutcome",
    "LeaseClaim",
    "MemberLeave",
    "MinionAnnounce",
    "Record",
    "SettingPut",
    "SnapshotPart",
    "TeamPut",
    "ZonePut",
]

ANY_OFFSET = -1


@dataclass(frozen=True, slots=True)
class TeamPut:
    """Create or change a team."""

    name: str
    guarantees: tuple[Shape, ...]
    accelerator_limit: int
    base_offset: int
    kind: Literal["team_put"] = "team_put"


@dataclass(frozen=True, slots=True)
class ZonePut:
    """Create an availability zone, or take it out of or into service."""

    name: str
    region: str
    in_service: bool
    base_offset: int
    kind: Literal["zone_put"] = "zone_put"


@dataclass(frozen=True, slots=True)
class SettingPut:
    """Set a key on a branch; None makes the branch inherit again."""

    path: str
    key: str
    value: SettingValue
    base_offset: int
    kind: Literal["setting_put"] = "setting_put"


@dataclass(frozen=True, slots=True)
class EntryAnnounce:
    """An entry instance says where it listens."""

    name: str
    availability_zone: str
    incarnation: str
    host: str
    caller_port: int
    operator_port: int
    peer_port: int
    kind: Literal["entry_announce"] = "entry_announce"


@dataclass(frozen=True, slots=True)
class MinionAnnounce:
    """A sidecar says where it listens and what its worker has."""

    name: str
    service: str
    worker: str
    availability_zone: str
    rack: str
    incarnation: str
    host: str
    peer_port: int
    slots: int
    connections: int
    cores: int
    memory_mb: int
    accelerators: int
    operator_port: int = 0
    kind: Literal["minion_announce"] = "minion_announce"


@dataclass(frozen=True, slots=True)
class MemberLeave:
    """An entry or sidecar process says that it is leaving."""

    name: str
    incarnation: str
    kind: Literal["member_leave"] = "member_leave"


@dataclass(frozen=True, slots=True)
class LeaseClaim:
    """Open a new scheduling term after `base_term`."""

    holder: str
    incarnation: str
    base_term: int
    kind: Literal["lease_claim"] = "lease_claim"


@dataclass(frozen=True, slots=True)
class JobSubmit:
    """Accept a job."""

    job: str
    team: str
    members: int
    accelerators: int
    cores: int
    memory_mb: int
    urgency: Urgency
    declared_ms: int
    payload: str
    kind: Literal["job_submit"] = "job_submit"


@dataclass(frozen=True, slots=True)
class JobCancel:
    """Cancel a job unless it has ended."""

    job: str
    reason: str
    kind: Literal["job_cancel"] = "job_cancel"


@dataclass(frozen=True, slots=True)
class JobRefuse:
    """End a job that can never run, or that failed wherever it ran."""

    term: int
    job: str
    failed: bool
    reason: str
    kind: Literal["job_refuse"] = "job_refuse"


@dataclass(frozen=True, slots=True)
class JobPark:
    """Say why a waiting job can't run now, or that it can again."""

    term: int
    job: str
    parked: bool
    reason: str
    kind: Literal["job_park"] = "job_park"


@dataclass(frozen=True, slots=True)
class GangPlace:
    """Place a gang; its members are to be reserved."""

    term: int
    job: str
    incarnation: int
    placements: tuple[Placement, ...]
    borrowed: bool
    decision: Decision
    kind: Literal["gang_place"] = "gang_place"


@dataclass(frozen=True, slots=True)
class GangRelease:
    """All members are reserved; they may start."""

    term: int
    job: str
    incarnation: int
    kind: Literal["gang_release"] = "gang_release"


@dataclass(frozen=True, slots=True)
class GangStop:
    """Stop all members; the job waits again unless it was cancelled.

    A grace of -1 ms leaves the time for a checkpoint to the settings.
    """

    term: int
    job: str
    incarnation: int
    reason: str
    failed_worker: str = ""
    grace_ms: int = -1
    kind: Literal["gang_stop"] = "gang_stop"


@dataclass(frozen=True, slots=True)
class GangEnd:
    """No member of the gang can run any more; its accelerators are free."""

    term: int
    job: str
    incarnation: int
    kind: Literal["gang_end"] = "gang_end"


@dataclass(frozen=True, slots=True)
class GangFinish:
    """All members have finished; the first such record is the job's result."""

    job: str
    incarnation: int
    result: str
    kind: Literal["gang_finish"] = "gang_finish"


@dataclass(frozen=True, slots=True)
class KeyClaimPut:
    """Claim the key of a non-idempotent request; the first claim wins.

    `issued_ms` is when the caller says that it made the key, Unix ms; 0 if it
    does not say.
    """

    key: str
    attempt_id: str
    minion: str
    minion_incarnation: str
    issued_ms: int = 0
    decision: Decision | None = None
    kind: Literal["key_claim_put"] = "key_claim_put"


@dataclass(frozen=True, slots=True)
class KeyOutcome:
    """What became of a claimed request."""

    key: str
    attempt_id: str
    outcome: Literal["answered", "not_run"]
    kind: Literal["key_outcome"] = "key_outcome"


@dataclass(frozen=True, slots=True)
class SnapshotPart:
    """One part of a snapshot of the fold.

    Attributes
    ----------
    snapshot_id : str
        Identifier that all parts share.
    covers : int
        Log offset up to which records are contained.
    index, count : int
        Number of the part from 0; how many parts there are.
    rows : AgreedSlice
        Rows of the agreed tables at that offset.
    """

    snapshot_id: str
    covers: int
    index: int
    count: int
    rows: AgreedSlice
    kind: Literal["snapshot_part"] = "snapshot_part"


RecordBody = (
    TeamPut
    | ZonePut
    | SettingPut
    | EntryAnnounce
    | MinionAnnounce
    | MemberLeave
    | LeaseClaim
    | JobSubmit
    | JobCancel
    | JobRefuse
    | JobPark
    | GangPlace
    | GangRelease
    | GangStop
    | GangEnd
    | GangFinish
    | KeyClaimPut
    | KeyOutcome
    | SnapshotPart
)


@dataclass(frozen=True, slots=True)
class Record:
    """A record as it stands in the log.

    Attributes
    ----------
    record_id : str
        Identifier; a repeat under the same identifier is ignored.
    author : str
        Process or operator that proposed it.
    wall_ms : int
        The author's time of proposing, Unix ms.
    body : Body
        What it says.
    seen_offset : int
        Log offset that the author had folded when it made the record; every copy
        of the record lies behind it.
    """

    record_id: str
    author: str
    wall_ms: int
    body: RecordBody
    seen_offset: int = 0
