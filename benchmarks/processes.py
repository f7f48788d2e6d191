"""Processor time, memory and a straight line through measured points."""

import dataclasses
import os
import pathlib
import statistics
import time

__all__ = ["Fit", "Usage", "fit_line", "read_usage"]

_TICKS_PER_SECOND = os.sysconf("SC_CLK_TCK")
_PAGE_BYTES = os.sysconf("SC_PAGE_SIZE")


@dataclasses.dataclass(frozen=True, slots=True)
class Usage:
    """A process at one moment: processor seconds since its start, resident bytes, wall seconds."""

    cpu: float
    memory: int
    at: float


def read_usage(pid: int) -> Usage:
    """Usage of a process."""
    fields = pathlib.Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()
    pages = int(pathlib.Path(f"/proc/{pid}/statm").read_text().split()[1])
    return Usage(
        (int(fields[11]) + int(fields[12])) / _TICKS_PER_SECOND,
        pages * _PAGE_BYTES,
        time.monotonic(),
    )


@dataclasses.dataclass(frozen=True, slots=True)
class Fit:
    """``y = base + slope * x`` by least squares, and how well it fits."""

    slope: float
    base: float
    max_error: float
    """Largest distance of a point from the line, as a share of the largest y."""

    def predict(self, x: float) -> float:
        """Value on the line."""
        return self.base + self.slope * x


def fit_line(points: list[tuple[float, float]]) -> Fit:
    """Fit a line through points."""
    xs, ys = zip(*points, strict=True)
    slope, base = statistics.linear_regression(xs, ys)
    largest = max(abs(y) for y in ys) or 1.0
    max_error = max(abs(y - base - slope * x) for x, y in points) / largest
    return Fit(slope, base, max_error)
