"""Addresses as text."""

from kingcuppost.tables.config import Address

__all__ = ["parse_address"]


def parse_address(text: str) -> Address:
    """Return the address that a text ``IP:PORT`` names.

    Raises
    ------
    ValueError
        If the port is no number.

    Examples
    --------
    >>> parse_address("10.0.0.1:7000")
    Address(host='10.0.0.1', port=7000)
    """
    host, _, port = text.rpartition(":")
    return Address(host, int(port))
