"""Agreement through the log: following, proposing, leases, announcements."""

from kingcuppost.systems.agreement.announce import announce, leave
from kingcuppost.systems.agreement.follow import (
    fold_reads,
    is_fresh,
    issue_read,
    want_barrier,
)
from kingcuppost.systems.agreement.lease import (
    answer_watchers,
    hold_lease,
    is_scheduler,
)
from kingcuppost.systems.agreement.propose import (
    answer_proposers,
    propose,
    send_proposals,
    take_wishes,
)

__all__ = [
    "announce",
    "answer_proposers",
    "answer_watchers",
    "fold_reads",
    "hold_lease",
    "is_fresh",
    "is_scheduler",
    "issue_read",
    "leave",
    "propose",
    "send_proposals",
    "take_wishes",
    "want_barrier",
]
