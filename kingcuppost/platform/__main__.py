"""Run a role on the platform: ``python -m kingcuppost.platform entry``."""

import argparse
import gc
import sys

from kingcuppost.platform.early_listener import listen_early
from kingcuppost.tables.identity import Role

__all__ = ["main"]


def main(argv: list[str] | None = None) -> int:
    """Run a role until it is requested to stop, and return the exit code."""
    parser = argparse.ArgumentParser(prog="kingcuppost.platform")
    parser.add_argument("role", choices=[role.value for role in Role])
    role = Role(parser.parse_args(argv).role)
    listener = listen_early() if role is Role.ENTRY else None
    # imported modules are never freed, so scanning them for garbage wastes time
    gc.disable()
    from kingcuppost.platform.role import run_role

    gc.freeze()
    gc.enable()
    return run_role(role, listener)


if __name__ == "__main__":
    sys.exit(main())
