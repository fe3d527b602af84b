"""Commands parse options, print answers and return the documented exit codes."""

import json
from typing import Any

import pytest
from expression import Error, Ok

from kingcuppost.cli import client, main, timeline
from kingcuppost.edges.http_client import Response
from kingcuppost.exception import Failure

ACCEPTED = {"offset": 7, "record_id": "rec-1", "name": "design"}


class FakePeer:
    """A substitute for `send_requests` that records requests and sends nothing."""

    def __init__(self, result: Any) -> None:
        self.result = result
        self.requests: list[Any] = []

    def __call__(self, requests: list[Any]) -> list[Any]:
        self.requests.extend(requests)
        return [self.result] * len(requests)


@pytest.fixture
def peer(monkeypatch: pytest.MonkeyPatch) -> FakePeer:
    fake = FakePeer(Ok(Response(200, json.dumps(ACCEPTED).encode())))
    monkeypatch.setattr(client, "send_requests", fake)
    return fake


def make_refusal(status: int, outcome: str, reason: str) -> Any:
    body = {"outcome": outcome, "step": "change", "peer": "entry-0", "reason": reason}
    return Ok(Response(status, json.dumps(body).encode()))


@pytest.mark.parametrize(
    ("argv", "method", "path", "fields"),
    [
        (
            ["team", "put", "design", "--guarantee", "3*2x4"],
            "PUT",
            "/v1/teams/design",
            {"guarantees": [{"members": 2, "accelerators": 4, "count": 3}]},
        ),
        (
            ["availability-zone", "out", "vid-b"],
            "POST",
            "/v1/availability-zones/vid-b/service",
            {"in_service": False},
        ),
        (
            ["availability-zone", "add", "vid-b", "--region", "vidzeme"],
            "PUT",
            "/v1/availability-zones/vid-b",
            {"in_service": True, "region": "vidzeme"},
        ),
        (
            ["settings", "set", "job.lease_ms", "4000", "--path", "teams/design"],
            "PUT",
            "/v1/settings",
            {"key": "job.lease_ms", "value": 4_000, "path": "teams/design"},
        ),
        (
            ["settings", "unset", "job.lease_ms"],
            "PUT",
            "/v1/settings",
            {"key": "job.lease_ms", "value": None},
        ),
        (
            ["job", "submit", "--team", "design", "--members", "2"],
            "POST",
            "/v1/jobs",
            {"team": "design", "members": 2, "urgency": "overnight"},
        ),
        (["job", "cancel", "a/b"], "POST", "/v1/jobs/a%2Fb/cancel", {}),
        (
            [
                *("request", "--team", "design", "--service", "planner"),
                *("--key", "k", "--issued-ms", "7"),
            ],
            "POST",
            "/v1/requests",
            {"idempotent": False, "key": "k", "issued_ms": 7},
        ),
    ],
)
def test_change_is_sent_with_its_fields(
    peer: FakePeer, argv: list[str], method: str, path: str, fields: dict[str, Any]
) -> None:
    assert main(argv) == 0
    (request,) = peer.requests
    assert (request.method, request.path) == (method, path)
    body = json.loads(request.body)
    assert {name: body[name] for name in fields} == fields


@pytest.mark.parametrize(
    "argv",
    [
        ["team", "put", "design", "--guarantee", "2by4"],
        ["team", "put", "design", "--guarantee", "x4"],
        ["team", "put", "design", "--entry", "localhost"],
        ["timeline", "--since", "yesterday"],
    ],
)
def test_invalid_option_is_refused_with_one_line(
    peer: FakePeer, argv: list[str], capsys: pytest.CaptureFixture
) -> None:
    assert main(argv) == 2
    assert peer.requests == []
    lines = capsys.readouterr().err.splitlines()
    assert len(lines) == 1
    assert lines[0].startswith("kingcuppost: ")


@pytest.mark.parametrize(
    ("result", "code"),
    [
        (make_refusal(400, "not_run", "members: too small"), 2),
        (make_refusal(404, "not_run", "there is no team"), 2),
        (make_refusal(409, "not_run", "another change came first"), 2),
        (make_refusal(422, "not_run", "unknown key"), 2),
        (make_refusal(503, "not_run", "the log is not read yet"), 1),
        (make_refusal(504, "unknown", "not confirmed"), 3),
        (Error(Failure("refused", "connect", "127.0.0.1:1")), 1),
    ],
)
def test_refusal_prints_one_line_and_sets_the_exit_code(
    peer: FakePeer, result: Any, code: int, capsys: pytest.CaptureFixture
) -> None:
    peer.result = result
    assert main(["team", "put", "design"]) == code
    printed = capsys.readouterr()
    assert printed.out == ""
    assert len(printed.err.splitlines()) == 1


def test_outcome_of_unanswered_change_is_unknown(
    peer: FakePeer, capsys: pytest.CaptureFixture
) -> None:
    peer.result = Error(Failure("timeout", "exchange", "127.0.0.1:1"))
    assert main(["team", "put", "design"]) == 3
    assert "unknown" in capsys.readouterr().err
    assert main(["team", "show"]) == 1


def test_outcome_of_answer_without_json_is_unknown(peer: FakePeer) -> None:
    peer.result = Ok(Response(502, b"<html>"))
    assert main(["team", "put", "design"]) == 3


def test_json_option_prints_the_answer_unchanged(
    peer: FakePeer, capsys: pytest.CaptureFixture
) -> None:
    assert main(["team", "put", "design", "--json"]) == 0
    assert json.loads(capsys.readouterr().out) == ACCEPTED


VIEWS = {
    "fleet": (
        {
            "entries": [
                {
                    "name": "entry-0",
                    "availability_zone": "vid-a",
                    "state": "serving",
                    "host": "10.0.0.1",
                    "caller_port": 7300,
                    "operator_port": 7301,
                    "offset": 3,
                }
            ],
            "minions": [],
            "workers": [],
        },
        "entry-0  vid-a  serving  10.0.0.1  7300",
    ),
    "status": (
        {
            "identity": {
                "role": "entry",
                "name": "entry-0",
                "incarnation": "inc-1",
                "availability_zone": "vid-a",
            },
            "folded_offset": 8,
            "head_offset": 9,
            "fresh_age_ms": -1,
            "lease": {"term": 4, "holder": "entry-1"},
            "proposals": 0,
            "requests": 1,
            "attempts": 1,
            "stopping": False,
        },
        "log: folded 8 of 9, last read at its head: never",
    ),
}


@pytest.mark.parametrize("name", VIEWS)
def test_view_is_printed(
    name: str, peer: FakePeer, capsys: pytest.CaptureFixture
) -> None:
    answer, text = VIEWS[name]
    peer.result = Ok(Response(200, json.dumps(answer).encode()))
    assert main([name]) == 0
    assert text in capsys.readouterr().out


DECISION = {
    "policy": "two_choices",
    "settings_offset": 5,
    "values": [
        {
            "key": "request.attempts",
            "value": 2,
            "path": "teams/design",
            "offset": 4,
            "operator": "ilze",
        }
    ],
    "refused": [{"place": "minion-2", "reason": "no slot is free"}],
}


def test_request_explanation_shows_branch_operator_and_alternative(
    peer: FakePeer, capsys: pytest.CaptureFixture
) -> None:
    answer = {
        "key": "design/order-7",
        "outcome": "answered",
        "known_by": "the log",
        "settings_now": [],
        "events": [],
        "claim": {
            "offset": 6,
            "attempt_id": "att-1",
            "minion": "minion-1",
            "minion_incarnation": "inc-2",
            "decision": DECISION,
        },
    }
    peer.result = Ok(Response(200, json.dumps(answer).encode()))
    assert main(["explain", "request", "design/order-7"]) == 0
    (request,) = peer.requests
    assert request.path == "/v1/requests/explain?key=design%2Forder-7"
    text = capsys.readouterr().out
    assert "request.attempts = 2 from teams/design, offset 4, ilze" in text
    assert "not on minion-2: no slot is free" in text


EVENT = {
    "wall_ms": 1_000,
    "process": "entry-0",
    "incarnation": "inc-1",
    "sequence": 1,
    "step": "request.send",
    "text": "Attempt sent.",
    "team": "design",
    "request": "design/order-7",
}


def test_timeline_filters_events_and_reports_unreachable_processes(
    monkeypatch: pytest.MonkeyPatch, capsys: pytest.CaptureFixture
) -> None:
    fleet = {"entries": [], "minions": [{"host": "10.0.0.9", "operator_port": 81}]}
    addresses = []

    def send_with_follow_ups(first: Any, follow: Any) -> list[Any]:
        answer = Ok(Response(200, json.dumps(fleet).encode()))
        addresses.extend(str(request.address) for request in follow(answer))
        other_event = {**EVENT, "sequence": 2, "team": "sales"}
        events = Ok(
            Response(200, json.dumps({"events": [EVENT, other_event]}).encode())
        )
        return [answer, events, Error(Failure("refused", "connect", "10.0.0.9:81"))]

    monkeypatch.setattr(timeline, "send_with_follow_ups", send_with_follow_ups)
    assert main(["timeline", "--team", "design", "--json"]) == 0
    printed = capsys.readouterr()
    assert addresses == ["127.0.0.1:7301", "10.0.0.9:81"]
    assert [json.loads(line)["sequence"] for line in printed.out.splitlines()] == [1]
    assert "10.0.0.9:81" in printed.err
    assert main(["timeline", "--until", "999"]) == 0
    assert "Attempt sent" not in capsys.readouterr().out
