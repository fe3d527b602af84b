"""Days of random jobs on fleets that change: no work is left while room is free."""

import pytest

from standins.batch.room_days import run_room_day

# seeds that found a fault, and what was left
REGRESSION_SEEDS = [
    pytest.param(416, id="a step with its data in a rack that is full"),
    pytest.param(407, id="a step whose limit per minion fills the rack of its data"),
    pytest.param(412, id="a gang for one rack, with no rack free as a whole"),
]
OTHER_SEEDS = [pytest.param(seed, id=f"seed {seed}") for seed in (405, 409)]


@pytest.mark.parametrize("seed", REGRESSION_SEEDS + OTHER_SEEDS)
def test_no_work_is_left_while_room_is_free(seed: int) -> None:
    outcome = run_room_day(seed)
    assert outcome.jobs
    assert not outcome.violations, outcome.injected_faults
