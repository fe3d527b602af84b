"""Reading and validation of the platform's settings file."""

import os
import tomllib
from dataclasses import dataclass
from importlib import import_module
from pathlib import Path

from expression import Error, Ok, Result
from pydantic import BaseModel, ConfigDict, Field, ValidationError, field_validator
from pydantic.alias_generators import to_camel

from kingcuppost.batch.tables.config import (
    DEFAULT_QUEUE_ORDER,
    Bounds,
    DaemonConfig,
)
from kingcuppost.exception import Failure
from kingcuppost.models.addresses import AddressText
from kingcuppost.models.base import format_validation_error
from kingcuppost.models.limits import ClientLimitsModel
from kingcuppost.platform.early_listener import SETTINGS_VARIABLE
from kingcuppost.systems.connections import MAX_FDS, MEMORY_MB, derive_limits
from kingcuppost.tables.config import Address
from kingcuppost.tables.connections import ClientLimits
from kingcuppost.tables.identity import Role
from kingcuppost.utils.addresses import parse_address

__all__ = ["PlatformConfig", "StoreLimits", "read_settings"]

MS_PER_SECOND = 1_000
QUEUE_ORDERS_MODULE = "kingcuppost.batch.systems.overload"


class _Model(BaseModel):
    """A section of the file; unknown keys are ignored."""

    model_config = ConfigDict(extra="ignore", frozen=True)


class _BoundsModel(_Model):
    # the meaning of each field is documented at `Bounds`
    hold_max_ms: int = Field(10_000, alias="holdMaxMs")
    stop_ms: int = Field(400, alias="stopMs")
    gang_ms: int = Field(3_000, alias="gangMs")
    grace_s: float = Field(6, alias="graceS")
    remote_factor: float = Field(3, alias="remoteFactor")
    restore_ms: int = Field(250, alias="restoreMs")
    status_s: float = 120
    config_apply_ms: int = Field(2_000, alias="configApplyMs")


class _ListenModel(_Model):
    # address for callers' requests
    frontend: AddressText | None = None
    # address for the balancer's readiness checks
    readiness: AddressText | None = None
    # address for minions' heartbeats
    control: AddressText | None = None


class _StoreModel(_Model):
    address: AddressText
    # the meaning of the limits is documented at `StoreLimits`
    record_bytes: int = Field(262_144, alias="recordBytes", gt=0)
    request_bytes: int = Field(2_097_152, alias="requestBytes", gt=0)


class _LimitsModel(_Model):
    memory_mb: float = Field(MEMORY_MB, alias="memoryMb", ge=1)
    max_fds: int = Field(MAX_FDS, alias="maxFds", ge=1)


class _ClientLimitsModel(ClientLimitsModel):
    # the product's own table on this file, so an unknown key is an error
    model_config = ConfigDict(alias_generator=to_camel)


class _SchedulingModel(_Model):
    # order in which waiting work of one rank is scheduled
    queue_order: str = Field(DEFAULT_QUEUE_ORDER, alias="queueOrder")

    @field_validator("queue_order")
    @classmethod
    def _check_queue_order(cls, name: str) -> str:
        """Check that the order is registered; most processes never load the orders."""
        orders = import_module(QUEUE_ORDERS_MODULE).queue_orders
        if name not in orders:
            raise ValueError(f"must be one of {', '.join(sorted(orders))}")
        return name


class _SettingsModel(_Model):
    name: str = Field(alias="nodeName")
    ip: str
    zone: str
    # the first is the port at which peers reach the process; the second is not used
    ports: tuple[int, int] = Field(alias="internalPorts")
    seeds: tuple[AddressText, ...] = ()
    # address and service of the minion on this machine, if there is one
    app: AddressText | None = None
    service: str = ""
    listen: _ListenModel
    bounds: _BoundsModel = _BoundsModel()
    scheduling: _SchedulingModel = _SchedulingModel()
    # the store that holds logs and operators' records
    platform: _StoreModel
    limits: _LimitsModel = _LimitsModel()
    client_limits: _ClientLimitsModel = Field(
        _ClientLimitsModel(), alias="clientLimits"
    )


@dataclass(frozen=True, slots=True)
class StoreLimits:
    """Sizes above which the store refuses an append for good, in bytes.

    Attributes
    ----------
    record_bytes : int
        Largest record, with its key.
    request_bytes : int
        Largest total of the records of one append.
    """

    record_bytes: int
    request_bytes: int


@dataclass(frozen=True, slots=True)
class PlatformConfig:
    """Settings of a process, with its addresses on the platform.

    Attributes
    ----------
    daemon : DaemonConfig
        The settings that do not depend on the platform.
    store : Address
        Address of the platform's store.
    callers, readiness, heartbeats : Address or None
        Addresses for callers, the balancer's readiness checks and minions'
        heartbeats; None if the process does not serve them.
    limits : StoreLimits
        Limits of the store.
    client_limits : ClientLimits
        Limits on what clients' connections may hold.
    """

    daemon: DaemonConfig
    store: Address
    callers: Address | None
    readiness: Address | None
    heartbeats: Address | None
    limits: StoreLimits
    client_limits: ClientLimits


def _parse_optional_address(text: str | None) -> Address | None:
    return None if text is None else parse_address(text)


def _make_bounds(model: _BoundsModel) -> Bounds:
    return Bounds(
        lease_ms=model.hold_max_ms,
        stop_ms=model.stop_ms,
        gang_ms=model.gang_ms,
        grace_ms=int(model.grace_s * MS_PER_SECOND),
        remote_factor=model.remote_factor,
        restore_ms=model.restore_ms,
        status_ms=int(model.status_s * MS_PER_SECOND),
        config_apply_ms=model.config_apply_ms,
    )


def _make_config(model: _SettingsModel, role: Role) -> PlatformConfig:
    port = model.ports[0]
    # a seed is an entry's heartbeat address; all processes use the same peer port
    seeds = tuple(Address(text.rpartition(":")[0], port) for text in model.seeds)
    daemon = DaemonConfig(
        role,
        model.name,
        model.zone,
        Address(model.ip, port),
        seeds,
        _make_bounds(model.bounds),
        _parse_optional_address(model.app),
        model.service,
        model.scheduling.queue_order,
    )
    return PlatformConfig(
        daemon,
        _parse_optional_address(model.platform.address),
        _parse_optional_address(model.listen.frontend),
        _parse_optional_address(model.listen.readiness),
        _parse_optional_address(model.listen.control),
        StoreLimits(model.platform.record_bytes, model.platform.request_bytes),
        derive_limits(
            int(model.limits.memory_mb),
            model.limits.max_fds,
            model.client_limits.model_dump(),
        ),
    )


def read_settings(role: Role) -> Result[PlatformConfig, Failure]:
    """Return the settings of this process, or why they cannot be read."""
    path = os.environ.get(SETTINGS_VARIABLE, "")
    try:
        document = tomllib.loads(Path(path).read_text(encoding="utf-8"))
        return Ok(_make_config(_SettingsModel.model_validate(document), role))
    except ValidationError as exc:
        return Error(Failure(format_validation_error(exc), f"read {path}"))
    except (OSError, ValueError) as exc:
        return Error(Failure(str(exc), f"read {path or SETTINGS_VARIABLE}"))
