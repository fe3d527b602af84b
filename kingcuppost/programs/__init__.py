"""Programs of the roles; each assembles the tables, systems and edges of a process."""

from kingcuppost.programs.entry import run_entry
from kingcuppost.programs.process import make_world
from kingcuppost.programs.sidecar import run_sidecar

__all__ = ["make_world", "run_entry", "run_sidecar"]
