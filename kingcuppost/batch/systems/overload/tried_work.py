"""Work that a decision has tried and left waiting before it is planned anew."""

from kingcuppost.batch.systems.overload.forecast import unit_work_ms
from kingcuppost.batch.tables.decision import DecisionRound
from kingcuppost.batch.tables.job import TaskPhase

__all__ = ["note_tried_work"]


def note_tried_work(round_: DecisionRound) -> None:
    """Add the work of the units tried so far to `DecisionRound.tried_ms`.

    Only services whose forecast was needed have any, so other orders cost nothing.
    """
    if not round_.rates:
        return
    for unit in round_.units[: round_.next_index]:
        service = unit.plan.job.policy.service
        if unit.tasks and unit.tasks[0].phase is TaskPhase.WAITING:
            work_ms = unit_work_ms(unit, round_.rates[service])
            key = (unit.rank, service)
            round_.tried_ms[key] = round_.tried_ms.get(key, 0.0) + work_ms
