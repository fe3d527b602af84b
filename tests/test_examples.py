"""The examples print the output that the documentation describes."""

import subprocess
import sys
from pathlib import Path

ROOT = Path(__file__).parent.parent


def test_systems_run_with_no_socket() -> None:
    completed = subprocess.run(
        [sys.executable, str(ROOT / "examples" / "no_socket.py")],
        capture_output=True,
        text=True,
        cwd=ROOT,
        check=True,
    )
    assert "ChangeAccepted(offset=3" in completed.stdout
    assert "guarantees=(Shape(members=2, accelerators=4, count=1),)" in completed.stdout
