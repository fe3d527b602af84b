"""Rows of callers' requests at an entry and of attempts at an entry and a sidecar."""

from dataclasses import dataclass
from enum import StrEnum

from kingcuppost.tables.job import Urgency

__all__ = [
    "Attempt",
    "MinionHealth",
    "Outcome",
    "PendingExchange",
    "Request",
    "RequestState",
    "RetryBudget",
    "ServedAttempt",
    "ServedState",
]


class Outcome(StrEnum):
    """Outcome of a request as reported to its caller."""

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
    """A caller's request that an entry has not answered yet.

    Attributes
    ----------
    request_id, exchange_id : str
        Identifier of the request, and of the HTTP exchange that awaits the answer.
    team, service : str
        Team of the caller, and the requested service.
    body : str
        Body for the minion; opaque.
    urgency : Urgency
        Interactive or overnight.
    key : str
        ``TEAM/KEY`` of a non-idempotent request; empty for an idempotent one.
    state : RequestState
        Stage of the request.
    created_ms, deadline_ms : int
        Time of arrival, and time after which an answer is of no use.
    attempts : int
        Number of attempts sent so far.
    tried_minions : tuple of str
        Minions that refused an attempt or failed to answer it.
    may_have_run : bool
        Whether an attempt ended with an unknown outcome.
    claim_id : str
        Identifier of the record that claims the key; empty before it is proposed.
    issued_ms : int
        When the caller created the key, Unix ms; 0 if not given.
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
    tried_minions: tuple[str, ...] = ()
    may_have_run: bool = False
    claim_id: str = ""
    issued_ms: int = 0


@dataclass(slots=True)
class RetryBudget:
    """Token bucket that limits a team's retries at one entry.

    Attributes
    ----------
    team : str
        Name of the team.
    tokens : float
        Retries left; each request adds a fraction of one.
    """

    team: str
    tokens: float


@dataclass(slots=True)
class Attempt:
    """One attempt to have a request run by one sidecar process.

    Attributes
    ----------
    attempt_id, request_id : str
        Identifiers.
    minion, incarnation : str
        Minion, and the sidecar process that the attempt is addressed to.
    sent_ms, deadline_ms : int
        When it was first sent, and when its answer ceases to be of use.
    key : str
        ``TEAM/KEY`` of a non-idempotent request; empty for an idempotent one.
    resends : int
        Number of times that it was sent again under the same identifier.
    failures : int
        Exchanges that failed since the last answered one.
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
    resends: int = 0
    failures: int = 0
    claim_offset: int = 0


@dataclass(slots=True)
class MinionHealth:
    """Health of a minion as an entry observes it in answers and heartbeats.

    Attributes
    ----------
    minion, incarnation : str
        Minion, and the sidecar process that reported.
    last_received_ms : int
        When the sidecar's last answer or heartbeat was received.
    free_slots : int
        Free slots that the sidecar last reported.
    leaving : bool
        Whether the sidecar reported that it is leaving.
    service_ms : float
        Smoothed service time, in ms.
    failures : int
        Exchanges that failed since the last answer or heartbeat.
    paused_until_ms : int
        Until when it gets no attempts, since several exchanges in a row failed.
    last_measured_ms : int
        When an exchange of this entry about an attempt at the minion last ended, with
        an answer or a failure; 0 before any.
    """

    minion: str
    incarnation: str
    last_received_ms: int
    free_slots: int
    leaving: bool
    service_ms: float
    failures: int = 0
    paused_until_ms: int = 0
    last_measured_ms: int = 0


@dataclass(frozen=True, slots=True)
class PendingExchange:
    """An exchange in which an entry awaits the outcome of an attempt.

    Attributes
    ----------
    exchange_id, attempt_id : str
        Identifiers of the HTTP exchange and of the attempt.
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
    """An attempt at its sidecar; kept after its end so that resends get the answer.

    Attributes
    ----------
    attempt_id, team : str
        Identifier of the attempt, and the caller's team.
    body : str
        Body for the minion.
    keyed : bool
        True for a non-idempotent request.
    urgency : Urgency
        Interactive or overnight.
    state : ServedState
        Stage of the attempt.
    received_ms, deadline_ms : int
        Time of arrival, and time after which it is no longer handed over.
    started_ms, finished_ms : int
        When it was handed over to the minion and when it ended; 0 before.
    answer : str
        Complete answer of the minion; empty before.
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
