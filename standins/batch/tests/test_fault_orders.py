"""Every order of two faults at one minion: no task is lost, and none runs twice."""

from itertools import product

import pytest

from standins.batch.fault_orders import play_faults
from standins.batch.minion_faults import minion_faults


@pytest.mark.parametrize(
    "names", product(minion_faults, repeat=2), ids=lambda names: ", then ".join(names)
)
def test_an_order_of_faults_loses_no_run_and_repeats_none(
    names: tuple[str, str],
) -> None:
    """A run counted as ended too early runs twice; one given up too late is lost."""
    assert play_faults(names) == []
