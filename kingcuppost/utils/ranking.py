"""Rendezvous hashing: who comes first for a name, the same in every process."""

import hashlib
from collections.abc import Callable, Iterable
from typing import TypeVar

__all__ = ["rank_by_hash"]

Item = TypeVar("Item")


def rank_by_hash(
    name: str, items: Iterable[Item], name_of: Callable[[Item], str]
) -> list[Item]:
    """Return items in the order in which they rank for a name.

    Parameters
    ----------
    name : str
        Whose ranking it is.
    items : iterable
        What is ranked; one that leaves moves no others.
    name_of : callable
        Returns an item's name.

    Examples
    --------
    >>> rank_by_hash("minion-1", ["entry-0", "entry-1"], str)
    ['entry-0', 'entry-1']
    """

    def hash_key(item: Item) -> bytes:
        text = f"{name} {name_of(item)}".encode()
        return hashlib.blake2b(text, digest_size=8).digest()

    return sorted(items, key=hash_key)
