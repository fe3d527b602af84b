"""Jobs: capacity, guarantees, placement, and the scheduler's part in gangs."""

from kingcuppost.systems.jobs.baselines import choose_first_fit
from kingcuppost.systems.jobs.choice import Choice, Policy, policies
from kingcuppost.systems.jobs.gangs import advance_gangs
from kingcuppost.systems.jobs.guarantees import is_covered, report_uncovered
from kingcuppost.systems.jobs.occupancy import track_occupancy
from kingcuppost.systems.jobs.placement import place_jobs
from kingcuppost.systems.jobs.reports import take_reports
from kingcuppost.systems.jobs.shapes import choose_shapes

__all__ = [
    "Choice",
    "Policy",
    "advance_gangs",
    "choose_first_fit",
    "choose_shapes",
    "is_covered",
    "place_jobs",
    "policies",
    "report_uncovered",
    "take_reports",
    "track_occupancy",
]
