"""Run the command line with ``python -m kingcuppost``."""

import sys

from kingcuppost.cli import main

if __name__ == "__main__":
    sys.exit(main())
