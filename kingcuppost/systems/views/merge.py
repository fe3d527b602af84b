"""Merging the events of several processes into one time line.

Three rules hold regardless of clock skew: the events of one process keep their
sequence; an event follows the one that sent the message or record that it received;
and records are folded in log order, so that an event recorded at a log offset follows
the record at that offset. Among the events that these rules allow next, the one with
the lowest log offset goes first; at one offset, folds go before other events, and the
earlier clock time breaks ties.
"""

import heapq
from collections.abc import Iterable
from dataclasses import dataclass, field

from kingcuppost.tables.event import Event

__all__ = ["merge_events"]

FOLD_PREFIX = "fold."


@dataclass(slots=True)
class _Node:
    """A node of the precedence graph: an event or a log record.

    Attributes
    ----------
    event : Event or None
        The event; None for a record of the log.
    priority : tuple
        Order among the nodes without open predecessors; the lowest goes first.
    blocked_by : int
        Number of predecessors (in-degree).
    followers : list of int
        Indexes of the nodes that this one precedes.
    """

    event: Event | None
    priority: tuple[int, int, int, str, str, int]
    blocked_by: int = 0
    followers: list[int] = field(default_factory=list)


def merge_events(events: Iterable[Event]) -> list[Event]:
    """Return the events of all processes in one causal order.

    Parameters
    ----------
    events : iterable of Event
        Events of several processes, in any order.

    Returns
    -------
    list of Event
        The same events, causes before effects.

    Examples
    --------
    >>> cause = Event(9_000, "entry-0", "i", 1, "request.send", "", sends="att-1")
    >>> effect = Event(1_000, "minion-0", "i", 1, "serve.receive", "", receives="att-1")
    >>> [event.process for event in merge_events([effect, cause])]
    ['entry-0', 'minion-0']
    """
    ordered_events = sorted(events, key=_stream_key)
    offsets = _find_reached_offsets(ordered_events)
    nodes = [
        _make_node(event, offset)
        for event, offset in zip(ordered_events, offsets, strict=True)
    ]
    _add_sequence_edges(nodes)
    _add_message_edges(nodes)
    _add_record_nodes(nodes, offsets)
    return [node.event for node in _sort_topologically(nodes) if node.event is not None]


def _stream_key(event: Event) -> tuple[str, str, int]:
    return (event.process, event.incarnation, event.sequence)


def _find_reached_offsets(events: list[Event]) -> list[int]:
    """Return the highest offset that the process had reached at each event."""
    offsets = []
    previous_stream = ("", "")
    reached = 0
    for event in events:
        stream = (event.process, event.incarnation)
        reached = (
            max(reached, event.offset) if stream == previous_stream else event.offset
        )
        previous_stream = stream
        offsets.append(reached)
    return offsets


def _make_node(event: Event, offset: int) -> _Node:
    fold_rank = 0 if event.step.startswith(FOLD_PREFIX) else 1
    return _Node(event, (offset, fold_rank, event.wall_ms, *_stream_key(event)))


def _add_edge(nodes: list[_Node], first: int, second: int) -> None:
    nodes[first].followers.append(second)
    nodes[second].blocked_by += 1


def _add_sequence_edges(nodes: list[_Node]) -> None:
    for index in range(1, len(nodes)):
        before = nodes[index - 1].event
        after = nodes[index].event
        if (before.process, before.incarnation) == (after.process, after.incarnation):
            _add_edge(nodes, index - 1, index)


def _add_message_edges(nodes: list[_Node]) -> None:
    """Put each event that received a message after the first one that sent it."""
    sender_indexes: dict[str, int] = {}
    for index, node in enumerate(nodes):
        if node.event.sends:
            sender_indexes.setdefault(node.event.sends, index)
    for index, node in enumerate(nodes):
        sender = sender_indexes.get(node.event.receives)
        if sender is not None and sender != index:
            _add_edge(nodes, sender, index)


def _add_record_nodes(nodes: list[_Node], offsets: list[int]) -> None:
    """Add a node for each record, in log order.

    It follows the proposal of the record and precedes the events at its offset.
    """
    events_at_offset: dict[int, list[int]] = {}
    for index, offset in enumerate(offsets):
        events_at_offset.setdefault(offset, []).append(index)
    sender_indexes = {
        node.event.sends: index
        for index, node in reversed(list(enumerate(nodes)))
        if node.event.sends
    }
    previous_index = -1
    for offset in sorted(events_at_offset):
        record_index = len(nodes)
        nodes.append(_Node(None, (offset, -1, 0, "", "", 0)))
        if previous_index >= 0:
            _add_edge(nodes, previous_index, record_index)
        previous_index = record_index
        proposal_indexes = {
            sender_indexes[nodes[index].event.receives]
            for index in events_at_offset[offset]
            if _is_fold_at(nodes[index].event, offset)
            and nodes[index].event.receives in sender_indexes
        }
        for index in sorted(proposal_indexes):
            _add_edge(nodes, index, record_index)
        for index in events_at_offset[offset]:
            _add_edge(nodes, record_index, index)


def _is_fold_at(event: Event, offset: int) -> bool:
    return event.step.startswith(FOLD_PREFIX) and event.offset == offset


def _sort_topologically(nodes: list[_Node]) -> list[_Node]:
    """Return the nodes in an order in which each follows its predecessors.

    Events that contradict one another, such as two with the same sequence number in one
    process or two that each received what the other sent, are ordered by priority
    rather than dropped.
    """
    in_degrees = {index: node.blocked_by for index, node in enumerate(nodes)}
    heap = [(node.priority, n) for n, node in enumerate(nodes) if not node.blocked_by]
    heapq.heapify(heap)
    ordered = []
    while in_degrees:
        if not heap:
            index = min(in_degrees, key=lambda node_index: nodes[node_index].priority)
        else:
            _, index = heapq.heappop(heap)
        if in_degrees.pop(index, None) is None:
            continue
        ordered.append(nodes[index])
        for successor in nodes[index].followers:
            if successor in in_degrees:
                in_degrees[successor] -= 1
                if not in_degrees[successor]:
                    heapq.heappush(heap, (nodes[successor].priority, successor))
    return ordered
