"""Days of random jobs on random fleets that change, with `RoomCheck` all the while.

A day has several rounds. Each begins with changes of the fleet and faults, and goes on
calmly; jobs arrive all the time. ``python -m standins.batch 1 20 --room`` runs the days
of seeds 1 to 20.
"""

import random
from collections.abc import Callable

from kingcuppost.batch.tables.job import JobState, StepSpec
from kingcuppost.batch.tables.messages import CallOutcome
from standins.batch.deployment import Deployment
from standins.batch.faults import faults
from standins.batch.fleet_changes import fleet_changes
from standins.batch.fleets import make_random_fleet
from standins.batch.minion_faults import inject_minion_fault, minion_faults
from standins.batch.random_jobs import RandomJob, make_random_job
from standins.batch.room_check import RoomCheck, WatchedJob
from standins.batch.soak import Outcome

__all__ = ["RoomDay", "run_room_day"]

WARM_UP_MS = 5_000
ROUNDS = 2
ROUND_MS = 32_000
TROUBLE_MS = 3_000
END_MS = 16_000
JOBS_PER_ROUND = (5, 10, 16)  # light and full days
MAX_CHANGES_PER_ROUND = 4
FAULTS_PER_ROUND = 1
FAULTY_DAY_RATIO = 0.5
OCCUPIED_DAY_RATIO = 0.5
LONG_MS = 200_000.0  # longer than a day
CANCEL_RATIO = 0.05
CANCEL_AFTER_MS = 4_000


class RoomDay:
    """A day in progress: its deployment, its check and what happened to it.

    Parameters
    ----------
    seed : int
        Seed of the fleet, the jobs and the deployment.
    lines_per_ms : int
        Lines of Python that an entry executes in 1 ms; if 0, its ticks take no time.
    """

    def __init__(self, seed: int, lines_per_ms: int = 0) -> None:
        # apart from the deployment's, so that the jobs of a seed do not depend on it
        self.rng = random.Random(seed)
        fleet = make_random_fleet(self.rng)
        self.deployment = Deployment(seed, fleet=fleet, lines_per_ms=lines_per_ms)
        self.deployment.run_for(WARM_UP_MS)
        self.check = RoomCheck(self.deployment)
        self.outcome = Outcome(seed, self.deployment.checks.violations)

    def run(self) -> Outcome:
        """Run the day, and return its outcome."""
        jobs_per_round = self.rng.choice(JOBS_PER_ROUND)
        has_faults = self.rng.random() < FAULTY_DAY_RATIO
        if self.rng.random() < OCCUPIED_DAY_RATIO:
            self._occupy_racks()
        for _ in range(ROUNDS):
            self._begin_round(jobs_per_round, has_faults)
            self.deployment.run_for(ROUND_MS)
        self.deployment.run_for(END_MS)
        self.check_jobs()
        return self.outcome

    def _occupy_racks(self) -> None:
        """Start a small task in each rack that lasts longer than the day."""
        racks = {minion.rack for minion in self.deployment.minions.values()}
        for rack in sorted(racks):
            step = StepSpec(
                1, cpu_millis=2_000, accelerators=1, estimate_ms=int(LONG_MS), rack=rack
            )
            self.submit(RandomJob((step,), [LONG_MS], 1, "key-a"))

    def _begin_round(self, jobs: int, has_faults: bool) -> None:
        for _ in range(jobs):
            self.at_random(ROUND_MS, self.submit_random)
        for _ in range(self.rng.randint(0, MAX_CHANGES_PER_ROUND)):
            self.at_random(TROUBLE_MS, self._change_fleet)
        for _ in range(FAULTS_PER_ROUND if has_faults else 0):
            self.at_random(TROUBLE_MS, self._inject_fault)

    def at_random(self, span_ms: int, run: Callable[[], None]) -> None:
        """Run a function at a random time within the next `span_ms`."""
        self.deployment.after(self.rng.random() * span_ms, run)

    def _change_fleet(self) -> None:
        name = self.rng.choice(list(fleet_changes))
        self._note(name, fleet_changes[name](self.deployment))

    def _inject_fault(self) -> None:
        name = self.rng.choice([*faults, *minion_faults])
        if name in faults:
            self._note(name, faults[name](self.deployment))
        else:
            self._note(name, inject_minion_fault(self.deployment, name))

    def _note(self, name: str, target: str) -> None:
        self.check.note_disturbance()
        at_s = self.deployment.clock.now_ms() / 1_000
        self.outcome.injected_faults.append(f"{at_s:.1f} {name} {target}")

    def submit_random(self) -> None:
        """Submit a random job that the fleet could do if it were idle."""
        minions = list(self.deployment.minions.values())
        self.submit(make_random_job(self.rng, minions))

    def submit(self, job: RandomJob) -> None:
        """Submit a job, and perhaps cancel it later."""
        job_id, exchange_id = self.deployment.submit(
            job.steps, job.work_ms, job.priority, api_key=job.api_key
        )
        self.check.watch(job_id, job.priority, exchange_id)
        if self.rng.random() < CANCEL_RATIO:
            self.deployment.after(
                CANCEL_AFTER_MS, lambda: self._cancel(job_id, job.priority)
            )

    def _cancel(self, job_id: str, priority: int) -> None:
        self.check.forget(job_id)
        self.deployment.cancel(job_id, priority)

    def check_jobs(self) -> None:
        """Check that the state of each accepted job is answered, and count the jobs."""
        for job in self.check.jobs.values():
            reply = self.deployment.replies.get(job.exchange_id)
            if reply is None or reply.outcome is not CallOutcome.OK:
                continue
            self.outcome.jobs += 1
            state = self._find_state(job)
            self.outcome.completed += state is JobState.COMPLETED
            if state is None:
                self.outcome.violations.append(f"LOST {job.id} is not known")

    def _find_state(self, job: WatchedJob) -> JobState | None:
        """Return the state that an entry in touch shows."""
        entry = self.check.entries_in_touch()[0].name
        return self.deployment.state(job.id, job.priority, entry)


def run_room_day(seed: int) -> Outcome:
    """Run a day of random jobs on a random fleet, and return its outcome."""
    return RoomDay(seed).run()
