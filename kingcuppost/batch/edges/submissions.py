"""The registry of decoders of the bodies with which callers submit jobs."""

from collections.abc import Callable

from expression import Result

from kingcuppost.batch.tables.messages import SubmittedJob
from kingcuppost.utils.registry import Registry

__all__ = ["CALLERS_SURFACE", "submission_decoders"]

CALLERS_SURFACE = "callers"

SubmissionDecoder = Callable[[bytes], Result[SubmittedJob, str]]
submission_decoders: Registry[str, SubmissionDecoder] = Registry(
    "decoder of submission"
)
