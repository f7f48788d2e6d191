"""Selectors of targets without an entry around them."""

import random

from tillerlane.gateway import availability, backoff, cold, limits, permits, selection, usage
from tillerlane.gateway import directory as directories

__all__ = ["build_selector"]


def build_selector(
    directory: directories.Directory, used: usage.Usage, data_hall: str, now: float
) -> selection.Selector:
    """The selector of an entry at one moment, on its directory and its counts of usage."""

    def read_time() -> float:
        return now

    entry = "entry-1"
    available = availability.Availability(
        directory,
        used,
        cold.ColdLimiter(entry, cold.ColdBounds(1.5, 5.0)),
        permits.Permits(entry, limits.Limits(), read_time),
        backoff.Backoffs(read_time),
        read_time,
    )
    return selection.Selector(directory, used, available, data_hall, random.Random(1), read_time)
