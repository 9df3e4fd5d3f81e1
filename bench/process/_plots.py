"""Draws the comparison of the routings new and naive as bar charts.

There is one picture for each deployment and measure.
"""

from pathlib import Path

import matplotlib

matplotlib.use("Agg")

from matplotlib import pyplot  # noqa: E402

from bench.request import RANKS  # noqa: E402

from ._comparison import Row  # noqa: E402

WIDTH_INCHES, HEIGHT_INCHES = 12, 8
BAR_WIDTH = 0.4
MEASURES = {
    "p99": "p99 in ms, all but a whole answer counted as the deadline",
    "whole": "share of whole answers",
}


def draw(rows: list[Row], folder: Path) -> list[Path]:
    """Write a PNG file for each deployment and measure, and return the paths."""
    deployments = dict.fromkeys(row.deployment for row in rows)
    return [
        _draw_one([row for row in rows if row.deployment == name], name, measure, folder)
        for name in deployments
        for measure in MEASURES
    ]


def _draw_one(rows: list[Row], deployment: str, measure: str, folder: Path) -> Path:
    figure, axes = pyplot.subplots(
        len(RANKS), sharex=True, figsize=(WIDTH_INCHES, HEIGHT_INCHES), layout="constrained"
    )
    figure.suptitle(f"{deployment}: {MEASURES[measure]}")
    for axis, rank in zip(axes, RANKS, strict=True):
        shown = [row for row in rows if row.rank == rank]
        places = range(len(shown))
        for shift, routing in ((-0.5, "new"), (0.5, "naive")):
            heights = [_height(getattr(row, f"{measure}_{routing}")) for row in shown]
            axis.bar([p + shift * BAR_WIDTH for p in places], heights, BAR_WIDTH, label=routing)
        axis.set_ylabel(rank)
        axis.set_xticks(places, [row.scenario for row in shown], rotation=30, ha="right")
    axes[0].legend()
    path = folder / f"{measure}-{deployment}.png"
    figure.savefig(path)
    pyplot.close(figure)
    return path


def _height(value: float | None) -> float:
    """Return the height of a bar: NaN for no figure, so that it differs from a measured 0."""
    return float("nan") if value is None else value
