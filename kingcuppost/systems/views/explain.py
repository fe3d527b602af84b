"""Views that explain a job or a request.

They show its settings, the decisions with the refused alternatives, and its outcome.
"""

from dataclasses import dataclass

from kingcuppost.systems.requests.decision import resolve_request_settings
from kingcuppost.systems.views.registry import views
from kingcuppost.tables.agreement import KeyClaim
from kingcuppost.tables.event import Event
from kingcuppost.tables.fleet import MemberState, Minion
from kingcuppost.tables.job import EffectiveValue, Gang, Job
from kingcuppost.tables.request import Outcome
from kingcuppost.tables.world import World

__all__ = ["JobExplanation", "RequestExplanation"]


@dataclass(frozen=True, slots=True)
class JobExplanation:
    """A job with all gangs that were placed for it, oldest first."""

    job: Job
    gangs: tuple[Gang, ...]


@dataclass(frozen=True, slots=True)
class RequestExplanation:
    """A request with its claim in the log, its outcome and the source of the outcome.

    Attributes
    ----------
    key : str
        ``TEAM/KEY``, or the identifier of an idempotent request.
    claim : KeyClaim or None
        Exclusive right to run it, with the decision; None if nobody holds it.
    outcome : str
        ``"answered"``, ``"unknown"``, or ``"not_claimed"``.
    known_by : str
        Where the outcome is recorded.
    settings_now : tuple of EffectiveValue
        Effective values for the team's requests at present.
    events : tuple of Event
        Events of the request that the answering process still has.
    """

    key: str
    claim: KeyClaim | None
    outcome: str
    known_by: str
    settings_now: tuple[EffectiveValue, ...]
    events: tuple[Event, ...]


@views.register("explain_job")
def explain_job(world: World, name: str) -> JobExplanation | None:
    """Return a job with all its gangs; ended gangs are retained for this view."""
    job = world.agreed.jobs.get(name)
    if job is None:
        return None
    ended = tuple(world.agreed.ended_gangs.find("job", name))
    active = tuple(world.agreed.gangs.find("job", name))
    return JobExplanation(job, ended + active)


@views.register("explain_request")
def explain_request(world: World, key: str) -> RequestExplanation | None:
    """Return the outcome of a request from the log, and this process's events."""
    claim = world.agreed.key_claims.get(key)
    events = tuple(event for event in world.events if event.request == key)
    team = key.partition("/")[0]
    if claim is None and not events and team not in world.agreed.teams:
        return None
    known_team = team if team in world.agreed.teams else ""
    values = resolve_request_settings(world.agreed, known_team)
    if claim is None:
        known_by = "the log: nobody may run it, or its claim is past the retention"
        return RequestExplanation(key, None, "not_claimed", known_by, values, events)
    known_by = _find_outcome_source(world, claim)
    outcome = claim.outcome or Outcome.UNKNOWN
    return RequestExplanation(key, claim, outcome, known_by, values, events)


def _find_outcome_source(world: World, claim: KeyClaim) -> str:
    minion = world.agreed.minions.get(claim.minion)
    is_serving = _is_claim_holder_serving(minion, claim)
    if claim.outcome:
        sidecar_text = (
            f"; sidecar of {claim.minion} has the answer" if is_serving else ""
        )
        return f"the log{sidecar_text}"
    if is_serving:
        return f"sidecar of {claim.minion}, process {claim.minion_incarnation}"
    return f"nobody: process {claim.minion_incarnation} of {claim.minion} has gone"


def _is_claim_holder_serving(minion: Minion | None, claim: KeyClaim) -> bool:
    return (
        minion is not None
        and minion.incarnation == claim.minion_incarnation
        and minion.state is MemberState.SERVING
    )
