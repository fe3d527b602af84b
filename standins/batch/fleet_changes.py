"""Lasting changes of the fleet: minions that are lost, leave, return or are added."""

from collections.abc import Callable
from dataclasses import replace

from kingcuppost.batch.tables.messages import MinionHeartbeat, MinionReport
from kingcuppost.tables.config import Address
from kingcuppost.tables.identity import Role
from kingcuppost.utils.registry import Registry
from standins.batch.deployment import Deployment
from standins.batch.fleets import KIND, RARE_KIND, make_random_minion
from standins.batch.minions import Minion
from standins.batch.process import Process

__all__ = ["fleet_changes"]

FleetChange = Callable[[Deployment], str]
fleet_changes: Registry[str, FleetChange] = Registry("change of the fleet")

DOWN_MS = 3_000
DRAIN_MS = 2_500
LOSS_GAPS_MS = (500, 1_000, 4_000)
FLAP_PERIOD_MS = 4_000
FLAPS = 6
MAX_LOST_TOGETHER = 3
MIN_MINIONS = 4
NEW_RACK_MINIONS = (1, 2, 4)


def _machines(deployment: Deployment) -> list[Process]:
    """Return the machines whose minion and sidecar are up."""
    return [
        item
        for item in deployment.processes.values()
        if item.minion is not None and item.is_up and item.minion.is_up
    ]


def _pick(deployment: Deployment) -> list[Process]:
    """Return one machine at random; none if the fleet must not shrink further."""
    machines = _machines(deployment)
    if len(machines) <= MIN_MINIONS:
        return []
    return [deployment.rng.choice(machines)]


def _join_names(machines: list[Process]) -> str:
    return " ".join(item.minion.id for item in machines)


def _lose(deployment: Deployment, machine: Process) -> None:
    machine.minion.crash()
    deployment.kill(machine.name)


@fleet_changes.register("machine lost for good")
def _lose_machine(deployment: Deployment) -> str:
    lost = _pick(deployment)
    for machine in lost:
        _lose(deployment, machine)
    return _join_names(lost)


@fleet_changes.register("minion lost for good beside its sidecar")
def _lose_minion(deployment: Deployment) -> str:
    lost = _pick(deployment)
    for machine in lost:
        machine.minion.crash()
    return _join_names(lost)


@fleet_changes.register("machines of one rack lost for good, one after another")
def _lose_in_rack(deployment: Deployment) -> str:
    spare = max(len(_machines(deployment)) - MIN_MINIONS, 0)
    racks = {item.minion.rack for item in _machines(deployment)}
    rack = deployment.rng.choice(sorted(racks))
    in_rack = [item for item in _machines(deployment) if item.minion.rack == rack]
    lost = in_rack[: min(spare, deployment.rng.randint(1, MAX_LOST_TOGETHER))]
    gap_ms = deployment.rng.choice(LOSS_GAPS_MS)
    for index, machine in enumerate(lost):
        deployment.after(
            gap_ms * index, lambda machine=machine: _lose(deployment, machine)
        )
    return _join_names(lost)


@fleet_changes.register("minion silent for good")
def _silence(deployment: Deployment) -> str:
    silent = _pick(deployment)
    for machine in silent:
        machine.minion.is_frozen = True
    return _join_names(silent)


@fleet_changes.register("calls do not reach it for good")
def _lose_calls(deployment: Deployment) -> str:
    chosen = _pick(deployment)
    for machine in chosen:
        machine.minion.loses_calls = True
    return _join_names(chosen)


@fleet_changes.register("its heartbeats are lost for good")
def _lose_heartbeats(deployment: Deployment) -> str:
    chosen = _pick(deployment)
    for machine in chosen:
        machine.minion.loses_heartbeats = True
    return _join_names(chosen)


@fleet_changes.register("sidecar lost for good beside its minion")
def _lose_sidecar(deployment: Deployment) -> str:
    chosen = _pick(deployment)
    for machine in chosen:
        deployment.kill(machine.name)
    return _join_names(chosen)


@fleet_changes.register("minion restarts again and again")
def _restart_often(deployment: Deployment) -> str:
    chosen = _pick(deployment)
    for machine in chosen:
        for index in range(FLAPS):
            deployment.after(
                index * FLAP_PERIOD_MS, lambda minion=machine.minion: _flap(minion)
            )
    return _join_names(chosen)


def _flap(minion: Minion) -> None:
    if minion.is_up:
        minion.crash()
        minion.restart()


@fleet_changes.register("minion silent again and again")
def _silence_often(deployment: Deployment) -> str:
    chosen = _pick(deployment)
    for machine in chosen:
        for index in range(2 * FLAPS):
            deployment.after(
                index * FLAP_PERIOD_MS,
                lambda minion=machine.minion, is_silent=index % 2 == 0: setattr(
                    minion, "is_frozen", is_silent
                ),
            )
    return _join_names(chosen)


def _pick_entry(deployment: Deployment) -> list[Process]:
    """Return an entry at random; none if it is the last sound one."""
    sound = [
        item
        for item in deployment.processes.values()
        if item.role is Role.ENTRY
        and item.is_up
        and not (item.is_cut_off or item.is_rejected_by_log)
    ]
    return [deployment.rng.choice(sound)] if len(sound) > 1 else []


@fleet_changes.register("entry lost for good")
def _lose_entry(deployment: Deployment) -> str:
    chosen = _pick_entry(deployment)
    for process in chosen:
        deployment.kill(process.name)
    return " ".join(process.name for process in chosen)


@fleet_changes.register("entry turned away by the log for good")
def _turn_entry_away(deployment: Deployment) -> str:
    chosen = _pick_entry(deployment)
    for process in chosen:
        process.is_rejected_by_log = True
    return " ".join(process.name for process in chosen)


@fleet_changes.register("entry cut off for good")
def _cut_entry_off(deployment: Deployment) -> str:
    chosen = _pick_entry(deployment)
    for process in chosen:
        process.is_cut_off = True
    return " ".join(process.name for process in chosen)


@fleet_changes.register("machine cut off for good")
def _cut_off(deployment: Deployment) -> str:
    chosen = _pick(deployment)
    for machine in chosen:
        machine.is_cut_off = True
    return _join_names(chosen)


@fleet_changes.register("return under another identifier")
def _replace(deployment: Deployment) -> str:
    chosen = _pick(deployment)
    for machine in chosen:
        minion = machine.minion
        minion.crash()
        new_id = f"m-new-{next(deployment.sequence_numbers)}"
        deployment.after(
            DOWN_MS, lambda minion=minion, new_id=new_id: minion.restart(0, new_id)
        )
    return _join_names(chosen)


@fleet_changes.register("return under the same identifier")
def _restart(deployment: Deployment) -> str:
    chosen = _pick(deployment)
    for machine in chosen:
        machine.minion.crash()
        deployment.after(DOWN_MS, machine.minion.restart)
    return _join_names(chosen)


@fleet_changes.register("return as another kind in another rack")
def _return_elsewhere(deployment: Deployment) -> str:
    chosen = _pick(deployment)
    racks = sorted({item.minion.rack for item in _machines(deployment)})
    for machine in chosen:
        minion = machine.minion
        minion.crash()
        minion.kind = RARE_KIND if minion.kind == KIND else KIND
        minion.rack = deployment.rng.choice(racks)
        new_id = f"m-new-{next(deployment.sequence_numbers)}"
        deployment.after(
            DOWN_MS, lambda minion=minion, new_id=new_id: minion.restart(0, new_id)
        )
    return _join_names(chosen)


@fleet_changes.register("power lost everywhere, some machines stay off")
def _lose_power(deployment: Deployment) -> str:
    machines = _machines(deployment)
    spare = max(len(machines) - MIN_MINIONS, 0)
    off = machines[: deployment.rng.randint(0, min(spare, MAX_LOST_TOGETHER))]
    for process in list(deployment.processes.values()):
        was_up = process.is_up
        deployment.kill(process.name)
        is_minion_up = process.minion is not None and process.minion.is_up
        if is_minion_up:
            process.minion.crash()
        if was_up and process not in off:
            deployment.after(
                DOWN_MS,
                lambda process=process, is_minion_up=is_minion_up: _power_on(
                    deployment, process, is_minion_up
                ),
            )
    return _join_names(off)


def _power_on(deployment: Deployment, process: Process, with_minion: bool) -> None:
    if process.is_up:
        return
    if with_minion and not process.minion.is_up:
        process.minion.restart()
    deployment.start(process.name)


@fleet_changes.register("drain and leave")
def _drain(deployment: Deployment) -> str:
    chosen = _pick(deployment)
    for machine in chosen:
        machine.minion.draining = True
        deployment.after(DRAIN_MS, lambda machine=machine: _leave(deployment, machine))
    return _join_names(chosen)


def _leave(deployment: Deployment, machine: Process) -> None:
    """End a minion with a notice; its sidecar stays."""
    minion = machine.minion
    minion.crash()
    report = MinionReport(
        minion.incarnation,
        "svc",
        minion.zone,
        (minion.kind, minion.rack),
        replace(minion.resources),
        True,
        0,
        listed=False,
        in_contact=False,
    )
    notice = MinionHeartbeat(Address("", 0), report, 0, has_left=True)
    deployment.deliver(machine, notice)


@fleet_changes.register("drain, then stay")
def _drain_and_stay(deployment: Deployment) -> str:
    chosen = _pick(deployment)
    for machine in chosen:
        machine.minion.draining = True
        deployment.after(
            DRAIN_MS,
            lambda minion=machine.minion: setattr(minion, "draining", False),
        )
    return _join_names(chosen)


@fleet_changes.register("empty rack added")
def _add_rack(deployment: Deployment) -> str:
    number = next(deployment.sequence_numbers)
    count = deployment.rng.choice(NEW_RACK_MINIONS)
    names = [f"m-added-{number}-{index}" for index in range(count)]
    for name in names:
        deployment.add_machine(make_random_minion(deployment.rng, name, number))
    return " ".join(names)


@fleet_changes.register("zone closed for good")
def _close_zone(deployment: Deployment) -> str:
    zones = sorted({item.minion.zone for item in _machines(deployment)})
    if deployment.closed_zones or len(zones) == 1:
        return ""
    zone = deployment.rng.choice(zones)
    deployment.closed_zones.add(zone)
    return zone
