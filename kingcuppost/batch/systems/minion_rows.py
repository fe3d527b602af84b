"""Rows of the minions that sidecars report."""

from kingcuppost.batch.systems.departures.waves import note_departure
from kingcuppost.batch.systems.minion_leases import mark_unreachable
from kingcuppost.batch.tables.fleet import MinionRow, Speed
from kingcuppost.batch.tables.messages import MinionReport, SyncCall
from kingcuppost.batch.tables.world import BatchWorld

__all__ = ["find_silent_minion", "update_minion"]


def find_silent_minion(
    world: BatchWorld, call: SyncCall, minion: MinionRow | None
) -> MinionRow | None:
    """Return the row of a minion with which its sidecar is not in contact, or None.

    It gets no new runs. A row is created only while the minion may have a lease, for
    the ends that the sidecar has read before.
    """
    schedule = world.schedule
    if minion is None:
        if schedule.leases.get(call.minion.incarnation) is None:
            return None
        minion = _add_minion(world, call)
    mark_unreachable(world, minion, "its sidecar has lost contact with it")
    return minion


def update_minion(
    world: BatchWorld, call: SyncCall, minion: MinionRow | None, now_ms: int
) -> MinionRow:
    """Create or update the row of a reported minion, and return it."""
    report = call.minion
    is_new = minion is None
    if is_new:
        minion = _add_minion(world, call)
        world.schedule.minion_added_ms = now_ms
        world.schedule.inputs_changed = True
        world.note(
            "minion",
            "A minion was added.",
            minion=report.incarnation.minion,
            sidecar=call.sidecar,
            availability_zone=report.availability_zone,
            rack=minion.rack,
        )
    if minion.draining != report.draining:
        world.note(
            "minion",
            "The draining state of a minion changed.",
            minion=report.incarnation.minion,
            draining=report.draining,
            remaining_ms=report.remaining_ms,
        )
        world.schedule.inputs_changed = True
        if report.draining:
            minion.drain_since_ms = now_ms
        if report.draining and not is_new:
            # one that drains when this term first hears of it may have begun long ago
            note_departure(world, minion, now_ms)
    if minion.is_unreachable:
        world.schedule.inputs_changed = True
    minion.is_unreachable = False
    minion.draining = report.draining
    minion.drain_end_ms = now_ms + report.remaining_ms
    minion.last_report_ms = now_ms
    return minion


def _add_minion(world: BatchWorld, call: SyncCall) -> MinionRow:
    """Add the row of a reported minion.

    Every incarnation numbers its ends from 1, so those of an earlier one are forgotten.
    """
    schedule = world.schedule
    schedule.reported_ends.pop(call.sidecar, None)
    schedule.orphans.pop(call.sidecar, None)
    minion = _make_minion(world, call, call.minion)
    schedule.minions.put(minion)
    return minion


def _make_minion(world: BatchWorld, call: SyncCall, report: MinionReport) -> MinionRow:
    # the first label with a hyphen is the rack, such as r1-1
    rack = next((label for label in report.labels if "-" in label), "")
    return MinionRow(
        call.sidecar,
        report.incarnation,
        report.service,
        report.availability_zone,
        rack,
        frozenset(report.labels),
        report.resources,
        speed=world.schedule.speeds.setdefault(call.sidecar, Speed()),
    )
