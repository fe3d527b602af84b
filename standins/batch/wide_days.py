"""Days with jobs of many steps, on entries whose ticks take time.

No such job may keep other jobs from running, nor cost the holder its lease.
``python -m standins.batch 1 20 --wide`` runs the days of seeds 1 to 20.
"""

from standins.batch.random_jobs import make_random_wide_job
from standins.batch.room_days import RoomDay
from standins.batch.soak import Outcome

__all__ = ["run_wide_day"]

LINES_PER_MS = 4_000  # of a slow processor
ARRIVAL_MS = 4_000
DAY_MS = 20_000  # more than the check of room takes to judge
MAX_WIDE_JOBS = 2
SMALL_JOBS = 6


class _WideDay(RoomDay):
    """A day in progress, whose holder should be the same all the while."""

    def run(self) -> Outcome:
        """Run the day, and return its outcome."""
        holder_name = self.deployment.holder().name
        for _ in range(self.rng.randint(1, MAX_WIDE_JOBS)):
            self.at_random(ARRIVAL_MS, self._submit_wide)
        for _ in range(SMALL_JOBS):
            self.at_random(ARRIVAL_MS, self.submit_random)
        self.deployment.run_for(DAY_MS)
        self.check_jobs()
        holder = self.deployment.holder()
        if holder is None or holder.name != holder_name:
            self.outcome.violations.append(f"LEASE {holder_name} has lost the lease")
        return self.outcome

    def _submit_wide(self) -> None:
        job = make_random_wide_job(self.rng)
        self.submit(job)
        self.outcome.injected_faults.append(
            f"{len(job.steps)} steps of {job.steps[-1].count} tasks,"
            f" the last needs {len(job.steps[-1].needs)}"
        )


def run_wide_day(seed: int) -> Outcome:
    """Run a day with jobs of many steps, and return its outcome."""
    return _WideDay(seed, LINES_PER_MS).run()
