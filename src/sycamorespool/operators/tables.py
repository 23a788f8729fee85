"""Formats plain text tables for terminals of 80 columns."""

from collections import abc
import textwrap

WIDTH = 80
GAP = "  "
MIN_LAST_WIDTH = 20


def format_table(
    column_titles: abc.Sequence[str], rows: abc.Iterable[abc.Sequence[object]]
) -> str:
    """Return a table; only its last column is wrapped, and none is cut.

    ::

        >>> print(format_table(["VM", "STATE"], [["v1", "free"]]))
        VM  STATE
        v1  free
    """
    texts = [
        list(column_titles),
        *([str(cell) for cell in row] for row in rows),
    ]
    widths = [
        max(len(row[column]) for row in texts)
        for column in range(len(column_titles) - 1)
    ]
    used_width = sum(widths) + len(GAP) * len(widths)
    last_width = max(WIDTH - used_width, MIN_LAST_WIDTH)
    lines = []
    for row in texts:
        first = GAP.join(
            cell.ljust(width) for cell, width in zip(row, widths, strict=False)
        )
        wrapped = textwrap.wrap(
            row[-1], last_width, break_long_words=False, break_on_hyphens=False
        ) or [""]
        indent = first + GAP if widths else ""
        for part in wrapped:
            lines.append(f"{indent}{part}".rstrip())
            indent = " " * len(indent)
    return "\n".join(lines)
