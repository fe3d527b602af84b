"""Jobs: placement, and the scheduler's part in a gang's life."""

from kingcuppost.systems.jobs.gangs import advance_gangs
from kingcuppost.systems.jobs.placement import Choice, place_jobs, policies
from kingcuppost.systems.jobs.reports import take_reports

__all__ = ["Choice", "advance_gangs", "place_jobs", "policies", "take_reports"]
