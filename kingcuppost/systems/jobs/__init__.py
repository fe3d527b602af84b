"""Scheduling of jobs: capacity, guarantees, placement and the stages of gangs."""

from kingcuppost.systems.jobs.baselines import choose_first_fit
from kingcuppost.systems.jobs.choice import Choice, Policy, policies
from kingcuppost.systems.jobs.faults import track_faults
from kingcuppost.systems.jobs.feasibility import check_feasibility
from kingcuppost.systems.jobs.gangs import advance_gangs
from kingcuppost.systems.jobs.guarantees import is_covered, report_uncovered
from kingcuppost.systems.jobs.member_reports import handle_member_reports
from kingcuppost.systems.jobs.occupancy import track_occupancy
from kingcuppost.systems.jobs.placement import place_jobs
from kingcuppost.systems.jobs.queueing import update_queue
from kingcuppost.systems.jobs.shapes import choose_shapes
from kingcuppost.systems.jobs.zones import evacuate_zones

__all__ = [
    "Choice",
    "Policy",
    "advance_gangs",
    "check_feasibility",
    "choose_first_fit",
    "choose_shapes",
    "evacuate_zones",
    "handle_member_reports",
    "is_covered",
    "place_jobs",
    "policies",
    "report_uncovered",
    "track_faults",
    "track_occupancy",
    "update_queue",
]
