"""A run that a minion's lists lack has vanished only if the lists are whole."""

import pytest

from bench.holder import Holder
from kingcuppost.batch.tables.job import StepSpec

PERIOD_MS = 200
REPORTS = 50


@pytest.mark.parametrize("lists_are_whole", [True, False])
def test_a_run_is_withdrawn_only_if_whole_lists_lack_it(lists_are_whole: bool) -> None:
    holder = Holder(1)
    job_id = holder.submit((StepSpec(1, cpu_millis=1_000, estimate_ms=60_000),))
    holder.tick()
    holder.settle()
    [[task]] = holder.world.schedule.plans[job_id].tasks
    assert task.confirmed
    holder.running["side-0"].clear()
    is_withdrawn = False
    for _ in range(REPORTS):
        holder.report(0, lists_are_whole=lists_are_whole)
        holder.tick()
        is_withdrawn = is_withdrawn or task.stopping
        holder.clock.advance(PERIOD_MS)
    assert is_withdrawn is lists_are_whole
