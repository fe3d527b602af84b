"""Limits on clients in the product's settings file."""

import pytest
from pydantic import ValidationError

from kingcuppost.models.limits import LimitsModel
from kingcuppost.tables.connections import ClientLimits


def test_a_file_without_limits_uses_the_smallest_machine() -> None:
    assert LimitsModel().to_limits() == ClientLimits()


@pytest.mark.parametrize("limits", [{"heads": 1}, {"body_bytes": 0}, {"max_fds": 0}])
def test_an_unknown_limit_or_one_without_room_is_refused(limits: dict) -> None:
    """A limit with a wrong name would silently not hold."""
    with pytest.raises(ValidationError):
        LimitsModel.model_validate(limits)
