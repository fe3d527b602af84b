"""Days with jobs of many steps, on entries whose ticks take time.

No such job may keep other jobs from running, nor cost a holder its lease. On half of
the days the holder is killed once, so that the next one has to load these jobs.
``python -m standins.batch 1 20 --wide`` runs the days of seeds 1 to 20.
"""

from standins.batch.random_jobs import make_random_wide_job
from standins.batch.room_days import RoomDay
from standins.batch.soak import Outcome

__all__ = ["run_wide_day"]

LINES_PER_MS = 4_000  # of a slow processor
ARRIVAL_MS = 4_000
KILL_AFTER_MS = 3_000
DAY_MS = 20_000  # more than the check of room takes to judge
DAY_AFTER_KILL_MS = 30_000
KILL_RATIO = 0.5
HOLDER_CHECK_MS = 100
MAX_WIDE_JOBS = 2
SMALL_JOBS = 6


class _WideDay(RoomDay):
    """A day in progress, whose holders should change only if they are killed."""

    def run(self) -> Outcome:
        """Run the day, and return its outcome."""
        self.kills = 0
        self.holders = [self.deployment.holder().name]
        for _ in range(self.rng.randint(1, MAX_WIDE_JOBS)):
            self.at_random(ARRIVAL_MS, self._submit_wide)
        for _ in range(SMALL_JOBS):
            self.at_random(ARRIVAL_MS, self.submit_random)
        day_ms = DAY_MS
        if self.rng.random() < KILL_RATIO:
            day_ms = DAY_AFTER_KILL_MS
            self.deployment.after(
                KILL_AFTER_MS, lambda: self.at_random(ARRIVAL_MS, self._kill_holder)
            )
        self._watch_holder()
        self.deployment.run_for(day_ms)
        self.check_jobs()
        if len(self.holders) > 1 + self.kills:
            self.outcome.violations.append(f"LEASE held by {', '.join(self.holders)}")
        return self.outcome

    def _submit_wide(self) -> None:
        job = make_random_wide_job(self.rng)
        self.submit(job)
        self.outcome.injected_faults.append(
            f"{len(job.steps)} steps of {job.steps[-1].count} tasks,"
            f" the last needs {len(job.steps[-1].needs)}"
        )

    def _kill_holder(self) -> None:
        holder = self.deployment.holder()
        if holder is not None:
            self.kills += 1
            self.check.note_disturbance()
            self.deployment.kill(holder.name)
            self.outcome.injected_faults.append(f"{holder.name} is killed")

    def _watch_holder(self) -> None:
        """Note each change of the holder, all the while."""
        holder = self.deployment.holder()
        if holder is not None and holder.name != self.holders[-1]:
            self.holders.append(holder.name)
        self.deployment.after(HOLDER_CHECK_MS, self._watch_holder)


def run_wide_day(seed: int) -> Outcome:
    """Run a day with jobs of many steps, and return its outcome."""
    return _WideDay(seed, LINES_PER_MS).run()
