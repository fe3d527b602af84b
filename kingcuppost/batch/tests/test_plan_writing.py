"""Appends of plans that the log refuses, for good or for a while."""

from collections.abc import Callable

import pytest

from kingcuppost.batch.edges.processes import make_batch_world
from kingcuppost.batch.systems.plan_parts import PART_TASKS
from kingcuppost.batch.systems.plan_writing import write_plans
from kingcuppost.batch.systems.plans import adopt_job, mark_plan_changed
from kingcuppost.batch.systems.task_phases import change_phase
from kingcuppost.batch.tables.config import DaemonConfig
from kingcuppost.batch.tables.fleet import HolderView
from kingcuppost.batch.tables.job import Job, StepSpec, TaskPhase
from kingcuppost.batch.tables.messages import Append, AppendEnded, AppendOutcome
from kingcuppost.batch.tables.plan import Plan
from kingcuppost.batch.tables.plan_writes import MAX_PARTS_PER_APPEND
from kingcuppost.batch.tables.world import BatchWorld
from kingcuppost.tables.config import Address
from kingcuppost.tables.identity import Role
from kingcuppost.utils import ManualClock

TICK_MS = 5
NARROW = StepSpec(1)
Rule = Callable[[Append], AppendOutcome]


class Writer:
    """A holder that writes plans to a log, which answers by a rule.

    Attributes
    ----------
    sent : list of tuple of int and Append
        Appends and when they were sent.
    """

    def __init__(self, rule: Rule) -> None:
        self.rule = rule
        self.clock = ManualClock(start_ms=1_000)
        self.sent: list[tuple[int, Append]] = []
        cfg = DaemonConfig(Role.ENTRY, "entry-0", "z", Address("10.0.0.1", 7000))
        self.world = make_batch_world(cfg, self.clock, seed=1)
        self.world.agreed.holder = HolderView(1, cfg.name, self.world.incarnation)
        self.world.schedule.term = 1
        self.world.schedule.is_open = self.world.schedule.is_loaded = True

    def change(self, *job_ids: str, step: StepSpec = NARROW) -> None:
        """Change the plans of jobs, which are new."""
        for job_id in job_ids:
            self.world.agreed.jobs.put(Job(job_id, "q", "t", "", (step,), 0, 0))
            adopt_job(self.world, job_id)
            mark_plan_changed(self.world, self.world.schedule.plans[job_id])

    def run(self, duration_ms: int) -> None:
        """Let the writer write, and the log answer, for some time."""
        for _ in range(0, duration_ms, TICK_MS):
            self.clock.advance(TICK_MS)
            write_plans(self.world, self.clock.now_ms())
            for append in self.world.outbox.take(Append):
                self.sent.append((self.clock.now_ms(), append))
                ended = AppendEnded(append.id, self.rule(append), reason="a rule")
                self.world.schedule.append_results.append(ended)

    def written(self, world: BatchWorld) -> set[str]:
        plans = world.schedule.plans.values()
        return {plan.job.id for plan in plans if plan.committed_version == plan.version}


def refuse(job_id: str) -> Rule:
    """Return the rule of a log that takes no plan of a job."""

    def rule(append: Append) -> AppendOutcome:
        is_bad = any(record.job_id == job_id for record in append.records)
        return AppendOutcome.INVALID if is_bad else AppendOutcome.DONE

    return rule


@pytest.mark.parametrize("count", [1, 2, 63, 200])
def test_a_plan_that_is_never_taken_keeps_no_other_out(count: int) -> None:
    writer = Writer(refuse("bad"))
    job_ids = [f"job-{index}" for index in range(count)]
    writer.change(*job_ids[: count // 2], "bad", *job_ids[count // 2 :])
    writer.run(500)
    assert writer.written(writer.world) == set(job_ids)
    writer.change("late")
    writer.run(100)
    assert "late" in writer.written(writer.world)


def test_a_plan_that_is_never_taken_is_tried_less_and_less() -> None:
    writer = Writer(refuse("bad"))
    writer.change("bad", *(f"job-{index}" for index in range(63)))
    writer.run(120_000)
    refused = [sent for sent in writer.sent if writer.rule(sent[1]) != "done"]
    assert len(refused) < 20
    assert writer.world.tally.counts["plans_held"]
    assert any(line.fields.get("job") == "bad" for line in writer.world.log_lines)


def test_sequence_numbers_have_no_gap_after_a_refusal_for_good() -> None:
    writer = Writer(refuse("bad"))
    writer.change("job-1", "bad", "job-2", "job-3")
    writer.run(5_000)
    taken = [sent[1].sequence for sent in writer.sent if writer.rule(sent[1]) == "done"]
    assert taken == list(range(1, len(taken) + 1))


def test_a_held_plan_is_written_once_the_log_takes_it() -> None:
    writer = Writer(refuse("bad"))
    writer.change("bad")
    writer.run(3_000)
    writer.rule = lambda append: AppendOutcome.DONE
    writer.run(8_000)
    assert writer.written(writer.world) == {"bad"}
    assert not writer.world.schedule.plan_writes.held


@pytest.mark.parametrize("outcome", [AppendOutcome.REFUSED, AppendOutcome.UNKNOWN])
def test_a_passing_refusal_is_repeated_with_growing_pauses(
    outcome: AppendOutcome,
) -> None:
    """The same append was sent again in every tick."""
    writer = Writer(lambda append: outcome)
    writer.change("job-1")
    writer.run(10_000)
    times = [time_ms for time_ms, _ in writer.sent]
    assert len({append.id for _, append in writer.sent}) == 1
    assert times[1] - times[0] < 50
    assert times[-1] - times[-2] > 200
    assert len(times) < 50
    writer.rule = lambda append: AppendOutcome.DONE
    writer.run(600)
    assert writer.written(writer.world) == {"job-1"}


def test_a_change_of_one_task_of_a_wide_job_is_one_small_record() -> None:
    writer = Writer(lambda append: AppendOutcome.DONE)
    writer.change("wide", step=StepSpec(10_000))
    plan = writer.world.schedule.plans["wide"]
    writer.run(100)
    writer.sent.clear()
    for task in plan.tasks[0]:
        task.run = 1
    change_phase(writer.world.schedule, plan, plan.tasks[0][7_003], TaskPhase.DONE)
    mark_plan_changed(writer.world, plan)
    writer.run(100)
    ((_, append),) = writer.sent
    (record,) = append.records
    assert len(record.progress.tasks) == PART_TASKS


def place_all(writer: Writer, job_id: str) -> Plan:
    plan = writer.world.schedule.plans[job_id]
    for task in plan.tasks[0]:
        task.run = 1
        change_phase(writer.world.schedule, plan, task, TaskPhase.DONE)
    mark_plan_changed(writer.world, plan)
    return plan


def test_a_plan_counts_as_written_only_with_its_last_part() -> None:
    """A run must not start before the log has its placement."""
    writer = Writer(lambda append: AppendOutcome.DONE)
    writer.change("wide", step=StepSpec(10_000))
    writer.run(100)
    writer.sent.clear()
    plan = place_all(writer, "wide")
    parts: set[int] = set()
    while plan.committed_version < plan.version:
        writer.run(TICK_MS)
        parts |= {record.part for record in writer.sent[-1][1].records}
    assert parts == set(range(1_000))
    assert max(len(append.records) for _, append in writer.sent) <= MAX_PARTS_PER_APPEND


def test_too_many_parts_for_one_append_are_written_in_smaller_ones() -> None:
    writer = Writer(
        lambda append: (
            AppendOutcome.INVALID if len(append.records) > 70 else AppendOutcome.DONE
        )
    )
    writer.change("wide", step=StepSpec(10_000))
    place_all(writer, "wide")
    writer.run(1_000)
    assert writer.written(writer.world) == {"wide"}
    assert not writer.world.schedule.plan_writes.held


def test_one_part_that_is_never_taken_holds_its_plan_alone() -> None:
    def rule(append: Append) -> AppendOutcome:
        parts = {getattr(record, "part", None) for record in append.records}
        return AppendOutcome.INVALID if 333 in parts else AppendOutcome.DONE

    writer = Writer(rule)
    writer.change("wide", step=StepSpec(10_000))
    writer.change("job-1")
    place_all(writer, "wide")
    writer.run(500)
    writer.change("job-2")
    writer.run(100)
    assert writer.written(writer.world) == {"job-1", "job-2"}
    assert set(writer.world.schedule.plan_writes.held) == {"wide"}
    writer.rule = lambda append: AppendOutcome.DONE
    writer.run(10_000)
    assert writer.written(writer.world) == {"job-1", "job-2", "wide"}


def test_a_removal_has_all_parts_of_its_job() -> None:
    writer = Writer(lambda append: AppendOutcome.DONE)
    job_ids = [f"wide-{index}" for index in range(5)]
    writer.change(*job_ids, step=StepSpec(10_000))
    writer.run(500)
    writer.sent.clear()
    writer.world.schedule.removals = dict.fromkeys(job_ids)
    writer.run(100)
    keys = {record.key for _, append in writer.sent for record in append.records}
    assert {f"progress/wide-4/{part}" for part in range(1_000)} <= keys
    assert {"progress/wide-0", "cancel/wide-0", "job/wide-0"} <= keys
    assert max(len(append.records) for _, append in writer.sent) <= 2_000


def test_no_other_append_gets_the_number_of_one_that_may_be_in_the_log() -> None:
    """The log would take it for a repeat, and its plans would count as written."""
    outcomes = [AppendOutcome.UNKNOWN, AppendOutcome.INVALID]
    writer = Writer(lambda append: outcomes[min(len(writer.sent), 2) - 1])
    writer.change("job-1", "job-2")
    writer.run(1_000)
    assert len(writer.sent) == 2
    assert writer.world.schedule.term == -1
