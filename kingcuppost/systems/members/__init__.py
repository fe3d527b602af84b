"""Members of gangs at a sidecar."""

from kingcuppost.systems.members.gangs import (
    hear_members,
    report_to_leaders,
    take_leader_replies,
    watch_gangs,
)
from kingcuppost.systems.members.heartbeats import (
    send_heartbeats,
    take_heartbeat_replies,
)
from kingcuppost.systems.members.renewals import renew_tasks, take_worker_answers
from kingcuppost.systems.members.stopping import (
    forget_members,
    give_up_silent,
    stop_isolated,
    stop_lapsed,
)
from kingcuppost.systems.members.tasks import follow_gangs, start_members

__all__ = [
    "follow_gangs",
    "forget_members",
    "give_up_silent",
    "hear_members",
    "renew_tasks",
    "report_to_leaders",
    "send_heartbeats",
    "start_members",
    "stop_isolated",
    "stop_lapsed",
    "take_heartbeat_replies",
    "take_leader_replies",
    "take_worker_answers",
    "watch_gangs",
]
