"""Requests to explain a placement are read as submissions are, and answered."""

import json
from io import BytesIO
from types import SimpleNamespace
from typing import Any

import pytest
from twisted.web.test.requesthelper import DummyRequest

import kingcuppost.platform.callers  # noqa: F401
from kingcuppost.batch.edges.context import BatchContext
from kingcuppost.batch.edges.peers import send_explain_reply, serve_peer
from kingcuppost.batch.edges.processes import make_batch_world
from kingcuppost.batch.tables.config import DaemonConfig
from kingcuppost.batch.tables.messages import (
    ExplainCall,
    ExplainOutcome,
    ExplainReply,
)
from kingcuppost.tables.config import Address
from kingcuppost.tables.identity import Role
from kingcuppost.utils import ManualClock

SUBMISSION = '{"steps": [{"count": 2, "gpu": 1}]}'


def make_context(role: Role) -> BatchContext:
    cfg = DaemonConfig(role, "p-0", "z", Address("10.0.0.1", 7000))
    world = make_batch_world(cfg, ManualClock(start_ms=100_000), seed=1)
    return BatchContext(world, None, None, lambda: None)


def post(context: BatchContext, body: dict[str, Any]) -> DummyRequest:
    request = DummyRequest([])
    request.path = b"/peer/explain"
    request.content = BytesIO(json.dumps(body).encode())
    request.getClientAddress = lambda: SimpleNamespace(host="10.0.0.9")
    serve_peer(context, request)
    return request


def test_a_request_is_delivered_with_the_job_of_the_submission() -> None:
    context = make_context(Role.ENTRY)
    request = post(context, {"queue": "q", "team": "t", "submission": SUBMISSION})
    [call] = context.world.inbox.take(ExplainCall)
    assert (call.queue, call.team) == ("q", "t")
    assert [(step.count, step.accelerators) for step in call.job.steps] == [(2, 1)]
    send_explain_reply(
        context, ExplainReply(call.exchange_id, ExplainOutcome.NOT_NOW, "later")
    )
    assert request.responseCode == 503
    assert json.loads(request.written[0])["reason"] == "later"


@pytest.mark.parametrize(
    "body", [{"queue": "q"}, {"queue": "q", "submission": '{"steps": []}'}]
)
def test_an_invalid_request_is_refused_at_once(body: dict[str, Any]) -> None:
    # it would stay open, and be decided on, if it reached the systems
    context = make_context(Role.ENTRY)
    assert post(context, body).responseCode == 400
    assert not context.exchanges
    assert not list(context.world.inbox.take(ExplainCall))


def test_a_sidecar_has_no_such_path() -> None:
    # no system of a sidecar takes the request, so it would never be answered
    context = make_context(Role.SIDECAR)
    body = {"queue": "q", "submission": SUBMISSION}
    assert post(context, body).responseCode == 404
