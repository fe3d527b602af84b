"""Slots and refusals of a sidecar, and its answers to attempts for other processes."""

from kingcuppost.systems import run_tick
from kingcuppost.systems.requests.tests.simulation import Simulation
from kingcuppost.tables.inbox import AttemptArrived
from kingcuppost.tables.job import Urgency
from kingcuppost.tables.outbox import HandOver, Reply
from kingcuppost.tables.request import Outcome

CONNECTIONS = 64
SLOTS = 8


def arrived(simulation: Simulation, number: int, **fields) -> AttemptArrived:
    values = {
        "exchange_id": f"exc-{number}",
        "attempt_id": f"att-{number}",
        "incarnation": simulation.worlds["m-0"].identity.incarnation,
        "team": "design",
        "body": f"body {number}",
        "keyed": False,
        "urgency": Urgency.INTERACTIVE,
        "timeout_ms": 5_000,
        **fields,
    }
    return AttemptArrived(**values)


def tick(simulation: Simulation, *messages: AttemptArrived) -> list:
    world = simulation.worlds["m-0"]
    for message in messages:
        world.inbox.put(message)
    run_tick(world, simulation.systems["m-0"], simulation.clock.now_ms())
    return world.outbox.take_all()


def test_attempt_for_another_incarnation_is_unknown() -> None:
    simulation = Simulation({"m-0": 20})
    sent = tick(simulation, arrived(simulation, 1, incarnation="inc-former"))
    reply = next(item for item in sent if isinstance(item, Reply))
    assert reply.body.outcome is Outcome.UNKNOWN
    assert not any(isinstance(item, HandOver) for item in sent)


def test_slots_and_connections_limit_open_attempts() -> None:
    simulation = Simulation({"m-0": 20})
    burst = [arrived(simulation, number) for number in range(CONNECTIONS + 5)]
    sent = tick(simulation, *burst)
    refused = [item.body for item in sent if isinstance(item, Reply)]
    assert sum(isinstance(item, HandOver) for item in sent) == SLOTS
    assert [body.outcome for body in refused] == [Outcome.NOT_RUN] * 5


def test_interactive_attempts_go_first_and_teams_share_the_slots() -> None:
    simulation = Simulation({"m-0": 20})
    burst = [
        arrived(simulation, 100, urgency=Urgency.OVERNIGHT),
        *(arrived(simulation, number) for number in range(20)),
        arrived(simulation, 200, team="shop"),
    ]
    sent = tick(simulation, *burst)
    handed_over = [item.attempt_id for item in sent if isinstance(item, HandOver)]
    assert "att-200" in handed_over
    assert "att-100" not in handed_over
