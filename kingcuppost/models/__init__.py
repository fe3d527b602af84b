"""Validated models at the border of the process, one module for each kind of peer."""

from kingcuppost.models.base import BorderModel, decode, encode
from kingcuppost.models.files import read_config

__all__ = ["BorderModel", "decode", "encode", "read_config"]
