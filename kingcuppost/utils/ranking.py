"""Rendezvous hashing: a ranking by name that is the same in every process."""

import hashlib
from collections.abc import Callable, Iterable
from typing import TypeVar

__all__ = ["rank_by_hash"]

Item = TypeVar("Item")
DIGEST_BYTES = 8


def rank_by_hash(
    name: str, items: Iterable[Item], name_of: Callable[[Item], str]
) -> list[Item]:
    """Return the items in their rendezvous order for a name.

    Parameters
    ----------
    name : str
        Name that the items are ranked for.
    items : iterable
        Items to rank; the removal of one keeps the order of the others.
    name_of : callable
        Returns an item's name.

    Examples
    --------
    >>> rank_by_hash("minion-1", ["entry-0", "entry-1"], str)
    ['entry-0', 'entry-1']
    """

    def hash_key(item: Item) -> bytes:
        text = f"{name} {name_of(item)}".encode()
        return hashlib.blake2b(text, digest_size=DIGEST_BYTES).digest()

    return sorted(items, key=hash_key)
