"""What urgent work gets on full minions, played without a network."""

from bench.holder import Holder
from kingcuppost.batch.tables.job import StepSpec

FILLING = StepSpec(8, cpu_millis=5_600, accelerators=1, estimate_ms=30_000)


def make_full_holder(minions: int = 2) -> Holder:
    """Return a holder whose minions have run delay-tolerant work for 2 s."""
    holder = Holder(minions)
    for _ in range(minions):
        holder.submit((FILLING,))
    holder.settle()
    holder.clock.advance(2_000)
    return holder


def test_capacity_that_is_released_for_a_unit_is_not_taken_by_an_older_one() -> None:
    holder = make_full_holder()
    cheap = StepSpec(1, cpu_millis=5_600, accelerators=4, estimate_ms=100)
    costly = StepSpec(1, cpu_millis=5_600, accelerators=4, estimate_ms=20_000)
    older = holder.submit((cheap,), priority=0)
    holder.clock.advance(1)
    younger = holder.submit((costly,), priority=0)
    holder.settle()
    assert holder.placed(younger) == 1
    assert holder.placed(older) == 0


def test_released_capacity_that_is_not_used_serves_others_in_the_end() -> None:
    holder = make_full_holder(minions=1)
    urgent = StepSpec(1, cpu_millis=5_600, accelerators=4, estimate_ms=20_000)
    cancelled = holder.submit((urgent,), priority=0)
    holder.settle(1)
    holder.cancel(cancelled)
    waiting = holder.submit((StepSpec(4, cpu_millis=100, accelerators=1),), priority=1)
    holder.settle()
    assert holder.placed(waiting) == 4
