"""Target selectors for tests, without an entry."""

import random

from tillerlane.gateway import availability, selection, usage
from tillerlane.gateway import directory as directories
from tillerlane.gateway.backpressure import backoff, cold, limits, permits

__all__ = ["build_selector"]


def build_selector(
    directory: directories.Directory, used: usage.Usage, data_hall: str, now: float
) -> selection.Selector:
    """Build a selector at a fixed time, from a directory of targets and usage counts."""

    def get_time() -> float:
        return now

    entry = "entry-1"
    available = availability.Availability(
        directory,
        used,
        cold.ColdLimiter(entry, cold.ColdBounds(1.5, 5.0)),
        permits.Permits(entry, limits.Limits(), get_time),
        backoff.Backoffs(get_time),
        get_time,
    )
    return selection.Selector(directory, used, available, data_hall, random.Random(1), get_time)
