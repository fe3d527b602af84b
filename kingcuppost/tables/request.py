"""Callers' requests, the attempts to serve them, and what a sidecar serves."""

from dataclasses import dataclass
from enum import StrEnum

from kingcuppost.tables.job import Urgency

__all__ = [
    "Attempt",
    "MinionHealth",
    "PendingExchange",
    "Outcome",
    "Request",
    "RequestState",
    "RetryBudget",
    "ServedAttempt",
    "ServedState",
]


class Outcome(StrEnum):
    """The three things that a caller can be told."""

    ANSWERED = "answered"
    NOT_RUN = "not_run"
    UNKNOWN = "unknown"


class RequestState(StrEnum):
    """Stage of a request at an entry."""

    QUEUED = "queued"
    CLAIMING = "claiming"
    SENT = "sent"


@dataclass(slots=True)
class Request:
    """A caller's request that an entry holds open.

    Attributes
    ----------
    request_id, exchange_id : str
        Identifier; the HTTP exchange that waits for the answer.
    team, service : str
        Who asks, and which service is asked.
    body : str
        What the minion is given; opaque.
    urgency : Urgency
        Whether somebody waits.
    key : str
        ``TEAM/KEY`` of a non-idempotent request; empty for an idempotent one.
    state : RequestState
        Stage of the request.
    created_ms, deadline_ms : int
        Arrival; time after which an answer is of no use.
    attempts : int
        Attempts sent so far.
    tried : tuple of str
        Minions that refused or failed an attempt.
    may_have_run : bool
        Whether an attempt ended with an unknown outcome.
    claim_id : str
        Record that claims the key; empty before it is proposed.
    issued_ms : int
        When the caller made the key, Unix ms; 0 if not said.
    """

    request_id: str
    exchange_id: str
    team: str
    service: str
    body: str
    urgency: Urgency
    key: str
    state: RequestState
    created_ms: int
    deadline_ms: int
    attempts: int = 0
    tried: tuple[str, ...] = ()
    may_have_run: bool = False
    claim_id: str = ""
    issued_ms: int = 0


@dataclass(slots=True)
class RetryBudget:
    """What a team may still spend on retries at one entry.

    Attributes
    ----------
    team : str
        The team.
    tokens : float
        Retries left; each request adds a share of one.
    """

    team: str
    tokens: float


@dataclass(slots=True)
class Attempt:
    """One sending of a request to one sidecar process.

    Attributes
    ----------
    attempt_id, request_id : str
        Identifiers.
    minion, incarnation : str
        Sidecar process that it is meant for.
    sent_ms, deadline_ms : int
        When it was first sent; when its answer is of no use.
    key : str
        ``TEAM/KEY`` of a non-idempotent request; empty for an idempotent one.
    repeats : int
        How often it was sent again, on another connection.
    failures : int
        Exchanges that failed since the last one that was answered.
    claim_offset : int
        Log offset of the claim of its key; 0 for an idempotent request.
    """

    attempt_id: str
    request_id: str
    minion: str
    incarnation: str
    sent_ms: int
    deadline_ms: int
    key: str = ""
    repeats: int = 0
    failures: int = 0
    claim_offset: int = 0


@dataclass(slots=True)
class MinionHealth:
    """What an entry knows of a minion from live traffic and heartbeats.

    Attributes
    ----------
    minion, incarnation : str
        The minion, and the sidecar process that was heard.
    heard_ms : int
        When it was last heard.
    free_slots : int
        Free slots that it last told.
    leaving : bool
        Whether it said that it is leaving.
    service_ms : float
        Smoothed service time, in ms.
    failures : int
        Exchanges that failed since the last that succeeded.
    pause_ms : int
        Until when it gets no attempts, since it failed several.
    measured_ms : int
        When an attempt of this entry last ended there.
    """

    minion: str
    incarnation: str
    heard_ms: int
    free_slots: int
    leaving: bool
    service_ms: float
    failures: int = 0
    pause_ms: int = 0
    measured_ms: int = 0


@dataclass(frozen=True, slots=True)
class PendingExchange:
    """An exchange in which an entry waits for an attempt's outcome.

    Attributes
    ----------
    exchange_id, attempt_id : str
        The HTTP exchange and the attempt.
    """

    exchange_id: str
    attempt_id: str


class ServedState(StrEnum):
    """Stage of an attempt at a sidecar."""

    WAITING = "waiting"
    RUNNING = "running"
    ANSWERED = "answered"
    NOT_RUN = "not_run"
    UNKNOWN = "unknown"


@dataclass(slots=True)
class ServedAttempt:
    """An attempt as its sidecar sees it; kept a while for repeats.

    Attributes
    ----------
    attempt_id, team : str
        Identifiers.
    body : str
        What the minion is given.
    keyed : bool
        True for a non-idempotent request.
    urgency : Urgency
        Whether somebody waits.
    state : ServedState
        Stage of the attempt.
    received_ms, deadline_ms : int
        Arrival; time after which it is not handed over any more.
    started_ms, finished_ms : int
        Hand-over to the minion and end; 0 before.
    answer : str
        The minion's whole answer; empty before.
    claim_offset : int
        Log offset of the claim of its key; 0 for an idempotent request.
    """

    attempt_id: str
    team: str
    body: str
    keyed: bool
    urgency: Urgency
    state: ServedState
    received_ms: int
    deadline_ms: int
    started_ms: int = 0
    finished_ms: int = 0
    answer: str = ""
    claim_offset: int = 0
