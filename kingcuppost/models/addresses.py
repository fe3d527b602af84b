"""Types of fields that hold addresses."""

from typing import Annotated

from pydantic import AfterValidator, Field

from kingcuppost.utils.addresses import MAX_PORT, parse_address, validate_host

__all__ = ["AddressText", "HostText", "PortNumber"]


def _validate_address(text: str) -> str:
    parse_address(text)
    return text


HostText = Annotated[str, AfterValidator(validate_host)]
# port of a process that can be contacted
PortNumber = Annotated[int, Field(ge=1, le=MAX_PORT)]
AddressText = Annotated[str, AfterValidator(_validate_address)]
