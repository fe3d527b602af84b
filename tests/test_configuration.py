"""An accepted setting is in force everywhere within 5 s and never reverts."""

import json
import signal
from concurrent.futures import Future, ThreadPoolExecutor
from functools import partial
from typing import Any

import pytest

from standins.processes import Deployment, wait_until

IN_FORCE_TIMEOUT_S = 5.0
SETTING_KEY = "job.reserve_timeout_ms"
SNAPSHOT_PERIOD_MS = 300
LOG_POLL_WAIT_MS = 2_000  # default of log.poll_wait_ms
ENTRIES = ("entry-0", "entry-1")
SIDECAR = "minion-0"
ALL_PROCESSES = (*ENTRIES, SIDECAR)


def start_system(deployment: Deployment, **log_addresses: str) -> None:
    """Start two entries and one minion.

    `log_addresses` gives the address of a log proxy by process, with the keys
    ``entry_0``, ``entry_1`` and ``sidecar``.
    """
    for name in ENTRIES:
        address = log_addresses.get(name.replace("-", "_"), "")
        deployment.start_entry(name, log_address=address)
    deployment.start_minion_and_worker(0)
    deployment.start_sidecar(0, log_address=log_addresses.get("sidecar", ""))
    for name in ALL_PROCESSES:
        wait_until(
            lambda name=name: has_folded_to_head(deployment, name),
            f"{name} has read the log to its end",
        )
    wait_until(
        lambda: deployment.show("/v1/fleet")["minions"],
        "the minion is in the fleet view",
    )


def start_proxy(deployment: Deployment, name: str) -> str:
    port = int(deployment.log_address.rpartition(":")[2])
    return deployment.start_proxy(name, port)


def get_status(deployment: Deployment, name: str) -> dict[str, Any]:
    return deployment.show("/v1/status", name)


def has_folded_to_head(deployment: Deployment, name: str) -> bool:
    status = get_status(deployment, name)
    return 0 < status["head_offset"] <= status["folded_offset"]


def put_setting(
    deployment: Deployment, entry: str, value: int | None, **fields: Any
) -> tuple[int, dict[str, Any]]:
    body = {"operator": "ilze", "key": SETTING_KEY, "value": value, **fields}
    return deployment.call(entry, "operators", "PUT", "/v1/settings", body)


def get_setting(deployment: Deployment, name: str) -> dict[str, Any]:
    rows = deployment.show("/v1/settings", name)["settings"]
    return next((row for row in rows if row["key"] == SETTING_KEY), {"value": None})


def get_setting_value(deployment: Deployment, name: str) -> int | None:
    return get_setting(deployment, name)["value"]


def assert_in_force(
    deployment: Deployment,
    value: int,
    names: tuple[str, ...] = ALL_PROCESSES,
    timeout_s: float = IN_FORCE_TIMEOUT_S,
) -> None:
    wait_until(
        lambda: all(get_setting_value(deployment, name) == value for name in names),
        f"{value} is in force in {names}",
        timeout_s,
    )


def read_records(deployment: Deployment) -> list[dict[str, Any]]:
    path = "/v1/records?after=0&wait_ms=0&limit=100000"
    rows = deployment.call("log", "port", "GET", path)[1]["records"]
    return [{"offset": row["offset"], **json.loads(row["value"])} for row in rows]


def read_setting_changes(deployment: Deployment) -> list[dict[str, Any]]:
    return [
        row for row in read_records(deployment) if row["body"].get("key") == SETTING_KEY
    ]


def find_snapshot_offset(deployment: Deployment) -> int:
    """Return the offset that the newest complete snapshot covers; 0 if none."""
    parts_by_snapshot: dict[str, set[int]] = {}
    covered_offset = 0
    for row in read_records(deployment):
        body = row["body"]
        if body["kind"] == "snapshot_part":
            parts = parts_by_snapshot.setdefault(body["snapshot_id"], set())
            parts.add(body["index"])
            if len(parts) == body["count"]:
                covered_offset = max(covered_offset, body["covers"])
    return covered_offset


def enable_snapshots(deployment: Deployment) -> None:
    body = {
        "operator": "ilze",
        "key": "snapshot.period_ms",
        "value": SNAPSHOT_PERIOD_MS,
    }
    status, _ = deployment.call("entry-0", "operators", "PUT", "/v1/settings", body)
    assert status == 200


def expire_records(deployment: Deployment, offset: int) -> None:
    deployment.call("log", "port", "POST", "/v1/retention", {"through": offset})


def run_in_thread(function: Any) -> Future:
    pool = ThreadPoolExecutor(1)
    future = pool.submit(function)
    pool.shutdown(wait=False)
    return future


@pytest.fixture
def system(deployment: Deployment) -> Deployment:
    deployment.start_log()
    return deployment


def race_two_changes(deployment: Deployment, first_value: int) -> int:
    """Change the setting at both entries from one base; return the value that wins."""
    base = get_setting(deployment, "entry-0").get("offset", 0)
    futures = []
    for number, name in enumerate(ENTRIES):
        change = partial(
            put_setting, deployment, name, first_value + number, base_offset=base
        )
        futures.append(run_in_thread(change))
    answers = [future.result() for future in futures]
    assert sorted(status for status, _ in answers) == [200, 409]
    winner = next(i for i, (status, _) in enumerate(answers) if status == 200)
    assert answers[1 - winner][1]["outcome"] == "not_run"
    return first_value + winner


def test_one_of_two_concurrent_changes_wins_everywhere(system: Deployment) -> None:
    start_system(system)
    for first_value in (2_000, 2_100, 2_200):
        assert_in_force(system, race_two_changes(system, first_value))


def test_lost_answer_of_the_log_does_not_lose_the_change(system: Deployment) -> None:
    start_system(system)
    system.set_faults("log", lose_answers=1)
    status, _ = put_setting(system, "entry-0", 2_500)
    assert status == 200
    assert_in_force(system, 2_500)
    assert len({row["record_id"] for row in read_setting_changes(system)}) == 1


def test_outage_after_the_append_is_unknown_and_the_change_persists(
    system: Deployment,
) -> None:
    start_system(system, entry_0=start_proxy(system, "proxy"))
    system.set_faults("proxy", drop_answers=True)
    status, answer = put_setting(system, "entry-0", 2_600)
    assert (status, answer["outcome"]) == (504, "unknown")
    assert_in_force(system, 2_600, ("entry-1", SIDECAR))
    system.set_faults("proxy")
    assert_in_force(system, 2_600, timeout_s=60.0)
    status, _ = put_setting(system, "entry-1", 2_700)
    assert status == 200
    assert_in_force(system, 2_700)


def test_outage_of_the_log_before_the_append_is_not_run(system: Deployment) -> None:
    start_system(system, entry_0=start_proxy(system, "proxy"))
    system.set_faults("proxy", cut=True)
    status, answer = put_setting(system, "entry-0", 2_600)
    assert status in (503, 504)
    values = [row["body"]["value"] for row in read_setting_changes(system)]
    assert values == []
    system.set_faults("proxy")
    status, _ = put_setting(system, "entry-0", 2_700)
    assert status == 200
    assert_in_force(system, 2_700)
    assert [row["body"]["value"] for row in read_setting_changes(system)][-1] == 2_700
    if answer["outcome"] == "not_run":
        assert 2_600 not in [
            row["body"]["value"] for row in read_setting_changes(system)
        ]


def test_log_slow_by_two_seconds_still_accepts_changes(system: Deployment) -> None:
    start_system(system)
    system.set_faults("log", delay_ms=2_000)
    status, _ = put_setting(system, "entry-0", 2_800)
    assert status == 200
    assert_in_force(system, 2_800)


@pytest.mark.parametrize("count", [1, 2])
def test_unresponsive_log_connections_do_not_delay_a_change(
    system: Deployment, count: int
) -> None:
    proxy = start_proxy(system, "proxy")
    start_system(system, entry_1=proxy, sidecar=proxy)
    for number in range(count):
        _, answer = system.call("proxy", "port", "POST", "/v1/freeze", {})
        assert answer["frozen"]
        value = 2_900 + number
        assert put_setting(system, "entry-0", value)[0] == 200
        assert_in_force(system, value)


def test_change_survives_retention_and_a_restart_of_every_process(
    system: Deployment,
) -> None:
    start_system(system)
    status, answer = put_setting(system, "entry-0", 3_000)
    assert status == 200
    enable_snapshots(system)
    offset = answer["offset"]
    wait_until(
        lambda: find_snapshot_offset(system) > offset, "a snapshot covers the change"
    )
    expire_records(system, find_snapshot_offset(system))
    assert read_setting_changes(system) == []
    for name in ALL_PROCESSES:
        system.processes[name].kill()
    for name in ENTRIES:
        system.start_entry(name)
    system.start_sidecar(0)
    wait_until(
        lambda: all(get_setting_value(system, name) == 3_000 for name in ALL_PROCESSES),
        "all processes have restored the change",
    )
    assert get_setting(system, "entry-1")["offset"] == offset
    assert put_setting(system, "entry-1", 3_100)[0] == 200
    assert_in_force(system, 3_100)


def test_incomplete_snapshot_is_not_used(system: Deployment) -> None:
    """The incomplete snapshot covers the whole log but lacks the setting.

    An entry that used it would lose the setting.
    """
    start_system(system)
    assert put_setting(system, "entry-0", 3_000)[0] == 200
    enable_snapshots(system)
    wait_until(lambda: find_snapshot_offset(system), "a snapshot is complete")
    part = next(
        row for row in read_records(system) if row["body"]["kind"] == "snapshot_part"
    )
    part.pop("offset")
    incomplete = {**part["body"], "snapshot_id": "torn", "count": 2, "index": 0}
    incomplete["covers"] = read_records(system)[-1]["offset"]
    incomplete["rows"] = {**incomplete["rows"], "settings": []}
    text = json.dumps({**part, "record_id": "rec-torn", "body": incomplete})
    system.call("log", "port", "POST", "/v1/records", {"values": [text]})
    wait_until(lambda: find_snapshot_offset(system) > 0, "a complete snapshot is left")
    expire_records(system, find_snapshot_offset(system))
    system.start_entry("entry-2")
    wait_until(
        lambda: get_setting_value(system, "entry-2") == 3_000,
        "the new entry has the setting",
    )


def test_paused_process_rejoins_from_a_snapshot(system: Deployment) -> None:
    start_system(system)
    assert put_setting(system, "entry-0", 3_000)[0] == 200
    assert_in_force(system, 3_000)
    enable_snapshots(system)
    system.processes["entry-1"].send(signal.SIGSTOP)
    status, answer = put_setting(system, "entry-0", 3_200)
    assert status == 200
    wait_until(
        lambda: find_snapshot_offset(system) > answer["offset"],
        "a snapshot covers the change",
    )
    expire_records(system, find_snapshot_offset(system))
    system.processes["entry-1"].send(signal.SIGCONT)
    assert_in_force(system, 3_200, ("entry-1",), timeout_s=15.0)
    assert get_setting(system, "entry-1")["offset"] == answer["offset"]
    wait_until(
        lambda: any(
            event["step"] == "log.snapshot"
            for event in system.show("/v1/events", "entry-1")["events"]
        ),
        "entry-1 has loaded a snapshot",
        timeout_s=15.0,
    )


def test_process_cut_off_from_the_log_detects_stale_state_and_rejoins(
    system: Deployment,
) -> None:
    start_system(system, entry_1=start_proxy(system, "proxy"))
    assert put_setting(system, "entry-0", 3_000)[0] == 200
    assert_in_force(system, 3_000)
    enable_snapshots(system)
    system.set_faults("proxy", cut=True)
    status, answer = put_setting(system, "entry-0", 3_300)
    assert status == 200
    wait_until(
        lambda: find_snapshot_offset(system) > answer["offset"],
        "a snapshot covers the change",
    )
    expire_records(system, find_snapshot_offset(system))
    assert get_setting_value(system, "entry-1") == 3_000
    wait_until(
        lambda: get_status(system, "entry-1")["fresh_age_ms"] > LOG_POLL_WAIT_MS,
        "the entry without the log detects that its state is stale",
    )
    system.set_faults("proxy")
    assert_in_force(system, 3_300, ("entry-1",), timeout_s=15.0)


def test_holder_cut_off_from_the_log_loses_the_lease(system: Deployment) -> None:
    proxies = [start_proxy(system, f"proxy-{number}") for number in range(2)]
    start_system(system, entry_0=proxies[0], entry_1=proxies[1])
    wait_until(
        lambda: get_status(system, "entry-1")["lease"]["holder"],
        "an entry holds the lease",
    )
    holder = get_status(system, "entry-1")["lease"]["holder"]
    number = ENTRIES.index(holder)
    standby = ENTRIES[1 - number]
    system.set_faults(f"proxy-{number}", cut=True)
    wait_until(
        lambda: get_status(system, standby)["lease"]["holder"] == standby,
        "the standby holds the lease",
    )
    assert get_status(system, holder)["lease"]["holder"] == holder
    system.set_faults(f"proxy-{number}")
    wait_until(
        lambda: get_status(system, holder)["lease"]["holder"] == standby,
        "the old holder knows the new term",
    )


def test_holder_paused_through_its_term_adopts_the_new_term(system: Deployment) -> None:
    start_system(system)
    wait_until(
        lambda: get_status(system, "entry-1")["lease"]["holder"],
        "an entry holds the lease",
    )
    holder = get_status(system, "entry-1")["lease"]["holder"]
    standby = ENTRIES[1 - ENTRIES.index(holder)]
    system.processes[holder].send(signal.SIGSTOP)
    wait_until(
        lambda: get_status(system, standby)["lease"]["holder"] == standby,
        "the standby holds the lease",
    )
    system.processes[holder].send(signal.SIGCONT)
    wait_until(
        lambda: get_status(system, holder)["lease"]["holder"] == standby,
        "the resumed holder knows the new term",
    )
    leases = [get_status(system, name)["lease"] for name in ENTRIES]
    assert leases[0] == leases[1]


def test_concurrent_changes_with_frozen_connections_and_lost_answers(
    system: Deployment,
) -> None:
    start_system(system, entry_1=start_proxy(system, "proxy"))
    system.call("proxy", "port", "POST", "/v1/freeze", {})
    system.set_faults("log", lose_answers=2)
    winner = race_two_changes(system, 2_300)
    assert_in_force(system, winner)
    assert get_setting(system, "entry-1") == get_setting(system, "entry-0")
