"""Why a non-idempotent request went to its minion, for its claim in the log."""

from kingcuppost.settings import KEYS, effective, team_path
from kingcuppost.tables.fleet import MemberState, Minion
from kingcuppost.tables.job import Decision, RefusedAlternative
from kingcuppost.tables.request import Request
from kingcuppost.tables.world import World

__all__ = ["decision_of", "request_keys"]

REFUSALS_KEPT = 8
POLICY = "two_choices"
PREFIX = "request."


def request_keys() -> list[str]:
    """Return the settings that bear on a request, by name."""
    return sorted(name for name in KEYS if name.startswith(PREFIX))


def decision_of(world: World, request: Request, chosen: Minion) -> Decision:
    """Return the settings in force and the minions that were passed over.

    Parameters
    ----------
    world : World
        Tables of the entry that decides.
    request : Request
        The request.
    chosen : Minion
        The minion that it goes to.
    """
    path = team_path(request.team, request.urgency)
    values = tuple(effective(world.agreed, path, key) for key in request_keys())
    refused = [
        RefusedAlternative(minion.name, reason)
        for minion in world.agreed.minions.find("service", request.service)
        if minion.name != chosen.name and (reason := _fault_of(world, request, minion))
    ]
    offset = world.log_view.folded_offset
    return Decision(POLICY, offset, values, tuple(refused[:REFUSALS_KEPT]))


def _fault_of(world: World, request: Request, minion: Minion) -> str:
    zone = world.agreed.availability_zones.get(minion.availability_zone)
    if zone is None or not zone.in_service:
        return f"availability zone {minion.availability_zone} is out of service"
    if minion.state is MemberState.LEAVING:
        return "the minion is leaving"
    if minion.name in request.tried:
        return "the minion was tried before"
    if world.attempts.count("minion", minion.name) >= minion.slots:
        return "no slot is free"
    return ""
