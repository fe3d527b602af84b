"""Agreement through the log: following, proposing, leases, announcements."""

from kingcuppost.systems.agreement.announce import announce, leave
from kingcuppost.systems.agreement.follow import fold_reads, issue_read
from kingcuppost.systems.agreement.freshness import (
    fresh_age_ms,
    is_following,
    is_fresh,
    request_barrier,
)
from kingcuppost.systems.agreement.propose import (
    answer_proposers,
    has_room,
    propose,
    take_wishes,
)
from kingcuppost.systems.agreement.scheduling_lease import (
    answer_watchers,
    hold_lease,
    is_scheduler,
)
from kingcuppost.systems.agreement.sending import send_proposals
from kingcuppost.systems.agreement.snapshots import write_snapshots

__all__ = [
    "announce",
    "answer_proposers",
    "answer_watchers",
    "fold_reads",
    "fresh_age_ms",
    "has_room",
    "hold_lease",
    "is_following",
    "is_fresh",
    "is_scheduler",
    "issue_read",
    "leave",
    "propose",
    "send_proposals",
    "take_wishes",
    "request_barrier",
    "write_snapshots",
]
