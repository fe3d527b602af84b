"""Packing by counts agrees with an exhaustive search."""

from functools import cache

from hypothesis import given, settings
from hypothesis import strategies as st

from kingcuppost.systems.jobs.cells import blocks_in, count_blocks, count_shortfall
from kingcuppost.tables.scheduling import CELL_CLASSES

WORKER_MASKS = st.lists(st.integers(0, 255), min_size=1, max_size=3)
DEMANDS = st.lists(st.integers(0, 3), max_size=6)


@cache
def can_pack(masks: tuple[int, ...], demands: tuple[int, ...]) -> bool:
    """Return whether the masks have disjoint blocks of all demanded classes.

    Every block is tried for the first demand, then recursively for the others.
    """
    if not demands:
        return True
    for index, mask in enumerate(masks):
        for block in blocks_in(mask, demands[0]):
            rest = (*masks[:index], mask & ~block, *masks[index + 1 :])
            if can_pack(tuple(sorted(rest)), demands[1:]):
                return True
    return False


def counts(demands: list[int]) -> list[int]:
    return [demands.count(cell_class) for cell_class in range(CELL_CLASSES)]


@settings(derandomize=True, deadline=None, max_examples=300)
@given(WORKER_MASKS, DEMANDS)
def test_counts_agree_with_brute_force(masks: list[int], demands: list[int]) -> None:
    blocks = [sum(column) for column in zip(*map(count_blocks, masks), strict=True)]
    fits = count_shortfall(blocks, counts(demands)) == 0
    assert fits == can_pack(tuple(sorted(masks)), tuple(sorted(demands, reverse=True)))
