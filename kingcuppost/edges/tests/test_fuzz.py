"""Fuzz tests of routes: any body yields an inbox message or a refusal with a reason."""

import json
import re
from dataclasses import is_dataclass

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from kingcuppost.edges.routes import Route, RouteRequest, find_route, routes
from kingcuppost.programs import make_world
from kingcuppost.systems import run_tick, systems_of
from kingcuppost.tables.config import Address, EntryConfig, LogConfig, ProcessConfig
from kingcuppost.tables.identity import Role
from kingcuppost.tables.inbox import ProposalRequest
from kingcuppost.tables.outbox import AppendRecords, Reply

UNUSED_ADDRESS = Address("127.0.0.1", 0)
PARSED = [route for route, _ in routes if route.direct is None]
WITH_BODY = [route for route in PARSED if route.method != "GET"]
FIELDS = sorted(
    {
        *("operator", "name", "team", "members", "accelerators", "cores", "memory_mb"),
        *("urgency", "declared_ms", "payload", "guarantees", "accelerator_limit"),
        *("base_offset", "region", "in_service", "path", "key", "value", "service"),
        *("body", "idempotent", "timeout_ms", "attempt_id", "incarnation", "reports"),
        *("minion", "free_slots", "leaving", "reason", "count", "job", "state"),
    }
)
scalars = (
    st.none()
    | st.booleans()
    | st.integers(-(2**70), 2**70)
    | st.floats()
    | st.text(max_size=80)
    | st.sampled_from(["design", "interactive", "job.lease_ms", "running", "teams/x"])
)
values = st.recursive(
    scalars,
    lambda inner: (
        st.lists(inner, max_size=4)
        | st.dictionaries(st.sampled_from(FIELDS), inner, max_size=6)
    ),
    max_leaves=12,
)
bodies = st.binary(max_size=200) | st.builds(
    lambda value: json.dumps(value).encode(),
    st.dictionaries(st.sampled_from(FIELDS), values, max_size=14) | values,
)


def make_route_request(route: Route, name: str, body: bytes) -> RouteRequest:
    path_parameters = dict.fromkeys(re.findall(r"\{(\w+)\}", route.path), name)
    return RouteRequest(
        "exc-1", path_parameters, {"path": name, "key": name}, body, "127.0.0.1:1"
    )


@pytest.mark.parametrize(
    "route", PARSED, ids=lambda route: f"{route.method} {route.path}"
)
@settings(derandomize=True, max_examples=60, deadline=None)
@given(name=st.text(max_size=80), body=bodies)
def test_parser_returns_a_message_or_a_reason(
    route: Route, name: str, body: bytes
) -> None:
    parsed = route.parse(make_route_request(route, name, body))
    if parsed.is_ok():
        assert is_dataclass(parsed.ok)
    else:
        assert parsed.error.reason
        assert "\n" not in parsed.error.reason


@settings(derandomize=True, max_examples=100, deadline=None)
@given(
    surface=st.sampled_from(["callers", "operators", "peers"]),
    method=st.sampled_from(["GET", "PUT", "POST", "DELETE", ""]),
    path=st.text(max_size=60),
)
def test_lookup_of_any_path_finds_a_route_of_the_surface_or_none(
    surface: str, method: str, path: str
) -> None:
    found = find_route(surface, method, path)
    assert found is None or found[0].surface == surface


@pytest.mark.parametrize(
    "route", WITH_BODY, ids=lambda route: f"{route.method} {route.path}"
)
@settings(derandomize=True, max_examples=40, deadline=None)
@given(name=st.text(min_size=1, max_size=80), body=bodies)
def test_systems_handle_any_message_that_passes_validation(
    route: Route, name: str, body: bytes
) -> None:
    """A tick with a validated message does not change the agreed tables directly.

    A proposal is either answered or appended to the log.
    """
    parsed = route.parse(make_route_request(route, name, body))
    if parsed.is_error():
        return
    log = LogConfig("http", UNUSED_ADDRESS)
    entry = EntryConfig(UNUSED_ADDRESS, UNUSED_ADDRESS)
    cfg = ProcessConfig(
        Role.ENTRY, "e", "vid-a", "v", UNUSED_ADDRESS, log, entry, seed=1
    )
    world = make_world(cfg)
    world.log_view.caught_up = True
    if type(parsed.ok).__name__ in ENTRY_MESSAGES:
        world.inbox.put(parsed.ok)
    run_tick(world, systems_of(Role.ENTRY), 1_000)
    assert len(world.agreed.teams) == len(world.agreed.settings) == 0
    if isinstance(parsed.ok, ProposalRequest):
        sent = list(world.outbox.take_all())
        kinds = {type(message) for message in sent}
        assert kinds & {Reply, AppendRecords}


ENTRY_MESSAGES = {
    "ProposalRequest",
    "CallerRequest",
    "HeartbeatArrived",
    "HolderPingArrived",
}


@pytest.mark.parametrize(
    "value", [10**400, float("inf"), float("nan"), 2**63, -(2**63) - 1, "\ud800"]
)
def test_extreme_setting_values_are_refused(value: object) -> None:
    route, path_parameters = find_route("operators", "PUT", "/v1/settings")
    body = json.dumps({"operator": "x", "key": "job.lease_ms", "value": value})
    parsed = route.parse(RouteRequest("exc-1", path_parameters, {}, body.encode(), "p"))
    assert parsed.is_error()
