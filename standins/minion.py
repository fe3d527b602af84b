"""Stand-in for a minion that counts its requests and answers after a delay.

A request body may set the delay and an identifier to count by, as a JSON object:
``{"run_ms": 50, "id": "order-7"}``.
"""

from collections import Counter

from twisted.internet import reactor
from twisted.web.server import Request

from standins.service import Answer, JsonService, send_answer

__all__ = ["Minion"]

MS_PER_SECOND = 1_000


class Minion(JsonService):
    """HTTP interface of the minion."""

    def __init__(self, name: str) -> None:
        super().__init__()
        self.name = name
        self.runs: Counter[str] = Counter()
        self.running = 0
        self.max_running = 0
        self.add("POST", "/v1/run", self.run)
        self.add("GET", "/v1/runs", self.show_runs)

    def show_runs(self, request: Request, body: object) -> Answer:
        """Return the runs by identifier, and the most that ran at the same time."""
        return Answer(200, {"runs": self.runs, "most_running": self.max_running})

    def run(self, request: Request, body: object) -> None:
        """Count a request and answer it when its run time is over."""
        options = body if isinstance(body, dict) else {}
        self.runs[str(options.get("id", ""))] += 1
        self.running += 1
        self.max_running = max(self.max_running, self.running)
        run_ms = options.get("run_ms", 0)
        reactor.callLater(run_ms / MS_PER_SECOND, self._finish_run, request, body)

    def _finish_run(self, request: Request, body: object) -> None:
        self.running -= 1
        send_answer(request, Answer(200, {"minion": self.name, "echo": body}))
