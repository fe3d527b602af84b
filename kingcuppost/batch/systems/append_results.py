"""Answers to the appends of an entry, which the system that sent them takes."""

from collections.abc import Container

from kingcuppost.batch.tables.messages import AppendEnded
from kingcuppost.batch.tables.world import BatchWorld

__all__ = ["take_append_results"]


def take_append_results(
    world: BatchWorld, append_ids: Container[str]
) -> list[AppendEnded]:
    """Remove and return the answers to some appends."""
    results = world.schedule.append_results
    taken = [answer for answer in results if answer.id in append_ids]
    for answer in taken:
        results.remove(answer)
    return taken
