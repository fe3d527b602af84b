"""Ends that two incarnations of a minion number alike."""

from dataclasses import replace

from bench.holder import Holder
from kingcuppost.batch.tables.job import (
    MinionIncarnation,
    RunEnd,
    StepSpec,
    TaskPhase,
)
from kingcuppost.batch.tables.messages import EndedRun, SyncCall

PAIR = StepSpec(2, cpu_millis=5_600, accelerators=1)


def test_an_end_of_the_next_incarnation_is_not_taken_for_one_of_the_earlier() -> None:
    """Every incarnation numbers its ends from 1, so the second end was skipped."""
    holder = Holder(1)
    job = holder.submit((PAIR,))
    holder.tick()
    holder.settle()
    first, second = holder.world.schedule.plans[job].tasks[0]
    holder.report(0, ended=((first.name, 1),))
    holder.tick()
    assert first.phase is TaskPhase.DONE
    minion = holder.world.schedule.minions.get("side-0")
    report = replace(
        holder._minion_report(0),
        incarnation=MinionIncarnation(minion.incarnation.minion, 2),
    )
    ended = EndedRun(1, second.name, 1, RunEnd.DONE, "")
    holder.world.inbox.put(
        SyncCall("side-0/99", "side-0", "inc", 99, 0, report, (), (ended,), ())
    )
    holder.tick()
    assert second.phase is TaskPhase.DONE
