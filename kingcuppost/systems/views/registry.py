"""The registry of views and the system that answers requests for them."""

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

__all__ = ["answer_view_requests", "views"]

STATUS_OK = 200
STATUS_NOT_FOUND = 404

View = Callable[[World, str], Any]

views: Registry[str, View] = Registry("view")


@system(Phase.REPORT, roles=(Role.ENTRY, Role.SIDECAR), order=40)
def answer_view_requests(world: World, now_ms: int) -> None:
    """Answer each request for a view from the tables as they are in this tick."""
    for view_request in world.inbox.take(ViewRequest):
        body = views[view_request.view](world, view_request.argument)
        status = STATUS_OK
        if body is None:
            status = STATUS_NOT_FOUND
            reason = f"there is no {view_request.view} {view_request.argument!r}"
            body = ChangeRefused(Outcome.NOT_RUN, "show", world.identity.name, reason)
        world.outbox.put(Reply(view_request.exchange_id, status, body))
