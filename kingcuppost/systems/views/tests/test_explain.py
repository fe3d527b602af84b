"""Explanations of requests come from the log and name the source of the outcome."""

import pytest

from kingcuppost.programs import make_world
from kingcuppost.systems.fold import FoldInput, apply_record
from kingcuppost.systems.requests.decision import decision_of
from kingcuppost.systems.views import views
from kingcuppost.tables.config import Address, EntryConfig, LogConfig, ProcessConfig
from kingcuppost.tables.identity import Role
from kingcuppost.tables.job import Urgency
from kingcuppost.tables.record import (
    KeyClaimPut,
    KeyOutcome,
    MinionAnnounce,
    Record,
    SettingPut,
    TeamPut,
    ZonePut,
)
from kingcuppost.tables.request import Request, RequestState
from kingcuppost.tables.world import World

UNUSED_ADDRESS = Address("127.0.0.1", 0)
KEY = "design/order-7"


def announce(name: str, zone: str, incarnation: str = "inc-1") -> MinionAnnounce:
    return MinionAnnounce(
        name,
        "planner",
        f"w-{name}",
        zone,
        "r",
        incarnation,
        "10.0.0.1",
        1,
        8,
        64,
        8,
        8,
        8,
    )


@pytest.fixture
def world() -> World:
    cfg = ProcessConfig(
        Role.ENTRY,
        "entry-0",
        "vid-a",
        "vidzeme",
        UNUSED_ADDRESS,
        LogConfig("http", UNUSED_ADDRESS),
        EntryConfig(UNUSED_ADDRESS, UNUSED_ADDRESS),
        seed=1,
    )
    world = make_world(cfg)
    fold(world, ZonePut("vid-a", "vidzeme", True, 0))
    fold(world, ZonePut("vid-b", "vidzeme", False, 0))
    fold(world, TeamPut("design", (), 0, 0))
    fold(world, SettingPut("teams/design", "request.attempts", 2, 0))
    fold(world, announce("minion-1", "vid-a"))
    fold(world, announce("minion-2", "vid-b"))
    return world


def fold(world: World, body: object) -> None:
    world.log_view.folded_offset += 1
    offset = world.log_view.folded_offset
    record = Record(f"rec-{offset}", "ilze", 0, body)
    assert apply_record(world.agreed, FoldInput(offset, record)) is None


def claim(world: World) -> None:
    request = Request(
        "req-1",
        "exc-1",
        "design",
        "planner",
        "",
        Urgency.INTERACTIVE,
        KEY,
        RequestState.QUEUED,
        0,
        1_000,
    )
    minion = world.agreed.minions.get("minion-1")
    decision = decision_of(world, request, minion)
    fold(world, KeyClaimPut(KEY, "att-1", "minion-1", "inc-1", decision=decision))


def test_claim_keeps_its_settings_after_a_later_change(world: World) -> None:
    claim(world)
    fold(world, SettingPut("teams/design", "request.attempts", 3, 4))
    explanation = views["explain_request"](world, KEY)
    values = {row.key: row for row in explanation.claim.decision.values}
    assert values["request.attempts"].value == 2
    assert values["request.attempts"].path == "teams/design"
    assert values["request.attempts"].operator == "ilze"
    assert explanation.claim.decision.settings_offset == 6
    current_values = {row.key: row.value for row in explanation.settings_now}
    assert current_values["request.attempts"] == 3


def test_policy_is_the_effective_routing_setting(world: World) -> None:
    """The routing setting is read at the root; a team's branch has no effect on it."""
    fold(world, SettingPut("", "request.routing", "random", 0))
    fold(world, SettingPut("teams/design", "request.routing", "round_robin", 0))
    claim(world)
    decision = views["explain_request"](world, KEY).claim.decision
    values = {row.key: row.value for row in decision.values}
    assert decision.policy == values["request.routing"] == "random"


def test_refused_alternative_has_its_reason(world: World) -> None:
    claim(world)
    (refused,) = views["explain_request"](world, KEY).claim.decision.refused
    assert refused.place == "minion-2"
    assert "vid-b is out of service" in refused.reason


def test_unknown_outcome_names_the_sidecar_of_the_claim(world: World) -> None:
    claim(world)
    explanation = views["explain_request"](world, KEY)
    assert explanation.outcome == "unknown"
    assert explanation.known_by == "sidecar of minion-1, process inc-1"
    fold(world, announce("minion-1", "vid-a", "inc-2"))
    assert views["explain_request"](world, KEY).known_by.startswith("nobody")


def test_recorded_outcome_comes_from_the_log(world: World) -> None:
    claim(world)
    fold(world, KeyOutcome(KEY, "att-1", "answered"))
    explanation = views["explain_request"](world, KEY)
    assert explanation.outcome == "answered"
    assert explanation.known_by.startswith("the log")


def test_key_without_claim_is_not_claimed(world: World) -> None:
    assert views["explain_request"](world, KEY).outcome == "not_claimed"
    assert views["explain_request"](world, "nobody/k") is None
