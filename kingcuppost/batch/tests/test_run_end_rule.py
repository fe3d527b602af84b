"""Whom a sidecar believes about its minion, and for how long."""

from dataclasses import replace

import pytest

from kingcuppost.batch.systems.run_end_rule import (
    CONTACT_MS,
    HeartbeatSource,
    certain_expiry_ms,
    heartbeat_source,
    is_in_contact,
)
from kingcuppost.batch.tables.config import DaemonConfig
from kingcuppost.batch.tables.job import MinionIncarnation
from kingcuppost.batch.tables.messages import MinionHeartbeat, MinionReport
from kingcuppost.batch.tables.resources import Resources
from kingcuppost.batch.tables.world import SidecarState
from kingcuppost.tables.config import Address
from kingcuppost.tables.identity import Role

NOW_MS = 100_000
OWN, OTHER = Address("10.0.1.1", 8080), Address("10.0.1.1", 8081)
CFG = DaemonConfig(Role.SIDECAR, "side-0", "z", Address("10.0.1.1", 7000))
FIXED = replace(CFG, minion_address=OWN, minion_service="svc")
LEASE_IS_OVER_MS = CONTACT_MS + certain_expiry_ms(CFG.bounds.lease_ms)


def make_heartbeat(
    minion: str = "m-0", born_ms: int = 5, address: Address = OWN, service: str = "svc"
) -> MinionHeartbeat:
    report = MinionReport(
        MinionIncarnation(minion, born_ms),
        service,
        "z",
        (),
        Resources(),
        draining=False,
        remaining_ms=0,
        listed=False,
        in_contact=False,
    )
    return MinionHeartbeat(address, report, 1)


def make_state(contact_ms: int | None) -> SidecarState:
    known = make_heartbeat()
    return SidecarState(
        minion=known.report, address=known.address, contact_ms=contact_ms
    )


@pytest.mark.parametrize(
    ("contact_ms", "expected"),
    [
        (None, False),
        (NOW_MS, True),
        (NOW_MS - CONTACT_MS, True),
        (NOW_MS - CONTACT_MS - 1, False),
    ],
)
def test_contact_ends_when_the_newest_list_is_too_old(
    contact_ms: int | None, expected: bool
) -> None:
    assert is_in_contact(contact_ms, NOW_MS) is expected


@pytest.mark.parametrize(
    ("heartbeat", "age_ms", "expected"),
    [
        (make_heartbeat(), 0, HeartbeatSource.KNOWN),
        (make_heartbeat(born_ms=9), 0, HeartbeatSource.SUCCESSOR),
        (make_heartbeat(born_ms=1), 0, HeartbeatSource.SUCCESSOR),
        (make_heartbeat("m-1"), 0, HeartbeatSource.SUCCESSOR),
        (make_heartbeat("m-1", address=OTHER), 0, HeartbeatSource.OTHER_WRITER),
        (
            make_heartbeat("m-1", address=OTHER),
            LEASE_IS_OVER_MS - 1,
            HeartbeatSource.OTHER_WRITER,
        ),
        (
            make_heartbeat("m-1", address=OTHER),
            LEASE_IS_OVER_MS,
            HeartbeatSource.SUCCESSOR,
        ),
        (make_heartbeat(address=OTHER), 0, HeartbeatSource.OTHER_WRITER),
        (make_heartbeat(service="other"), 0, HeartbeatSource.OTHER_WRITER),
    ],
)
def test_a_minion_that_has_answered_is_replaced_only_by_one_that_answers(
    heartbeat: MinionHeartbeat, age_ms: int, expected: HeartbeatSource
) -> None:
    state = make_state(NOW_MS - age_ms)
    assert heartbeat_source(CFG, state, heartbeat, NOW_MS) is expected


def test_a_minion_that_has_not_answered_is_replaced_by_any_heartbeat() -> None:
    """The first heartbeat may be the one of another writer."""
    state = make_state(None)
    for heartbeat in (make_heartbeat("m-1", 1, OTHER), make_heartbeat(address=OTHER)):
        source = heartbeat_source(CFG, state, heartbeat, NOW_MS)
        assert source is HeartbeatSource.FIRST


@pytest.mark.parametrize(
    ("heartbeat", "expected"),
    [
        (make_heartbeat(), HeartbeatSource.FIRST),
        (make_heartbeat(address=OTHER), HeartbeatSource.OTHER_WRITER),
        (make_heartbeat(service="other"), HeartbeatSource.OTHER_WRITER),
    ],
)
def test_the_minion_that_the_settings_name_is_the_only_one(
    heartbeat: MinionHeartbeat, expected: HeartbeatSource
) -> None:
    assert heartbeat_source(FIXED, SidecarState(), heartbeat, NOW_MS) is expected
