"""Heartbeats and leave notices of the minion beside a sidecar."""

from typing import Annotated

from pydantic import FailFast, Field
from twisted.web.server import Request

from kingcuppost.batch.edges.context import BatchContext
from kingcuppost.batch.edges.server import answer, surfaces
from kingcuppost.batch.tables.job import MinionIncarnation
from kingcuppost.batch.tables.messages import MinionHeartbeat, MinionReport
from kingcuppost.batch.tables.resources import Resources
from kingcuppost.models.addresses import AddressText
from kingcuppost.models.base import Amount, decode
from kingcuppost.platform.minion_models import STATUS_OK, PlatformModel
from kingcuppost.tables.config import Address
from kingcuppost.tables.identity import Role
from kingcuppost.utils.addresses import parse_address

__all__: list[str] = []

HEARTBEAT_PATH_PREFIX = "/kingcuppost/instances/"
STATUS_BAD_REQUEST = 400
STATUS_NOT_FOUND = 404
STATUS_UNAVAILABLE = 503
# of a minion's start, since clocks of machines differ
MAX_CLOCK_AHEAD_MS = 60_000


class _CapacityModel(PlatformModel):
    # thousandths of a core
    cpu: Amount
    memory_mb: Amount = Field(alias="memMb")
    # accelerators
    gpu: Amount = 0


class _HeartbeatModel(PlatformModel):
    service: str
    address: AddressText
    zone: str
    state: str = Field(pattern="^(ready|draining)$")
    sequence: Amount
    # Unix time in ms of the minion's start; 0 if it is not reported
    born: Amount = 0
    capacity: _CapacityModel
    labels: Annotated[tuple[str, ...], FailFast()] = ()
    # minimum time left while it drains, in ms
    remaining_ms: Amount = Field(0, alias="remainingMs")


@surfaces.register("heartbeats")
def serve_heartbeat(context: BatchContext, request: Request) -> None:
    """Deliver a heartbeat or a leave notice of the minion; acknowledge it at once."""
    path = request.path.decode("utf-8", "replace")
    if not path.startswith(HEARTBEAT_PATH_PREFIX):
        answer(request, STATUS_NOT_FOUND)
        return
    if context.world.cfg.role is not Role.SIDECAR:
        answer(request, STATUS_UNAVAILABLE)
        return
    minion = path.removeprefix(HEARTBEAT_PATH_PREFIX)
    heartbeat = _parse_heartbeat(context, request, minion)
    if heartbeat is None:
        answer(request, STATUS_BAD_REQUEST)
        return
    context.deliver(heartbeat)
    answer(request, STATUS_OK, b"{}")


def _parse_heartbeat(
    context: BatchContext, request: Request, minion: str
) -> MinionHeartbeat | None:
    if request.method == b"DELETE":
        report = MinionReport(
            MinionIncarnation(minion, 0), "", "", (), Resources(), True, 0, False, False
        )
        return MinionHeartbeat(Address("", 0), report, 0, has_left=True)
    decoded = decode(_HeartbeatModel, request.content.read(), minion)
    if decoded.is_error():
        context.world.note(
            "minion", "A heartbeat is invalid.", reason=decoded.error.reason
        )
        return None
    model = decoded.ok
    if model.born > context.world.clock.wall_ms() + MAX_CLOCK_AHEAD_MS:
        # later heartbeats of the true minion would count as older
        context.world.note(
            "minion", "A heartbeat is invalid.", reason="born: is in the future"
        )
        return None
    address = parse_address(model.address)
    report = MinionReport(
        MinionIncarnation(minion, model.born),
        model.service,
        model.zone,
        model.labels,
        Resources(model.capacity.cpu, model.capacity.memory_mb, model.capacity.gpu),
        model.state == "draining",
        model.remaining_ms,
        listed=False,
        in_contact=False,
    )
    return MinionHeartbeat(address, report, model.sequence)
