"""The life of a process: world, loop, signals and the end."""

import os
import random
import signal
from collections.abc import Callable
from typing import Any

from expression import Result

from kingcuppost.batch.edges.context import BatchContext, batch_senders
from kingcuppost.batch.edges.logs import LineLog
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
FLUSH_CHECK_S = 0.05
FLUSH_CHECKS = 20


def make_batch_world(
    cfg: DaemonConfig, clock: Clock | None = None, seed: int | None = None
) -> BatchWorld:
    """Return the empty tables of a process.

    Parameters
    ----------
    cfg : DaemonConfig
        Settings of the process.
    clock : Clock, optional
        The operating system's clock if None.
    seed : int, optional
        Seed of the world's generator; drawn from the system if None.
    """
    if seed is None:
        seed = int.from_bytes(os.urandom(SEED_BYTES), "big")
    rng = random.Random(seed)
    if clock is None:
        clock = _clock_of(cfg.role)
    world = BatchWorld(cfg, new_identifier(rng, "inc"), clock, rng)
    world.schedule.jitter_ms = rng.randrange(JITTER_MS)
    return world


def _clock_of(role: Role) -> Clock:
    """Return a role's clock; each errs on the side of an earlier end of a lease.

    An entry's authority lapses while its machine sleeps. A minion's clock may sleep
    with its machine, so its sidecar must not count that time as passed for the minion.
    """
    return BootClock() if role is Role.ENTRY else SystemClock()


def build_batch_context(cfg: DaemonConfig, reactor: Any) -> BatchContext:
    """Return the edges of a process, with its loop attached."""
    world = make_batch_world(cfg)
    loop = TickLoop(reactor, load_systems(cfg.role))
    context = BatchContext(world, reactor, JsonClient(reactor, world.tally), loop.wake)
    loop.attach(context, LineLog(world).flush)
    return context


ReadConfig = Callable[[], Result[DaemonConfig, Failure]]


def _reload(context: BatchContext, read: ReadConfig) -> None:
    """Take changed settings; a file that can't be read changes nothing."""
    world = context.world
    result = read()
    if result.is_error():
        world.note("settings", "The settings are refused.", reason=result.error.reason)
    else:
        world.note("settings", "The settings are read again.")
        world.cfg = result.ok
    context.wake()


def run_batch_process(context: BatchContext, read: ReadConfig) -> int:
    """Run until the process is told to stop, and return its exit code.

    Parameters
    ----------
    context : BatchContext
        The process's edges.
    read : callable
        Reads the settings again, on SIGHUP.
    """

    def stop(number: int, frame: object) -> None:
        context.reactor.callFromThread(context.deliver, StopRequested())

    def reload(number: int, frame: object) -> None:
        context.reactor.callFromThread(_reload, context, read)

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
    """Stop listening, let open exchanges end, then stop the loop."""
    if not context.ports:
        return
    for port in context.ports:
        port.stopListening()
    context.ports.clear()
    _stop_when_idle(context, FLUSH_CHECKS)


def _stop_when_idle(context: BatchContext, checks_left: int) -> None:
    if not context.reactor.running:
        return
    if not context.exchanges or not checks_left:
        context.reactor.callLater(FLUSH_CHECK_S, _stop, context)
        return
    context.reactor.callLater(FLUSH_CHECK_S, _stop_when_idle, context, checks_left - 1)


def _stop(context: BatchContext) -> None:
    if context.reactor.running:
        context.reactor.stop()
