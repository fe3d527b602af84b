"""Orders to minions and enum values keep their stored format."""

import json
import random
from enum import Enum
from types import SimpleNamespace
from typing import Any

import pytest
from twisted.internet.defer import Deferred

import kingcuppost.platform.minion  # noqa: F401
from kingcuppost.batch.edges.context import BatchContext, batch_senders
from kingcuppost.batch.tables.job import MinionIncarnation, TaskName
from kingcuppost.batch.tables.messages import (
    HoldMinion,
    StartOrder,
    StartRun,
    StopOrder,
    StopRun,
)
from kingcuppost.tables.config import Address
from kingcuppost.tests.format_files import list_package_classes, read_lines
from kingcuppost.utils import ManualClock

ADDRESS = Address("10.0.0.1", 8000)
INCARNATION = MinionIncarnation("minion-1", 5)
TASK = TaskName("0123456789abcdef", 1, 2, 3)
ORDERS = {
    "hold": HoldMinion(ADDRESS, INCARNATION, 7, 8, 9, 10),
    "start": StartRun(
        ADDRESS, INCARNATION, 7, StartOrder(TASK, 4, "spec", "saved"), 10
    ),
    "stop": StopRun(ADDRESS, INCARNATION, 7, StopOrder(TASK, 4)),
}
STORED_ORDERS = [json.loads(line) for line in read_lines("minion_orders.jsonl")]


def record_sent_request(order: Any) -> list:
    """Return method, path, body and headers of the request that an order sends."""
    calls = []

    def exchange(
        method: str,
        address: Address,
        path: str,
        body: bytes,
        timeout_ms: int,
        headers: dict,
    ) -> Deferred:
        calls.append([method, path, body.decode(), headers])
        return Deferred()

    world = SimpleNamespace(clock=ManualClock(start_ms=1_000), rng=random.Random(1))
    context = BatchContext(world, None, SimpleNamespace(exchange=exchange), list)
    batch_senders[type(order)](context, order)
    return calls[0]


@pytest.mark.parametrize(
    ("name", "stored"), STORED_ORDERS, ids=[row[0] for row in STORED_ORDERS]
)
def test_an_order_is_sent_as_it_is_stored(name: str, stored: list) -> None:
    assert record_sent_request(ORDERS[name]) == stored


@pytest.mark.parametrize("text", read_lines("enums.jsonl"))
def test_enums_keep_their_values(text: str) -> None:
    found = [
        [member.value for member in cls]
        for cls in list_package_classes()
        if issubclass(cls, Enum)
    ]
    assert json.loads(text) in found
