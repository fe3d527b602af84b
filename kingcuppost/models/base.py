"""Base class of border models; encoding and decoding of JSON."""

from typing import Annotated, Any, TypeVar

from expression import Error, Ok, Result
from pydantic import BaseModel, ConfigDict, Field, TypeAdapter, ValidationError
from pydantic_core import from_json

from kingcuppost.exception import Failure

__all__ = [
    "Amount",
    "BorderModel",
    "decode",
    "encode",
    "format_validation_error",
    "validate_text",
]

Model = TypeVar("Model", bound=BaseModel)
MAX_ERRORS_SHOWN = 3
MAX_ERRORS_LISTED = 1_000  # listing more costs more memory than the text itself
MAX_AMOUNT = 2**53 - 1  # larger integers are not exact in every JSON reader

Amount = Annotated[int, Field(ge=0, le=MAX_AMOUNT)]

_adapters: dict[type, TypeAdapter] = {}


class BorderModel(BaseModel):
    """A message to or from another process; unknown fields are rejected."""

    # Validators are built on first use, since a process uses only those of its role.
    model_config = ConfigDict(extra="forbid", frozen=True, defer_build=True)


def decode(model: type[Model], text: bytes, peer: str) -> Result[Model, Failure]:
    """Return a validated model, or why the text is not valid.

    Parameters
    ----------
    model : type
        The border model.
    text : bytes
        JSON text.
    peer : str
        Sender of the text.
    """
    try:
        return Ok(validate_text(model, text))
    except ValidationError as exc:
        return Error(Failure(format_validation_error(exc), "decode", peer))
    except ValueError as exc:
        return Error(Failure(f"body: invalid JSON: {exc}", "decode", peer))


def validate_text(model: type[Model], text: bytes) -> Model:
    """Return a validated model of a JSON text that may come from any client.

    The text is parsed first. A model that is validated from the text keeps a copy of
    the whole input with each error, such as each field that is missing.

    Raises
    ------
    ValueError
        If the text is not JSON, or as a `ValidationError` if it does not fit the model.
    """
    return model.model_validate(from_json(text))


def format_validation_error(exc: ValidationError) -> str:
    """Return the first errors of a validation in one line."""
    if exc.error_count() > MAX_ERRORS_LISTED:
        return f"body: {exc.error_count()} errors"
    parts = []
    errors = exc.errors(include_url=False, include_context=False, include_input=False)
    for validation_error in errors[:MAX_ERRORS_SHOWN]:
        location = ".".join(str(part) for part in validation_error["loc"]) or "body"
        parts.append(f"{location}: {validation_error['msg']}")
    return "; ".join(parts)


def encode(instance: Any) -> bytes:
    """Return the JSON text of a data class or border model."""
    instance_type = type(instance)
    if instance_type not in _adapters:
        _adapters[instance_type] = TypeAdapter(instance_type)
    return _adapters[instance_type].dump_json(instance)
