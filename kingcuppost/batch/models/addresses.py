"""Addresses as text."""

from kingcuppost.tables.config import Address

__all__ = ["address_of"]


def address_of(text: str) -> Address:
    """Return the address that a text ``IP:PORT`` names.

    Raises
    ------
    ValueError
        If the port is no number.

    Examples
    --------
    >>> address_of("10.0.0.1:7000")
    Address(host='10.0.0.1', port=7000)
    """
    host, _, port = text.rpartition(":")
    return Address(host, int(port))
