"""Routes of all surfaces: what each method and path puts before the systems."""

import re
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

from expression import Error, Ok, Result

from kingcuppost.exception import Failure
from kingcuppost.models import decode
from kingcuppost.models.caller import RequestModel
from kingcuppost.models.operator import (
    CancelModel,
    JobModel,
    ServiceModel,
    SettingModel,
    TeamModel,
    ZoneModel,
)
from kingcuppost.models.peer import (
    AttemptModel,
    GangReportsModel,
    HeartbeatModel,
    HolderModel,
)
from kingcuppost.systems.views import views
from kingcuppost.tables.inbox import ProposalRequest, ViewRequest

__all__ = ["Call", "Route", "find_route", "route", "routes"]

PARAMETER = re.compile(r"\{(\w+)\}")
CALLERS = "callers"
OPERATORS = "operators"
PEERS = "peers"


@dataclass(frozen=True, slots=True)
class Call:
    """An HTTP request as a route sees it.

    Attributes
    ----------
    exchange_id : str
        Identifier of the open exchange.
    names : dict of str to str
        Parts of the path by parameter.
    query : dict of str to str
        First value of each query parameter.
    body : bytes
        The whole body.
    peer : str
        IP number and port of the other end.
    """

    exchange_id: str
    names: dict[str, str]
    query: dict[str, str]
    body: bytes
    peer: str


Parser = Callable[[Call], Result[Any, Failure]]


@dataclass(frozen=True, slots=True)
class Route:
    """One method and path of one surface.

    Attributes
    ----------
    surface, method, path : str
        Where it is served; the path has parameters in braces.
    parse : callable
        Makes the inbox message.
    direct : callable or None
        Answers at once, without the systems; for metrics and health.
    """

    surface: str
    method: str
    path: str
    parse: Parser
    direct: Callable[[Any, Any], Any] | None = None


routes: list[tuple[Route, re.Pattern]] = []


def route(
    surface: str, method: str, path: str, direct: bool = False
) -> Callable[[Any], Any]:
    """Return a decorator that serves a function under a method and path."""

    def register(function: Any) -> Any:
        pattern = PARAMETER.sub(r"(?P<\1>[^/]+)", path)
        item = Route(
            surface,
            method,
            path,
            function,
            function if direct else None,
        )
        routes.append((item, re.compile(pattern)))
        return function

    return register


def find_route(
    surface: str, method: str, path: str
) -> tuple[Route, dict[str, str]] | None:
    """Return the route of a request and the parts of its path, or None."""
    for item, pattern in routes:
        if item.surface == surface and item.method == method:
            match = pattern.fullmatch(path)
            if match:
                return item, match.groupdict()
    return None


@route(CALLERS, "POST", "/v1/requests")
def post_request(call: Call) -> Result[Any, Failure]:
    """Serve a caller's request."""
    parsed = decode(RequestModel, call.body, call.peer)
    if parsed.is_error():
        return parsed
    if reason := parsed.ok.fault():
        return Error(Failure(reason, "decode", call.peer))
    return Ok(parsed.ok.to_message(call.exchange_id))


def _change(call: Call, model: type, *arguments: str) -> Result[Any, Failure]:
    parsed = decode(model, call.body, call.peer)
    return parsed.map(
        lambda item: ProposalRequest(
            call.exchange_id, item.operator, item.to_body(*arguments)
        )
    )


@route(OPERATORS, "PUT", "/v1/teams/{name}")
def put_team(call: Call) -> Result[Any, Failure]:
    """Create or change a team."""
    return _change(call, TeamModel, call.names["name"])


@route(OPERATORS, "PUT", "/v1/availability-zones/{name}")
def put_zone(call: Call) -> Result[Any, Failure]:
    """Create an availability zone, or take it out of or into service."""
    return _change(call, ZoneModel, call.names["name"])


@route(OPERATORS, "POST", "/v1/availability-zones/{name}/service")
def post_service(call: Call) -> Result[Any, Failure]:
    """Take a known availability zone out of or into service."""
    return _change(call, ServiceModel, call.names["name"])


@route(OPERATORS, "PUT", "/v1/settings")
def put_setting(call: Call) -> Result[Any, Failure]:
    """Set a key on a branch."""
    return _change(call, SettingModel)


@route(OPERATORS, "POST", "/v1/jobs")
def post_job(call: Call) -> Result[Any, Failure]:
    """Submit a job."""
    return _change(call, JobModel)


@route(OPERATORS, "POST", "/v1/jobs/{name}/cancel")
def cancel_job(call: Call) -> Result[Any, Failure]:
    """Cancel a job."""
    return _change(call, CancelModel, call.names["name"])


def _show(path: str, view: str, parameter: str = "") -> None:
    """Serve a view under a path; its argument is part of the path or query."""

    def show(call: Call) -> Result[Any, Failure]:
        argument = call.names.get(parameter) or call.query.get(parameter, "")
        return Ok(ViewRequest(call.exchange_id, view, argument))

    show.__doc__ = views[view].__doc__
    route(OPERATORS, "GET", path)(show)


_show("/v1/teams", "teams")
_show("/v1/teams/{name}", "team", "name")
_show("/v1/availability-zones", "availability_zones")
_show("/v1/availability-zones/{name}", "availability_zone", "name")
_show("/v1/settings", "settings", "path")
_show("/v1/jobs", "jobs")
_show("/v1/jobs/{name}", "job", "name")
_show("/v1/jobs/{name}/explain", "explain_job", "name")
_show("/v1/requests/explain", "explain_request", "key")
_show("/v1/fleet", "fleet")
_show("/v1/status", "status")
_show("/v1/events", "events")


def _from_peer(path: str, model: type) -> None:
    """Serve messages of the system's other processes."""

    def receive(call: Call) -> Result[Any, Failure]:
        parsed = decode(model, call.body, call.peer)
        return parsed.map(lambda item: item.to_message(call.exchange_id))

    receive.__doc__ = model.__doc__
    route(PEERS, "POST", path)(receive)


_from_peer("/peer/attempts", AttemptModel)
_from_peer("/peer/heartbeats", HeartbeatModel)
_from_peer("/peer/gangs", GangReportsModel)
_from_peer("/peer/holder", HolderModel)
