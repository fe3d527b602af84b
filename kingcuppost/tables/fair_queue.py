"""Queue of requests by service and urgency, fair between teams."""

from kingcuppost.tables.job import Urgency
from kingcuppost.tables.request import Request

__all__ = ["FairQueue"]


class FairQueue:
    """Requests that wait for a minion.

    Interactive requests are taken first. Within an urgency the queue serves teams
    round-robin, so that a burst of one team does not delay the others. Operations
    on a request take constant time, regardless of the number of waiting requests.
    """

    def __init__(self) -> None:
        self._queues: dict[tuple[str, Urgency], dict[str, dict[str, None]]] = {}

    def push(self, request: Request) -> None:
        """Append a request to the queue of its team."""
        team_queues = self._queues.setdefault((request.service, request.urgency), {})
        team_queues.setdefault(request.team, {})[request.request_id] = None

    def remove(self, request: Request) -> None:
        """Remove a request; do nothing if it is not queued."""
        team_queues = self._queues.get((request.service, request.urgency), {})
        waiting = team_queues.get(request.team, {})
        waiting.pop(request.request_id, None)
        if not waiting:
            team_queues.pop(request.team, None)
        if not team_queues:
            self._queues.pop((request.service, request.urgency), None)

    def pop(self, service: str) -> str | None:
        """Remove and return the next request's identifier; None if none is queued."""
        for urgency in (Urgency.INTERACTIVE, Urgency.OVERNIGHT):
            team_queues = self._queues.get((service, urgency))
            if team_queues:
                return self._pop_next(service, urgency, team_queues)
        return None

    def services(self) -> list[str]:
        """Return the services with queued requests."""
        return list(dict.fromkeys(service for service, _ in self._queues))

    def _pop_next(
        self, service: str, urgency: Urgency, team_queues: dict[str, dict[str, None]]
    ) -> str:
        team = next(iter(team_queues))
        waiting = team_queues.pop(team)
        request_id = next(iter(waiting))
        del waiting[request_id]
        if waiting:
            team_queues[team] = waiting
        if not team_queues:
            del self._queues[service, urgency]
        return request_id
