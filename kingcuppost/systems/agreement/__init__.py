"""Agreement through the log: reads, proposals, lease, snapshots, announcements."""

from kingcuppost.systems.agreement.announce import announce, stop_gracefully
from kingcuppost.systems.agreement.follow import fold_reads, issue_read
from kingcuppost.systems.agreement.freshness import (
    fresh_age_ms,
    is_following,
    is_fresh,
    request_barrier,
)
from kingcuppost.systems.agreement.propose import (
    answer_proposers,
    handle_proposal_requests,
    has_queue_capacity,
    propose,
)
from kingcuppost.systems.agreement.scheduling_lease import (
    answer_holder_pings,
    is_scheduler,
    monitor_holder,
)
from kingcuppost.systems.agreement.sending import send_proposals
from kingcuppost.systems.agreement.snapshots import write_snapshots

__all__ = [
    "announce",
    "answer_holder_pings",
    "answer_proposers",
    "fold_reads",
    "fresh_age_ms",
    "handle_proposal_requests",
    "has_queue_capacity",
    "is_following",
    "is_fresh",
    "is_scheduler",
    "issue_read",
    "monitor_holder",
    "propose",
    "request_barrier",
    "send_proposals",
    "stop_gracefully",
    "write_snapshots",
]
