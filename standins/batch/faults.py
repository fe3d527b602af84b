"""Faults of the network, the log and the processes of a simulated deployment."""

from collections.abc import Callable, Iterable

from kingcuppost.batch.tables.messages import Stream
from kingcuppost.tables.identity import Role
from kingcuppost.utils.registry import Registry
from standins.batch.deployment import Deployment
from standins.batch.process import Process

__all__ = ["Fault", "faults", "set_temporarily"]

Fault = Callable[[Deployment], str]
faults: Registry[str, Fault] = Registry("fault")


def _entries(deployment: Deployment) -> list[Process]:
    return [item for item in deployment.processes.values() if item.role is Role.ENTRY]


def _sidecars(deployment: Deployment) -> list[Process]:
    return [item for item in deployment.processes.values() if item.role is Role.SIDECAR]


@faults.register("kill the holder")
def _kill_holder(deployment: Deployment) -> str:
    holder = deployment.holder() or deployment.rng.choice(_entries(deployment))
    deployment.kill(holder.name)
    deployment.after(
        1_000 + deployment.rng.random() * 2_000, lambda: deployment.start(holder.name)
    )
    return holder.name


@faults.register("kill all entries")
def _kill_entries(deployment: Deployment) -> str:
    for process in _entries(deployment):
        deployment.kill(process.name)
        deployment.after(1_000, lambda process=process: deployment.start(process.name))
    return ""


@faults.register("kill a sidecar")
def _kill_sidecar(deployment: Deployment) -> str:
    process = deployment.rng.choice(_sidecars(deployment))
    deployment.kill(process.name)
    deployment.after(
        500 + deployment.rng.random() * 3_000, lambda: deployment.start(process.name)
    )
    return process.name


@faults.register("power off a worker")
def _power_off(deployment: Deployment) -> str:
    process = deployment.rng.choice(_sidecars(deployment))
    deployment.kill(process.name)
    process.minion.crash()

    def power_on() -> None:
        process.minion.restart()
        deployment.start(process.name)

    deployment.after(1_000 + deployment.rng.random() * 3_000, power_on)
    return process.name


def set_temporarily(
    deployment: Deployment,
    targets: Iterable[object],
    name: str,
    value: bool | float,
    duration_ms: float,
) -> None:
    """Set an attribute of all targets and reset it after `duration_ms`.

    The reset value is the empty value of the attribute's type: False or 0.
    """
    targets = list(targets)
    default = type(value)()
    for target in targets:
        setattr(target, name, value)

    def reset() -> None:
        for target in targets:
            setattr(target, name, default)

    deployment.after(duration_ms, reset)


def _join_names(processes: list[Process]) -> str:
    return " ".join(process.name for process in processes)


@faults.register("cut")
def _cut_network(deployment: Deployment) -> str:
    chosen = deployment.rng.sample(list(deployment.processes.values()), 3)
    set_temporarily(
        deployment, chosen, "is_cut_off", True, 2_000 + deployment.rng.random() * 10_000
    )
    return _join_names(chosen)


@faults.register("freeze")
def _freeze(deployment: Deployment) -> str:
    process = deployment.rng.choice(list(deployment.processes.values()))
    set_temporarily(
        deployment,
        [process],
        "is_frozen",
        True,
        1_000 + deployment.rng.random() * 6_000,
    )
    return process.name


@faults.register("turn entries away")
def _reject_at_log(deployment: Deployment) -> str:
    chosen = deployment.rng.sample(
        _entries(deployment), 1 + deployment.rng.randrange(2)
    )
    duration_ms = 2_000 + deployment.rng.random() * 7_000
    set_temporarily(deployment, chosen, "is_rejected_by_log", True, duration_ms)
    return _join_names(chosen)


@faults.register("log down")
def _stop_log(deployment: Deployment) -> str:
    set_temporarily(
        deployment,
        [deployment],
        "log_is_down",
        True,
        1_000 + deployment.rng.random() * 5_000,
    )
    return ""


@faults.register("lose answers of the log")
def _lose_answers(deployment: Deployment) -> str:
    set_temporarily(deployment, [deployment], "lost_answer_ratio", 0.3, 4_000)
    return ""


@faults.register("carry orders out late")
def _delay_orders(deployment: Deployment) -> str:
    set_temporarily(deployment, [deployment], "late_order_ratio", 0.3, 5_000)
    return ""


@faults.register("forget history")
def _drop_history(deployment: Deployment) -> str:
    for stream in Stream:
        deployment.store.drop_history(stream)
    return ""


@faults.register("zone out")
def _close_zone(deployment: Deployment) -> str:
    zone = f"zone-{deployment.rng.randrange(3)}"
    deployment.closed_zones.add(zone)
    deployment.after(6_000, lambda: deployment.closed_zones.discard(zone))
    return zone


@faults.register("minion fails all")
def _fail_runs(deployment: Deployment) -> str:
    minion = deployment.rng.choice(list(deployment.minions.values()))
    set_temporarily(deployment, [minion], "fails_all_runs", True, 6_000)
    return minion.id


@faults.register("stop an entry")
def _stop_entry(deployment: Deployment) -> str:
    process = deployment.rng.choice(
        [item for item in _entries(deployment) if item.is_up] or [None]
    )
    if process is None:
        return ""
    deployment.stop(process.name)
    incarnation = process.incarnation

    def restart_entry() -> None:
        if process.incarnation == incarnation:
            deployment.start(process.name)

    deployment.after(4_600, restart_entry)
    return process.name
