"""Stand-in for a worker that runs tasks under leases.

The payload of a task sets its run time and result, as JSON:
``{"run_ms": 500, "fail": false, "result": "done"}``.
"""

import json
import time
from dataclasses import dataclass, field

from twisted.internet import reactor
from twisted.web.server import Request

from standins.service import Answer, JsonService

__all__ = ["WorkerHost"]

MS_PER_SECOND = 1_000
NS_PER_MS = 1_000_000
OPEN_STATES = ("reserved", "running")


def wall_ms() -> int:
    """Return Unix time in ms."""
    return time.time_ns() // NS_PER_MS


@dataclass
class Task:
    """A task that the worker has reserved, run or ended.

    Attributes
    ----------
    accelerators : list of int
        Numbers of the accelerators that it occupies.
    starts, checkpoints : int
        Number of its starts, and of the checkpoints that it was told to write.
    timers : list
        Timers that end its run.
    lease_timer : object
        Timer that stops it when its lease expires.
    lease_expiry_wall_ms : int
        Unix time, in ms, at which its lease expires.
    """

    task_id: str
    accelerators: list[int]
    payload: dict
    state: str = "reserved"
    result: str = ""
    starts: int = 0
    checkpoints: int = 0
    started_wall_ms: int = 0
    ended_wall_ms: int = 0
    timers: list = field(default_factory=list)
    lease_timer: object = None
    lease_expiry_wall_ms: int = 0


class WorkerHost(JsonService):
    """HTTP interface of the worker.

    Attributes
    ----------
    faults : dict of str to bool
        ``"refuse"`` refuses reservations, ``"fail_all"`` fails each task at the end of
        its run time, ``"ignore_stop"`` ignores orders to stop.
    """

    def __init__(self) -> None:
        super().__init__()
        self.tasks: dict[str, Task] = {}
        self.faults = {"refuse": False, "fail_all": False, "ignore_stop": False}
        self.add("POST", "/v1/reserve", self.reserve)
        self.add("POST", "/v1/start", self.start)
        self.add("POST", "/v1/renew", self.renew)
        self.add("POST", "/v1/checkpoint", self.checkpoint)
        self.add("POST", "/v1/stop", self.stop)
        self.add("POST", "/v1/faults", self.set_faults)
        self.add("GET", "/v1/history", self.history)

    def set_faults(self, request: Request, body: dict) -> Answer:
        """Update the injected faults."""
        self.faults.update(body)
        return Answer(200, {})

    def history(self, request: Request, body: dict) -> Answer:
        """Return all tasks ever reserved, with counts and times of their starts."""
        rows = [
            {
                "task_id": task.task_id,
                "state": task.state,
                "starts": task.starts,
                "checkpoints": task.checkpoints,
                "started_wall_ms": task.started_wall_ms,
                "ended_wall_ms": task.ended_wall_ms,
            }
            for task in self.tasks.values()
        ]
        return Answer(200, {"tasks": rows})

    def reserve(self, request: Request, body: dict) -> Answer:
        """Reserve accelerators for a task under a lease."""
        if self.faults["refuse"]:
            return Answer(409, {"reason": "refused on order"})
        taken = {
            number
            for task in self.tasks.values()
            if task.state in OPEN_STATES
            for number in task.accelerators
        }
        if taken.intersection(body["accelerators"]):
            return Answer(409, {"reason": "accelerators are taken"})
        payload = json.loads(body["payload"] or "{}")
        task = Task(body["task_id"], body["accelerators"], payload)
        self.tasks[task.task_id] = task
        self._extend_lease(task, body["lease_ms"])
        return self._list_tasks()

    def start(self, request: Request, body: dict) -> Answer:
        """Start a reserved task."""
        task = self.tasks.get(body["task_id"])
        if task is None or task.state != "reserved":
            return Answer(409, {"reason": "the task is not reserved"})
        task.state = "running"
        task.starts += 1
        task.started_wall_ms = wall_ms()
        self._extend_lease(task, body["lease_ms"])
        run_ms = task.payload.get("run_ms", 0)
        task.timers.append(
            reactor.callLater(run_ms / MS_PER_SECOND, self._finish, task)
        )
        return self._list_tasks()

    def renew(self, request: Request, body: dict) -> Answer:
        """Extend leases and return all tasks."""
        for lease in body["leases"]:
            task = self.tasks.get(lease["task_id"])
            if task is not None and task.state in OPEN_STATES:
                self._extend_lease(task, lease["lease_ms"])
        return self._list_tasks()

    def checkpoint(self, request: Request, body: dict) -> Answer:
        """Count a checkpoint of a task."""
        task = self.tasks.get(body["task_id"])
        if task is not None:
            task.checkpoints += 1
        return self._list_tasks()

    def stop(self, request: Request, body: dict) -> Answer:
        """Stop a task, unless the fault `ignore_stop` is set."""
        task = self.tasks.get(body["task_id"])
        if task is not None and not self.faults["ignore_stop"]:
            self._end(task, "stopped", wall_ms())
        return self._list_tasks()

    def _list_tasks(self) -> Answer:
        rows = [
            {"task_id": task.task_id, "state": task.state, "result": task.result}
            for task in self.tasks.values()
        ]
        return Answer(200, {"tasks": rows})

    def _extend_lease(self, task: Task, lease_ms: int) -> None:
        if task.lease_timer is not None and task.lease_timer.active():
            task.lease_timer.cancel()
        task.lease_expiry_wall_ms = wall_ms() + lease_ms
        task.lease_timer = reactor.callLater(
            lease_ms / MS_PER_SECOND, self._expire, task
        )

    def _expire(self, task: Task) -> None:
        """Stop a task as of the end of its lease, also if the timer runs late.

        The timer of a paused process runs only after the process is resumed.
        """
        self._end(task, "stopped", task.lease_expiry_wall_ms)

    def _finish(self, task: Task) -> None:
        failed = task.payload.get("fail") or self.faults["fail_all"]
        if task.state == "running":
            task.result = "" if failed else task.payload.get("result", "done")
        self._end(task, "failed" if failed else "finished", wall_ms())

    def _end(self, task: Task, state: str, ended_wall_ms: int) -> None:
        """Set the final state and end of an open task and cancel its timers."""
        if task.state not in OPEN_STATES:
            return
        task.state = state
        task.ended_wall_ms = ended_wall_ms
        for timer in [*task.timers, task.lease_timer]:
            if timer is not None and timer.active():
                timer.cancel()
