"""Identifiers that are unique among all processes."""

import random

__all__ = ["new_identifier"]

IDENTIFIER_BITS = 64


def new_identifier(rng: random.Random, prefix: str) -> str:
    """Return a new random identifier.

    Parameters
    ----------
    rng : random.Random
        Random generator of the world; every process has a different seed.
    prefix : str
        Kind of the identified object, such as ``"job"``.

    Returns
    -------
    str
        The prefix, a hyphen and 16 hexadecimal digits.

    Examples
    --------
    >>> len(new_identifier(random.Random(1), "job"))
    20
    """
    return f"{prefix}-{rng.getrandbits(IDENTIFIER_BITS):016x}"
