"""Keeping the reference tables in docs/ in step with the code.

A page marks the place of a table by two comment lines; `main` rewrites what stands
between them.
"""

import re
import sys
from pathlib import Path

from kingcuppost.cli.reference import references

__all__ = ["main", "renewed"]

DOCS = Path(__file__).parent.parent / "docs"
BLOCK = re.compile(r"(<!-- reference (\w+) -->\n).*?(<!-- end -->)", re.DOTALL)


def renewed(text: str) -> str:
    r"""Return a page's text with its reference tables made anew.

    Examples
    --------
    >>> page = "<!-- reference metrics -->\nstale rows\n<!-- end -->"
    >>> "kingcuppost_jobs" in renewed(page), "stale" in renewed(page)
    (True, False)
    """
    return BLOCK.sub(
        lambda found: found[1] + references[found[2]]() + "\n" + found[3], text
    )


def main() -> int:
    """Rewrite the tables of all pages."""
    for path in sorted(DOCS.glob("*.md")):
        text = path.read_text(encoding="utf-8")
        if renewed(text) != text:
            path.write_text(renewed(text), encoding="utf-8")
            print(f"renewed {path.name}")
    return 0


if __name__ == "__main__":
    sys.exit(main())
