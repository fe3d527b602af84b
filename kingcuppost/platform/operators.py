"""Decoding of operators' records: configurations and evacuated zones."""

from typing import Any

from expression import Error, Ok, Result
from pydantic import BaseModel, ConfigDict, Field, ValidationError

from kingcuppost.batch.tables.fleet import Configuration, Queue, Team
from kingcuppost.batch.tables.messages import (
    ConfigRecord,
    Record,
    RemovalRecord,
    ZoneRecord,
)
from kingcuppost.exception import Failure
from kingcuppost.models.base import format_validation_error

__all__ = ["decode_operator_record"]

CONFIG_KEY = "config"
EVACUATE_KIND = "evacuate"


class _PlatformModel(BaseModel):
    """An operator's record, or a part of it; unknown fields are ignored."""

    model_config = ConfigDict(extra="ignore", frozen=True)


class _RouteModel(_PlatformModel):
    # the platform's routes are the product's queues
    name: str
    host: str
    prefix: str = Field(alias="pathPrefix")
    service: str = ""
    priority: int = 0
    # failed runs of one task, not attempts of a request
    most_failures: int = Field(1, alias="maxAttempts")
    slack_factor: float = Field(1.0, alias="slackFactor")
    public: bool = False
    # settings of the service that decides which minions may run the queue's jobs
    advice: Any = None


class _GuaranteedModel(_PlatformModel):
    # accelerators
    gpu: int = 0


class _TenantModel(_PlatformModel):
    name: str
    keys: tuple[str, ...] = Field((), alias="apiKeys")
    guaranteed: _GuaranteedModel = _GuaranteedModel()


class _ConfigModel(_PlatformModel):
    version: int
    routes: tuple[_RouteModel, ...] = ()
    tenants: tuple[_TenantModel, ...] = ()


def _make_configuration(model: _ConfigModel) -> Configuration:
    queues = tuple(
        Queue(
            route.name,
            route.host,
            route.prefix,
            route.service,
            route.priority,
            route.most_failures,
            route.slack_factor,
            route.public,
            bool(route.advice),
        )
        for route in model.routes
    )
    teams = {
        tenant.name: Team(tenant.name, frozenset(tenant.keys), tenant.guaranteed.gpu)
        for tenant in model.tenants
    }
    keys = {key: tenant.name for tenant in model.tenants for key in tenant.keys}
    return Configuration(model.version, queues, teams, keys)


def decode_operator_record(
    key: str, value: bytes, peer: str
) -> Result[Record, Failure]:
    """Return the decoded record of an operator, or why it cannot be used.

    Parameters
    ----------
    key : str
        Key of the record, such as ``"config"``.
    value : bytes
        JSON text; empty if the key was deleted.
    peer : str
        Stream and offset of the record, for the failure.

    Examples
    --------
    >>> decode_operator_record("evacuate/vid-a", b"{}", "op").ok
    ZoneRecord(availability_zone='vid-a')
    >>> decode_operator_record("evacuate/vid-a", b"", "op").ok
    RemovalRecord(key='zone/vid-a')
    """
    kind, _, zone = key.partition("/")
    if kind == EVACUATE_KIND:
        return Ok(ZoneRecord(zone) if value else RemovalRecord(f"zone/{zone}"))
    if key != CONFIG_KEY or not value:
        return Error(Failure(f"{key} is not a supported record", "decode", peer))
    try:
        return Ok(
            ConfigRecord(_make_configuration(_ConfigModel.model_validate_json(value)))
        )
    except ValidationError as exc:
        return Error(Failure(format_validation_error(exc), "decode", peer))
