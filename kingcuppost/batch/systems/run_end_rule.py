"""When the runs of a minion count as ended, and what extends its lease.

A run counts as ended only on one of these:

- The minion lists its end.
- The minion has refused it, and no copy of its start can be carried out any more. A
  start that was answered as busy, and never otherwise, has not been carried out. The
  same holds for one that was never sent.
- The minion does not list it, and no copy of its start can be carried out any more:
  either the minion accepted a stop before these lists were requested, or a stop was
  sent, and the deadline of the start had passed on the minion's clock by then, or
  starts could only be from so long ago that none is delivered any more. That holds
  only for whole lists: of many ends a minion lists the first ones, until these
  are acknowledged, and what is not among them may have ended.
- The lease of the minion incarnation has certainly expired on the minion's clock.
- Another incarnation has answered in its place, and no copy of the run's start can be
  carried out there. An order names the minion's identifier only, so an incarnation with
  the same identifier may carry out what was meant for an earlier one.
- The minion has announced its end, which is due, and its address refuses connections.
  The sidecar is on the same machine, so its kernel says that no process listens there:
  the minion has ended, and its runs with it. A minion that hangs, or is overloaded, or
  is cut off, lets calls time out instead. A refusal alone is no evidence, as a minion
  may listen again. Nor is it while a copy of a start may reach a later incarnation.

While the lease may last, silence is no evidence. The lease is extended only while the
sidecar is in contact with the minion: a minion that is lost for good beside a live
sidecar would otherwise keep its runs for ever. Contact is a list of runs, as it shows
that calls reach the minion, and names the incarnation that answers. Heartbeats and
answers to orders are no contact.

An order to start comes with the reply that extends the lease for it, and is void once
that lease has expired: the holder may have given the run up, and placed it elsewhere,
before the lease is extended again. All copies of a start have one deadline, which is
much shorter than the lease, so that none is carried out later than that. Neither the
deadline nor an accepted stop binds the next incarnation with the same identifier, so a
copy that reaches it after the run has ended is not covered.

A sidecar that was restarted does not know what an earlier process has sent, and one
whose minion was removed and came back has forgotten it. For as long as such copies may
be valid, a refusal ends no run; the run is stopped first. The same holds for a run that
it was ordered to stop, and not to start.

A message about the minion that the minion does not confirm is no evidence either. A
heartbeat may be late, or come from another writer; `heartbeat_source` tells what a
sidecar makes of it. Another incarnation is believed once it has answered a call itself.

Both sides use `extends_lease` on the same report: the holder when it receives it, the
sidecar when it is answered. The sidecar counts the lease from the sending of the
report, the holder from its receipt, which is later. The holder's allowance covers
clocks that differ in rate.
"""

from enum import StrEnum

from kingcuppost.batch.systems.start_limits import start_validity_ms
from kingcuppost.batch.tables.config import DaemonConfig
from kingcuppost.batch.tables.job import MinionIncarnation
from kingcuppost.batch.tables.messages import (
    HoldMinionAnswered,
    MinionHeartbeat,
    MinionReport,
)
from kingcuppost.batch.tables.world import OrderedRun, SidecarState

__all__ = [
    "CONTACT_MS",
    "HeartbeatSource",
    "RunFate",
    "are_earlier_copies_over",
    "certain_expiry_ms",
    "extends_lease",
    "fate_after_restart",
    "has_minion_ended",
    "heartbeat_source",
    "is_absence_final",
    "is_in_contact",
    "is_refusal_final",
    "is_void_at",
    "may_be_started_by_earlier",
    "may_reach_successor",
]

CONTACT_MS = 2_000  # more than a request for the lists takes with its timeout
EXPIRY_MARGIN_MS = 400
MAX_ORDER_DELAY_MS = 12_000  # after which the platform delivers an order no more
MAX_CLOCK_DRIFT_RATIO = 1.03


def is_in_contact(contact_ms: int | None, now_ms: int) -> bool:
    """Return whether a sidecar is in contact with its minion.

    Parameters
    ----------
    contact_ms : int or None
        Time at which the minion's newest list was received, on the sidecar's clock;
        None if its incarnation has answered none.
    now_ms : int
        Current time on the same clock.
    """
    return contact_ms is not None and now_ms - contact_ms <= CONTACT_MS


def extends_lease(report: MinionReport | None) -> bool:
    """Return whether a report, once it is answered, extends the minion lease."""
    return report is not None and report.in_contact


def certain_expiry_ms(lease_ms: int) -> int:
    """Return the time after a report by which a minion lease has expired, in ms.

    The lease has expired by then even if the minion's clock is slower than this
    process's clock by the factor `MAX_CLOCK_DRIFT_RATIO`.
    """
    return int(lease_ms * MAX_CLOCK_DRIFT_RATIO) + EXPIRY_MARGIN_MS


class HeartbeatSource(StrEnum):
    """Whose heartbeat a sidecar has received.

    Attributes
    ----------
    KNOWN
        That of the incarnation that the sidecar knows.
    FIRST
        That of an incarnation beside which no other has answered a call.
    SUCCESSOR
        That of another incarnation, if it answers a call.
    OTHER_WRITER
        That of a process which is not the minion on this machine.
    """

    KNOWN = "known"
    FIRST = "first"
    SUCCESSOR = "successor"
    OTHER_WRITER = "other writer"


def heartbeat_source(
    cfg: DaemonConfig,
    sidecar_state: SidecarState,
    heartbeat: MinionHeartbeat,
    now_ms: int,
) -> HeartbeatSource:
    """Return whose heartbeat a sidecar has received.

    One incarnation has one address and one service. While a minion may have a lease, no
    other process beside the sidecar can be its successor but one at its address, where
    only one of the two can listen.
    """
    known = sidecar_state.minion
    if not _fits_settings(cfg, heartbeat):
        return HeartbeatSource.OTHER_WRITER
    if known is None:
        return HeartbeatSource.FIRST
    is_known = known.incarnation == heartbeat.report.incarnation
    is_moved = sidecar_state.address != heartbeat.address
    if is_known and not is_moved and known.service == heartbeat.report.service:
        return HeartbeatSource.KNOWN
    if sidecar_state.contact_ms is None:
        return HeartbeatSource.FIRST
    lease_may_last_ms = CONTACT_MS + certain_expiry_ms(cfg.bounds.lease_ms)
    may_have_lease = now_ms - sidecar_state.contact_ms < lease_may_last_ms
    if is_known or (is_moved and may_have_lease):
        return HeartbeatSource.OTHER_WRITER
    return HeartbeatSource.SUCCESSOR


def _fits_settings(cfg: DaemonConfig, heartbeat: MinionHeartbeat) -> bool:
    """Return whether a heartbeat names the minion that the settings name, if any."""
    is_address = cfg.minion_address in (None, heartbeat.address)
    is_service = cfg.minion_service in ("", heartbeat.report.service)
    return is_address and is_service


class RunFate(StrEnum):
    """What becomes of a placed run when another incarnation of the minion answers.

    Attributes
    ----------
    ENDED
        It has ended with its incarnation.
    CONTINUES
        It runs in the new incarnation.
    MUST_STOP
        It has ended with its incarnation, but a copy of its start may still be carried
        out in the new one. It counts as ended once that one has accepted a stop.
    """

    ENDED = "ended"
    CONTINUES = "continues"
    MUST_STOP = "must stop"


def fate_after_restart(
    earlier: MinionIncarnation, present: MinionIncarnation, is_listed: bool
) -> RunFate:
    """Return what becomes of a run that was placed at an earlier incarnation.

    Parameters
    ----------
    earlier, present : MinionIncarnation
        Incarnation where the run was placed, and the one that answers now.
    is_listed : bool
        Whether the present incarnation lists the run as running.
    """
    if earlier.minion != present.minion:
        return RunFate.ENDED
    return RunFate.CONTINUES if is_listed else RunFate.MUST_STOP


def may_reach_successor(run: OrderedRun) -> bool:
    """Return whether a start of a run may be carried out after a restart."""
    return run.may_still_start or run.is_order_pending


def has_minion_ended(
    cfg: DaemonConfig, sidecar_state: SidecarState, is_refused: bool, now_ms: int
) -> bool:
    """Return whether the minion beside a sidecar has certainly ended, and its runs.

    Parameters
    ----------
    is_refused : bool
        Whether the minion's address has just refused a connection.
    """
    drain_end_ms = sidecar_state.drain_end_ms
    is_end_due = sidecar_state.has_leave_notice or (
        drain_end_ms is not None and now_ms >= drain_end_ms
    )
    if not is_refused or not is_end_due:
        return False
    if may_be_started_by_earlier(cfg, sidecar_state.known_since_ms, now_ms):
        return False
    runs = sidecar_state.ordered_runs.values()
    return not any(may_reach_successor(run) for run in runs)


def is_refusal_final(run: OrderedRun) -> bool:
    """Return whether a refusal of a start is the end of the run."""
    return not run.may_still_start


def may_be_started_by_earlier(
    cfg: DaemonConfig, kept_since_ms: int, now_ms: int
) -> bool:
    """Return whether a start from before a sidecar kept its runs may be carried out.

    Parameters
    ----------
    kept_since_ms : int
        Time since which the sidecar knows what it has sent to the minion.
    """
    validity_ms = certain_expiry_ms(start_validity_ms(cfg.bounds))
    return now_ms < kept_since_ms + validity_ms


def is_absence_final(
    run: OrderedRun, lists: HoldMinionAnswered, clock_before_ms: int | None
) -> bool:
    """Return whether a run that is missing from lists can't begin any more.

    After it has accepted a stop, a minion refuses the start of the run. It also refuses
    a start whose deadline has passed; that counts only once a stop was sent, too.

    Parameters
    ----------
    clock_before_ms : int or None
        Time on the minion's clock that was read before the lists were requested.
    """
    if run.stop_accepted_ms is not None:
        return lists.sent_ms > run.stop_accepted_ms
    return run.is_stop_sent and is_void_at(run, clock_before_ms)


def are_earlier_copies_over(
    run: OrderedRun, lists: HoldMinionAnswered, kept_since_ms: int
) -> bool:
    """Return whether a run that is missing from lists was only started long ago.

    This process has sent no start of it, and copies from before `kept_since_ms` have
    arrived when the lists are requested. As for other runs, a stop was sent, too.

    Parameters
    ----------
    kept_since_ms : int
        Time since which the sidecar knows what it has sent to the minion.
    """
    if not run.is_stop_sent or run.start_deadline_ms is not None:
        return False
    return lists.sent_ms > kept_since_ms + certain_expiry_ms(MAX_ORDER_DELAY_MS)


def is_void_at(run: OrderedRun, clock_ms: int | None) -> bool:
    """Return whether all copies of a start are void at a time on the minion's clock."""
    if clock_ms is None or run.start_deadline_ms is None:
        return False
    return clock_ms > run.start_deadline_ms
