"""Plain text tables for the terminal."""

from collections.abc import Iterable, Sequence

__all__ = ["format_table"]

COLUMN_GAP = "  "


def format_table(titles: Sequence[str], rows: Iterable[Sequence[object]]) -> str:
    """Return rows as aligned columns under their titles.

    Examples
    --------
    >>> print(format_table(["NAME", "N"], [["a", 1], ["bcdef", 22]]))
    NAME   N
    a      1
    bcdef  22
    """
    lines = [list(titles), *[[str(cell) for cell in row] for row in rows]]
    widths = [max(len(line[i]) for line in lines) for i in range(len(titles))]
    padded = [
        COLUMN_GAP.join(
            cell.ljust(width) for cell, width in zip(line, widths, strict=True)
        )
        for line in lines
    ]
    return "\n".join(line.rstrip() for line in padded)
