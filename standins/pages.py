"""Generates the reference tables in docs/ from the code.

Two comment lines on a page mark the place of a table; `main` rewrites the text between
them.
"""

import re
import sys
from pathlib import Path

from kingcuppost.cli.reference import references

__all__ = ["DOCS", "main", "renew_tables", "replace_block"]

DOCS = Path(__file__).parent.parent / "docs"
REFERENCE_BLOCK = re.compile(
    r"(<!-- reference (\w+) -->\n).*?(<!-- end -->)", re.DOTALL
)


def renew_tables(text: str) -> str:
    r"""Return a page's text with its reference tables generated again.

    Examples
    --------
    >>> page = "<!-- reference metrics -->\nstale rows\n<!-- end -->"
    >>> "kingcuppost_jobs" in renew_tables(page), "stale" in renew_tables(page)
    (True, False)
    """
    return REFERENCE_BLOCK.sub(
        lambda found: found[1] + references[found[2]]() + "\n" + found[3], text
    )


def replace_block(text: str, name: str, body: str) -> str:
    r"""Return a page's text with the content of a named block replaced.

    Examples
    --------
    >>> replace_block("a\n<!-- block x -->\nb\n<!-- end -->\nc", "x", "new")
    'a\n<!-- block x -->\nnew\n<!-- end -->\nc'
    """
    start = f"<!-- block {name} -->\n"
    head, _, rest = text.partition(start)
    _, _, tail = rest.partition("<!-- end -->")
    return f"{head}{start}{body}\n<!-- end -->{tail}"


def main() -> int:
    """Rewrite the reference tables of all pages."""
    for path in sorted(DOCS.glob("*.md")):
        text = path.read_text(encoding="utf-8")
        if renew_tables(text) != text:
            path.write_text(renew_tables(text), encoding="utf-8")
            print(f"renewed {path.name}")
    return 0


if __name__ == "__main__":
    sys.exit(main())
