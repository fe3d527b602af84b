"""Messages of peers, workers, callers and operators keep their stored format."""

import json
from dataclasses import fields, is_dataclass, replace
from typing import Any

import pytest
from pydantic import BaseModel, TypeAdapter, ValidationError

from kingcuppost.batch.models import sync
from kingcuppost.batch.tables.job import MinionIncarnation
from kingcuppost.edges.routes import RouteRequest, find_route, routes
from kingcuppost.models.base import encode
from kingcuppost.tests.format_files import list_package_classes, read_lines, to_values

MODELS = read_lines("models.jsonl")
ANSWERS = read_lines("answers.jsonl")
ROUTE_MESSAGES = [json.loads(line) for line in read_lines("route_messages.jsonl")]
QUERY = {"path": "branch", "key": "some-key"}


def list_models() -> list[type[BaseModel]]:
    return [
        cls
        for cls in list_package_classes()
        if issubclass(cls, BaseModel) and cls.model_fields
    ]


def list_field_names(model: type[BaseModel]) -> set[str]:
    return {field.alias or name for name, field in model.model_fields.items()}


def round_trips(model: type[BaseModel], text: str) -> bool:
    """Return whether a model has exactly the fields of a text and re-encodes it."""
    if list_field_names(model) != set(json.loads(text)):
        return False
    try:
        row = model.model_validate_json(text)
    except ValidationError:
        return False
    return row.model_dump_json(by_alias=True) == text


def parse_row(kind: type, text: str) -> Any:
    """Return a text as a row of a data class; None if the fields or values differ."""
    if {field.name for field in fields(kind)} != set(json.loads(text)):
        return None
    try:
        return TypeAdapter(kind).validate_json(text)
    except ValidationError:
        return None


@pytest.mark.parametrize("text", MODELS, ids=range(len(MODELS)))
def test_a_stored_message_round_trips_through_a_model(text: str) -> None:
    assert any(round_trips(model, text) for model in list_models())


def test_each_model_has_a_stored_text() -> None:
    missing = [
        model.__qualname__
        for model in list_models()
        if not any(round_trips(model, text) for text in MODELS)
    ]
    assert missing == []


@pytest.mark.parametrize("text", ANSWERS, ids=range(len(ANSWERS)))
def test_a_stored_answer_round_trips_through_a_row(text: str) -> None:
    kinds = [cls for cls in list_package_classes() if is_dataclass(cls)]
    rows = [parse_row(kind, text) for kind in kinds]
    assert text in [encode(row).decode() for row in rows if row is not None]


@pytest.mark.parametrize(
    ("surface", "method", "path", "body", "values"), ROUTE_MESSAGES
)
def test_a_route_reads_its_message_into_the_same_row(
    surface: str, method: str, path: str, body: str, values: list
) -> None:
    route, names = find_route(surface, method, path)
    request = RouteRequest("exchange", names, QUERY, body.encode(), "peer")
    assert to_values(route.parse(request).ok) == values


def test_each_route_with_input_has_a_stored_message() -> None:
    found = {id(find_route(*line[:3])[0]) for line in ROUTE_MESSAGES}
    assert found == {id(route) for route, _ in routes if route.direct is None}


def test_a_sidecar_report_round_trips() -> None:
    text, values = read_lines("sync_call.jsonl")
    call = sync.decode_sync_call(text.encode(), "exchange", "peer").ok
    assert to_values(call) == json.loads(values)
    assert sync.encode_sync_call(call).decode() == text


def test_a_report_tells_that_its_lists_are_cut() -> None:
    text, _ = read_lines("sync_call.jsonl")
    call = sync.decode_sync_call(text.encode(), "exchange", "peer").ok
    cut = replace(call, minion=replace(call.minion, lists_are_whole=False))
    encoded = sync.encode_sync_call(cut)
    assert sync.decode_sync_call(encoded, "exchange", "peer").ok == cut


def test_a_report_tells_which_minion_has_ended() -> None:
    text, _ = read_lines("sync_call.jsonl")
    call = sync.decode_sync_call(text.encode(), "exchange", "peer").ok
    ended = replace(call, minion=None, ended_minion=MinionIncarnation("m-1", 7))
    encoded = sync.encode_sync_call(ended)
    assert sync.decode_sync_call(encoded, "exchange", "peer").ok == ended


def test_orders_for_a_sidecar_round_trip() -> None:
    text, values = read_lines("sync_reply.jsonl")
    reply = sync.decode_sync_reply(text.encode(), "peer").ok
    assert to_values(reply) == json.loads(values)
    assert sync.encode_sync_reply(reply).decode() == text
