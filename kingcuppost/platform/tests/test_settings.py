"""The platform's settings are read, or refused with the field and the reason."""

import socket
import subprocess
import sys
from pathlib import Path

import pytest

from kingcuppost.platform.__main__ import main
from kingcuppost.platform.early_listener import listen_early
from kingcuppost.platform.settings import StoreLimits, read_settings
from kingcuppost.tables.config import Address
from kingcuppost.tables.connections import ClientLimits
from kingcuppost.tables.identity import Role

SIDECAR_SETTINGS = """
nodeName = "side-a-1"
ip = "10.1.0.20"
zone = "zone-a"
internalPorts = [7000, 7015]
seeds = ["10.1.0.19:8526", "10.2.0.35:8526"]
unknown = "kept for later"
[listen]
control = "10.1.0.20:8526"
[bounds]
holdMaxMs = 6000
graceS = 6
[platform]
address = "10.200.1.7:8524"
"""


@pytest.fixture
def settings(tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> Path:
    path = tmp_path / "boot.toml"
    path.write_text(SIDECAR_SETTINGS)
    monkeypatch.setenv("KINGCUPPOST_SETTINGS", str(path))
    return path


def test_a_valid_file_is_read(settings: Path) -> None:
    cfg = read_settings(Role.SIDECAR).ok
    assert cfg.store == Address("10.200.1.7", 8524)
    assert cfg.heartbeats == Address("10.1.0.20", 8526)
    assert cfg.daemon.bounds.lease_ms == 6_000
    assert cfg.daemon.bounds.grace_ms == 6_000
    assert cfg.daemon.peers == Address("10.1.0.20", 7000)
    assert cfg.limits == StoreLimits(262_144, 2_097_152)


@pytest.mark.parametrize("name", ["arrival", "cost", "deadline"])
def test_the_order_of_the_queue_is_read(settings: Path, name: str) -> None:
    assert read_settings(Role.ENTRY).ok.daemon.queue_order == "deadline"
    table = f'[scheduling]\nqueueOrder = "{name}"\n[platform]'
    settings.write_text(SIDECAR_SETTINGS.replace("[platform]", table))
    assert read_settings(Role.ENTRY).ok.daemon.queue_order == name


def test_seeds_have_the_port_for_peers(settings: Path) -> None:
    cfg = read_settings(Role.SIDECAR).ok
    assert cfg.daemon.seeds == (Address("10.1.0.19", 7000), Address("10.2.0.35", 7000))


@pytest.mark.parametrize(
    ("old", "new", "field"),
    [
        ('nodeName = "side-a-1"', "", "nodeName"),
        ('address = "10.200.1.7:8524"', 'address = "nowhere"', "platform.address"),
        ("holdMaxMs = 6000", 'holdMaxMs = "long"', "bounds.holdMaxMs"),
        ("[platform]", "[limits]\nmemoryMb = 0\n[platform]", "limits.memoryMb"),
        ("[platform]", "[clientLimits]\nheads = 1\n[platform]", "clientLimits.heads"),
        (
            "[platform]",
            '[scheduling]\nqueueOrder = "dedline"\n[platform]',
            "scheduling.queueOrder",
        ),
    ],
)
def test_an_invalid_file_is_refused_with_field_and_reason(
    settings: Path,
    capsys: pytest.CaptureFixture,
    old: str,
    new: str,
    field: str,
) -> None:
    settings.write_text(SIDECAR_SETTINGS.replace(old, new))
    assert main(["sidecar"]) == 2
    line = capsys.readouterr().err
    assert field in line
    assert line.count("\n") == 1


def test_limits_on_clients_follow_the_machine_and_may_be_set(settings: Path) -> None:
    assert read_settings(Role.SIDECAR).ok.client_limits == ClientLimits()
    settings.write_text(
        SIDECAR_SETTINGS
        + "[limits]\nmemoryMb = 320\nmaxFds = 4096\nunknown = 1\n"
        + "[clientLimits]\nbodyMs = 9000\n"
    )
    limits = read_settings(Role.SIDECAR).ok.client_limits
    assert (limits.held_bytes, limits.connections) == (20_971_520, 1_948)
    assert limits.body_ms == 9_000


def test_a_file_that_is_not_toml_is_refused(
    settings: Path, capsys: pytest.CaptureFixture
) -> None:
    settings.write_text("= [")
    assert main(["sidecar"]) == 2
    assert str(settings) in capsys.readouterr().err


def test_callers_can_connect_before_the_libraries_are_loaded(settings: Path) -> None:
    settings.write_text(
        SIDECAR_SETTINGS.replace("[listen]", '[listen]\nfrontend = "127.0.0.1:0"')
    )
    with listen_early() as listener:
        socket.create_connection(listener.getsockname()).close()
    script = "import sys, kingcuppost.platform.__main__ as m; print(*sys.modules)"
    loaded = subprocess.run([sys.executable, "-c", script], capture_output=True).stdout
    assert not {b"twisted", b"pydantic", b"expression"} & set(loaded.split())


@pytest.mark.parametrize("text", ["", "[listen]\n", '[listen]\nfrontend = "x"', "="])
def test_listening_early_ignores_invalid_settings(settings: Path, text: str) -> None:
    settings.write_text(text)
    assert listen_early() is None
