"""Hybrid logical clock: wall time that never runs backwards and follows what it has heard.

References
----------
Kulkarni, Demirbas, Madappa, Avva and Leone, "Logical Physical Clocks" (2014).
"""

import time
from collections.abc import Callable

__all__ = ["HybridClock", "get_milliseconds"]

_COUNTER_BITS = 16
_COUNTER_LIMIT = 1 << _COUNTER_BITS
_MAX_LEAD_MS = 60_000
"""A peer's stamp further ahead than this (ms) is not followed: its clock is wrong."""


def get_milliseconds(stamp: int) -> int:
    """Wall-clock part of a stamp, in milliseconds since 1970."""
    return stamp >> _COUNTER_BITS


class HybridClock:
    """Gives stamps that rise on one daemon and exceed every stamp heard from another.

    A stamp is one integer of 64 bits: 48 of milliseconds since 1970, 16 of a counter.

    Parameters
    ----------
    now : callable
        Returns the wall time in seconds.
    """

    def __init__(self, now: Callable[[], float] = time.time) -> None:
        self._now = now
        self._last = 0

    def _read_wall(self) -> int:
        return int(self._now() * 1000) << _COUNTER_BITS

    def tick(self) -> int:
        """Stamp for a local event or a message to be sent."""
        self._last = max(self._last + 1, self._read_wall())
        return self._last

    def update(self, stamp: int) -> None:
        """Take note of a stamp that came with a message."""
        lead_ms = get_milliseconds(stamp) - int(self._now() * 1000)
        if lead_ms <= _MAX_LEAD_MS:
            self._last = max(self._last, stamp)
