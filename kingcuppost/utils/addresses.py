"""Addresses in text form: an IP number and a port, since names are never resolved."""

from ipaddress import ip_address

from kingcuppost.tables.config import Address

__all__ = ["MAX_PORT", "parse_address", "validate_host"]

MAX_PORT = 65_535


def validate_host(text: str) -> str:
    """Return a text that is an IP address.

    Raises
    ------
    ValueError
        If it is not one.
    """
    try:
        ip_address(text)
    except ValueError:
        raise ValueError(f"{text!r} is not an IP address") from None
    return text


def parse_address(text: str) -> Address:
    """Return the address in a text ``IP:PORT``; port 0 is allowed.

    Raises
    ------
    ValueError
        If the host is not an IP address, or the port is out of range.

    Examples
    --------
    >>> parse_address("10.0.0.1:7000")
    Address(host='10.0.0.1', port=7000)
    """
    host, _, port = text.rpartition(":")
    validate_host(host)
    if not port.isdecimal() or len(port) > len(str(MAX_PORT)) or int(port) > MAX_PORT:
        raise ValueError(f"{port!r} is not a port number")
    return Address(host, int(port))
