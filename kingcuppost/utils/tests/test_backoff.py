"""Pauses after failures grow up to a limit and vary."""

import random

from kingcuppost.utils.backoff import Backoff

RNG = random.Random(1)


def pause_ms(failures: int, rng: random.Random = RNG) -> int:
    """Return the pause after the last of some failures at the same time."""
    backoff = Backoff(20, 500)
    for _ in range(failures):
        backoff.fail(rng, now_ms=1_000)
    return backoff.until_ms - 1_000


def test_pauses_double_up_to_the_longest() -> None:
    for failures, longest_ms in enumerate((20, 40, 80, 160, 320, 500, 500), start=1):
        assert longest_ms // 2 <= pause_ms(failures) <= longest_ms
    assert 250 <= pause_ms(10_000) <= 500


def test_pauses_of_two_processes_differ() -> None:
    assert pause_ms(6, random.Random(1)) != pause_ms(6, random.Random(2))
