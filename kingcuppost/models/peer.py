"""Messages between entries and sidecars."""

from typing import Annotated

from pydantic import FailFast, Field

from kingcuppost.models.base import BorderModel
from kingcuppost.tables.inbox import (
    AttemptAnswered,
    AttemptArrived,
    GangReplyArrived,
    GangReportArrived,
    HeartbeatArrived,
    HolderAnswered,
    HolderPingArrived,
)
from kingcuppost.tables.job import Urgency
from kingcuppost.tables.outbox import (
    AskHolder,
    SendAttempt,
    SendGangReports,
    SendHeartbeat,
)
from kingcuppost.tables.request import Outcome
from kingcuppost.tables.task import MemberReport, TaskState

__all__ = [
    "AttemptModel",
    "AttemptReplyModel",
    "GangReplyModel",
    "GangReportsModel",
    "HeartbeatModel",
    "HeartbeatReplyModel",
    "HolderPingModel",
    "HolderPingReplyModel",
    "ReportModel",
]


class ReportModel(BorderModel):
    """State of a gang member, as its sidecar reports it."""

    job: str
    incarnation: int
    member: int
    state: TaskState
    result: str = ""
    age_ms: int = Field(default=0, ge=0)

    def to_report(self) -> MemberReport:
        """Return the report as a data class."""
        return MemberReport(
            self.job,
            self.incarnation,
            self.member,
            self.state,
            self.result,
            self.age_ms,
        )


def _make_report_models(reports: tuple[MemberReport, ...]) -> list[ReportModel]:
    return [
        ReportModel(
            job=report.job,
            incarnation=report.incarnation,
            member=report.member,
            state=report.state,
            result=report.result,
            age_ms=report.age_ms,
        )
        for report in reports
    ]


class AttemptModel(BorderModel):
    """An attempt from an entry to a sidecar."""

    attempt_id: str
    incarnation: str
    team: str
    body: str
    keyed: bool
    urgency: Urgency
    timeout_ms: int = Field(ge=0)
    claim_offset: int = Field(default=0, ge=0)
    hold_ms: int = Field(default=0, ge=0)

    @classmethod
    def from_message(cls, message: SendAttempt) -> "AttemptModel":
        """Return the model of an outbox message."""
        return cls(
            attempt_id=message.attempt_id,
            incarnation=message.incarnation,
            team=message.team,
            body=message.body,
            keyed=message.keyed,
            urgency=message.urgency,
            timeout_ms=max(message.timeout_ms, 0),
            claim_offset=message.claim_offset,
            hold_ms=message.hold_ms,
        )

    def to_message(self, exchange_id: str) -> AttemptArrived:
        """Return the inbox message."""
        return AttemptArrived(
            exchange_id,
            self.attempt_id,
            self.incarnation,
            self.team,
            self.body,
            self.keyed,
            self.urgency,
            self.timeout_ms,
            self.claim_offset,
            self.hold_ms,
        )


class AttemptReplyModel(BorderModel):
    """A sidecar's reply to an attempt."""

    attempt_id: str
    incarnation: str
    outcome: Outcome
    body: str
    free_slots: int
    leaving: bool
    service_ms: float
    reason: str = ""
    running: bool = False

    def to_message(self, sent: SendAttempt) -> AttemptAnswered:
        """Return the inbox message.

        If the reply belongs to another attempt than `sent`, the outcome is unknown.
        """
        if self.attempt_id != sent.attempt_id:
            reason = "the answer belongs to another attempt"
            return AttemptAnswered(
                sent.attempt_id, sent.minion, "", Outcome.UNKNOWN, reason=reason
            )
        return AttemptAnswered(
            sent.attempt_id,
            sent.minion,
            self.incarnation,
            self.outcome,
            self.body,
            self.free_slots,
            self.leaving,
            self.service_ms,
            reason=self.reason,
            running=self.running,
        )


class HeartbeatModel(BorderModel):
    """A sidecar's heartbeat."""

    minion: str
    incarnation: str
    free_slots: int
    leaving: bool
    service_ms: float
    reports: Annotated[list[ReportModel], FailFast()]

    @classmethod
    def from_message(cls, message: SendHeartbeat) -> "HeartbeatModel":
        """Return the model of an outbox message."""
        return cls(
            minion=message.minion,
            incarnation=message.incarnation,
            free_slots=message.free_slots,
            leaving=message.leaving,
            service_ms=message.service_ms,
            reports=_make_report_models(message.reports),
        )

    def to_message(self, exchange_id: str) -> HeartbeatArrived:
        """Return the inbox message."""
        return HeartbeatArrived(
            exchange_id,
            self.minion,
            self.incarnation,
            self.free_slots,
            self.leaving,
            self.service_ms,
            tuple(item.to_report() for item in self.reports),
        )


class HeartbeatReplyModel(BorderModel):
    """An entry's reply to a heartbeat."""

    entry: str
    incarnation: str
    folded_offset: int


class GangReportsModel(BorderModel):
    """Reports of gang members to the gangs' leaders at a sidecar."""

    worker: str
    reports: Annotated[list[ReportModel], FailFast()]

    @classmethod
    def from_message(cls, message: SendGangReports) -> "GangReportsModel":
        """Return the model of an outbox message."""
        return cls(
            worker=message.from_worker, reports=_make_report_models(message.reports)
        )

    def to_message(self, exchange_id: str) -> GangReportArrived:
        """Return the inbox message."""
        reports = tuple(item.to_report() for item in self.reports)
        return GangReportArrived(exchange_id, self.worker, reports)


class GangReplyModel(BorderModel):
    """A leader's reply to reports: keys of the whole and of the broken gangs."""

    worker: str
    whole: Annotated[list[str], FailFast()]
    broken: Annotated[list[str], FailFast()]

    def to_message(self, sent: SendGangReports) -> GangReplyArrived:
        """Return the inbox message."""
        return GangReplyArrived(
            sent.worker, True, sent.sent_ms, tuple(self.whole), tuple(self.broken)
        )


class HolderPingModel(BorderModel):
    """An entry's liveness check of the holder of the scheduling lease."""

    entry: str

    def to_message(self, exchange_id: str) -> HolderPingArrived:
        """Return the inbox message."""
        return HolderPingArrived(exchange_id, self.entry)


class HolderPingReplyModel(BorderModel):
    """Reply to a ping: the process runs, and whether it follows the log."""

    entry: str
    incarnation: str
    follows_log: bool

    def to_message(self, sent: AskHolder) -> HolderAnswered:
        """Return the inbox message."""
        return HolderAnswered(
            True, self.incarnation, sent.sent_ms, follows_log=self.follows_log
        )
