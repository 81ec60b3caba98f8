"""Points of a measurement and the straight line through them.

The fit is the least-squares line of ``statistics.linear_regression`` in the standard library.
"""

from __future__ import annotations

import json
import statistics
from pathlib import Path
from typing import Any

import attrs

PERFECT_FIT = 1.0


@attrs.frozen
class Line:
    """Hold a fitted line; ``r_squared`` is 1 when it explains all variation."""

    slope: float
    intercept: float
    r_squared: float


@attrs.define
class Slope:
    """Collect the points of one quantity against one other."""

    name: str
    x: str
    y: str
    points: list[tuple[float, float]] = attrs.field(factory=list)

    def add(self, x: float, y: float) -> None:
        """Add one measured point."""
        self.points.append((x, round(y, 6)))

    def line(self) -> Line:
        """Return the least-squares line through the points."""
        xs = [x for x, _y in self.points]
        ys = [y for _x, y in self.points]
        fitted = statistics.linear_regression(xs, ys)
        spread = statistics.pvariance(ys)
        if spread == 0:
            return Line(fitted.slope, fitted.intercept, PERFECT_FIT)
        return Line(fitted.slope, fitted.intercept, statistics.correlation(xs, ys) ** 2)

    def to_json(self) -> dict[str, Any]:
        """Return the raw points with their fit."""
        return {**attrs.asdict(self), "fit": attrs.asdict(self.line())}

    def text(self) -> str:
        """Return one line for people."""
        line = self.line()
        return (
            f"{self.name}: {line.slope:.6g} {self.y} per {self.x}, "
            f"{line.intercept:.6g} at 0, r2 {line.r_squared:.4f}"
        )


def save(path: Path, slopes: list[Slope]) -> None:
    """Write the raw points and fits of one measurement."""
    path.write_text(json.dumps([slope.to_json() for slope in slopes]) + "\n")
