"""Gang members at a sidecar: orders to the worker, leases, and reports."""

from kingcuppost.systems.members.gangs import (
    handle_gang_reports,
    handle_leader_replies,
    propose_gang_finishes,
    report_to_leaders,
)
from kingcuppost.systems.members.heartbeats import (
    handle_heartbeat_replies,
    send_heartbeats,
)
from kingcuppost.systems.members.renewals import handle_worker_answers, renew_tasks
from kingcuppost.systems.members.stopping import (
    forget_members,
    presume_stopped_members,
    stop_isolated_members,
    stop_lapsed_members,
)
from kingcuppost.systems.members.tasks import reconcile_gangs, start_members

__all__ = [
    "forget_members",
    "handle_heartbeat_replies",
    "handle_leader_replies",
    "handle_gang_reports",
    "handle_worker_answers",
    "presume_stopped_members",
    "propose_gang_finishes",
    "reconcile_gangs",
    "renew_tasks",
    "report_to_leaders",
    "send_heartbeats",
    "start_members",
    "stop_isolated_members",
    "stop_lapsed_members",
]
