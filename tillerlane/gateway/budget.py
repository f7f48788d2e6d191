"""The retry budget: how many sends beyond a request's first a pool may get, over a window.

The bound holds for the whole fleet.  Each entry keeps to the ratio of its own requests and to an
equal part of the fixed allowance, so that a retry needs no coordination.
"""

import collections
import dataclasses
import math

from tillerlane.decisions import retrying

__all__ = ["RetryBounds", "RetryBudget"]

COUNT_RETENTION_WINDOWS = 6
"""Windows for which the largest number of entries counts.  A keeper that is cut off or has just
started knows only some of the entries, while the others go on using their shares."""


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
        Time at which the entry's process started; minus infinity if no entry can have run before.

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
        self._counts: collections.deque[tuple[float, int]] = collections.deque()
        """Reported numbers of entries, and since when; each is larger than those after it."""
        self._requests: dict[str, _Window] = collections.defaultdict(_Window)
        self._retries: dict[str, _Window] = collections.defaultdict(_Window)

    def record_entries(self, number: int, now: float) -> None:
        """Record a reported number of entries."""
        self.entries = number
        while self._counts and self._counts[-1][1] <= number:
            self._counts.pop()
        self._counts.append((now, number))

    def _compute_entries(self, now: float) -> int:
        """Largest number of entries of late, or the last reported one."""
        since = now - COUNT_RETENTION_WINDOWS * self._bounds.window_seconds
        while len(self._counts) > 1 and self._counts[1][0] < since:
            self._counts.popleft()
        return max(self.entries, self._counts[0][1] if self._counts else 0)

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
            self._compute_entries(now),
            (now - self._started_at) / bounds.window_seconds,
        )
        return self._retries[pool].count(since) + 1 <= max_retries

    def try_acquire(self, pool: str, now: float) -> bool:
        """Count a retry if the budget allows it; False if it does not."""
        if not self.can_acquire(pool, now):
            return False
        self._retries[pool].add(now)
        return True
