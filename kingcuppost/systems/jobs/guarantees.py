"""Check that all guarantees can be met, and report those that cannot."""

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

COVERAGE_STEP = "guarantee.cover"


def is_covered(scheduling: SchedulingState) -> bool:
    """Return whether all unused guaranteed cells fit at the same time.

    Borrowers are ignored, since they can be stopped. Packing by counts is exact for
    aligned blocks. For unaligned ones it may miss a packing, but it never finds one
    that does not exist.
    """
    return count_shortfall(scheduling.unbound_blocks, scheduling.demand) == 0


@system(Phase.DECIDE, roles=(Role.ENTRY,), order=40)
def report_uncovered(world: World, now_ms: int) -> None:
    """Store a row for every team whose guarantees do not fit, and log changes."""
    scheduling = world.scheduling
    if not scheduling.pass_due:
        return
    if is_covered(scheduling) and not len(scheduling.uncovered):
        return
    found = {row.team: row for row in _find_uncovered(scheduling)}
    for row in scheduling.uncovered:
        if row.team not in found:
            scheduling.uncovered.delete(row.team)
            note(world, COVERAGE_STEP, "Guarantees can be met again.", team=row.team)
    for team, row in found.items():
        if scheduling.uncovered.get(team) != row:
            scheduling.uncovered.put(row)
            text = f"Guarantees cannot be met: {row.accelerators} accelerators missing."
            note(world, COVERAGE_STEP, text, team=team)


def _find_uncovered(scheduling: SchedulingState) -> list[UncoveredGuarantee]:
    """Return the teams whose unused cells do not all fit, with the missing cells.

    Cells are assigned from the largest class down, and within a class to the teams in
    order of name.
    """
    shares = sorted(scheduling.shares, key=lambda share: share.team)
    missing = {share.team: [0] * CELL_CLASSES for share in shares}
    available = 0
    for cell_class in reversed(range(CELL_CLASSES)):
        available = 2 * available + scheduling.unbound_blocks[cell_class]
        for share in shares:
            granted = min(available, share.unused[cell_class])
            available -= granted
            missing[share.team][cell_class] = share.unused[cell_class] - granted
    return [
        _uncovered_row(share, missing[share.team])
        for share in shares
        if any(missing[share.team])
    ]


def _uncovered_row(share: TeamShare, cells: list[int]) -> UncoveredGuarantee:
    accelerators = sum(count << cell_class for cell_class, count in enumerate(cells))
    return UncoveredGuarantee(share.team, tuple(cells), accelerators)
