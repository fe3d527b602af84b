"""What callers get from the whole holder under overload, by the order of the queue."""

import random
from statistics import mean

import pytest

from bench.holder import MINION_CAPACITY, Holder
from kingcuppost.batch.tables.job import StepSpec

MINIONS = 24
STEP_MS = 200
ARRIVE_MS = 60_000
TASK_CORES = 26  # two fit on a minion
MEMBERS = (6, 7, 8)
MAX_PLAY_MS = 400_000
SLACK_FACTOR = 2.0  # of the holder's queues
LATE_FACTOR = 3
SEEDS = (1, 2, 3)  # the largest tenth of one play is 10 jobs


class Play:
    """One queue of gangs of 12 to 14 s, played until all of them have ended.

    Attributes
    ----------
    submitted, started, ended : dict of str to int
        Time of each job's submission, first run and end, in ms.
    steps : dict of str to StepSpec
        The step of each job.
    """

    def __init__(self, queue_order: str, load: float, seed: int) -> None:
        self.rng = random.Random(seed)
        self.holder = Holder(MINIONS)
        self.holder.world.queue_order = queue_order
        self.submitted: dict[str, int] = {}
        self.started: dict[str, int] = {}
        self.ended: dict[str, int] = {}
        self.steps: dict[str, StepSpec] = {}
        slots = MINIONS * (MINION_CAPACITY.cpu_millis // (TASK_CORES * 1_000))
        jobs_per_ms = load * slots / 7 / 13_000
        due, now_ms = 0.0, 0
        while now_ms < ARRIVE_MS or len(self.ended) < len(self.submitted):
            assert now_ms < MAX_PLAY_MS
            if now_ms < ARRIVE_MS:
                due += jobs_per_ms * STEP_MS * self.rng.uniform(0, 2)
                while due >= 1:
                    due -= 1
                    self._submit(now_ms)
            for index in range(MINIONS):
                self._report(index, now_ms)
            self.holder.tick()
            self.holder.tick()
            self.holder.clock.advance(STEP_MS)
            now_ms += STEP_MS

    def _submit(self, now_ms: int) -> None:
        step = StepSpec(
            self.rng.choice(MEMBERS),
            cpu_millis=TASK_CORES * 1_000,
            estimate_ms=self.rng.randrange(12_000, 14_001),
            gang=True,
        )
        job_id = self.holder.submit((step,), priority=1)
        self.submitted[job_id], self.steps[job_id] = now_ms, step

    def _report(self, index: int, now_ms: int) -> None:
        ended = []
        for key in self.holder.running[f"side-{index}"]:
            job_id = key[0].job
            started_ms = self.started.setdefault(job_id, now_ms)
            error = random.Random(job_id).uniform(0.85, 1.15)
            if now_ms - started_ms >= error * self.steps[job_id].estimate_ms:
                ended.append(key)
                self.ended.setdefault(job_id, now_ms)
        self.holder.report(index, ended=tuple(ended))

    def share_of_use(self, job_ids: list[str]) -> float:
        """Return the share of jobs that ended within three times their target."""
        count = sum(
            self.ended[job_id] - self.submitted[job_id]
            <= LATE_FACTOR * SLACK_FACTOR * self.steps[job_id].estimate_ms
            for job_id in job_ids
        )
        return count / len(job_ids)

    def largest_tenth(self) -> list[str]:
        """Return the jobs with the most work."""
        work = {key: step.count * step.estimate_ms for key, step in self.steps.items()}
        return sorted(work, key=work.__getitem__)[-(len(work) // 10) :]


def mean_share_of_use(plays: list[Play], largest: bool = False) -> float:
    return mean(
        play.share_of_use(play.largest_tenth() if largest else list(play.ended))
        for play in plays
    )


@pytest.mark.parametrize("load", [2.2, 3.0])
def test_more_jobs_are_of_use_by_cost_than_by_deadline(load: float) -> None:
    # guards against a forecast that the real placement of gangs makes useless
    by_cost, by_deadline = (
        [Play(name, load, seed) for seed in SEEDS] for name in ("cost", "deadline")
    )
    share = mean_share_of_use(by_cost)
    assert share >= mean_share_of_use(by_deadline) + 0.1
    assert mean_share_of_use(by_cost, largest=True) >= 0.5 * share
