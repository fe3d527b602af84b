"""Writing of plans to the log: the append under way, and what it left out."""

from dataclasses import dataclass, field

from kingcuppost.batch.tables.messages import Append
from kingcuppost.utils.backoff import Backoff

__all__ = ["MAX_JOBS_PER_APPEND", "MAX_PARTS_PER_APPEND", "PlanAppend", "PlanWrites"]

MAX_JOBS_PER_APPEND = 64
MAX_PARTS_PER_APPEND = 200
RETRY_MIN_MS = 20
RETRY_MAX_MS = 500


@dataclass(slots=True)
class PlanAppend:
    """An append of plans, removals and speeds that is not done yet.

    Attributes
    ----------
    parts : dict of str to tuple of int
        Changed parts of the plans in it, by job.
    versions : dict of str to int
        Versions of the plans that are in the log once the append is done, by job.
    removals : tuple of str
        Jobs whose records it removes.
    has_speeds : bool
        Whether it has a record of the machines' speeds.
    is_sent : bool
        Whether it awaits an answer, rather than the time to be sent again.
    has_unknown_outcome : bool
        Whether an earlier attempt may have reached the log.
    """

    append: Append
    parts: dict[str, tuple[int, ...]]
    versions: dict[str, int]
    removals: tuple[str, ...] = ()
    has_speeds: bool = False
    is_sent: bool = True
    has_unknown_outcome: bool = False


@dataclass(slots=True)
class PlanWrites:
    """State of the writing of plans during a term.

    Attributes
    ----------
    sequence : int
        Sequence number of the newest append of the term.
    in_flight : PlanAppend or None
        The append that is not done yet.
    backoff : Backoff
        Pause before the next append after one that failed.
    suspects : tuple of str
        Jobs of an invalid append, one of which is searched for by halves.
    max_parts : int
        Number of parts of plans that an append may have; it is lower after an append
        of several parts of one plan was invalid.
    layout_end : int or None
        Offset up to which the members stream was read when `in_parts` was last chosen;
        None if that is still to be done.
    in_parts : bool
        Whether the plans of wide jobs are written in parts, since all entries read
        them.
    held : dict of str to Backoff
        Jobs whose plan alone makes an append invalid. Each is tried again in an append
        of its own, so that it does not keep other plans out of the log.
    """

    sequence: int = 0
    in_flight: PlanAppend | None = None
    backoff: Backoff = field(
        default_factory=lambda: Backoff(RETRY_MIN_MS, RETRY_MAX_MS)
    )
    suspects: tuple[str, ...] = ()
    max_parts: int = MAX_PARTS_PER_APPEND
    layout_end: int | None = None
    in_parts: bool = True
    held: dict[str, Backoff] = field(default_factory=dict)
