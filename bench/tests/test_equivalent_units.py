"""A unit is not tried if an equal one has just failed, and keeps its own history."""

import pytest

from bench.holder import Holder
from kingcuppost.batch.tables.job import StepSpec
from kingcuppost.batch.tables.waiting import StepName, WaitReason

WHOLE = StepSpec(1, cpu_millis=64_000, memory_mb=100, estimate_ms=60_000)


@pytest.fixture
def full_holder() -> Holder:
    """Return a holder whose only minion is full."""
    holder = Holder(1)
    holder.submit((WHOLE,))
    holder.tick()
    holder.settle()
    return holder


def test_a_unit_that_never_fitted_is_not_noted_as_one_that_did(
    full_holder: Holder,
) -> None:
    waits = full_holder.world.schedule.waits
    job_id = full_holder.submit((WHOLE, WHOLE))
    full_holder.tick()
    waits.update(StepName(job_id, 0), fits_since_ms=5)
    full_holder.world.schedule.inputs_changed = True
    full_holder.tick()
    found = [waits.get(StepName(job_id, step)) for step in range(2)]
    assert [wait.reason for wait in found] == [WaitReason.NO_CAPACITY] * 2
    assert [wait.fits_since_ms for wait in found] == [5, None]


def test_equal_units_that_were_not_tried_run_once_there_is_room(
    full_holder: Holder,
) -> None:
    jobs = [full_holder.submit((WHOLE,)) for _ in range(3)]
    full_holder.tick()
    for _ in range(4):
        [run] = full_holder.running["side-0"]
        full_holder.report(0, ended=(run,))
        full_holder.tick()
        full_holder.settle()
        if not full_holder.running["side-0"]:
            break
    counts = [full_holder.world.schedule.plans[job].phase_counts for job in jobs]
    assert all(not count["w"] and not count["p"] for count in counts)
