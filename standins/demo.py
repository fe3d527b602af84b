"""The demo: a deployment like the one at Apinis, on loopback, end to end."""

import json
import sys

from kingcuppost.utils import SystemClock
from standins.processes import Deployment, wait_until

__all__ = ["main"]


def step(text: str) -> None:
    """Print a heading."""
    print(f"\n== {text}", flush=True)


def command(deployment: Deployment, *arguments: str) -> str:
    """Run an operator's command, print it with its output, and return that."""
    print(f"$ kingcuppost {' '.join(arguments)}")
    done = deployment.run(*arguments)
    print(done.stdout or done.stderr, flush=True)
    return done.stdout


def start(deployment: Deployment) -> None:
    """Start the log, two entries and all minions, and wait for them."""
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
    """Submit the gang job and wait for its result."""
    payload = json.dumps({"run_ms": 500, "result": "wreath plan 1"})
    arguments = ["job", "submit", "--name", "planning", "--team", "design"]
    arguments += ["--members", "2", "--accelerators", "4", "--payload", payload]
    command(deployment, *arguments)
    wait_until(
        lambda: deployment.show("/v1/jobs/planning")["job"]["state"] == "done",
        "the gang has finished",
    )
    command(deployment, "job", "show", "planning")
    command(deployment, "explain", "job", "planning")


def main() -> int:
    """Run the demo and return the exit code."""
    with Deployment() as deployment:
        step("Starting a log, 2 entries and 10 minions with workers and sidecars")
        start(deployment)
        step("An operator sets up zones, a team and a setting")
        for zone in deployment.site.zones:
            region = deployment.site.region
            command(deployment, "availability-zone", "add", zone, "--region", region)
        command(deployment, "team", "put", "design", "--guarantee", "2x4")
        command(deployment, "settings", "set", "request.timeout_ms", "8000")
        step("A request is answered; one that runs at most once, by two entries")
        options = ["--team", "design", "--service", deployment.site.service]
        print(deployment.request(*options, "--body", "quote").stdout)
        order = [*options, "--body", '{"id": "order-7"}', "--key", "order-7"]
        order += ["--issued-ms", str(SystemClock().wall_ms())]
        print(deployment.request(*order).stdout)
        print(deployment.request(*order, entry="entry-1").stdout)
        command(deployment, "explain", "request", "design/order-7")
        step("A gang of 2 members with 4 accelerators each")
        run_gang(deployment)
        step("A zone is taken out, and back in")
        command(deployment, "availability-zone", "out", "vid-b")
        command(deployment, "availability-zone", "show")
        command(deployment, "availability-zone", "in", "vid-b")
        step("A wrong change is refused with the reason")
        command(deployment, "settings", "set", "job.lease_ms", "soon")
        step("The time line of the gang")
        command(deployment, "timeline", "--job", "planning")
    print("The demo is over.")
    return 0


if __name__ == "__main__":
    sys.exit(main())
