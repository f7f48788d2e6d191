"""The retry budget: how many sends beyond a request's first a pool may get, over a window.

The bound holds for the whole fleet.  Each entry keeps to the ratio of its own requests and to an
equal part of the fixed allowance, so that a retry needs no coordination.
"""

import collections
import dataclasses
import math

from tillerlane.decisions import retrying

__all__ = ["RetryBounds", "RetryBudget"]


@dataclasses.dataclass(frozen=True, slots=True)
class RetryBounds:
    """Sends beyond the first in `window_seconds`: `ratio` of the requests, plus `allowance`."""

    ratio: float
    window_seconds: float
    allowance: float


class _Window:
    """Times of one kind of event in a sliding window."""

    def __init__(self) -> None:
        self._times: collections.deque[float] = collections.deque()

    def add(self, now: float) -> None:
        self._times.append(now)

    def count(self, since: float) -> int:
        while self._times and self._times[0] < since:
            self._times.popleft()
        return len(self._times)


class RetryBudget:
    """One entry's part of the budget.

    Parameters
    ----------
    bounds : RetryBounds
        The fleet's bound.
    entries : int
        Entries that share the allowance; 0 if unknown, which leaves none of it.
    started_at : float
        Time at which the entry's process started.

    Attributes
    ----------
    entries : int
        Number of entries as last reported.
    """

    def __init__(
        self, bounds: RetryBounds, entries: int = 1, started_at: float = -math.inf
    ) -> None:
        self._bounds = bounds
        self._started_at = started_at
        self.entries = entries
        self._requests: dict[str, _Window] = collections.defaultdict(_Window)
        self._retries: dict[str, _Window] = collections.defaultdict(_Window)

    def record_request(self, pool: str, now: float) -> None:
        """Count a request for a pool."""
        self._requests[pool].add(now)

    def record_retry(self, pool: str, now: float) -> None:
        """Count a send beyond a request's first that is made regardless of the budget."""
        self._retries[pool].add(now)

    def can_acquire(self, pool: str, now: float) -> bool:
        """Whether the budget allows a retry now."""
        bounds = self._bounds
        since = now - bounds.window_seconds
        max_retries = retrying.compute_share(
            bounds.ratio,
            bounds.allowance,
            self._requests[pool].count(since),
            self.entries,
            has_full_window=self._started_at <= since,
        )
        return self._retries[pool].count(since) + 1 <= max_retries

    def try_acquire(self, pool: str, now: float) -> bool:
        """Count a retry if the budget allows it; False if it does not."""
        if not self.can_acquire(pool, now):
            return False
        self._retries[pool].add(now)
        return True
