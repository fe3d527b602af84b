"""Answering questions about the tables by registered views."""

from collections.abc import Callable
from typing import Any

from kingcuppost.systems.registry import Phase, system
from kingcuppost.tables.identity import Role
from kingcuppost.tables.inbox import ViewRequest
from kingcuppost.tables.outbox import Reply
from kingcuppost.tables.replies import ChangeRefused
from kingcuppost.tables.request import Outcome
from kingcuppost.tables.world import World
from kingcuppost.utils.registry import Registry

__all__ = ["show", "views"]

STATUS_OK = 200
STATUS_MISSING = 404

View = Callable[[World, str], Any]

views: Registry[str, View] = Registry("view")


@system(Phase.REPORT, roles=(Role.ENTRY, Role.SIDECAR), order=40)
def show(world: World, now_ms: int) -> None:
    """Answer each question from the tables as they are now."""
    for question in world.inbox.take(ViewRequest):
        body = views[question.view](world, question.argument)
        status = STATUS_OK
        if body is None:
            status = STATUS_MISSING
            reason = f"there is no {question.view} {question.argument!r}"
            body = ChangeRefused(Outcome.NOT_RUN, "show", world.identity.name, reason)
        world.outbox.put(Reply(question.exchange_id, status, body))
