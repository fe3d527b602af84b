"""Routing decisions of non-idempotent requests, recorded with their claims."""

from kingcuppost.settings import KEYS, resolve_setting, team_path
from kingcuppost.tables.fleet import MemberState, Minion
from kingcuppost.tables.job import Decision, EffectiveValue, RefusedAlternative
from kingcuppost.tables.request import Request
from kingcuppost.tables.world import Agreed, World

__all__ = ["decision_of", "resolve_request_settings"]

MAX_REFUSED_ALTERNATIVES = 8
ROUTING_KEY = "request.routing"
REQUEST_PREFIX = "request."
ROOT_KEYS = frozenset({ROUTING_KEY, "request.silence_ms", "request.claim_timeout_ms"})
TEAM_KEYS = frozenset({"request.retry_burst", "request.retry_share"})


def resolve_request_settings(
    agreed: Agreed, team: str, urgency: str = ""
) -> tuple[EffectiveValue, ...]:
    """Return the settings that affect a request, ordered by name.

    Each is resolved at the path at which the systems read it: the root, the team, or
    the team and urgency. Without a team, all are resolved at the root.
    """
    names = sorted(name for name in KEYS if name.startswith(REQUEST_PREFIX))
    return tuple(
        resolve_setting(agreed, _path_of(name, team, urgency), name) for name in names
    )


def _path_of(name: str, team: str, urgency: str) -> str:
    if name in ROOT_KEYS or not team:
        return ""
    return team_path(team) if name in TEAM_KEYS else team_path(team, urgency)


def decision_of(world: World, request: Request, chosen: Minion) -> Decision:
    """Return the decision to send a request to a minion, for its claim in the log.

    It names the policy and settings in force, and the first few minions that could not
    be chosen, each with the reason.

    Parameters
    ----------
    world : World
        Tables of the entry that decides.
    request : Request
        Request to route.
    chosen : Minion
        Minion that the request is sent to.
    """
    values = resolve_request_settings(world.agreed, request.team, request.urgency)
    policy = str(resolve_setting(world.agreed, "", ROUTING_KEY).value)
    refused = [
        RefusedAlternative(minion.name, reason)
        for minion in world.agreed.minions.find("service", request.service)
        if minion.name != chosen.name
        and (reason := _refusal_reason(world, request, minion))
    ]
    offset = world.log_view.folded_offset
    return Decision(policy, offset, values, tuple(refused[:MAX_REFUSED_ALTERNATIVES]))


def _refusal_reason(world: World, request: Request, minion: Minion) -> str:
    zone = world.agreed.availability_zones.get(minion.availability_zone)
    if zone is None or not zone.in_service:
        return f"availability zone {minion.availability_zone} is out of service"
    if minion.state is MemberState.LEAVING:
        return "the minion is leaving"
    if minion.name in request.tried_minions:
        return "the minion was tried before"
    if world.attempts.count("minion", minion.name) >= minion.slots:
        return "no slot is free"
    return ""
