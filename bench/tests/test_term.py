"""Decisions at the start of a term, when not all minions have been reported yet."""

from bench.holder import Holder
from kingcuppost.batch.tables.fleet import Speed
from kingcuppost.batch.tables.job import StepSpec

URGENT = StepSpec(1, cpu_millis=7_500, accelerators=8, estimate_ms=2_500)


def make_new_holder() -> Holder:
    """Return a holder that knows from earlier terms which of two minions is fast."""
    holder = Holder(0)
    holder.world.schedule.speeds = {
        "side-0": Speed(0.5, 2.0),
        "side-1": Speed(1.2, 2.0),
    }
    now_ms = holder.clock.now_ms()
    holder.world.schedule.loaded_ms = holder.world.schedule.minion_added_ms = now_ms
    holder.add_minion(0)
    return holder


def test_urgent_work_waits_for_the_fast_minions_of_a_new_term() -> None:
    holder = make_new_holder()
    job = holder.submit((URGENT,), priority=0)
    holder.tick()
    assert holder.placed(job) == 0
    holder.clock.advance(50)
    holder.add_minion(1)
    holder.tick()
    holder.clock.advance(100)
    holder.tick()
    (task,) = holder.world.schedule.plans[job].tasks[0]
    assert task.sidecar == "side-1"


def test_a_new_term_does_not_wait_for_minions_without_end() -> None:
    holder = make_new_holder()
    job = holder.submit((URGENT,), priority=0)
    for index in range(1, 5):
        holder.clock.advance(90)
        holder.add_minion(index)
        holder.tick()
    assert holder.placed(job) == 0
    holder.clock.advance(40)
    holder.tick()
    assert holder.placed(job) == 1
