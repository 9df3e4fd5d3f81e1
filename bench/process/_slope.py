"""A cost measured at several sizes, and the straight line fitted to it."""

from dataclasses import asdict, dataclass
from typing import Any

import numpy as np


@dataclass(frozen=True)
class Slope:
    """A cost at several sizes and its least-squares line.

    ``values`` are the costs at ``sizes``, in ``unit``; ``per`` names what a size counts.
    """

    name: str
    unit: str
    per: str
    sizes: list[float]
    values: list[float]

    @property
    def line(self) -> tuple[float, float]:
        """The slope of the line and its value at size 0."""
        slope, start = np.polyfit(self.sizes, self.values, 1)
        return float(slope), float(start)

    @property
    def fit(self) -> float:
        """The coefficient of determination, which is 1 if all values are on the line."""
        slope, start = self.line
        values = np.array(self.values)
        residual = values - (np.array(self.sizes) * slope + start)
        spread = float(((values - values.mean()) ** 2).sum())
        return 1.0 if spread == 0.0 else 1.0 - float((residual**2).sum()) / spread

    def fields(self) -> dict[str, Any]:
        """Return the measured values, the line and the fit as JSON values."""
        slope, start = self.line
        return asdict(self) | {"slope": slope, "start": start, "r2": self.fit}

    def describe(self) -> str:
        """Return the name, the fitted line and the measured points as one line of text."""
        slope, start = self.line
        points = ", ".join(f"{s:g}: {v:.4g}" for s, v in zip(self.sizes, self.values, strict=True))
        line = f"{slope:.4g} {self.unit} a {self.per} + {start:.4g}, r2 {self.fit:.3f}"
        return f"{self.name:<24} {line}  ({points})"
