"""The proof that all guarantees can be met, and telling which ones can't."""

from kingcuppost.systems.events import note
from kingcuppost.systems.jobs.cells import count_shortfall
from kingcuppost.systems.registry import Phase, system
from kingcuppost.tables.identity import Role
from kingcuppost.tables.scheduling import (
    CELL_CLASSES,
    SchedulingState,
    TeamShare,
    UncoveredGuarantee,
)
from kingcuppost.tables.world import World

__all__ = ["is_covered", "report_uncovered"]

STEP = "guarantee.cover"


def is_covered(scheduling: SchedulingState) -> bool:
    """Return whether all unused guaranteed cells fit at once.

    Borrowers do not count, since they can be stopped. Cells are aligned blocks,
    so that the packing by counts is exact for them; for unaligned ones it may
    miss a packing but never claims one that does not exist.
    """
    return count_shortfall(scheduling.unbound_blocks, scheduling.demand) == 0


@system(Phase.DECIDE, roles=(Role.ENTRY,), order=40)
def report_uncovered(world: World, now_ms: int) -> None:
    """Keep a row for every team whose guarantees do not fit, and note changes."""
    scheduling = world.scheduling
    if not scheduling.due:
        return
    if is_covered(scheduling) and not len(scheduling.uncovered):
        return
    found = {row.team: row for row in _uncovered(scheduling)}
    for row in scheduling.uncovered:
        if row.team not in found:
            scheduling.uncovered.delete(row.team)
            note(world, STEP, "Guarantees are covered again.", team=row.team)
    for team, row in found.items():
        if scheduling.uncovered.get(team) != row:
            scheduling.uncovered.put(row)
            text = f"Guarantees lack {row.accelerators} accelerators."
            note(world, STEP, text, team=team)


def _uncovered(scheduling: SchedulingState) -> list[UncoveredGuarantee]:
    """Give cells to the teams by name, the largest class first."""
    shares = sorted(scheduling.shares, key=lambda share: share.team)
    missing = {share.team: [0] * CELL_CLASSES for share in shares}
    spare = 0
    for cell_class in reversed(range(CELL_CLASSES)):
        spare = 2 * spare + scheduling.unbound_blocks[cell_class]
        for share in shares:
            given = min(spare, share.unused[cell_class])
            spare -= given
            missing[share.team][cell_class] = share.unused[cell_class] - given
    return [
        _row_of(share, missing[share.team])
        for share in shares
        if any(missing[share.team])
    ]


def _row_of(share: TeamShare, cells: list[int]) -> UncoveredGuarantee:
    accelerators = sum(count << size for size, count in enumerate(cells))
    return UncoveredGuarantee(share.team, tuple(cells), accelerators)
