"""Streams are followed over slow links, through cuts and with any backlog."""

import json

from kingcuppost.batch.edges.context import batch_senders
from kingcuppost.batch.tables.messages import ReadStream, Stream
from kingcuppost.platform.streams import follow_stream
from kingcuppost.platform.tests.simulated_store import SimulatedEntry

APPLY_MS = 2_000
ROUTE_COUNT = 48


def make_configuration(version: int) -> bytes:
    """Return a configuration of about 11 KB."""
    routes = [
        {
            "name": f"route-{index}",
            "host": f"host-{index}.example",
            "pathPrefix": f"/prefix-{index}/",
            "service": "svc",
            "kind": "non_idempotent" + "-" * 100,
        }
        for index in range(ROUTE_COUNT)
    ]
    return json.dumps({"version": version, "routes": routes}).encode()


def follow(entry: SimulatedEntry, *streams: Stream) -> None:
    client = entry.context.adapter_state.store
    for stream in streams:
        follow_stream(entry.context, client, stream)


def test_a_backlog_larger_than_the_link_carries_in_one_timeout_is_read() -> None:
    entry = SimulatedEntry()
    entry.append(Stream.OPERATORS, "config", make_configuration(1))
    follow(entry, Stream.OPERATORS)
    entry.run(500)
    assert entry.world.agreed.configuration.version == 1
    entry.is_cut = True
    for version in range(2, 62):
        entry.append(Stream.OPERATORS, "config", make_configuration(version))
        entry.run(100)
    entry.is_cut = False
    entry.run(APPLY_MS)
    assert entry.world.agreed.configuration.version == 61


def test_a_record_that_a_listing_ran_ahead_of_is_not_brought_back() -> None:
    entry = SimulatedEntry(page_size=1)
    entry.append(Stream.OPERATORS, "config", make_configuration(1))
    entry.append(Stream.OPERATORS, "evacuate/zone-a", b"{}")

    def open_and_close_zone() -> None:
        entry.on_page = lambda: None
        entry.append(Stream.OPERATORS, "evacuate/zone-a", b"")
        entry.append(Stream.OPERATORS, "evacuate/zone-a", b"{}")

    entry.on_page = open_and_close_zone
    follow(entry, Stream.OPERATORS)
    entry.run(500)
    lines = [line.text for line in entry.world.log_lines if line.part == "settings"]
    assert lines == ["A configuration is in force.", "A zone is closed."]


def test_an_odd_item_of_a_listing_does_not_hide_the_others() -> None:
    entry = SimulatedEntry()
    entry.append(Stream.OPERATORS, "config", make_configuration(1))
    entry.odd_items = [{"key": "a"}, 7, {"key": "b", "value": "%", "offset": 0}]
    follow(entry, Stream.OPERATORS)
    entry.run(500)
    assert entry.world.agreed.configuration.version == 1
    assert entry.world.tally.counts["records_skipped"] == {(Stream.OPERATORS,): 3}


def test_a_backlog_of_jobs_is_read_on_over_a_slow_link() -> None:
    entry = SimulatedEntry()
    follow(entry, Stream.JOBS)
    entry.run(500)
    entry.is_cut = True
    job = {"queue": "q", "team": "t", "accepted_ms": 1, "steps": [{"count": 1}]}
    value = json.dumps(job | {"spec": "x" * 11_000}).encode()
    for number in range(60):
        entry.append(Stream.JOBS, f"job/{number:016x}", value)
        entry.run(100)
    entry.is_cut = False
    entry.run(APPLY_MS)
    assert len(entry.world.agreed.jobs) == 60


def test_a_stream_is_read_at_once_beside_a_read_that_waits() -> None:
    entry = SimulatedEntry()
    follow(entry, Stream.JOBS)
    entry.run(100)
    sent_ms = entry.clock.now_ms()
    batch_senders[ReadStream](entry.context, ReadStream(Stream.JOBS))
    entry.run(50)
    assert entry.world.agreed.views[Stream.JOBS].fresh_ms == sent_ms
