"""Every order of two faults at one minion: no task is lost, and none runs twice."""

from itertools import product

import pytest

from standins.batch.fault_orders import play_faults
from standins.batch.minion_faults import minion_faults


@pytest.mark.parametrize(
    "names",
    list(product(minion_faults, repeat=2)),
    ids=lambda names: ", then ".join(names),
)
def test_an_order_of_faults_loses_no_run_and_repeats_none(
    names: tuple[str, str],
) -> None:
    """A run counted as ended too early runs twice; one given up too late is lost."""
    assert play_faults(names) == []


# orders and the pause between two faults, by what they found
REGRESSION_ORDERS = [
    pytest.param(
        ("freeze for longer than the lease", "heartbeats are lost", "late orders"),
        50,
        id="a start was repeated after the lease of its order had expired",
    ),
    pytest.param(
        (
            "heartbeats are lost",
            "loss of the holder",
            "freeze for longer than the lease",
        ),
        1_500,
        id="the same beside a lost holder",
    ),
    pytest.param(
        ("leave notice of another writer",) * 2 + ("calls do not reach it",),
        50,
        id="the same at a minion that calls do not reach",
    ),
    pytest.param(
        (
            "restart of its sidecar",
            "heartbeat of another minion",
            "calls do not reach it",
            "freeze shortly",
        ),
        50,
        id="a sidecar took a start without a lease, from before its first contact",
    ),
    pytest.param(
        (
            "restart of its sidecar",
            "calls do not reach it",
            "freeze shortly",
            "restart of its sidecar",
        ),
        3_000,
        id="the same, with the sidecar restarted twice",
    ),
    pytest.param(
        (
            "heartbeats are lost",
            "calls do not reach it",
            "leave notice of another writer",
            "restart of its sidecar",
        ),
        3_000,
        id="the same, with a leave notice before",
    ),
    pytest.param(
        ("late orders", "restart"),
        4_800,
        id="a late start reaches the next incarnation before its first heartbeat",
    ),
    pytest.param(
        ("late orders", "restart"),
        5_000,
        id="the same after a longer pause",
    ),
]


@pytest.mark.parametrize(("names", "gap_ms"), REGRESSION_ORDERS)
def test_an_order_of_faults_that_once_failed(
    names: tuple[str, ...], gap_ms: int
) -> None:
    assert play_faults(names, gap_ms) == []
