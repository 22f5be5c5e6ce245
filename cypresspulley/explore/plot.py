"""Plots coverage as a heat map of transitions against fault kinds; white cells are pairs that never occurred."""

from __future__ import annotations

from collections import Counter
from pathlib import Path

import numpy as np
from matplotlib.colors import LogNorm
from matplotlib.figure import Figure

from cypresspulley.explore.coverage import NO_FAULT, Coverage, Pair
from cypresspulley.explore.lifecycle import TRANSITIONS


def draw(coverages: list[Coverage], path: Path) -> None:
    """Write the plot of all coverages together as a PNG file. Raise ``OSError`` if it cannot be written."""
    met = Counter[Pair]()
    for coverage in coverages:
        met.update(coverage.met)
    kinds = (NO_FAULT, *coverages[0].kinds)
    counts = np.array([[met[name, kind] for kind in kinds] for name in TRANSITIONS], dtype=float)
    figure = Figure(figsize=(11, 10), layout="constrained")
    axes = figure.add_subplot()
    masked_counts = np.ma.masked_equal(counts, 0)
    image = axes.imshow(masked_counts, norm=LogNorm(1, max(2.0, counts.max())), cmap="Blues", aspect="auto")
    axes.set_xticks(range(len(kinds)), kinds, rotation=60, ha="right")
    axes.set_yticks(range(len(TRANSITIONS)), [name.strip() for name in TRANSITIONS])
    plays = sum(coverage.plays for coverage in coverages)
    axes.set_title(f"Transitions met under each fault, {plays} plays (white: never)")
    figure.colorbar(image, label="times")
    figure.savefig(path, dpi=90)
