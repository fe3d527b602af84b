"""The steps that are ready, kept with each change of a phase, match the tasks."""

from hypothesis import given, settings
from hypothesis import strategies as st

from kingcuppost.batch.systems.plans import load_plan
from kingcuppost.batch.systems.task_phases import change_phase
from kingcuppost.batch.tables.job import (
    Job,
    JobPolicy,
    JobState,
    MinionIncarnation,
    Progress,
    StepSpec,
    TaskPhase,
    TaskProgress,
)
from kingcuppost.batch.tables.plan import Plan
from kingcuppost.batch.tables.world import Schedule

INCARNATION = MinionIncarnation("m", 1)
NEXT_PHASES = {
    TaskPhase.WAITING: (TaskPhase.PLACED, TaskPhase.DONE),
    TaskPhase.PLACED: (TaskPhase.WAITING, TaskPhase.DONE),
    TaskPhase.DONE: (),
}


def make_job(steps: tuple[StepSpec, ...]) -> Job:
    return Job("0123456789abcdef", "q", "t", "", steps, 0, 0, JobPolicy("svc", 1, 2))


def find_ready_steps(plan: Plan) -> set[int]:
    """Return the ready steps as the phases of all tasks tell them."""
    done = {
        index
        for index, tasks in enumerate(plan.tasks)
        if all(task.phase is TaskPhase.DONE for task in tasks)
    }
    return {
        index
        for index, tasks in enumerate(plan.tasks)
        if done.issuperset(plan.job.steps[index].needs)
        and any(task.phase is TaskPhase.WAITING for task in tasks)
    }


@st.composite
def jobs(draw: st.DrawFn) -> Job:
    count = draw(st.integers(1, 5))
    return make_job(
        tuple(
            StepSpec(
                draw(st.integers(1, 3)),
                needs=tuple(draw(st.lists(st.integers(0, index - 1), max_size=3)))
                if index
                else (),
            )
            for index in range(count)
        )
    )


@settings(derandomize=True, deadline=None)
@given(jobs(), st.data())
def test_ready_steps_match_the_phases_of_the_tasks(
    job: Job, data: st.DataObject
) -> None:
    schedule, plan = Schedule(), load_plan(job)
    for _ in range(data.draw(st.integers(0, 20))):
        tasks = [
            task for step in plan.tasks for task in step if NEXT_PHASES[task.phase]
        ]
        if not tasks:
            break
        task = data.draw(st.sampled_from(tasks))
        phase = data.draw(st.sampled_from(NEXT_PHASES[task.phase]))
        incarnation = INCARNATION if phase is TaskPhase.PLACED else None
        change_phase(schedule, plan, task, phase, incarnation)
        assert set(plan.ready_steps) == find_ready_steps(plan)


@settings(derandomize=True, deadline=None)
@given(jobs(), st.data())
def test_a_loaded_plan_knows_its_ready_steps(job: Job, data: st.DataObject) -> None:
    rows = tuple(
        TaskProgress(step, index, phase, 1, 0, "m", 1, "side", 0, "")
        for step, spec in enumerate(job.steps)
        for index in range(spec.count)
        for phase in [data.draw(st.sampled_from(TaskPhase))]
    )
    job.progress = Progress(JobState.RUNNING, True, rows)
    plan = load_plan(job)
    assert set(plan.ready_steps) == find_ready_steps(plan)
