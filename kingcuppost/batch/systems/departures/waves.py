"""Waves of departures: which minions are likely to leave next.

Designed for rollouts that replace the minions of a service step by step: replacements
start first, and the older minions drain after them. A gang that starts again on older
minions is hit by one of the next steps. While a wave lasts, minions that started with
it count as replacements and stay; the others may leave soon.
"""

from kingcuppost.batch.tables.departures import DepartureWave
from kingcuppost.batch.tables.fleet import MinionRow
from kingcuppost.batch.tables.world import BatchWorld

__all__ = ["departure_rate", "has_departures", "may_depart", "note_departure"]

WAVE_GAP_MS = 5_000  # without a departure, after which a wave is over
REPLACEMENT_LEAD_MS = 5_000  # from a replacement's start to the first departure
STEP_GAP_MS = 300  # between departures of one step and those of the next
ROLLOUT_STEPS = 2  # from which on further steps are expected
NEXT_STEP_FACTOR = 2  # of the mean pause between steps, for the next one to be expected


def note_departure(world: BatchWorld, minion: MinionRow, now_ms: int) -> None:
    """Note that a minion has begun to drain, as part of its service's wave."""
    waves = world.schedule.departure_waves
    wave = waves.get(minion.service)
    if wave is None or now_ms - wave.last_ms > WAVE_GAP_MS:
        waves[minion.service] = DepartureWave(world.clock.wall_ms(), now_ms, now_ms)
        return
    wave.departures += 1
    if now_ms - wave.last_ms > STEP_GAP_MS:
        wave.steps += 1
    wave.last_ms = now_ms


def has_departures(world: BatchWorld, service: str) -> bool:
    """Return whether minions of a service have departed in this term."""
    return service in world.schedule.departure_waves


def may_depart(world: BatchWorld, minion: MinionRow, now_ms: int) -> bool:
    """Return whether a minion may be among the next that leave in a wave."""
    wave = world.schedule.departure_waves.get(minion.service)
    if wave is None or now_ms - wave.last_ms > WAVE_GAP_MS:
        return False
    return minion.incarnation.born_ms < wave.began_wall_ms - REPLACEMENT_LEAD_MS


def departure_rate(world: BatchWorld, service: str, now_ms: int) -> float:
    """Return how many minions of a service are expected to leave in one ms.

    It is 0 unless a rollout has shown its pace by several steps, and once the next step
    is overdue. Minions that leave at one moment alone, as reclaimed machines do, say
    nothing about others.
    """
    wave = world.schedule.departure_waves.get(service)
    if wave is None or wave.steps < ROLLOUT_STEPS:
        return 0.0
    step_ms = (wave.last_ms - wave.began_ms) / (wave.steps - 1)
    if now_ms - wave.last_ms > NEXT_STEP_FACTOR * step_ms:
        return 0.0
    return wave.departures / wave.steps / step_ms
