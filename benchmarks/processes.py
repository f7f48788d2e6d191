"""Processor time and memory of processes, and linear fits of measured points."""

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
    """Usage of a process: processor seconds since its start, resident bytes, monotonic time."""

    cpu: float
    memory: int
    at: float


def read_usage(pid: int) -> Usage:
    """Read the usage of a process from ``/proc``."""
    fields = pathlib.Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()
    pages = int(pathlib.Path(f"/proc/{pid}/statm").read_text().split()[1])
    return Usage(
        (int(fields[11]) + int(fields[12])) / _TICKS_PER_SECOND,
        pages * _PAGE_BYTES,
        time.monotonic(),
    )


@dataclasses.dataclass(frozen=True, slots=True)
class Fit:
    """Least-squares line ``y = base + slope * x``, with its error."""

    slope: float
    base: float
    max_error: float
    """Largest residual, relative to the largest y."""

    def predict(self, x: float) -> float:
        """Compute the value on the line at ``x``."""
        return self.base + self.slope * x


def fit_line(points: list[tuple[float, float]]) -> Fit:
    """Fit a line to points."""
    xs, ys = zip(*points, strict=True)
    slope, base = statistics.linear_regression(xs, ys)
    largest = max(abs(y) for y in ys) or 1.0
    max_error = max(abs(y - base - slope * x) for x, y in points) / largest
    return Fit(slope, base, max_error)
