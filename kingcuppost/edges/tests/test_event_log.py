"""Events are written as JSON log lines, prefixed with the part of the system."""

import json

import pytest

from kingcuppost.edges import EventLog, configure_logs
from kingcuppost.programs import make_world
from kingcuppost.systems.events import note
from kingcuppost.tables.config import Address, LogConfig, ProcessConfig
from kingcuppost.tables.identity import Role

UNUSED_ADDRESS = Address("127.0.0.1", 0)


def test_event_is_written_as_one_json_line(
    capsys: pytest.CaptureFixture[str],
) -> None:
    cfg = ProcessConfig(
        role=Role.ENTRY,
        name="entry-0",
        availability_zone="vid-a",
        region="vidzeme",
        peers=UNUSED_ADDRESS,
        log=LogConfig("none", UNUSED_ADDRESS),
        seed=1,
    )
    world = make_world(cfg)
    events = EventLog(world, configure_logs(world, "INFO"))
    note(world, "request.admit", "Request admitted.", team="design")
    events.flush()
    line = json.loads(capsys.readouterr().err)
    assert line["message"] == "request: Request admitted."
    assert line["instance"] == "entry-0"
    assert line["team"] == "design"
