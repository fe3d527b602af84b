"""Faults of one minion beside a live sidecar, and foreign messages about it."""

from collections.abc import Callable
from dataclasses import replace

from kingcuppost.batch.tables.job import MinionIncarnation
from kingcuppost.batch.tables.messages import MinionHeartbeat
from kingcuppost.tables.config import Address
from kingcuppost.utils.registry import Registry
from standins.batch.deployment import Deployment
from standins.batch.faults import set_temporarily
from standins.batch.process import Process

__all__ = ["inject_minion_fault", "minion_faults"]

MinionFault = Callable[[Deployment, Process], None]
minion_faults: Registry[str, MinionFault] = Registry("fault of a minion")

DOWN_MS = 3_000
FIRST_HEARTBEAT_MS = 750
SHORT_SILENCE_MS = 2_500
LONG_SILENCE_MS = 9_000
LATE_ORDERS_MS = 1_500
SICK_MS = 12_000
OTHER_ADDRESS = Address("10.1.0.9", 7001)
HIGH_SEQUENCE = 10**9


def inject_minion_fault(deployment: Deployment, name: str, sidecar: str = "") -> str:
    """Inject a fault at the minion of a sidecar; return the sidecar's name.

    If none is given, a minion is picked at random, one with runs if there is any.
    """
    if sidecar:
        process = deployment.processes[sidecar]
    else:
        sidecars = [
            item for item in deployment.processes.values() if item.minion is not None
        ]
        busy = [item for item in sidecars if item.minion.runs]
        process = deployment.rng.choice(busy or sidecars)
    minion_faults[name](deployment, process)
    return process.name


@minion_faults.register("lost for good")
def _lose(deployment: Deployment, process: Process) -> None:
    process.minion.crash()


@minion_faults.register("restart")
def _restart(deployment: Deployment, process: Process) -> None:
    process.minion.crash()
    process.minion.restart()


@minion_faults.register("restart after a while, first heartbeat later")
def _restart_later(deployment: Deployment, process: Process) -> None:
    process.minion.crash()
    deployment.after(DOWN_MS, lambda: process.minion.restart(FIRST_HEARTBEAT_MS))


@minion_faults.register("restart under another identifier")
def _replace(deployment: Deployment, process: Process) -> None:
    minion = process.minion
    minion.crash()
    number = next(deployment.sequence_numbers)
    deployment.after(DOWN_MS, lambda: minion.restart(0, f"m-new-{number}"))


@minion_faults.register("freeze shortly")
def _freeze_shortly(deployment: Deployment, process: Process) -> None:
    set_temporarily(deployment, [process.minion], "is_frozen", True, SHORT_SILENCE_MS)


@minion_faults.register("freeze for longer than the lease")
def _freeze(deployment: Deployment, process: Process) -> None:
    set_temporarily(deployment, [process.minion], "is_frozen", True, LONG_SILENCE_MS)


@minion_faults.register("calls do not reach it")
def _lose_calls(deployment: Deployment, process: Process) -> None:
    set_temporarily(deployment, [process.minion], "loses_calls", True, LONG_SILENCE_MS)


@minion_faults.register("heartbeats are lost")
def _lose_heartbeats(deployment: Deployment, process: Process) -> None:
    set_temporarily(
        deployment, [process.minion], "loses_heartbeats", True, LONG_SILENCE_MS
    )


@minion_faults.register("heartbeat of another minion")
def _send_foreign(deployment: Deployment, process: Process) -> None:
    _send_altered(deployment, process, "m-9", OTHER_ADDRESS)


@minion_faults.register("heartbeat of a later start")
def _send_later_start(deployment: Deployment, process: Process) -> None:
    known = process.world.sidecar_state
    _send_altered(deployment, process, process.minion.id, known.address)


def _send_altered(
    deployment: Deployment, process: Process, minion: str, address: Address | None
) -> None:
    """Send a sidecar its minion's heartbeat as that of another incarnation."""
    known = process.world.sidecar_state.minion
    if known is None or address is None or not process.is_up:
        return
    incarnation = MinionIncarnation(minion, deployment.clock.now_ms())
    report = replace(known, incarnation=incarnation)
    deployment.deliver(process, MinionHeartbeat(address, report, HIGH_SEQUENCE))


@minion_faults.register("leave notice of another writer")
def _send_leave_notice(deployment: Deployment, process: Process) -> None:
    known = process.world.sidecar_state.minion
    if known is None or not process.is_up:
        return
    notice = MinionHeartbeat(Address("", 0), known, 0, has_left=True)
    deployment.deliver(process, notice)


@minion_faults.register("late orders")
def _delay_orders(deployment: Deployment, process: Process) -> None:
    set_temporarily(deployment, [deployment], "late_order_ratio", 0.5, LATE_ORDERS_MS)


@minion_faults.register("starts are answered as busy")
def _answer_starts_as_busy(deployment: Deployment, process: Process) -> None:
    set_temporarily(deployment, [process.minion], "is_busy_for_starts", True, SICK_MS)


@minion_faults.register("starts and stops are answered as busy")
def _answer_orders_as_busy(deployment: Deployment, process: Process) -> None:
    for name in ("is_busy_for_starts", "is_busy_for_stops"):
        set_temporarily(deployment, [process.minion], name, True, SICK_MS)


@minion_faults.register("starts get no answer")
def _ignore_starts(deployment: Deployment, process: Process) -> None:
    set_temporarily(deployment, [process.minion], "ignores_starts", True, SICK_MS)


@minion_faults.register("starts and stops get no answer")
def _ignore_orders(deployment: Deployment, process: Process) -> None:
    for name in ("ignores_starts", "ignores_stops"):
        set_temporarily(deployment, [process.minion], name, True, SICK_MS)


@minion_faults.register("starts are accepted and lost")
def _swallow_starts(deployment: Deployment, process: Process) -> None:
    set_temporarily(deployment, [process.minion], "swallows_starts", True, SICK_MS)


@minion_faults.register("its runs are lost without an end")
def _lose_runs(deployment: Deployment, process: Process) -> None:
    process.minion.lose_runs()


@minion_faults.register("restart of its sidecar")
def _restart_sidecar(deployment: Deployment, process: Process) -> None:
    deployment.kill(process.name)
    deployment.after(500, lambda: deployment.start(process.name))


@minion_faults.register("loss of the holder")
def _kill_holder(deployment: Deployment, process: Process) -> None:
    holder = deployment.holder()
    if holder is not None:
        deployment.kill(holder.name)
        deployment.after(DOWN_MS, lambda: deployment.start(holder.name))
