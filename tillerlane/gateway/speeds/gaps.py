"""Distribution of the gaps between events that one entry relays from a pool's runners."""

import math

from tillerlane.decisions import speeds

__all__ = ["GapRecorder"]

GAP_SECONDS = 60.0
"""Time over which the distribution is smoothed: an entry that relays one run at a time counts a
thousand gaps in it."""


class GapRecorder:
    """Gaps of one pool, relative to the mean of their runner.

    Parameters
    ----------
    now : float
        Time of the event loop.
    """

    def __init__(self, now: float) -> None:
        self._counts = [0.0] * (speeds.MAX_RATIO_STEP + 1)
        self._total = 0.0
        self._decayed_at = now

    def record(self, ratio: float, events: int) -> None:
        """Count events that arrived together after a gap of `ratio` times the mean."""
        self._total += events
        step = speeds.find_ratio_step(ratio)
        if step >= 0:
            self._counts[step] += 1

    def build_tail(self, now: float) -> speeds.Tail | None:
        """Distribution so far; None with too few gaps."""
        kept = math.exp((self._decayed_at - now) / GAP_SECONDS)
        self._decayed_at = now
        self._total *= kept
        self._counts = [count * kept for count in self._counts]
        return speeds.build_tail(self._counts, self._total)
