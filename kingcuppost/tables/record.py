"""Records of the platform's log.

Each body names its kind. A body with a `term` takes effect only in that scheduling
term. A body with a `base_offset` takes effect only if the row that it changes was
last set at that offset (0 for a row that must not exist yet). In a proposal request,
the entry replaces `ANY_OFFSET` by the offset of the row in its own view.
"""

from dataclasses import dataclass
from typing import Literal

from kingcuppost.tables.job import Decision, Placement, SettingValue, Urgency
from kingcuppost.tables.snapshot import AgreedSlice
from kingcuppost.tables.team import Shape

__all__ = [
    "ANY_OFFSET",
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
    "RecordBody",
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
    """Create an availability zone, or take it into or out of service."""

    name: str
    region: str
    in_service: bool
    base_offset: int
    kind: Literal["zone_put"] = "zone_put"


@dataclass(frozen=True, slots=True)
class SettingPut:
    """Set a key on a branch; None unsets it, so that the branch inherits the value."""

    path: str
    key: str
    value: SettingValue
    base_offset: int
    kind: Literal["setting_put"] = "setting_put"


@dataclass(frozen=True, slots=True)
class EntryAnnounce:
    """Announce an entry process and its addresses."""

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
    """Announce a sidecar process, its address and its worker's resources."""

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
    """Announce that an entry or sidecar process is leaving."""

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
    """Create a job in the waiting state."""

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
    """Park a waiting job that cannot run now, or return it to the waiting state."""

    term: int
    job: str
    parked: bool
    reason: str
    kind: Literal["job_park"] = "job_park"


@dataclass(frozen=True, slots=True)
class GangPlace:
    """Place a gang, so that its members are reserved at their workers."""

    term: int
    job: str
    incarnation: int
    placements: tuple[Placement, ...]
    borrowed: bool
    decision: Decision
    kind: Literal["gang_place"] = "gang_place"


@dataclass(frozen=True, slots=True)
class GangRelease:
    """Release a gang whose members are all reserved, so that they start."""

    term: int
    job: str
    incarnation: int
    kind: Literal["gang_release"] = "gang_release"


@dataclass(frozen=True, slots=True)
class GangStop:
    """Stop all members of a gang; the job waits again unless it was cancelled.

    If `grace_ms` is -1, the settings determine the time for a checkpoint.
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
    """End a gang of which no member can still run, and free its accelerators."""

    term: int
    job: str
    incarnation: int
    kind: Literal["gang_end"] = "gang_end"


@dataclass(frozen=True, slots=True)
class GangFinish:
    """Finish a gang whose members have all finished; the first such record wins."""

    job: str
    incarnation: int
    result: str
    kind: Literal["gang_finish"] = "gang_finish"


@dataclass(frozen=True, slots=True)
class KeyClaimPut:
    """Claim the key of a non-idempotent request; the first claim wins.

    `issued_ms` is the time in Unix ms at which the caller created the key, or 0 if
    the caller does not report it.
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
    """Set the outcome of a request whose key was claimed."""

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
        Log offset up to which the snapshot covers the log.
    index, count : int
        Index of the part, from 0; number of parts.
    rows : AgreedSlice
        Rows of the agreed tables as of that offset.
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
    """A record of the log.

    Attributes
    ----------
    record_id : str
        Identifier; further records with the same identifier have no effect.
    author : str
        Process or operator that proposed the record.
    wall_ms : int
        Time of the proposal by the author's clock, Unix ms.
    body : RecordBody
        Content of the record.
    seen_offset : int
        Log offset that the author had folded when it created the record; every copy
        of the record has a higher offset.
    """

    record_id: str
    author: str
    wall_ms: int
    body: RecordBody
    seen_offset: int = 0
