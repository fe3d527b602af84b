"""Programs: tables, systems and edges of each role."""

from kingcuppost.programs.entry import run_entry
from kingcuppost.programs.process import make_world
from kingcuppost.programs.sidecar import run_sidecar

__all__ = ["make_world", "run_entry", "run_sidecar"]
