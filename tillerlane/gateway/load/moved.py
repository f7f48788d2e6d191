"""Memory of the runs that leaving runners hand over to the other runners of their pool."""

import dataclasses
import math
from collections.abc import Callable

from tillerlane.gateway import directory as directories
from tillerlane.gateway import routes
from tillerlane.gateway import usage as usages

__all__ = ["MovedLoads"]

SMOOTHING_SECONDS = 4.0
"""Time over which the runs of runners that leave are counted.  Where some leave every 3.3 s, the
sum is between 0.8 and 1.8 times what moves at once: memory is kept free before the next ones leave.
If only runs that are moving count, new ones have taken the memory before."""


@dataclasses.dataclass(slots=True)
class _Sum:
    tokens: float = 0.0
    at: float = 0.0

    def decay(self, now: float) -> float:
        return self.tokens * math.exp((self.at - now) / SMOOTHING_SECONDS)


class MovedLoads:
    """Memory of runs that were recently moved or are moving, by pool.

    Parameters
    ----------
    directory : directories.Directory
        Notifies of runners that leave.
    usage : usages.Usage
        Memory of their runs.
    now : callable
        Time of the event loop.
    """

    def __init__(
        self, directory: directories.Directory, usage: usages.Usage, now: Callable[[], float]
    ) -> None:
        self._directory = directory
        self._usage = usage
        self._now = now
        self._sums: dict[str, _Sum] = {}
        directory.add_listener(self._handle_phase)

    def _handle_phase(self, target: directories.Target, former: directories.Phase | None) -> None:
        was_leaving = former in (directories.Phase.DRAINING, directories.Phase.GONE)
        if former is None or was_leaving or not target.is_winding_down:
            return
        now = self._now()
        known = self._sums.setdefault(target.pool, _Sum())
        known.tokens = known.decay(now) + self._usage.get(target.address).unsaved
        known.at = now

    def estimate(self, pool: routes.Pool) -> float:
        """Memory in tokens that moved runs take at each runner of a pool that accepts requests."""
        known = self._sums.get(pool.name)
        if known is None:
            return 0.0
        return known.decay(self._now()) / max(1, len(self._directory.list_pool(pool.name)))
