"""Bodies of answers to HTTP exchanges, as data classes."""

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
    """A change that is in the log and was read back.

    Attributes
    ----------
    offset : int
        Log offset of the record.
    record_id : str
        Identifier of the record.
    name : str
        Name of what was created or changed.
    """

    offset: int
    record_id: str
    name: str


@dataclass(frozen=True, slots=True)
class ChangeRefused:
    """A change that was not made, or whose outcome is not known.

    Attributes
    ----------
    outcome : Outcome
        ``not_run`` if the change has no effect, ``unknown`` if it may have.
    step, peer, reason : str
        Where and why.
    """

    outcome: Outcome
    step: str
    peer: str
    reason: str


@dataclass(frozen=True, slots=True)
class RequestReply:
    """What a caller is told.

    Attributes
    ----------
    outcome : Outcome
        Answered, not run, or unknown.
    answer : str
        The minion's whole answer; empty unless answered.
    attempts : int
        Attempts that were sent.
    minion : str
        Minion that answered, or was tried last.
    step, peer, reason : str
        Where and why there is no answer.
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
    """What a sidecar tells the entry that sent an attempt.

    `running` says that the attempt has no outcome yet.
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
    """What an entry answers to a heartbeat."""

    entry: str
    incarnation: str
    folded_offset: int


@dataclass(frozen=True, slots=True)
class GangReply:
    """Gangs that are whole and gangs that are not, by key."""

    worker: str
    whole: tuple[str, ...]
    broken: tuple[str, ...]


@dataclass(frozen=True, slots=True)
class HolderReply:
    """What a process answers when asked whether it is alive and follows the log."""

    entry: str
    incarnation: str
    follows_log: bool = True
