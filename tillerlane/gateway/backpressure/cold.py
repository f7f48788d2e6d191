"""Limits this entry's recent sends to cold targets to its share of what they sustain."""

import collections
import dataclasses

from tillerlane.decisions import limits
from tillerlane.gateway import directory as directories
from tillerlane.gateway import routes

__all__ = ["ColdBounds", "ColdLimiter"]

WINDOW_SECONDS = 1.0
"""Time over which a cold target's requests are counted."""


@dataclasses.dataclass(frozen=True, slots=True)
class ColdBounds:
    """A cold target may fail above its rate times `rate_factor` plus `slack` within a second."""

    rate_factor: float
    slack: float


class ColdLimiter:
    """Limits sends to cold targets, by target id.

    Parameters
    ----------
    entry : str
        This entry's id, from which its share of each target is derived.
    bounds : ColdBounds
        How far above their rate targets sustain requests.
    """

    def __init__(self, entry: str, bounds: ColdBounds) -> None:
        self._entry = entry
        self._bounds = bounds
        self._sent: dict[str, collections.deque[float]] = {}

    def can_send(
        self, pool: routes.Pool, target: directories.Target, entries: int, now: float
    ) -> bool:
        """Whether one more request may go to a target now."""
        if target.warm_at <= now or pool.cold_rate <= 0:
            return True
        maximum = pool.cold_rate * self._bounds.rate_factor + self._bounds.slack
        quota = limits.WindowQuota(pool.cold_rate, maximum)
        fraction = limits.compute_hash_fraction(self._entry, target.target_id)
        share = limits.compute_share(quota, entries, fraction)
        sent = self._sent.get(target.target_id, ())
        return sum(at > now - WINDOW_SECONDS for at in sent) < share

    def record_send(self, target: directories.Target, now: float) -> None:
        """Count a request that is sent now, even to a warm target: it may turn cold soon after."""
        for other, sent in list(self._sent.items()):
            if sent[-1] <= now - WINDOW_SECONDS:
                del self._sent[other]
        times = self._sent.setdefault(target.target_id, collections.deque())
        times.append(now)
        while times[0] <= now - WINDOW_SECONDS:
            times.popleft()
