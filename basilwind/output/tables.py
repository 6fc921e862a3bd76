"""Plain-text tables."""

from tabulate import tabulate


def render_table(headers, rows):
    """Formats a table.

    Args:
        headers: Column names.
        rows: Rows of values.
    """
    return tabulate(rows, headers=headers, tablefmt="simple", floatfmt=".3f")
