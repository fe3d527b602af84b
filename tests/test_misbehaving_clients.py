"""Clients that misbehave at each address of the platform's roles.

Each test guards against a process that ends, hangs, or outgrows its machine because of
such clients, and against jobs that are not accepted or not run afterwards. Limits and
crowds are small, so that a fault shows with few connections.
"""

from collections.abc import Iterator
from dataclasses import dataclass

import pytest

from tests.misbehaving_crowd import Crowd
from tests.misbehaving_kinds import Endpoint, client_kinds
from tests.misbehaving_processes import LimitedDeployment

ENTRY = "entry-1"
SIDECAR = "side-1"
UNUSED_JOB_ID = "ffffffffffffffff"


@dataclass(frozen=True)
class Target:
    """Process and endpoints that a crowd sends to, in turn.

    `ordinary` is the endpoint of the request that must be answered afterwards.
    """

    process: str
    ordinary: Endpoint
    endpoints: tuple[Endpoint, ...]


METRICS = Endpoint("peers", "/metrics")
QUEUE = Endpoint("callers", "/q/")
READINESS = Endpoint("ready", "/kingcuppost/ready")
TARGETS = {
    "callers with a route": Target(
        ENTRY, QUEUE, (Endpoint("callers", f"/q/{UNUSED_JOB_ID}"),)
    ),
    "callers without a route": Target(ENTRY, QUEUE, (Endpoint("callers", "/none/x"),)),
    "readiness": Target(ENTRY, READINESS, (READINESS, Endpoint("ready", "/none"))),
    "entry's peers": Target(
        ENTRY,
        METRICS,
        (Endpoint("peers", "/peer/sync"), METRICS, Endpoint("peers", "/none")),
    ),
    "sidecar": Target(
        SIDECAR,
        METRICS,
        (
            Endpoint("control", "/kingcuppost/instances/m-side-1", "PUT"),
            Endpoint("control", "/none"),
            METRICS,
            Endpoint("peers", "/none"),
        ),
    ),
}


@pytest.fixture(scope="module")
def system(tmp_path_factory: pytest.TempPathFactory) -> Iterator[LimitedDeployment]:
    jobs = len(TARGETS) * len(list(client_kinds))
    job_ids = [f"{number:016x}" for number in range(1, jobs + 1)]
    with LimitedDeployment(tmp_path_factory.mktemp("limited"), job_ids) as running:
        yield running


@pytest.mark.parametrize("kind_name", list(client_kinds))
@pytest.mark.parametrize("target_name", list(TARGETS))
def test_process_survives(
    system: LimitedDeployment,
    target_name: str,
    kind_name: str,
) -> None:
    target, kind = TARGETS[target_name], client_kinds[kind_name]
    usage = system.prepare(target.process)
    clients = []
    for number in range(kind.clients):
        endpoint = target.endpoints[number % len(target.endpoints)]
        address = (system.ips[target.process], system.ports[endpoint.port])
        clients.append((address, kind.make_script(endpoint, number)))
    with Crowd(clients) as crowd:
        crowd.drive(usage.sample)
        assert crowd.sent_bytes > 0
    problems = system.find_problems(target.process, target.ordinary, usage)
    print(usage.describe())
    assert problems == []
