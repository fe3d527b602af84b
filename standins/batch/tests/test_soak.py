"""Days of random faults by seed; those that ever broke a promise stay."""

import pytest

from standins.batch.soak import play

# seed, faults a day, and what it broke
FOUND = [
    pytest.param(2010, 12, id="a holder without renewals went on giving orders"),
    pytest.param(1001, 12, id="an end that was noted after the lease had lapsed"),
    pytest.param(1036, 12, id="the same, with zones out"),
]
FRESH = [pytest.param(seed, 6, id=f"seed {seed}") for seed in (1, 2, 3, 4)]


@pytest.mark.parametrize(("seed", "faults"), FOUND + FRESH)
def test_a_day_of_faults_breaks_no_promise(seed: int, faults: int) -> None:
    outcome = play(seed, faults)
    assert outcome.jobs
    assert not outcome.broken, outcome.happened
