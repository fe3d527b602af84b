"""Records by which entries and sidecars announce themselves and leave."""

from kingcuppost.systems.fold.record_rules import (
    FoldInput,
    Rejection,
    appliers,
    checkers,
)
from kingcuppost.tables.fleet import Entry, MemberState, Minion, Worker
from kingcuppost.tables.record import EntryAnnounce, MemberLeave, MinionAnnounce
from kingcuppost.tables.world import Agreed

__all__: list[str] = []


@checkers.register(EntryAnnounce)
def check_entry(agreed: Agreed, body: EntryAnnounce) -> Rejection | None:
    """Accept every announcement; the newest process with a name replaces the others."""
    return None


@appliers.register(EntryAnnounce)
def apply_entry(agreed: Agreed, body: EntryAnnounce, fold_input: FoldInput) -> None:
    """Create or replace the entry's row."""
    agreed.entries.put(
        Entry(
            body.name,
            body.availability_zone,
            body.incarnation,
            body.host,
            body.caller_port,
            body.operator_port,
            body.peer_port,
            MemberState.SERVING,
            fold_input.offset,
        )
    )


@checkers.register(MinionAnnounce)
def check_minion(agreed: Agreed, body: MinionAnnounce) -> Rejection | None:
    """Reject an announcement whose worker belongs to another minion."""
    worker = agreed.workers.get(body.worker)
    if worker is not None and worker.minion != body.name:
        return Rejection(f"worker {body.worker} belongs to minion {worker.minion}")
    return None


@appliers.register(MinionAnnounce)
def apply_minion(agreed: Agreed, body: MinionAnnounce, fold_input: FoldInput) -> None:
    """Create or replace the rows of the minion and of its worker."""
    agreed.minions.put(
        Minion(
            body.name,
            body.service,
            body.worker,
            body.availability_zone,
            body.incarnation,
            body.host,
            body.peer_port,
            body.slots,
            body.connections,
            MemberState.SERVING,
            fold_input.offset,
            body.operator_port,
        )
    )
    agreed.workers.put(
        Worker(
            body.worker,
            body.availability_zone,
            body.rack,
            body.cores,
            body.memory_mb,
            body.accelerators,
            body.name,
        )
    )


@checkers.register(MemberLeave)
def check_leave(agreed: Agreed, body: MemberLeave) -> Rejection | None:
    """Reject the leave notice of a process that a newer one has replaced."""
    for table in (agreed.minions, agreed.entries):
        row = table.get(body.name)
        if row is not None and row.incarnation == body.incarnation:
            return None
    return Rejection(f"{body.name} {body.incarnation} is not the announced process")


@appliers.register(MemberLeave)
def apply_leave(agreed: Agreed, body: MemberLeave, fold_input: FoldInput) -> None:
    """Mark the minion or entry as leaving."""
    for table in (agreed.minions, agreed.entries):
        row = table.get(body.name)
        if row is not None and row.incarnation == body.incarnation:
            table.update(body.name, state=MemberState.LEAVING, offset=fold_input.offset)
