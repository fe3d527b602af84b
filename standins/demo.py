"""End-to-end demo: a deployment like the one at Apinis, on loopback."""

import json
import sys

from kingcuppost.utils import SystemClock
from standins.processes import Deployment, wait_until

__all__ = ["main"]


def print_heading(text: str) -> None:
    """Print a heading."""
    print(f"\n== {text}", flush=True)


def run_command(deployment: Deployment, *arguments: str) -> str:
    """Run an operator's command, print it and its output, and return the output."""
    print(f"$ kingcuppost {' '.join(arguments)}")
    completed = deployment.run(*arguments)
    print(completed.stdout or completed.stderr, flush=True)
    return completed.stdout


def start(deployment: Deployment) -> None:
    """Start the log, two entries and all minions; wait until all are announced."""
    deployment.start_log()
    deployment.start_entry("entry-0", "vid-a")
    deployment.start_entry("entry-1", "vid-b")
    deployment.start_minions(deployment.site.workers)
    count = deployment.site.workers
    wait_until(
        lambda: len(deployment.show("/v1/fleet")["minions"]) == count,
        "all minions announced",
    )


def run_gang(deployment: Deployment) -> None:
    """Submit a gang and wait until it is done."""
    payload = json.dumps({"run_ms": 500, "result": "wreath plan 1"})
    arguments = ["job", "submit", "--name", "planning", "--team", "design"]
    arguments += ["--members", "2", "--accelerators", "4", "--payload", payload]
    run_command(deployment, *arguments)
    wait_until(
        lambda: deployment.show("/v1/jobs/planning")["job"]["state"] == "done",
        "the gang has finished",
    )
    run_command(deployment, "job", "show", "planning")
    run_command(deployment, "explain", "job", "planning")


def main() -> int:
    """Run the demo and return the exit code."""
    with Deployment() as deployment:
        print_heading(
            "Starting a log, 2 entries and 10 minions with workers and sidecars"
        )
        start(deployment)
        print_heading("An operator sets up zones, a team and a setting")
        for zone in deployment.site.zones:
            region = deployment.site.region
            run_command(
                deployment, "availability-zone", "add", zone, "--region", region
            )
        run_command(deployment, "team", "put", "design", "--guarantee", "2x4")
        run_command(deployment, "settings", "set", "request.timeout_ms", "8000")
        print_heading(
            "A request is answered; one that runs at most once, by two entries"
        )
        options = ["--team", "design", "--service", deployment.site.service]
        print(deployment.request(*options, "--body", "quote").stdout)
        order = [*options, "--body", '{"id": "order-7"}', "--key", "order-7"]
        order += ["--issued-ms", str(SystemClock().wall_ms())]
        print(deployment.request(*order).stdout)
        print(deployment.request(*order, entry="entry-1").stdout)
        run_command(deployment, "explain", "request", "design/order-7")
        print_heading("A gang of 2 members with 4 accelerators each")
        run_gang(deployment)
        print_heading("A zone is taken out, and back in")
        run_command(deployment, "availability-zone", "out", "vid-b")
        run_command(deployment, "availability-zone", "show")
        run_command(deployment, "availability-zone", "in", "vid-b")
        print_heading("A wrong change is refused with the reason")
        run_command(deployment, "settings", "set", "job.lease_ms", "soon")
        print_heading("The time line of the gang")
        run_command(deployment, "timeline", "--job", "planning")
    print("The demo is over.")
    return 0


if __name__ == "__main__":
    sys.exit(main())
