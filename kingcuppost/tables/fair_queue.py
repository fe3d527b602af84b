"""Queue of requests by service and urgency, fair between teams."""

from kingcuppost.tables.job import Urgency
from kingcuppost.tables.request import Request

__all__ = ["FairQueue"]


class FairQueue:
    """Requests that wait for a minion.

    Interactive requests are taken first. Within an urgency the queue serves teams
    round-robin, so that a burst of one team does not delay the others. Operations
    on a request take constant time, however many requests wait.
    """

    def __init__(self) -> None:
        self._lanes: dict[tuple[str, Urgency], dict[str, dict[str, None]]] = {}

    def push(self, request: Request) -> None:
        """Append a request to the queue of its team."""
        lane = self._lanes.setdefault((request.service, request.urgency), {})
        lane.setdefault(request.team, {})[request.request_id] = None

    def remove(self, request: Request) -> None:
        """Remove a request; do nothing if it is not queued."""
        lane = self._lanes.get((request.service, request.urgency), {})
        waiting = lane.get(request.team, {})
        waiting.pop(request.request_id, None)
        if not waiting:
            lane.pop(request.team, None)
        if not lane:
            self._lanes.pop((request.service, request.urgency), None)

    def pop(self, service: str) -> str | None:
        """Remove and return the next request's identifier; None if none is queued."""
        for urgency in (Urgency.INTERACTIVE, Urgency.OVERNIGHT):
            lane = self._lanes.get((service, urgency))
            if lane:
                return self._pop_next(service, urgency, lane)
        return None

    def services(self) -> list[str]:
        """Return the services with queued requests."""
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
