"""Start, signal handling and shutdown of a process."""

import os
import random
import signal
from collections.abc import Callable
from typing import Any

from expression import Result

from kingcuppost.batch.edges.context import BatchContext, batch_senders
from kingcuppost.batch.edges.logs import LogWriter
from kingcuppost.batch.systems import load_systems
from kingcuppost.batch.systems.holder_election import JITTER_MS
from kingcuppost.batch.tables.config import DaemonConfig
from kingcuppost.batch.tables.messages import StopProcess, StopRequested
from kingcuppost.batch.tables.world import BatchWorld
from kingcuppost.edges.http_client import JsonClient
from kingcuppost.edges.loop import TickLoop
from kingcuppost.exception import Failure
from kingcuppost.tables.identity import Role
from kingcuppost.utils import BootClock, Clock, SystemClock, new_identifier

__all__ = ["build_batch_context", "make_batch_world", "run_batch_process"]

SEED_BYTES = 8
IDLE_CHECK_PERIOD_S = 0.05
MAX_IDLE_CHECKS = 20


def make_batch_world(
    cfg: DaemonConfig, clock: Clock | None = None, seed: int | None = None
) -> BatchWorld:
    """Return the empty tables of a process.

    Parameters
    ----------
    cfg : DaemonConfig
        Settings of the process.
    clock : Clock, optional
        Clock of the process; the operating system's clock for its role if None.
    seed : int, optional
        Seed of the random generator; taken from the operating system if None.
    """
    if seed is None:
        seed = int.from_bytes(os.urandom(SEED_BYTES), "big")
    rng = random.Random(seed)
    if clock is None:
        clock = _make_clock(cfg.role)
    world = BatchWorld(cfg, new_identifier(rng, "inc"), clock, rng)
    world.schedule.jitter_ms = rng.randrange(JITTER_MS)
    return world


def _make_clock(role: Role) -> Clock:
    """Return the clock of a role.

    Each errs on the side of a lease that ends too early. An entry's clock advances
    while its machine is suspended, so that its authority expires meanwhile. A minion's
    clock may stop while its machine is suspended, so its sidecar must not count that
    time as passed on the minion's clock.
    """
    return BootClock() if role is Role.ENTRY else SystemClock()


def build_batch_context(cfg: DaemonConfig, reactor: Any) -> BatchContext:
    """Return the context of a process, with its tick loop attached."""
    world = make_batch_world(cfg)
    loop = TickLoop(reactor, load_systems(cfg.role))
    context = BatchContext(world, reactor, JsonClient(reactor, world.tally), loop.wake)
    loop.attach(context, LogWriter(world).flush, world.note)
    return context


ConfigReader = Callable[[], Result[DaemonConfig, Failure]]


def _reload_settings(context: BatchContext, read: ConfigReader) -> None:
    """Read the settings again; an invalid file leaves them unchanged."""
    world = context.world
    result = read()
    if result.is_error():
        world.note("settings", "The settings are invalid.", reason=result.error.reason)
    else:
        world.note("settings", "The settings are read again.")
        world.cfg = result.ok
    context.wake()


def run_batch_process(context: BatchContext, read: ConfigReader) -> int:
    """Run until the process is requested to stop, and return its exit code.

    Parameters
    ----------
    context : BatchContext
        Context of the process.
    read : callable
        Reads the settings again on SIGHUP.
    """

    def stop(number: int, frame: object) -> None:
        context.reactor.callFromThread(context.deliver, StopRequested())

    def reload(number: int, frame: object) -> None:
        context.reactor.callFromThread(_reload_settings, context, read)

    signal.signal(signal.SIGHUP, reload)
    signal.signal(signal.SIGTERM, stop)
    signal.signal(signal.SIGINT, stop)
    world = context.world
    world.note(
        "process",
        "Started.",
        role=world.cfg.role,
        availability_zone=world.cfg.availability_zone,
        peers=str(world.cfg.peers),
    )
    context.reactor.callWhenRunning(context.wake)
    context.reactor.run(installSignalHandlers=False)
    return context.exit_code


@batch_senders.register(StopProcess)
def stop_process(context: BatchContext, message: StopProcess) -> None:
    """Close the listening ports, wait for open exchanges, then stop the reactor.

    The systems send the message on every tick; only the first one has an effect. The
    wait ends after `MAX_IDLE_CHECKS` checks even if exchanges are still open.
    """
    if not context.ports:
        return
    for port in context.ports:
        port.stopListening()
    context.ports.clear()
    _stop_when_idle(context, MAX_IDLE_CHECKS)


def _stop_when_idle(context: BatchContext, checks_left: int) -> None:
    if not context.reactor.running:
        return
    if not context.exchanges or not checks_left:
        context.reactor.callLater(IDLE_CHECK_PERIOD_S, _stop, context)
        return
    context.reactor.callLater(
        IDLE_CHECK_PERIOD_S, _stop_when_idle, context, checks_left - 1
    )


def _stop(context: BatchContext) -> None:
    if context.reactor.running:
        context.reactor.stop()
