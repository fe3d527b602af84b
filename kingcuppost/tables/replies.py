"""Bodies of HTTP responses, as data classes."""

from dataclasses import dataclass

from kingcuppost.tables.request import Outcome

__all__ = [
    "ChangeAccepted",
    "ChangeRefused",
    "GangReply",
    "HeartbeatReply",
    "HolderReply",
    "RequestReply",
    "ServedReply",
]


@dataclass(frozen=True, slots=True)
class ChangeAccepted:
    """A change that was written to the log and read back.

    Attributes
    ----------
    offset : int
        Log offset of the record.
    record_id : str
        Identifier of the record.
    name : str
        Name of the created or changed object.
    """

    offset: int
    record_id: str
    name: str


@dataclass(frozen=True, slots=True)
class ChangeRefused:
    """A change that was refused, or whose outcome is unknown.

    Attributes
    ----------
    outcome : Outcome
        ``not_run`` if the change has no effect, ``unknown`` if it may have one.
    step, peer, reason : str
        Step and peer at which the change failed, and why.
    """

    outcome: Outcome
    step: str
    peer: str
    reason: str


@dataclass(frozen=True, slots=True)
class RequestReply:
    """Response to a caller's request.

    Attributes
    ----------
    outcome : Outcome
        Answered, not run, or unknown.
    answer : str
        Complete answer of the minion; empty unless answered.
    attempts : int
        Number of attempts sent.
    minion : str
        Minion that answered, or that was tried last.
    step, peer, reason : str
        Step and peer at which the request ended, and why there is no answer.
    """

    outcome: Outcome
    answer: str = ""
    attempts: int = 0
    minion: str = ""
    step: str = ""
    peer: str = ""
    reason: str = ""


@dataclass(frozen=True, slots=True)
class ServedReply:
    """Response of a sidecar to the entry that sent an attempt.

    `running` is True while the attempt has no outcome yet.
    """

    attempt_id: str
    incarnation: str
    outcome: Outcome
    body: str
    free_slots: int
    leaving: bool
    service_ms: float
    reason: str = ""
    running: bool = False


@dataclass(frozen=True, slots=True)
class HeartbeatReply:
    """Response of an entry to a heartbeat, with the log offset that it has folded."""

    entry: str
    incarnation: str
    folded_offset: int


@dataclass(frozen=True, slots=True)
class GangReply:
    """Response of a leader: keys of the gangs that are whole and that are broken."""

    worker: str
    whole: tuple[str, ...]
    broken: tuple[str, ...]


@dataclass(frozen=True, slots=True)
class HolderReply:
    """Response to a ping of the holder of the scheduling lease.

    `follows_log` is whether the holder has recently read the log up to its head.
    """

    entry: str
    incarnation: str
    follows_log: bool = True
