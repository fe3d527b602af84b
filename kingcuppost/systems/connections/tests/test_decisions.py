"""Decisions on connections are taken over rows, without a network."""

import pytest

from kingcuppost.systems import connections as decisions
from kingcuppost.tables.connections import (
    ClientLimits,
    Connection,
    ConnectionPhase,
    Connections,
)

KIB = 1_024


def add(connections: Connections, phase: ConnectionPhase, now_ms: int) -> Connection:
    row = decisions.add_connection(connections, now_ms)
    decisions.move_to(connections, row, phase, now_ms)
    return row


@pytest.fixture
def connections() -> Connections:
    return Connections(ClientLimits(held_bytes=400 * KIB))


def test_only_a_connection_that_holds_much_is_paused(connections: Connections) -> None:
    """A pause of small requests would stop ordinary callers during such load."""
    large = add(connections, ConnectionPhase.BODY, 0)
    small = add(connections, ConnectionPhase.BODY, 0)
    decisions.hold(connections, large, 290 * KIB)
    assert not decisions.should_pause(connections, large)
    decisions.hold(connections, small, 16 * KIB)
    assert decisions.should_pause(connections, large)
    assert not decisions.should_pause(connections, small)


def test_paused_connections_are_resumed_while_there_is_room(
    connections: Connections,
) -> None:
    rows = [add(connections, ConnectionPhase.BODY, 0) for _ in range(6)]
    connections.paused.update({row.number: row for row in rows})
    decisions.hold(connections, rows[0], 150 * KIB)
    resumed = [decisions.take_resumable(connections, count) for count in range(3)]
    assert resumed == [rows[0], rows[1], None]


def test_the_longest_waiting_request_gives_way(connections: Connections) -> None:
    ahead = add(connections, ConnectionPhase.SERVING, 0)
    decisions.hold(connections, ahead, 10)
    body = add(connections, ConnectionPhase.BODY, 20)
    head = add(connections, ConnectionPhase.HEAD, 10)
    assert decisions.find_shed(connections, body) is head
    assert decisions.find_shed(connections, head) is body
    for row in (head, body):
        decisions.remove_connection(connections, row)
    assert decisions.find_shed(connections, head) is ahead
    assert decisions.find_shed(connections, ahead) is None


def test_a_small_request_in_two_parts_does_not_give_way_to_large_ones(
    connections: Connections,
) -> None:
    """Ordinary clients send head and body apart, and were refused between the two."""
    small = add(connections, ConnectionPhase.BODY, 0)
    decisions.hold(connections, small, 2 * KIB)
    large = add(connections, ConnectionPhase.BODY, 1)
    decisions.hold(connections, large, 20 * KIB)
    newest = add(connections, ConnectionPhase.BODY, 2)
    decisions.hold(connections, newest, 20 * KIB)
    assert decisions.find_shed(connections, newest) is large
    decisions.release_held(connections, large)
    assert decisions.find_shed(connections, newest) is small


def test_a_reserved_share_admits_small_requests_only(connections: Connections) -> None:
    first, large, small = (
        add(connections, ConnectionPhase.SERVING, 0) for _ in range(3)
    )
    first.is_small = large.is_small = False
    assert decisions.admits(connections, first, 500 * KIB)
    decisions.serve(connections, first, 290 * KIB)
    assert not decisions.admits(connections, large, 20 * KIB)
    assert decisions.admits(connections, small, 20 * KIB)
    assert not decisions.admits(connections, small, 111 * KIB)
    assert decisions.needs_room(connections, 111 * KIB)


def test_a_connection_is_closed_in_the_order_of_what_it_waits_for(
    connections: Connections,
) -> None:
    phases = ("closing", "body", "head", "unread", "idle")
    order = [
        add(connections, ConnectionPhase(phase), now_ms)
        for now_ms, phase in enumerate(phases)
    ]
    add(connections, ConnectionPhase.SERVING, 0)
    for row in order:
        assert decisions.find_longest_waiting(connections) is row
        decisions.remove_connection(connections, row)
    assert decisions.find_longest_waiting(connections) is None


def test_each_phase_has_its_timeout(connections: Connections) -> None:
    add(connections, ConnectionPhase.IDLE, 0)
    add(connections, ConnectionPhase.SERVING, 0)
    assert decisions.next_deadline_ms(connections) is None
    body = add(connections, ConnectionPhase.BODY, 0)
    head = add(connections, ConnectionPhase.HEAD, 100)
    due_ms = 100 + connections.limits.head_ms
    assert decisions.next_deadline_ms(connections) == due_ms
    assert decisions.find_overdue(connections, due_ms - 1) is None
    assert decisions.find_overdue(connections, due_ms) is head
    decisions.remove_connection(connections, head)
    assert decisions.next_deadline_ms(connections) == connections.limits.body_ms
    assert decisions.find_overdue(connections, connections.limits.body_ms) is body


def test_each_kind_is_logged_once_in_a_second(connections: Connections) -> None:
    memory = decisions.RefusalKind.MEMORY
    logged = [
        decisions.count_refusal(connections, memory, now) for now in (0, 1, 999, 1_000)
    ]
    assert logged == [1, 0, 0, 3]
    assert (
        decisions.count_refusal(connections, decisions.RefusalKind.BODY_TIME, 1_000)
        == 1
    )
