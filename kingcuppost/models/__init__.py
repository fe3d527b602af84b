"""Validated models at the border, one module for each neighbour."""

from kingcuppost.models.base import BorderModel, decode, encode
from kingcuppost.models.files import read_config

__all__ = ["BorderModel", "decode", "encode", "read_config"]
