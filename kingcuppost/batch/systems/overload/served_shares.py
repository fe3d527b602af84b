"""Whether large jobs are served often enough, from the jobs of a rank seen lately."""

from bisect import bisect_left, insort

from kingcuppost.batch.tables.overload import OrderState, ServedShare

__all__ = ["change_lost", "may_lose_large", "note_job"]

RECENT_JOBS = 200  # the largest tenth is then 20 jobs
MIN_JOBS = 10  # a tenth of fewer is no whole job
LARGE_PERCENTILE = 90
FULL_PERCENT = 100
MAX_SEEN = 1_000  # the counts are halved there, so that old jobs weigh less
# Served share of the largest tenth relative to that of all jobs. It must not fall below
# a half; the forecast notices a lost job late, so large ones are protected before that.
MIN_SERVED_RATIO = 0.7


def note_job(share: ServedShare, work_ms: float) -> OrderState:
    """Count a job that is new to its rank; return its state.

    Jobs of equal size are not large.
    """
    insort(share.sorted_work, work_ms)
    share.recent_work.append(work_ms)
    if len(share.recent_work) > RECENT_JOBS:
        oldest = share.recent_work.popleft()
        del share.sorted_work[bisect_left(share.sorted_work, oldest)]
    count = len(share.sorted_work)
    limit = share.sorted_work[count * LARGE_PERCENTILE // FULL_PERCENT]
    median = share.sorted_work[count // 2]
    is_large = count >= MIN_JOBS and work_ms >= limit > median
    if share.seen >= MAX_SEEN:
        _halve(share)
    share.seen += 1
    share.seen_large += is_large
    return OrderState(is_large)


def _halve(share: ServedShare) -> None:
    share.seen //= 2
    share.lost //= 2
    share.seen_large //= 2
    share.lost_large //= 2


def change_lost(share: ServedShare, is_large: bool, change: int) -> None:
    """Count a job as expected to be of no use, or no longer if `change` is -1."""
    share.lost = max(share.lost + change, 0)
    if is_large:
        share.lost_large = max(share.lost_large + change, 0)


def may_lose_large(share: ServedShare) -> bool:
    """Return whether one more of the largest jobs may be given up."""
    served_large = share.seen_large - share.lost_large - 1
    served = max(share.seen - share.lost - 1, 0)
    return served_large * share.seen >= MIN_SERVED_RATIO * served * share.seen_large
