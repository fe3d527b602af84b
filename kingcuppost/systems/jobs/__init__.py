"""Jobs: capacity, guarantees, placement, and the scheduler's part in gangs."""

from kingcuppost.systems.jobs.baselines import choose_first_fit
from kingcuppost.systems.jobs.choice import Choice, Policy, policies
from kingcuppost.systems.jobs.faults import follow_faults
from kingcuppost.systems.jobs.gangs import advance_gangs
from kingcuppost.systems.jobs.guarantees import is_covered, report_uncovered
from kingcuppost.systems.jobs.intake import follow_queue
from kingcuppost.systems.jobs.judging import judge_jobs
from kingcuppost.systems.jobs.occupancy import track_occupancy
from kingcuppost.systems.jobs.placement import place_jobs
from kingcuppost.systems.jobs.reports import take_reports
from kingcuppost.systems.jobs.shapes import choose_shapes
from kingcuppost.systems.jobs.zones import leave_zones

__all__ = [
    "Choice",
    "Policy",
    "advance_gangs",
    "choose_first_fit",
    "choose_shapes",
    "follow_faults",
    "follow_queue",
    "is_covered",
    "judge_jobs",
    "leave_zones",
    "place_jobs",
    "policies",
    "report_uncovered",
    "take_reports",
    "track_occupancy",
]
