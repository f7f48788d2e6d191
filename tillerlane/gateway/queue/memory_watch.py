"""Free memory of a pool's runners, and the rate at which memory is freed."""

import bisect
import itertools
import math
from collections.abc import Callable

from tillerlane.decisions import room
from tillerlane.gateway import directory as directories
from tillerlane.gateway import routes
from tillerlane.gateway import usage as usages

__all__ = ["MemoryWatch"]

SAMPLE_INTERVAL_SECONDS = 0.05
"""Minimum time between two samples: digests of loads arrive at most that often per target."""
READ_INTERVAL_PER_TARGET_SECONDS = 0.000_1
"""Minimum time between two readings of all loads, for each target: a load takes 0.4 us to read, and
each choice reads those that it compares anew."""
MAX_GAP_SECONDS = 0.5
"""Longest time between two samples that are compared; nothing is sampled while nothing waits."""
SMOOTHING_SECONDS = 2.0
"""Time over which the rate is smoothed: some 60 requests of a pool end in it."""
MIN_COVERED_SECONDS = 0.2
"""Sampled time below which the rate is unknown: some five requests end in it."""


class MemoryWatch:
    """Free memory of one pool as known to this entry.

    What starts and ends at a runner between two samples is not seen, so that the rate is at most
    what is freed.

    Parameters
    ----------
    list_targets : callable
        Targets of a pool, by its name, that accept requests.
    usage : usages.Usage
        Loads of all entries.
    """

    def __init__(
        self, list_targets: Callable[[str], list[directories.Target]], usage: usages.Usage
    ) -> None:
        self._list_targets = list_targets
        self._usage = usage
        self._tokens: dict[str, int] = {}
        """Tokens in use at each address at the last sample."""
        self._sampled_at = self._read_at = -math.inf
        self._freed = 0.0
        self._covered_seconds = 0.0
        self._request_tokens = 0.0
        """Mean memory of a request."""
        self._free_tokens: list[int] = []
        """Free tokens of the runners at the last `update`, the least first."""
        self._free_sums: list[int] = [0]
        """Sums of the first of them."""
        self.memory_tokens = 0
        self.claimed_tokens = 0
        """Memory of all runners, and what requests of all entries claim of it."""

    @property
    def freed_tokens_per_second(self) -> float | None:
        """Rate at which the pool's memory is freed; None until enough has been seen.

        One more request counts as ended.  A rate from few or no ends would be too low half of the
        time, and callers that could be in time would be refused.
        """
        if self._covered_seconds < MIN_COVERED_SECONDS:
            return None
        return (self._freed + self._request_tokens) / self._covered_seconds

    @property
    def targets(self) -> int:
        """Number of runners."""
        return len(self._free_tokens)

    @property
    def most_free_tokens(self) -> float:
        """Free memory of the runner that has most of it; infinite if no runner is known."""
        return self._free_tokens[-1] if self._free_tokens else math.inf

    def sum_usable(self, tokens: int, headroom_tokens: int = 0) -> int:
        """Free memory above a headroom of the runners that have enough of it for a request."""
        position = bisect.bisect_left(self._free_tokens, tokens + headroom_tokens)
        count = len(self._free_tokens) - position
        return self._free_sums[-1] - self._free_sums[position] - count * headroom_tokens

    @property
    def report_age_seconds(self) -> float:
        """Time after which an entry knows what others have sent."""
        return self._usage.get_report_age()

    def forget(self) -> None:
        """Read all loads anew with the next `update`."""
        self._read_at = -math.inf

    def update(self, pool: routes.Pool, now: float) -> None:
        """Read the loads of the pool's runners."""
        if pool.engine is None:
            return
        if now - self._read_at < self.targets * READ_INTERVAL_PER_TARGET_SECONDS:
            return
        self._read_at = now
        addresses = [target.address for target in self._list_targets(pool.name)]
        taken = [self._usage.get_taken(address) for address in addresses]
        memory = pool.engine.memory_tokens
        self.memory_tokens = memory * len(addresses)
        self.claimed_tokens = sum(claimed for _, claimed, _ in taken)
        self._free_tokens = sorted(memory - tokens - claimed for tokens, claimed, _ in taken)
        self._free_sums = [0, *itertools.accumulate(self._free_tokens)]
        if now - self._sampled_at < SAMPLE_INTERVAL_SECONDS:
            return
        tokens = {address: in_use for address, (in_use, _, _) in zip(addresses, taken, strict=True)}
        seconds = now - self._sampled_at
        if seconds <= MAX_GAP_SECONDS:
            freed = sum(
                max(0, before - tokens.get(address, before))
                for address, before in self._tokens.items()
            )
            kept = math.exp(-seconds / SMOOTHING_SECONDS)
            self._freed = self._freed * kept + freed
            self._covered_seconds = self._covered_seconds * kept + seconds
        requests = sum(number for _, _, number in taken)
        self._request_tokens = sum(tokens.values()) / max(1, requests)
        self._tokens, self._sampled_at = tokens, now

    def forecast(self, tokens: int, ahead_tokens: float, headroom_tokens: int = 0) -> float | None:
        """Seconds until memory is free behind what waits ahead; None if unknown."""
        forecast = room.Forecast(
            self.sum_usable(tokens, headroom_tokens), ahead_tokens, self.freed_tokens_per_second
        )
        return forecast.estimate_seconds(tokens)
