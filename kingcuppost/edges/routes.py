"""Routes of all surfaces: the inbox message for each method and path."""

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
    HolderPingModel,
)
from kingcuppost.systems.views import views
from kingcuppost.tables.inbox import ProposalRequest, ViewRequest

__all__ = ["Route", "RouteRequest", "find_route", "route", "routes"]

PARAMETER = re.compile(r"\{(\w+)\}")
CALLERS = "callers"
OPERATORS = "operators"
PEERS = "peers"


@dataclass(frozen=True, slots=True)
class RouteRequest:
    """An HTTP request, as it is passed to a route.

    Attributes
    ----------
    exchange_id : str
        Identifier under which the exchange is answered.
    path_parameters : dict of str to str
        Segments of the path by parameter name.
    query : dict of str to str
        First value of each query parameter.
    body : bytes
        The complete body.
    peer : str
        IP address and port of the client.
    """

    exchange_id: str
    path_parameters: dict[str, str]
    query: dict[str, str]
    body: bytes
    peer: str


Parser = Callable[[RouteRequest], Result[Any, Failure]]


@dataclass(frozen=True, slots=True)
class Route:
    """A method and path of a surface, the set of routes that one port serves.

    Attributes
    ----------
    surface, method, path : str
        Where the route is served; path parameters are in braces.
    parse : callable
        Returns the inbox message, or why the request is refused; not called if
        `direct` is set.
    direct : callable or None
        Answers immediately, without the systems; used for metrics and health.
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
    """Return a decorator that registers a function for a method and path.

    The function is the route's `direct` if `direct` is true, else its `parse`.
    """

    def register(function: Any) -> Any:
        pattern = PARAMETER.sub(r"(?P<\1>[^/]+)", path)
        new_route = Route(
            surface,
            method,
            path,
            function,
            function if direct else None,
        )
        routes.append((new_route, re.compile(pattern)))
        return function

    return register


def find_route(
    surface: str, method: str, path: str
) -> tuple[Route, dict[str, str]] | None:
    """Return the route of a request and its path parameters, or None."""
    for candidate, pattern in routes:
        if candidate.surface == surface and candidate.method == method:
            match = pattern.fullmatch(path)
            if match:
                return candidate, match.groupdict()
    return None


@route(CALLERS, "POST", "/v1/requests")
def post_request(request: RouteRequest) -> Result[Any, Failure]:
    """Run a caller's request."""
    parsed = decode(RequestModel, request.body, request.peer)
    if parsed.is_error():
        return parsed
    if reason := parsed.ok.find_field_error():
        return Error(Failure(reason, "decode", request.peer))
    return Ok(parsed.ok.to_message(request.exchange_id))


def _parse_proposal(
    request: RouteRequest, model: type, *arguments: str
) -> Result[Any, Failure]:
    parsed = decode(model, request.body, request.peer)
    return parsed.map(
        lambda item: ProposalRequest(
            request.exchange_id, item.operator, item.to_body(*arguments)
        )
    )


@route(OPERATORS, "PUT", "/v1/teams/{name}")
def put_team(request: RouteRequest) -> Result[Any, Failure]:
    """Create or change a team."""
    return _parse_proposal(request, TeamModel, request.path_parameters["name"])


@route(OPERATORS, "PUT", "/v1/availability-zones/{name}")
def put_zone(request: RouteRequest) -> Result[Any, Failure]:
    """Create an availability zone, or take it into or out of service."""
    return _parse_proposal(request, ZoneModel, request.path_parameters["name"])


@route(OPERATORS, "POST", "/v1/availability-zones/{name}/service")
def post_service(request: RouteRequest) -> Result[Any, Failure]:
    """Take an existing availability zone into or out of service."""
    return _parse_proposal(request, ServiceModel, request.path_parameters["name"])


@route(OPERATORS, "PUT", "/v1/settings")
def put_setting(request: RouteRequest) -> Result[Any, Failure]:
    """Set a key on a branch of the settings tree."""
    return _parse_proposal(request, SettingModel)


@route(OPERATORS, "POST", "/v1/jobs")
def post_job(request: RouteRequest) -> Result[Any, Failure]:
    """Submit a job."""
    return _parse_proposal(request, JobModel)


@route(OPERATORS, "POST", "/v1/jobs/{name}/cancel")
def cancel_job(request: RouteRequest) -> Result[Any, Failure]:
    """Cancel a job."""
    return _parse_proposal(request, CancelModel, request.path_parameters["name"])


def _register_view(path: str, view: str, parameter: str = "") -> None:
    """Register a route for a view; its argument comes from the path or the query."""

    def parse_view_request(request: RouteRequest) -> Result[Any, Failure]:
        argument = request.path_parameters.get(parameter) or request.query.get(
            parameter, ""
        )
        return Ok(ViewRequest(request.exchange_id, view, argument))

    parse_view_request.__doc__ = views[view].__doc__
    route(OPERATORS, "GET", path)(parse_view_request)


_register_view("/v1/teams", "teams")
_register_view("/v1/teams/{name}", "team", "name")
_register_view("/v1/availability-zones", "availability_zones")
_register_view("/v1/availability-zones/{name}", "availability_zone", "name")
_register_view("/v1/settings", "settings", "path")
_register_view("/v1/jobs", "jobs")
_register_view("/v1/jobs/{name}", "job", "name")
_register_view("/v1/jobs/{name}/explain", "explain_job", "name")
_register_view("/v1/requests/explain", "explain_request", "key")
_register_view("/v1/fleet", "fleet")
_register_view("/v1/status", "status")
_register_view("/v1/events", "events")


def _register_peer_route(path: str, model: type) -> None:
    """Register a route for messages from other processes."""

    def parse_peer_message(request: RouteRequest) -> Result[Any, Failure]:
        parsed = decode(model, request.body, request.peer)
        return parsed.map(lambda item: item.to_message(request.exchange_id))

    parse_peer_message.__doc__ = model.__doc__
    route(PEERS, "POST", path)(parse_peer_message)


_register_peer_route("/peer/attempts", AttemptModel)
_register_peer_route("/peer/heartbeats", HeartbeatModel)
_register_peer_route("/peer/gangs", GangReportsModel)
_register_peer_route("/peer/holder", HolderPingModel)
