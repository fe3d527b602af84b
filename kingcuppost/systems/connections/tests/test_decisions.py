"""Decisions on connections are taken over rows, without a network."""

import dataclasses

import pytest

from kingcuppost.systems.connections import (
    RefusalKind,
    add_connection,
    admits,
    count_refusal,
    derive_limits,
    find_longest_waiting,
    find_overdue,
    find_shed,
    hold,
    move_to,
    needs_room,
    next_deadline_ms,
    release_held,
    remove_connection,
    serve,
    should_pause,
    take_resumable,
)
from kingcuppost.tables.connections import (
    ClientLimits,
    Connection,
    ConnectionPhase,
    Connections,
)

KIB = 1_024


def add(connections: Connections, phase: ConnectionPhase, now_ms: int) -> Connection:
    row = add_connection(connections, now_ms)
    move_to(connections, row, phase, now_ms)
    return row


@pytest.fixture
def connections() -> Connections:
    return Connections(ClientLimits(held_bytes=400 * KIB))


def test_the_defaults_are_those_of_the_smallest_machine() -> None:
    assert derive_limits() == ClientLimits()
    assert derive_limits(max_fds=100).connections > 0


@pytest.mark.parametrize(
    "field", [field.name for field in dataclasses.fields(ClientLimits)]
)
def test_each_limit_can_be_set(field: str) -> None:
    assert getattr(derive_limits(overrides={field: 7}), field) == 7


def test_only_a_connection_that_holds_much_is_paused(connections: Connections) -> None:
    """A pause of small requests would stop ordinary callers during such load."""
    large = add(connections, ConnectionPhase.BODY, 0)
    small = add(connections, ConnectionPhase.BODY, 0)
    hold(connections, large, 290 * KIB)
    assert not should_pause(connections, large)
    hold(connections, small, 16 * KIB)
    assert should_pause(connections, large)
    assert not should_pause(connections, small)


def test_paused_connections_are_resumed_while_there_is_room(
    connections: Connections,
) -> None:
    rows = [add(connections, ConnectionPhase.BODY, 0) for _ in range(6)]
    connections.paused.update({row.number: row for row in rows})
    hold(connections, rows[0], 150 * KIB)
    resumed = [take_resumable(connections, count) for count in range(3)]
    assert resumed == [rows[0], rows[1], None]


def test_the_longest_waiting_request_gives_way(connections: Connections) -> None:
    ahead = add(connections, ConnectionPhase.SERVING, 0)
    hold(connections, ahead, 10)
    body = add(connections, ConnectionPhase.BODY, 20)
    head = add(connections, ConnectionPhase.HEAD, 10)
    assert find_shed(connections, body) is head
    assert find_shed(connections, head) is body
    for row in (head, body):
        remove_connection(connections, row)
    assert find_shed(connections, head) is ahead
    assert find_shed(connections, ahead) is None


def test_a_small_request_in_two_parts_does_not_give_way_to_large_ones(
    connections: Connections,
) -> None:
    """Ordinary clients send head and body apart, and were refused between the two."""
    small = add(connections, ConnectionPhase.BODY, 0)
    hold(connections, small, 2 * KIB)
    large = add(connections, ConnectionPhase.BODY, 1)
    hold(connections, large, 20 * KIB)
    newest = add(connections, ConnectionPhase.BODY, 2)
    hold(connections, newest, 20 * KIB)
    assert find_shed(connections, newest) is large
    release_held(connections, large)
    assert find_shed(connections, newest) is small


def test_a_reserved_share_admits_small_requests_only(connections: Connections) -> None:
    first, large, small = (
        add(connections, ConnectionPhase.SERVING, 0) for _ in range(3)
    )
    first.is_small = large.is_small = False
    assert admits(connections, first, 500 * KIB)
    serve(connections, first, 290 * KIB)
    assert not admits(connections, large, 20 * KIB)
    assert admits(connections, small, 20 * KIB)
    assert not admits(connections, small, 111 * KIB)
    assert needs_room(connections, 111 * KIB)


def test_a_connection_is_closed_in_the_order_of_what_it_waits_for(
    connections: Connections,
) -> None:
    order = [
        add(connections, phase, now_ms)
        for now_ms, phase in enumerate(
            (
                ConnectionPhase.CLOSING,
                ConnectionPhase.BODY,
                ConnectionPhase.HEAD,
                ConnectionPhase.UNREAD,
                ConnectionPhase.IDLE,
            )
        )
    ]
    add(connections, ConnectionPhase.SERVING, 0)
    for row in order:
        assert find_longest_waiting(connections) is row
        remove_connection(connections, row)
    assert find_longest_waiting(connections) is None
    assert connections.count == 1


def test_each_phase_has_its_timeout(connections: Connections) -> None:
    limits = connections.limits
    add(connections, ConnectionPhase.IDLE, 0)
    add(connections, ConnectionPhase.SERVING, 0)
    assert next_deadline_ms(connections) is None
    head = add(connections, ConnectionPhase.HEAD, 100)
    body = add(connections, ConnectionPhase.BODY, 0)
    assert next_deadline_ms(connections) == 100 + limits.head_ms
    assert find_overdue(connections, 99 + limits.head_ms) is None
    assert find_overdue(connections, 100 + limits.head_ms) is head
    remove_connection(connections, head)
    assert next_deadline_ms(connections) == limits.body_ms
    assert find_overdue(connections, limits.body_ms) is body


def test_the_totals_return_to_zero(connections: Connections) -> None:
    row = add(connections, ConnectionPhase.BODY, 0)
    hold(connections, row, 5)
    hold(connections, row, 6)
    assert connections.held_bytes == 11
    release_held(connections, row)
    assert connections.held_bytes == row.held_bytes == 0


def test_each_kind_is_logged_once_in_a_second(connections: Connections) -> None:
    memory = RefusalKind.MEMORY
    logged = [count_refusal(connections, memory, now) for now in (0, 1, 999, 1_000)]
    assert logged == [1, 0, 0, 3]
    assert count_refusal(connections, RefusalKind.BODY_TIME, 1_000) == 1
