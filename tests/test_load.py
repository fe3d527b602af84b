"""A steady load through two entries: all requests are answered."""

import json
import subprocess
import sys

from standins.processes import ROOT, Deployment, wait_until
from tests.test_path import TEAM, send_request, start_deployment


def test_load_is_answered_by_both_entries(deployment: Deployment) -> None:
    start_deployment(deployment)
    wait_until(
        lambda: send_request(deployment, "entry-0")[0] == 200,
        "entry-0 answers requests",
    )
    wait_until(
        lambda: send_request(deployment, "entry-1")[0] == 200,
        "entry-1 answers requests",
    )
    argv = [sys.executable, "-m", "standins.load", "--rate", "40", "--seconds", "3"]
    for entry in ("entry-0", "entry-1"):
        port = deployment.processes[entry].ports["callers"]
        argv += ["--callers", f"127.0.0.1:{port}"]
    argv += ["--team", TEAM, "--service", deployment.site.service]
    argv += ["--body", json.dumps({"run_ms": 20})]
    completed = subprocess.run(
        argv, capture_output=True, text=True, cwd=ROOT, check=True
    )
    report = json.loads(completed.stdout)
    assert report["outcomes"] == {"answered": 120}
