"""All members of a run of a gang start from one checkpoint, whatever was lost."""

from collections.abc import Callable

import pytest

from kingcuppost.batch.tables.job import JobState, StepSpec
from standins.batch import Deployment
from standins.batch.fleets import MinionSpec
from standins.batch.minions import Minion

WORK_MS = 9_000
NARROW = 4
WIDE = 12  # more tasks than one part of a plan
SPEEDS = (1.2, 1.0, 0.8)
RECOVERY_MS = 40_000
Loss = Callable[[Deployment, list[Minion]], None]


def restart_all(deployment: Deployment, members: list[Minion]) -> None:
    """Lose all members at one moment, as with the power of a zone."""
    for minion in members:
        minion.crash()
        minion.restart()


def restart_all_with_processes(deployment: Deployment, members: list[Minion]) -> None:
    """Lose all members and all processes, so that only the log knows of the gang."""
    names = list(deployment.processes)
    for name in names:
        deployment.kill(name)
    restart_all(deployment, members)
    for name in names:
        deployment.start(name)


def restart_all_after_holder(deployment: Deployment, members: list[Minion]) -> None:
    """Lose the holder, and a moment later all members."""
    deployment.kill(deployment.holder().name)
    deployment.run_for(300)
    restart_all(deployment, members)


def restart_one_after_another(deployment: Deployment, members: list[Minion]) -> None:
    for minion in members:
        restart_all(deployment, [minion])
        deployment.run_for(150)


def freeze_last(deployment: Deployment, members: list[Minion]) -> None:
    """Let the last member end with its lease, after the others were stopped."""
    members[-1].is_frozen = True


def freeze_all(deployment: Deployment, members: list[Minion]) -> None:
    for minion in members:
        minion.is_frozen = True
    deployment.run_for(RECOVERY_MS)
    for minion in members:
        minion.is_frozen = False


LOSSES = [
    restart_all,
    restart_all_with_processes,
    restart_all_after_holder,
    restart_one_after_another,
    freeze_last,
    freeze_all,
]


def start_gang(members: int) -> tuple[Deployment, str, list[Minion]]:
    """Return a deployment, a gang that has saved checkpoints, and its minions.

    The minions work at different speeds, so that the newest checkpoints differ.
    """
    fleet = tuple(
        MinionSpec(f"m-{index}", "z-0", f"r-{index // 4}", speed=SPEEDS[index % 3])
        for index in range(members + 2)
    )
    deployment = Deployment(1, fleet=fleet)
    deployment.run_for(3_000)
    step = StepSpec(members, cpu_millis=40_000, accelerators=8, gang=True, saves=True)
    job_id, _ = deployment.submit((step,), [WORK_MS])
    deployment.run_for(4_700)
    minions = [minion for minion in deployment.minions.values() if minion.runs]
    assert len(minions) == members
    return deployment, job_id, minions


@pytest.mark.parametrize("lose", LOSSES)
@pytest.mark.parametrize("members", [NARROW, WIDE])
def test_members_start_again_from_one_checkpoint(members: int, lose: Loss) -> None:
    """Each member started from the checkpoint that was last read of it alone."""
    deployment, job_id, minions = start_gang(members)
    lose(deployment, minions)
    assert deployment.run_until(
        lambda: deployment.state(job_id) is JobState.COMPLETED, RECOVERY_MS
    )
    assert not deployment.checks.violations
    later = [
        checkpoint
        for (_, _, run), checkpoint in deployment.checks.gang_checkpoints.items()
        if run > 1
    ]
    assert later
    assert all(later), "saved work was not used"
