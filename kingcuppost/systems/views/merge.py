"""Merging the events of several processes into one time line.

Three rules hold whatever the clocks say: the events of one process keep their
sequence; an event follows the one that sent the message or record that it received;
and records are folded in log order, so that an event seen at a log offset follows
that record. Among the events that these rules allow next, the one with the lowest
log offset goes first, and the earlier clock decides between equals.
"""

import heapq
from collections.abc import Iterable
from dataclasses import dataclass, field

from kingcuppost.tables.event import Event

__all__ = ["merge_events"]

FOLD_PREFIX = "fold."


@dataclass(slots=True)
class _Node:
    """An event or a log record, with the nodes that it has to follow.

    Attributes
    ----------
    event : Event or None
        The event; None for a record of the log.
    priority : tuple
        What decides among the nodes that may go next.
    blocked_by : int
        Nodes that have to go first and have not gone yet.
    followers : list of int
        Nodes that wait for this one.
    """

    event: Event | None
    priority: tuple[int, int, int, str, str, int]
    blocked_by: int = 0
    followers: list[int] = field(default_factory=list)


def merge_events(events: Iterable[Event]) -> list[Event]:
    """Return the events of all processes in one order of cause and effect.

    Parameters
    ----------
    events : iterable of Event
        Events of any processes, in any order.

    Returns
    -------
    list of Event
        The same events.

    Examples
    --------
    >>> sent = Event(9_000, "entry-0", "i", 1, "request.send", "", sends="att-1")
    >>> heard = Event(1_000, "minion-0", "i", 1, "serve.receive", "", receives="att-1")
    >>> [event.process for event in merge_events([heard, sent])]
    ['entry-0', 'minion-0']
    """
    rows = sorted(events, key=_stream_key)
    offsets = _rising_offsets(rows)
    nodes = [_node_of(row, offset) for row, offset in zip(rows, offsets, strict=True)]
    _link_sequences(nodes)
    _link_messages(nodes)
    _link_records(nodes, offsets)
    return [node.event for node in _drain(nodes) if node.event is not None]


def _stream_key(event: Event) -> tuple[str, str, int]:
    return (event.process, event.incarnation, event.sequence)


def _rising_offsets(rows: list[Event]) -> list[int]:
    """Return the offset that each event's process had reached by then."""
    offsets = []
    last = ("", "")
    reached = 0
    for row in rows:
        stream = (row.process, row.incarnation)
        reached = max(reached, row.offset) if stream == last else row.offset
        last = stream
        offsets.append(reached)
    return offsets


def _node_of(event: Event, offset: int) -> _Node:
    is_other = 0 if event.step.startswith(FOLD_PREFIX) else 1
    return _Node(event, (offset, is_other, event.wall_ms, *_stream_key(event)))


def _follow(nodes: list[_Node], first: int, second: int) -> None:
    nodes[first].followers.append(second)
    nodes[second].blocked_by += 1


def _link_sequences(nodes: list[_Node]) -> None:
    for number in range(1, len(nodes)):
        before = nodes[number - 1].event
        after = nodes[number].event
        if (before.process, before.incarnation) == (after.process, after.incarnation):
            _follow(nodes, number - 1, number)


def _link_messages(nodes: list[_Node]) -> None:
    """Let what was received follow the first sending of it."""
    senders: dict[str, int] = {}
    for number, node in enumerate(nodes):
        if node.event.sends:
            senders.setdefault(node.event.sends, number)
    for number, node in enumerate(nodes):
        sender = senders.get(node.event.receives)
        if sender is not None and sender != number:
            _follow(nodes, sender, number)


def _link_records(nodes: list[_Node], offsets: list[int]) -> None:
    """Put one node for each record seen, in log order, before its readers."""
    readers: dict[int, list[int]] = {}
    for number, offset in enumerate(offsets):
        readers.setdefault(offset, []).append(number)
    senders = {
        node.event.sends: number
        for number, node in reversed(list(enumerate(nodes)))
        if node.event.sends
    }
    previous = -1
    for offset in sorted(readers):
        record = len(nodes)
        nodes.append(_Node(None, (offset, -1, 0, "", "", 0)))
        if previous >= 0:
            _follow(nodes, previous, record)
        previous = record
        proposers = {
            senders[nodes[number].event.receives]
            for number in readers[offset]
            if _folds(nodes[number].event, offset)
            and nodes[number].event.receives in senders
        }
        for number in sorted(proposers):
            _follow(nodes, number, record)
        for number in readers[offset]:
            _follow(nodes, record, number)


def _folds(event: Event, offset: int) -> bool:
    return event.step.startswith(FOLD_PREFIX) and event.offset == offset


def _drain(nodes: list[_Node]) -> list[_Node]:
    """Return the nodes in an order in which none goes before what it follows.

    Events that contradict one another, such as two with the same number of one
    process, are taken in order of priority rather than dropped.
    """
    waiting = {number: node.blocked_by for number, node in enumerate(nodes)}
    heap = [(node.priority, n) for n, node in enumerate(nodes) if not node.blocked_by]
    heapq.heapify(heap)
    ordered = []
    while waiting:
        if not heap:
            number = min(waiting, key=lambda item: nodes[item].priority)
        else:
            _, number = heapq.heappop(heap)
        if waiting.pop(number, None) is None:
            continue
        ordered.append(nodes[number])
        for follower in nodes[number].followers:
            if follower in waiting:
                waiting[follower] -= 1
                if not waiting[follower]:
                    heapq.heappush(heap, (nodes[follower].priority, follower))
    return ordered
