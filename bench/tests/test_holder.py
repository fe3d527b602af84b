"""The work of the holder in a tick, counted in lines of Python."""

import sys
from collections.abc import Callable
from dataclasses import replace
from types import FrameType

import pytest

from bench.holder import Holder
from kingcuppost.batch.tables.fleet import EntryMember
from kingcuppost.batch.tables.job import StepSpec, TaskPhase
from kingcuppost.batch.tables.messages import PARTS_FORMAT
from kingcuppost.tables.config import Address

FEW_MINIONS, MANY_MINIONS = 60, 600
MAX_GROWTH = 1.3
WIDE = StepSpec(200, cpu_millis=5_600, memory_mb=23_000, accelerators=1)


def count_lines(run: Callable[[], None]) -> int:
    """Return how many lines of Python a function executes, loops included."""
    lines = 0

    def count(frame: FrameType, event: str, argument: object) -> Callable:
        nonlocal lines
        lines += event == "line"
        return count

    previous = sys.gettrace()
    sys.settrace(count)
    try:
        run()
    finally:
        sys.settrace(previous)
    return lines


def make_busy_holder(minions: int, jobs: int = 2) -> Holder:
    holder = Holder(minions)
    for _ in range(jobs):
        holder.submit((WIDE,))
        holder.tick()
    holder.settle()
    return holder


def test_all_runs_start_and_end() -> None:
    holder = make_busy_holder(FEW_MINIONS)
    assert sum(len(runs) for runs in holder.running.values()) == 400
    for index in range(FEW_MINIONS):
        holder.report(index, ended=tuple(holder.running[f"side-{index}"]))
    holder.tick()
    holder.settle()
    plans = holder.world.schedule.plans.values()
    assert all(plan.phase_counts[TaskPhase.DONE] == 200 for plan in plans)


def lines_of_report(holder: Holder) -> int:
    holder.report(0)
    return count_lines(holder.tick)


def lines_of_order(holder: Holder) -> int:
    """Count the lines of a tick that has one order to send."""
    plan = next(iter(holder.world.schedule.plans.values()))
    task = plan.tasks[0][0]
    task.confirmed = False
    task.start_sent_ms = None
    holder.world.schedule.pending_runs[task.name] = (plan, task)
    holder.report(int(task.sidecar.partition("-")[2]))
    return count_lines(holder.tick)


def lines_of_lost_minion(holder: Holder) -> int:
    """Count the lines of a tick in which the lease of an idle minion has expired."""
    schedule = holder.world.schedule
    lease = next(
        lease for lease in schedule.leases if lease.incarnation not in schedule.loads
    )
    now_ms = holder.clock.now_ms()
    schedule.leases.put(replace(lease, expiry_ms=now_ms))
    schedule.next_expiry_ms = now_ms
    return count_lines(holder.tick)


@pytest.mark.parametrize(
    "lines_of",
    [
        pytest.param(lines_of_report, id="report without news"),
        pytest.param(lines_of_order, id="order to one sidecar"),
    ],
)
def test_a_tick_does_not_look_at_minions_to_which_nothing_happened(
    lines_of: Callable[[Holder], int],
) -> None:
    few = lines_of(make_busy_holder(FEW_MINIONS))
    many = lines_of(make_busy_holder(MANY_MINIONS))
    assert many <= MAX_GROWTH * few


def test_the_loss_of_an_idle_minion_does_not_look_at_the_runs_of_others() -> None:
    few = lines_of_lost_minion(make_busy_holder(MANY_MINIONS, jobs=1))
    many = lines_of_lost_minion(make_busy_holder(MANY_MINIONS, jobs=10))
    assert many <= MAX_GROWTH * few


def lines_of_idle_tick(entries: int) -> int:
    holder = Holder(FEW_MINIONS)
    holder.settle()
    for index in range(entries):
        address = Address("10.0.0.1", 7000 + index)
        member = EntryMember(f"entry-{index}", address, "zone-0", "inc", PARTS_FORMAT)
        holder.world.agreed.entries.put(member)
    holder.tick()
    return count_lines(holder.tick)


def test_an_idle_tick_does_not_look_at_every_entry() -> None:
    assert lines_of_idle_tick(300) <= MAX_GROWTH * lines_of_idle_tick(3)
