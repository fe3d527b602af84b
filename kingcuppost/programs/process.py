"""World, edges and loop of a process, common to entries and sidecars."""

import json
import os
import random
from typing import Any

from twisted.internet import reactor as default_reactor

from kingcuppost.edges import (
    EdgeContext,
    EventLog,
    JsonClient,
    TickLoop,
    configure_logs,
    drivers,
    install_signals,
)
from kingcuppost.systems import systems_of
from kingcuppost.tables.config import ProcessConfig
from kingcuppost.tables.identity import Identity
from kingcuppost.tables.world import World
from kingcuppost.utils import Clock, SystemClock, new_identifier

__all__ = ["build_context", "make_world", "run_process"]

SEED_BYTES = 8


def make_world(cfg: ProcessConfig, clock: Clock | None = None) -> World:
    """Return the world of a process, with empty tables.

    Parameters
    ----------
    cfg : ProcessConfig
        Settings of the process.
    clock : Clock, optional
        Clock of the process; the operating system's clock if None.
    """
    seed = cfg.seed
    if seed is None:
        seed = int.from_bytes(os.urandom(SEED_BYTES), "big")
    rng = random.Random(seed)
    incarnation = new_identifier(rng, "inc")
    identity = Identity(
        cfg.role, cfg.name, incarnation, cfg.availability_zone, cfg.region
    )
    world = World(cfg, identity, clock or SystemClock(), rng)
    world.holder_monitor.jitter = rng.random()
    world.connections.limits = cfg.client_limits
    return world


def build_context(cfg: ProcessConfig, reactor: Any = default_reactor) -> EdgeContext:
    """Return the edge context of a new process, with its loop attached."""
    world = make_world(cfg)
    loop = TickLoop(reactor, systems_of(cfg.role))
    context = EdgeContext(world, reactor, JsonClient(reactor, world.tally), loop.wake)
    context.external_clients["log"] = drivers["log", cfg.log.driver](context)
    events = EventLog(world, configure_logs(world, cfg.log_level))
    loop.attach(context, events.flush)
    return context


def run_process(context: EdgeContext) -> int:
    """Run the reactor until the process stops, and return the exit code."""
    install_signals(context)
    _print_ports(context)
    context.reactor.callWhenRunning(context.wake)
    context.reactor.run(installSignalHandlers=False)
    return context.exit_code


def _print_ports(context: EdgeContext) -> None:
    """Print the bound ports to standard output as one line of JSON."""
    ports = context.world.announcement
    print(
        json.dumps(
            {
                "callers": ports.caller_port,
                "operators": ports.operator_port,
                "peers": ports.peer_port,
            }
        ),
        flush=True,
    )
