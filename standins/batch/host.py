"""HTTP stand-in of the platform for tests: log store and minions in one process.

The command line names a JSON file with the address of the store, the operators'
configuration, the identifiers of jobs, and the minions: the address where each one
serves and the address where its sidecar receives heartbeats.
"""

import base64
import json
import struct
import sys
import time
from collections.abc import Callable
from pathlib import Path
from typing import Any

from twisted.internet import reactor
from twisted.internet.task import LoopingCall
from twisted.web.resource import Resource
from twisted.web.server import NOT_DONE_YET, Request, Site

from kingcuppost.batch.tables.job import StepSpec, TaskName
from kingcuppost.batch.tables.messages import AppendOutcome, Stream
from kingcuppost.batch.tables.resources import Resources
from kingcuppost.edges.http_client import JsonClient
from kingcuppost.exception import PeerError
from kingcuppost.tables.config import Address
from standins.batch.checks import Checks
from standins.batch.minions import Minion
from standins.batch.store import Store

__all__ = ["main"]

STREAMS = {
    "keyed.jobs": Stream.JOBS,
    "keyed.members": Stream.MEMBERS,
    "keyed.op": Stream.OPERATORS,
}
STATUSES = {
    AppendOutcome.DONE: 200,
    AppendOutcome.FENCED: 409,
    AppendOutcome.CONFLICT: 412,
}
HEARTBEAT_PERIOD_S = 0.3
HEARTBEAT_TIMEOUT_MS = 900
STEP_S = 0.02
POLL_PERIOD_S = 0.02
MS_PER_SECOND = 1_000


def _now_ms() -> int:
    return time.monotonic_ns() // 1_000_000


def _send_response(request: Request, status: int, body: bytes) -> None:
    if request._disconnected:
        return
    request.setResponseCode(status)
    request.setHeader(b"content-length", str(len(body)).encode())
    request.write(body)
    request.finish()


def _send_json(request: Request, status: int, **fields: Any) -> None:
    _send_response(request, status, json.dumps(fields).encode())


class _PathDispatcher(Resource):
    """Dispatches requests to handlers by path."""

    isLeaf = True  # noqa: N815

    def __init__(self, handlers: dict[str, Callable[[Request], None]]) -> None:
        super().__init__()
        self._handlers = handlers

    def render(self, request: Request) -> int:
        """Pass a request to the handler of its path; status 404 if there is none."""
        handler = self._handlers.get(request.path.decode())
        if handler is None:
            _send_json(request, 404)
        else:
            handler(request)
        return NOT_DONE_YET


def _query_field(request: Request, name: str, default: str = "") -> str:
    return request.args.get(name.encode(), [default.encode()])[0].decode()


def _decode_records(body: bytes) -> list[tuple[str, bytes]]:
    """Return the key and value of each record.

    A record is its size in 4 bytes, the size of its key in 1 byte, the key and the
    value.
    """
    rows = []
    position = 0
    while position < len(body):
        size = struct.unpack_from(">I", body, position)[0]
        content = body[position + 4 : position + 4 + size]
        key = content[1 : 1 + content[0]].decode()
        rows.append((key, content[1 + content[0] :]))
        position += 4 + size
    return rows


class StoreHandlers:
    """HTTP handlers of the log store."""

    def __init__(self, store: Store) -> None:
        self._store = store

    def paths(self) -> dict[str, Callable[[Request], None]]:
        """Return the handlers by path."""
        return {
            "/kingcuppost/log-append": self.append,
            "/kingcuppost/log-read": self.read,
            "/kingcuppost/log-newest": self.newest,
        }

    def append(self, request: Request) -> None:
        """Append the records in the request body.

        The status is 409 if the epoch is fenced off, and 412 if the end or the sequence
        number does not match.
        """
        expected_end = _query_field(request, "at")
        epoch = _query_field(request, "epoch")
        result = self._store.append(
            STREAMS[_query_field(request, "topic")],
            _decode_records(request.content.read()),
            int(expected_end) if expected_end else None,
            int(epoch) if epoch else None,
            int(_query_field(request, "sequence", "0")),
        )
        reason = "fenced" if result.outcome is AppendOutcome.FENCED else "seq"
        _send_json(
            request,
            STATUSES[result.outcome],
            offset=result.offset,
            end=result.end,
            reason=reason,
        )

    def read(self, request: Request) -> None:
        """Return records from an offset on; wait for one if there is none.

        The status is 410 if the history at the offset was dropped.
        """
        stream = STREAMS[_query_field(request, "topic")]
        start = int(_query_field(request, "from"))
        answer_by_ms = _now_ms() + int(_query_field(request, "waitMs", "0"))
        self._answer_when_ready(request, stream, start, answer_by_ms)

    def _answer_when_ready(
        self, request: Request, stream: Stream, start: int, answer_by_ms: int
    ) -> None:
        rows = self._store.read(stream, start)
        if rows is None:
            _send_json(request, 410, first=0)
        elif rows or _now_ms() >= answer_by_ms:
            body = struct.pack(">QQ", self._store.end(stream), 0)
            for key, value in rows:
                content = bytes([len(key)]) + key.encode() + value
                body += struct.pack(">I", len(content)) + content
            _send_response(request, 200, body)
        else:
            reactor.callLater(
                POLL_PERIOD_S,
                self._answer_when_ready,
                request,
                stream,
                start,
                answer_by_ms,
            )

    def newest(self, request: Request) -> None:
        """Return the newest record of each key."""
        stream = STREAMS[_query_field(request, "topic")]
        items = [
            {"key": key, "value": base64.b64encode(value).decode(), "offset": offset}
            for offset, key, value in self._store.newest(stream)
        ]
        _send_json(request, 200, items=items, more=False, end=self._store.end(stream))


class MinionHandlers:
    """HTTP handlers of a minion, and its heartbeats."""

    def __init__(self, cfg: dict, checks: Checks) -> None:
        self._cfg = cfg
        self._job_specs: dict[str, list[dict]] = {}
        self._client = JsonClient(reactor)
        self._sequence = 0
        self.minion = Minion(
            cfg["id"],
            cfg["zone"],
            cfg["rack"],
            Resources(64_000, 131_072, 8),
            checks,
            _now_ms,
            self._task_work,
            lease_ms=6_000,
            gang_ms=3_000,
            born_ms=int(time.time() * MS_PER_SECOND),
        )

    def _task_work(self, task: TaskName) -> tuple[StepSpec, float]:
        row = self._job_specs[task.job][task.step]
        return StepSpec(row["count"], saves=row["saves"]), row["work_ms"]

    def paths(self) -> dict[str, Callable[[Request], None]]:
        """Return the handlers by path."""
        return {
            "/kingcuppost/run-start": self.start,
            "/kingcuppost/run-stop": self.stop,
            "/kingcuppost/hold": self.renew_lease,
        }

    def _reply(self, request: Request, reason: str) -> None:
        status = 409 if reason else 200
        _send_json(request, status, clockMs=self.minion.clock_ms(), reason=reason)

    def start(self, request: Request) -> None:
        """Start a run; the spec of the job gives the work of its tasks."""
        body = json.load(request.content)
        task = TaskName.parse(body["task"])
        self._job_specs[task.job] = json.loads(body["spec"])
        reason = self.minion.start(
            body["fencingToken"],
            task,
            body["run"],
            body.get("checkpoint", ""),
            body["deadlineMs"],
        )
        self._reply(request, reason)

    def stop(self, request: Request) -> None:
        """Stop a run."""
        body = json.load(request.content)
        task = TaskName.parse(body["task"])
        self._reply(request, self.minion.stop(body["fencingToken"], task, body["run"]))

    def renew_lease(self, request: Request) -> None:
        """Renew the lease; answer once a run has ended or `waitMs` is over."""
        body = json.load(request.content)
        answer_by_ms = _now_ms() + body.get("waitMs", 0)
        self._answer_when_ready(request, body, answer_by_ms, body.get("deadlineMs"))

    def _answer_when_ready(
        self, request: Request, body: dict, answer_by_ms: int, until_ms: int | None
    ) -> None:
        running, ended = self.minion.renew_lease(
            body["fencingToken"], body["lastSeen"], until_ms
        )
        if not ended and _now_ms() < answer_by_ms:
            reactor.callLater(
                POLL_PERIOD_S,
                self._answer_when_ready,
                request,
                body,
                answer_by_ms,
                None,
            )
            return
        _send_json(
            request,
            200,
            clockMs=self.minion.clock_ms(),
            born=self.minion.born_ms,
            running=[[str(r.task), r.run, r.checkpoint, r.percent, 0] for r in running],
            finishedRuns=[
                [e.number, str(e.task), e.run, e.run_end.value, e.checkpoint]
                for e in ended
            ],
        )

    async def send_heartbeat(self) -> None:
        """Send a heartbeat to the sidecar; a lost one is not repeated."""
        self._sequence += 1
        body = {
            "service": "svc",
            "address": self._cfg["address"],
            "zone": self._cfg["zone"],
            "version": "v1",
            "slots": 8,
            "state": "ready",
            "sequence": self._sequence,
            "born": self.minion.born_ms,
            "capacity": {"cpu": 64_000, "memMb": 131_072, "gpu": 8},
            "labels": ["a", self._cfg["rack"]],
        }
        host, _, port = self._cfg["sidecar"].rpartition(":")
        path = f"/kingcuppost/instances/{self.minion.id}"
        text = json.dumps(body).encode()
        try:
            await self._client.exchange(
                "PUT", Address(host, int(port)), path, text, HEARTBEAT_TIMEOUT_MS
            )
        except PeerError as exc:
            print(f"heartbeat to the sidecar failed: {exc}", file=sys.stderr)


def _listen(address: str, paths: dict[str, Callable[[Request], None]]) -> None:
    host, _, port = address.rpartition(":")
    reactor.listenTCP(int(port), Site(_PathDispatcher(paths)), interface=host)


def main() -> None:
    """Serve until the process is stopped, then print the violations as JSON."""
    cfg = json.loads(Path(sys.argv[1]).read_text(encoding="utf-8"))
    store, checks = Store(), Checks()
    config = json.dumps(cfg["configuration"]).encode()
    store.append(Stream.OPERATORS, [("config", config)])
    _listen(cfg["store"], StoreHandlers(store).paths())
    for minion_cfg in cfg["minions"]:
        handlers = MinionHandlers(minion_cfg, checks)
        for job_id in cfg["jobs"]:
            # one step of 2 single tasks, each with at most 3 failed runs
            checks.record_job(job_id, [2], ((),), (False,), 3)
        _listen(minion_cfg["address"], handlers.paths())
        LoopingCall(lambda handlers=handlers: _start_heartbeat(handlers)).start(
            HEARTBEAT_PERIOD_S
        )
        step_ms = int(STEP_S * MS_PER_SECOND)
        LoopingCall(handlers.minion.advance, step_ms).start(STEP_S)
    reactor.addSystemEventTrigger(
        "before", "shutdown", lambda: print(json.dumps(checks.violations), flush=True)
    )
    print("ready", flush=True)
    reactor.run()


def _start_heartbeat(handlers: MinionHandlers) -> None:
    from twisted.internet.defer import ensureDeferred

    ensureDeferred(handlers.send_heartbeat())


if __name__ == "__main__":
    main()
