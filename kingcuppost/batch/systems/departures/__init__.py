"""Decisions on minions that are about to leave, and on the work that they run."""

from kingcuppost.batch.systems.departures.drains import DrainDecisions, is_stop_better
from kingcuppost.batch.systems.departures.waves import may_depart, note_departure

__all__ = ["DrainDecisions", "is_stop_better", "may_depart", "note_departure"]
