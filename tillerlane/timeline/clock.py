"""Hybrid logical clock: monotonic wall time that is ahead of all received stamps.

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
"""A peer's stamp further ahead than this (ms) is ignored, since its clock must be wrong."""


def get_milliseconds(stamp: int) -> int:
    """Return the wall-clock part of a stamp, in milliseconds since 1970."""
    return stamp >> _COUNTER_BITS


class HybridClock:
    """Issues strictly increasing stamps that exceed every stamp received from another daemon.

    A stamp is a 64-bit integer: 48 bits of milliseconds since 1970 and a counter of 16 bits.

    Parameters
    ----------
    now : callable
        Returns the wall time in seconds.
    """

    def __init__(self, now: Callable[[], float] = time.time) -> None:
        self._now = now
        self._last = 0

    def _get_wall_stamp(self) -> int:
        return int(self._now() * 1000) << _COUNTER_BITS

    def tick(self) -> int:
        """Return the stamp for a local event or an outgoing message."""
        self._last = max(self._last + 1, self._get_wall_stamp())
        return self._last

    def update(self, stamp: int) -> None:
        """Update the clock with the stamp of a received message."""
        lead_ms = get_milliseconds(stamp) - int(self._now() * 1000)
        if lead_ms <= _MAX_LEAD_MS:
            self._last = max(self._last, stamp)
