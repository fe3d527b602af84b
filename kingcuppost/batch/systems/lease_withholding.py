"""End of runs that their minion does not stop, by the end of the minion lease.

A minion that lists its runs may answer no stop, answer each as busy, or accept stops
without carrying them out. Nothing but the lease ends such a run, and a lease covers all
runs of a minion. So it is withheld only while every run there is to be stopped anyway,
and the minion has been asked to for long: then nobody loses work by it.

The sidecar withholds the lease by reports that are not in contact with the minion,
which extend it at neither side. Other runs that are wanted keep it, until they have
ended; the holder places no new ones there meanwhile.
"""

from kingcuppost.batch.systems.registry import Phase, system
from kingcuppost.batch.systems.run_end_rule import is_in_contact
from kingcuppost.batch.systems.stop_limits import unstopped_limit_ms
from kingcuppost.batch.tables.world import BatchWorld, OrderedRun
from kingcuppost.tables.identity import Role

__all__ = ["withhold_lease"]


@system(Phase.PROPOSE, (Role.SIDECAR,), order=5)
def withhold_lease(world: BatchWorld, now_ms: int) -> None:
    """Withhold the minion lease while the minion stops none of its runs.

    Nothing changes while the sidecar is not in contact with the minion: the lease is
    not extended then, and its lists are outdated.
    """
    sidecar_state = world.sidecar_state
    if not is_in_contact(sidecar_state.contact_ms, now_ms):
        return
    is_withheld = _is_end_due(world, now_ms)
    if is_withheld == sidecar_state.is_lease_withheld:
        return
    sidecar_state.is_lease_withheld = is_withheld
    sidecar_state.is_report_due = True
    if is_withheld:
        world.tally.add("leases_withheld")
    world.note(
        "minion",
        "The minion lease is withheld, as no stop is carried out."
        if is_withheld
        else "The minion lease is extended again.",
        minion=sidecar_state.minion.incarnation.minion if sidecar_state.minion else "",
        runs=len(sidecar_state.running),
    )


def _is_end_due(world: BatchWorld, now_ms: int) -> bool:
    """Return whether all runs of the minion should have been stopped long ago.

    Runs that are to be started keep the lease, too. Lists that are not whole may lack
    others.
    """
    sidecar_state = world.sidecar_state
    if sidecar_state.minion is None or not sidecar_state.lists_are_whole:
        return False
    ordered = sidecar_state.ordered_runs
    if any(not run.should_stop for run in ordered.values()):
        return False
    listed = [ordered.get(key) for key in sidecar_state.running]
    if not listed or any(run is None or run.stop_since_ms is None for run in listed):
        return False
    due_ms = max(_stop_due_ms(world, run) for run in listed)
    if now_ms < due_ms:
        world.deadlines.add(due_ms)
    return now_ms >= due_ms


def _stop_due_ms(world: BatchWorld, run: OrderedRun) -> int:
    return run.stop_since_ms + unstopped_limit_ms(world.cfg.bounds)
