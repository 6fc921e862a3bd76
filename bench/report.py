"""Prints measurements as tables and writes them as JSON."""

import json
import platform
import time
from pathlib import Path

from basilwind.output.tables import render_table

RESULTS = Path(__file__).resolve().parent / "results"


def report(name, headers, rows, notes=()):
    """Prints a table and writes ``bench/results/NAME.json``."""
    print(f"== {name}")
    print(render_table(headers, rows))
    for note in notes:
        print(note)
    RESULTS.mkdir(exist_ok=True)
    document = {
        "name": name,
        "python": platform.python_version(),
        "at": time.strftime("%Y-%m-%dT%H:%M:%SZ", time.gmtime()),
        "headers": list(headers),
        "rows": [list(row) for row in rows],
        "notes": list(notes),
    }
    text = json.dumps(document, indent=2, default=str)
    (RESULTS / f"{name}.json").write_text(text + "\n", encoding="utf-8")


def quantile(values, share):
    """Returns a quantile of values by the nearest-rank method."""
    ordered = sorted(values)
    return ordered[min(int(share * len(ordered)), len(ordered) - 1)]


def linear_fit(xs, ys):
    """Returns the slope, intercept and R² of a least-squares fit."""
    n = len(xs)
    mean_x, mean_y = sum(xs) / n, sum(ys) / n
    sxx = sum((x - mean_x) ** 2 for x in xs)
    sxy = sum((x - mean_x) * (y - mean_y) for x, y in zip(xs, ys, strict=True))
    syy = sum((y - mean_y) ** 2 for y in ys)
    slope = sxy / sxx
    r2 = sxy * sxy / (sxx * syy) if syy else 1.0
    return slope, mean_y - slope * mean_x, r2
