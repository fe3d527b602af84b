"""Measures the duration of a tick that handles a single new job."""

import random
from time import perf_counter

from bench.driver import Driver
from bench.workloads import MINUTE_MS, Arrival, sized_deployment
from kingcuppost.tables.job import Urgency

__all__ = ["tick_times"]

WARM_UP_MS = 30 * MINUTE_MS
TICK_COUNT = 600
JOB_PERIOD_MS = MINUTE_MS // 6
MS_PER_SECOND = 1_000


def tick_times(seed: int, scale: int) -> list[float]:
    """Return the durations of ticks that handle one new small job each, in ms.

    Parameters
    ----------
    seed : int
        Seed of the workload.
    scale : int
        Multiple of the design size.

    Returns
    -------
    list of float
        One duration for each arrival of a small job.
    """
    rng = random.Random(seed)
    driver = Driver(sized_deployment("ticks", rng, seed, scale), "shapes")
    driver.run(WARM_UP_MS)
    times = []
    for number in range(TICK_COUNT):
        driver.submit(_small_job(number, rng, driver))
        start = perf_counter()
        driver.tick()
        times.append((perf_counter() - start) * MS_PER_SECOND)
        driver.run(driver.clock.now_ms() + JOB_PERIOD_MS)
    return times


def _small_job(number: int, rng: random.Random, driver: Driver) -> Arrival:
    team = rng.choice(list(driver.deployment.teams))
    urgency = rng.choice(list(Urgency))
    run_ms = rng.randrange(MINUTE_MS, 10 * MINUTE_MS)
    size = rng.choice((0, 1, 2, 4))
    return Arrival(
        driver.clock.now_ms(),
        f"tick-{number}",
        team,
        1,
        size,
        3,
        500,
        urgency,
        run_ms,
        run_ms,
        200,
    )
