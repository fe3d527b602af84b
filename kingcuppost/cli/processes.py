"""Commands that run a process of the system, or check its settings."""

import argparse
import sys

from kingcuppost.cli.registry import EXIT_INVALID, EXIT_OK, command
from kingcuppost.exception import Failure
from kingcuppost.models import read_config
from kingcuppost.tables.config import ProcessConfig
from kingcuppost.tables.identity import Role

__all__: list[str] = []


def _add_file_argument(parser: argparse.ArgumentParser) -> None:
    parser.add_argument("file", help="settings file in TOML")


def _print_refusal(failure: Failure) -> int:
    print(f"kingcuppost: {failure.step}: {failure.reason}", file=sys.stderr)
    return EXIT_INVALID


def _read_config_for(path: str, role: Role) -> ProcessConfig | Failure:
    """Return the configuration in a file; a failure if it is for another role."""
    result = read_config(path)
    if result.is_error():
        return result.error
    if result.ok.role is not role:
        return Failure(f"role: {result.ok.role} is not {role}", f"read {path}")
    return result.ok


@command("entry", "Run an entry.", _add_file_argument)
def run_entry_command(args: argparse.Namespace) -> int:
    """Run an entry until it is stopped; return the exit code."""
    cfg = _read_config_for(args.file, Role.ENTRY)
    if isinstance(cfg, Failure):
        return _print_refusal(cfg)
    from kingcuppost.programs.entry import run_entry

    return run_entry(cfg)


@command("sidecar", "Run the sidecar of a minion.", _add_file_argument)
def run_sidecar_command(args: argparse.Namespace) -> int:
    """Run a sidecar until it is stopped; return the exit code."""
    cfg = _read_config_for(args.file, Role.SIDECAR)
    if isinstance(cfg, Failure):
        return _print_refusal(cfg)
    from kingcuppost.programs.sidecar import run_sidecar

    return run_sidecar(cfg)


@command("check", "Check a settings file without running anything.", _add_file_argument)
def run_check_command(args: argparse.Namespace) -> int:
    """Print whether a settings file is valid; return the exit code."""
    result = read_config(args.file)
    if result.is_error():
        return _print_refusal(result.error)
    print(f"{args.file}: valid, {result.ok.role} {result.ok.name}")
    return EXIT_OK
