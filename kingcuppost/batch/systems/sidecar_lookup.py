"""What a sidecar looks up in its state when messages come."""

from kingcuppost.batch.tables.job import MinionIncarnation
from kingcuppost.batch.tables.world import BatchWorld, SidecarState

__all__ = ["ended_run_keys", "is_current_incarnation"]


def is_current_incarnation(world: BatchWorld, incarnation: MinionIncarnation) -> bool:
    """Return whether an incarnation is that of the minion that the sidecar knows."""
    return (
        world.sidecar_state.minion is not None
        and world.sidecar_state.minion.incarnation == incarnation
    )


def ended_run_keys(sidecar_state: SidecarState) -> set[tuple[str, int]]:
    """Return task and run of the ends that are not known to be in the log."""
    return {(str(end.task), end.run) for end in sidecar_state.ended.values()}
