"""Arithmetic on cells (aligned blocks of accelerators) and on counts of cells.

Counts are sequences indexed by class. A cell of class `k` has ``2 ** k``
accelerators and splits into two cells of class ``k - 1``.
"""

from collections.abc import Sequence
from functools import lru_cache

from kingcuppost.tables.scheduling import CELL_CLASSES

__all__ = [
    "accelerator_numbers",
    "add_counts",
    "best_fit_blocks",
    "blocks_in",
    "class_of",
    "count_blocks",
    "count_cells",
    "count_shortfall",
    "split_block",
]

MASK_CACHE_SIZE = 65_536  # entries in the cache of each function of a mask


def class_of(accelerators: int) -> int:
    """Return the class of the smallest cell that holds this many accelerators.

    Examples
    --------
    >>> [class_of(count) for count in (1, 2, 3, 8)]
    [0, 1, 2, 3]
    """
    return (accelerators - 1).bit_length()


@lru_cache(MASK_CACHE_SIZE)
def blocks_in(mask: int, cell_class: int) -> tuple[int, ...]:
    """Return the masks of all aligned blocks of a class that a mask contains.

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


@lru_cache(MASK_CACHE_SIZE)
def count_blocks(mask: int) -> tuple[int, ...]:
    """Return the number of maximal aligned blocks in a mask, by class.

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


@lru_cache(MASK_CACHE_SIZE)
def best_fit_blocks(mask: int, cell_class: int) -> tuple[int, ...]:
    """Return the blocks of a class, those within the smallest maximal block first.

    Examples
    --------
    >>> [bin(block) for block in best_fit_blocks(0b11110010, 0)][0]
    '0b10'
    """
    found = []
    for block_class in range(CELL_CLASSES):
        for block in _maximal_blocks(mask, block_class):
            found.extend(blocks_in(block, cell_class))
    return tuple(found)


def _maximal_blocks(mask: int, cell_class: int) -> list[int]:
    """Return the maximal blocks of a class: those not part of a larger block."""
    found = []
    for block in blocks_in(mask, cell_class):
        start = block.bit_length() // block.bit_count() - 1
        pair_start = start // 2 * 2
        parent = (1 << 2 * block.bit_count()) - 1
        parent <<= pair_start * block.bit_count()
        if mask & parent != parent:
            found.append(block)
    return found


def accelerator_numbers(mask: int, count: int) -> tuple[int, ...]:
    """Return the first `count` accelerator numbers of a mask of adjacent ones.

    Examples
    --------
    >>> accelerator_numbers(0b111100, 3)
    (2, 3, 4)
    """
    start = (mask & -mask).bit_length() - 1
    return tuple(range(start, start + count))


def count_cells(counts: Sequence[int], cell_class: int) -> int:
    """Return the number of cells of a class that the counted blocks can be split into.

    Examples
    --------
    >>> count_cells((1, 0, 2, 0, 0, 0, 0), 1)
    4
    """
    return sum(
        counts[larger] << (larger - cell_class)
        for larger in range(cell_class, CELL_CLASSES)
    )


def count_shortfall(blocks: Sequence[int], demand: Sequence[int]) -> int:
    """Return the number of accelerators in `demand` that do not fit into `blocks`.

    From the largest class down, each unused cell is split into two cells of the next
    smaller class. This packing is exact for aligned cells.

    Examples
    --------
    >>> count_shortfall((0, 0, 0, 1, 0, 0, 0), (0, 0, 2, 0, 0, 0, 0))
    0
    >>> count_shortfall((0, 0, 2, 0, 0, 0, 0), (0, 0, 0, 1, 0, 0, 0))
    8
    """
    available = 0
    missing = 0
    for cell_class in reversed(range(CELL_CLASSES)):
        available = 2 * available + blocks[cell_class] - demand[cell_class]
        if available < 0:
            missing += -available << cell_class
            available = 0
    return missing


def split_block(counts: list[int], block_class: int, cell_class: int) -> None:
    """Remove a cell from a block of the same or a larger class, in place.

    Examples
    --------
    >>> counts = [0, 0, 0, 1, 0, 0, 0]
    >>> split_block(counts, 3, 1)
    >>> counts[:4]
    [0, 1, 1, 0]
    """
    counts[block_class] -= 1
    for rest in range(cell_class, block_class):
        counts[rest] += 1


def add_counts(total: list[int], counts: Sequence[int], sign: int = 1) -> None:
    """Add counts to a total in place, or subtract them with sign -1."""
    for cell_class, count in enumerate(counts):
        total[cell_class] += sign * count
