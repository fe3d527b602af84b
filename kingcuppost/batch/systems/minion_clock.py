"""Time and lease on the minion's clock, as the sidecar beside it knows them."""

from kingcuppost.batch.tables.world import SidecarState

__all__ = ["minion_time_ms", "remaining_lease_ms"]


def minion_time_ms(sidecar_state: SidecarState, at_ms: int) -> int | None:
    """Return the time on the minion's clock at a time on the sidecar's clock.

    Returns None before the minion's clock has been read. The time may lie before the
    newest reading, as that of a report which is answered after it.
    """
    if sidecar_state.minion_clock_ms is None:
        return None
    since_ms = at_ms - sidecar_state.minion_clock_received_ms
    return sidecar_state.minion_clock_ms + since_ms


def remaining_lease_ms(sidecar_state: SidecarState, now_ms: int) -> int | None:
    """Return how long the minion lease still lasts; at most 0 once it has expired.

    Returns None if the lease has not been extended in the minion's present incarnation.
    """
    minion_ms = minion_time_ms(sidecar_state, now_ms)
    if minion_ms is None or sidecar_state.lease_until_ms is None:
        return None
    return sidecar_state.lease_until_ms - minion_ms
