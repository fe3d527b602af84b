"""Stand-in for the platform's log with offsets, retention and injected faults."""

from dataclasses import dataclass, field

from twisted.internet import reactor
from twisted.web.server import Request

from standins.service import Answer, JsonService, send_answer

__all__ = ["LogService"]

MS_PER_SECOND = 1_000


@dataclass
class Faults:
    """Injected faults; set by ``POST /v1/faults``.

    Attributes
    ----------
    down : bool
        Whether to refuse all appends and reads with status 503.
    delay_ms : int
        Delay of each answer, in ms.
    lose_answers : int
        Number of appends that take effect without an answer.
    """

    down: bool = False
    delay_ms: int = 0
    lose_answers: int = 0


@dataclass
class Waiter:
    """A read that waits for a new record."""

    request: Request
    after: int
    limit: int
    timer: object = None


@dataclass
class Store:
    """The retained records; offsets count from 1.

    Attributes
    ----------
    values : list of str
        Values of the records, in the order of their offsets.
    first : int
        Offset of the oldest record.
    """

    values: list[str] = field(default_factory=list)
    first: int = 1

    @property
    def head(self) -> int:
        """Offset of the newest record."""
        return self.first + len(self.values) - 1

    def read(self, after: int, limit: int) -> dict:
        """Return the records after an offset, the head and the earliest offset."""
        start = max(after + 1, self.first)
        chosen = self.values[start - self.first :][:limit]
        rows = [{"offset": start + i, "value": text} for i, text in enumerate(chosen)]
        return {"records": rows, "head": self.head, "earliest": self.first}


class LogService(JsonService):
    """HTTP interface of the log."""

    def __init__(self) -> None:
        super().__init__()
        self.store = Store()
        self.faults = Faults()
        self.waiters: list[Waiter] = []
        self.appends = 0
        self.add("POST", "/v1/records", self.append)
        self.add("GET", "/v1/records", self.read)
        self.add("POST", "/v1/faults", self.set_faults)
        self.add("POST", "/v1/retention", self.drop_records)

    def set_faults(self, request: Request, body: dict) -> Answer:
        """Replace the injected faults."""
        self.faults = Faults(**body)
        return Answer(200, {})

    def drop_records(self, request: Request, body: dict) -> Answer:
        """Drop the records up to and including an offset."""
        drop = max(0, min(body["through"], self.store.head) - self.store.first + 1)
        del self.store.values[:drop]
        self.store.first += drop
        return Answer(200, {"earliest": self.store.first})

    def append(self, request: Request, body: dict) -> Answer | None:
        """Append the values and answer all waiting reads."""
        if self.faults.down:
            return Answer(503, {"reason": "down"})
        self.appends += 1
        self.store.values.extend(body["values"])
        self._answer_waiters()
        if self.faults.lose_answers > 0:
            self.faults.lose_answers -= 1
            return None
        return self._answer_later(request, Answer(200, {"head": self.store.head}))

    def read(self, request: Request, body: dict) -> Answer | None:
        """Return the records after an offset; wait for one if there is none."""
        if self.faults.down:
            return Answer(503, {"reason": "down"})
        after, wait_ms, limit = (
            int(request.args[name][0]) for name in (b"after", b"wait_ms", b"limit")
        )
        if after < self.store.head or wait_ms == 0:
            return self._answer_later(
                request, Answer(200, self.store.read(after, limit))
            )
        waiter = Waiter(request, after, limit)
        waiter.timer = reactor.callLater(
            wait_ms / MS_PER_SECOND, self._answer_waiter, waiter
        )
        request.notifyFinish().addErrback(lambda _: self._remove_waiter(waiter))
        self.waiters.append(waiter)
        return None

    def _answer_later(self, request: Request, answer: Answer) -> Answer | None:
        if not self.faults.delay_ms:
            return answer
        delay_s = self.faults.delay_ms / MS_PER_SECOND
        reactor.callLater(delay_s, send_answer, request, answer)
        return None

    def _answer_waiters(self) -> None:
        for waiter in list(self.waiters):
            self._answer_waiter(waiter)

    def _remove_waiter(self, waiter: Waiter) -> None:
        if waiter in self.waiters:
            self.waiters.remove(waiter)
            if waiter.timer.active():
                waiter.timer.cancel()

    def _answer_waiter(self, waiter: Waiter) -> None:
        self._remove_waiter(waiter)
        if self.faults.down:
            send_answer(waiter.request, Answer(503, {"reason": "down"}))
            return
        answer = Answer(200, self.store.read(waiter.after, waiter.limit))
        answer = self._answer_later(waiter.request, answer)
        if answer is not None:
            send_answer(waiter.request, answer)
