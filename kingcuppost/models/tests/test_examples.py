"""The sample settings files of both deployments are valid and have the stated sizes."""

from collections import Counter
from pathlib import Path

import pytest

from kingcuppost.models import read_config
from kingcuppost.tables.config import ProcessConfig
from kingcuppost.tables.identity import Role

SAMPLES = Path(__file__).parents[3] / "examples" / "settings"
MEMORY_MB = {"apinis": 131_072, "moulerie": 262_144}
FILES = sorted(SAMPLES.glob("*/*.toml"))


@pytest.mark.parametrize(
    "path", FILES, ids=lambda path: f"{path.parent.name}-{path.stem}"
)
def test_sample_is_valid(path: Path) -> None:
    result = read_config(str(path))
    assert result.is_ok(), result
    assert result.ok.name == path.stem


def read_site_configs(site: str) -> list[ProcessConfig]:
    return [read_config(str(path)).ok for path in sorted((SAMPLES / site).iterdir())]


@pytest.mark.parametrize("site", MEMORY_MB)
def test_sample_has_the_sizes_of_the_deployment(site: str) -> None:
    configs = read_site_configs(site)
    roles = Counter(config.role for config in configs)
    assert roles == {Role.ENTRY: 3, Role.SIDECAR: 10}
    assert len({config.availability_zone for config in configs}) == 3
    assert len({config.name for config in configs}) == 13
    workers = [config.sidecar.worker for config in configs if config.sidecar]
    racks = Counter(worker.rack for worker in workers)
    assert max(racks.values()) == 3
    assert {worker.memory_mb for worker in workers} == {MEMORY_MB[site]}
    assert {(worker.cores, worker.accelerators) for worker in workers} == {(64, 8)}
    assert {
        (config.sidecar.slots, config.sidecar.connections)
        for config in configs
        if config.sidecar
    } == {(8, 64)}


@pytest.mark.parametrize("site", MEMORY_MB)
def test_racks_do_not_span_zones(site: str) -> None:
    pairs = {
        (config.sidecar.worker.rack, config.availability_zone)
        for config in read_site_configs(site)
        if config.sidecar
    }
    assert len(pairs) == len({rack for rack, _ in pairs})
