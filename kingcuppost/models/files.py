"""The settings file of a process, in TOML format."""

import tomllib
from pathlib import Path
from typing import Annotated, Literal

from expression import Error, Ok, Result
from pydantic import Field, ValidationError

from kingcuppost.exception import Failure
from kingcuppost.models.addresses import AddressText
from kingcuppost.models.base import BorderModel, format_validation_error
from kingcuppost.models.limits import LimitsModel
from kingcuppost.tables.config import (
    EntryConfig,
    LogConfig,
    ProcessConfig,
    SidecarConfig,
    WorkerConfig,
)
from kingcuppost.tables.identity import Role
from kingcuppost.utils.addresses import parse_address

__all__ = ["FileModel", "read_config"]

MAX_ACCELERATORS = 64
MAX_SLOTS = 1_024
MAX_CONNECTIONS = 4_096


NameText = Annotated[str, Field(pattern=r"^[a-z0-9][a-z0-9_.-]{0,62}$")]


class LogModel(BorderModel):
    """Driver and address of the platform's log."""

    driver: str = "http"
    address: AddressText


class EntryModel(BorderModel):
    """Addresses at which an entry listens."""

    callers: AddressText
    operators: AddressText


class WorkerModel(BorderModel):
    """The worker of a sidecar, with its address and resources."""

    driver: str = "http"
    name: NameText
    rack: NameText
    address: AddressText
    cores: int = Field(ge=1)
    memory_mb: int = Field(ge=1)
    accelerators: int = Field(ge=0, le=MAX_ACCELERATORS)


class SidecarModel(BorderModel):
    """The minion and the worker of a sidecar, and its address for operators."""

    service: NameText
    minion: AddressText
    slots: int = Field(ge=1, le=MAX_SLOTS)
    connections: int = Field(ge=1, le=MAX_CONNECTIONS)
    operators: AddressText
    worker: WorkerModel


class FileModel(BorderModel):
    """A complete settings file."""

    role: Role
    name: NameText
    availability_zone: NameText
    region: NameText
    peers: AddressText
    advertised: AddressText | None = None
    log_level: Literal["DEBUG", "INFO", "WARNING", "ERROR"] = "INFO"
    seed: int | None = None
    log: LogModel
    entry: EntryModel | None = None
    sidecar: SidecarModel | None = None
    limits: LimitsModel = LimitsModel()

    def find_field_error(self) -> str:
        """Return why the file's tables do not match the role; empty if they do."""
        if (self.role is Role.ENTRY) != (self.entry is not None):
            return "entry: this table is required for, and only for, role 'entry'"
        if (self.role is Role.SIDECAR) != (self.sidecar is not None):
            return "sidecar: this table is required for, and only for, role 'sidecar'"
        return ""

    def to_config(self) -> ProcessConfig:
        """Return the process configuration."""
        return ProcessConfig(
            self.role,
            self.name,
            self.availability_zone,
            self.region,
            parse_address(self.peers),
            LogConfig(self.log.driver, parse_address(self.log.address)),
            self._make_entry_config(),
            self._make_sidecar_config(),
            self.seed,
            self.log_level,
            parse_address(self.advertised) if self.advertised else None,
            self.limits.to_limits(),
        )

    def _make_entry_config(self) -> EntryConfig | None:
        if self.entry is None:
            return None
        return EntryConfig(
            parse_address(self.entry.callers), parse_address(self.entry.operators)
        )

    def _make_sidecar_config(self) -> SidecarConfig | None:
        if self.sidecar is None:
            return None
        worker = self.sidecar.worker
        return SidecarConfig(
            self.sidecar.service,
            parse_address(self.sidecar.minion),
            self.sidecar.slots,
            self.sidecar.connections,
            WorkerConfig(
                worker.driver,
                worker.name,
                worker.rack,
                parse_address(worker.address),
                worker.cores,
                worker.memory_mb,
                worker.accelerators,
            ),
            parse_address(self.sidecar.operators),
        )


def read_config(path: str) -> Result[ProcessConfig, Failure]:
    """Return the configuration in a settings file, or why the file is rejected.

    Parameters
    ----------
    path : str
        Path of a TOML file.
    """
    step = f"read {path}"
    try:
        table = tomllib.loads(Path(path).read_text(encoding="utf-8"))
        model = FileModel.model_validate(table)
    except OSError as exc:
        return Error(Failure(exc.strerror or str(exc), step))
    except (tomllib.TOMLDecodeError, UnicodeDecodeError) as exc:
        return Error(Failure(str(exc), step))
    except ValidationError as exc:
        return Error(Failure(format_validation_error(exc), step))
    if reason := model.find_field_error():
        return Error(Failure(reason, step))
    return Ok(model.to_config())
