"""Arithmetic on cells: aligned blocks of accelerators, and counts of them.

Counts are sequences indexed by class; a cell of class `k` has ``2 ** k``
accelerators and splits into two of class ``k - 1``.
"""

from collections.abc import Sequence
from functools import lru_cache

from kingcuppost.tables.scheduling import CELL_CLASSES

__all__ = [
    "add_counts",
    "blocks_in",
    "class_of",
    "count_blocks",
    "count_shortfall",
    "numbers_of",
    "slots_in",
    "split_off",
    "tidy_blocks",
]

MASKS_CACHED = 65_536


def class_of(accelerators: int) -> int:
    """Return the class of the smallest cell with that many accelerators.

    Examples
    --------
    >>> [class_of(count) for count in (1, 2, 3, 8)]
    [0, 1, 2, 3]
    """
    return (accelerators - 1).bit_length()


@lru_cache(MASKS_CACHED)
def blocks_in(mask: int, cell_class: int) -> tuple[int, ...]:
    """Return the masks of all whole aligned blocks of a class.

    Examples
    --------
    >>> [bin(block) for block in blocks_in(0b1101, 1)]
    ['0b1100']
    """
    size = 1 << cell_class
    block = (1 << size) - 1
    found = []
    for start in range(0, mask.bit_length(), size):
        if (mask >> start) & block == block:
            found.append(block << start)
    return tuple(found)


@lru_cache(MASKS_CACHED)
def count_blocks(mask: int) -> tuple[int, ...]:
    """Return the number of largest aligned blocks by class.

    Examples
    --------
    >>> count_blocks(0b11110110)[:4]
    (2, 0, 1, 0)
    >>> count_blocks(0b01110111)[:4]
    (2, 2, 0, 0)
    """
    counts = [0] * CELL_CLASSES
    for cell_class in reversed(range(CELL_CLASSES)):
        for block in blocks_in(mask, cell_class):
            counts[cell_class] += 1
            mask &= ~block
    return tuple(counts)


@lru_cache(MASKS_CACHED)
def tidy_blocks(mask: int, cell_class: int) -> tuple[int, ...]:
    """Return the blocks of a class, those that spoil the least first.

    Examples
    --------
    >>> [bin(block) for block in tidy_blocks(0b11110010, 0)][0]
    '0b10'
    """
    found = []
    for larger in range(CELL_CLASSES):
        for block in _largest_blocks(mask, larger):
            found.extend(blocks_in(block, cell_class))
    return tuple(found)


def _largest_blocks(mask: int, cell_class: int) -> list[int]:
    """Return the blocks of a class that lie in no larger one."""
    found = []
    for block in blocks_in(mask, cell_class):
        start = block.bit_length() // block.bit_count() - 1
        twin = start // 2 * 2
        parent = (1 << 2 * block.bit_count()) - 1
        parent <<= twin * block.bit_count()
        if mask & parent != parent:
            found.append(block)
    return found


def numbers_of(mask: int, count: int) -> tuple[int, ...]:
    """Return the first `count` numbers of a mask of adjacent accelerators.

    Examples
    --------
    >>> numbers_of(0b111100, 3)
    (2, 3, 4)
    """
    start = (mask & -mask).bit_length() - 1
    return tuple(range(start, start + count))


def slots_in(counts: Sequence[int], cell_class: int) -> int:
    """Return how many cells of a class the counted blocks hold.

    Examples
    --------
    >>> slots_in((1, 0, 2, 0, 0, 0, 0), 1)
    4
    """
    return sum(
        counts[larger] << (larger - cell_class)
        for larger in range(cell_class, CELL_CLASSES)
    )


def count_shortfall(blocks: Sequence[int], demand: Sequence[int]) -> int:
    """Return how many accelerators of `demand` do not fit into `blocks`.

    Going from the largest class down, what is not used of one class splits
    into two cells of the next. With aligned cells this packing is exact.

    Examples
    --------
    >>> count_shortfall((0, 0, 0, 1, 0, 0, 0), (0, 0, 2, 0, 0, 0, 0))
    0
    >>> count_shortfall((0, 0, 2, 0, 0, 0, 0), (0, 0, 0, 1, 0, 0, 0))
    8
    """
    spare = 0
    missing = 0
    for cell_class in reversed(range(CELL_CLASSES)):
        spare = 2 * spare + blocks[cell_class] - demand[cell_class]
        if spare < 0:
            missing += -spare << cell_class
            spare = 0
    return missing


def split_off(counts: list[int], block_class: int, cell_class: int) -> None:
    """Take a cell out of a block of the same or a larger class, in place.

    Examples
    --------
    >>> counts = [0, 0, 0, 1, 0, 0, 0]
    >>> split_off(counts, 3, 1)
    >>> counts[:4]
    [0, 1, 1, 0]
    """
    counts[block_class] -= 1
    for rest in range(cell_class, block_class):
        counts[rest] += 1


def add_counts(total: list[int], counts: Sequence[int], sign: int = 1) -> None:
    """Add counts to a total in place, or take them away with sign -1."""
    for cell_class, count in enumerate(counts):
        total[cell_class] += sign * count
