"""Waves of departures: which minions are likely to leave next.

Designed for rollouts that replace the minions of a service step by step: replacements
start first, and the older minions drain after them. A gang that starts again on older
minions is hit by one of the next steps. While a wave lasts, minions that started with
it count as replacements and stay; the others may leave soon.
"""

from kingcuppost.batch.tables.departures import DepartureWave
from kingcuppost.batch.tables.fleet import MinionRow
from kingcuppost.batch.tables.world import BatchWorld

__all__ = ["has_departures", "may_depart", "note_departure"]

WAVE_GAP_MS = 5_000  # without a departure, after which a wave is over
REPLACEMENT_LEAD_MS = 5_000  # from a replacement's start to the first departure


def note_departure(world: BatchWorld, minion: MinionRow, now_ms: int) -> None:
    """Note that a minion has begun to drain, as part of its service's wave."""
    waves = world.schedule.departure_waves
    wave = waves.get(minion.service)
    if wave is None or now_ms - wave.last_ms > WAVE_GAP_MS:
        waves[minion.service] = DepartureWave(world.clock.wall_ms(), now_ms)
    else:
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
