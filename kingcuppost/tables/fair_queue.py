"""Queued requests by service, urgency and team, taken in turn."""

from kingcuppost.tables.job import Urgency
from kingcuppost.tables.request import Request

__all__ = ["FairQueue"]


class FairQueue:
    """Requests that wait for a minion.

    Interactive requests go first. Within an urgency the teams take turns, so
    that no team's burst delays another's. Every step costs the same however
    many requests wait.
    """

    def __init__(self) -> None:
        self._lanes: dict[tuple[str, Urgency], dict[str, dict[str, None]]] = {}

    def push(self, request: Request) -> None:
        """Add a request behind those of its team."""
        lane = self._lanes.setdefault((request.service, request.urgency), {})
        lane.setdefault(request.team, {})[request.request_id] = None

    def remove(self, request: Request) -> None:
        """Forget a request; nothing happens if it does not wait."""
        lane = self._lanes.get((request.service, request.urgency), {})
        waiting = lane.get(request.team, {})
        waiting.pop(request.request_id, None)
        if not waiting:
            lane.pop(request.team, None)
        if not lane:
            self._lanes.pop((request.service, request.urgency), None)

    def pop(self, service: str) -> str | None:
        """Remove and return the identifier of the request whose turn it is."""
        for urgency in (Urgency.INTERACTIVE, Urgency.OVERNIGHT):
            lane = self._lanes.get((service, urgency))
            if lane:
                return self._pop_next(service, urgency, lane)
        return None

    def services(self) -> list[str]:
        """Return the services that requests wait for."""
        return list(dict.fromkeys(service for service, _ in self._lanes))

    def _pop_next(
        self, service: str, urgency: Urgency, lane: dict[str, dict[str, None]]
    ) -> str:
        team = next(iter(lane))
        waiting = lane.pop(team)
        request_id = next(iter(waiting))
        del waiting[request_id]
        if waiting:
            lane[team] = waiting
        if not lane:
            del self._lanes[service, urgency]
        return request_id
