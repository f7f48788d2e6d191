"""Measures how late one entry's event loop is, and sheds new connections if it is overloaded."""

import asyncio
import random

from tillerlane.decisions import accepting
from tillerlane.timeline import core as timelines

__all__ = ["OverloadGuard"]

LOG_INTERVAL_SECONDS = 1.0


class OverloadGuard:
    """Decides which new connections an entry closes unread.

    Parameters
    ----------
    timeline : timelines.Timeline
        Log of decisions.
    rng : random.Random
        Draws the connections that are closed.

    Attributes
    ----------
    lag : float
        Average lateness of the event loop's timers in seconds.
    refused : int
        Number of connections closed unread.
    """

    def __init__(self, timeline: timelines.Timeline, rng: random.Random) -> None:
        self.lag = 0.0
        self.refused = 0
        self._timeline = timeline
        self._rng = rng
        self._logged = 0

    def accepts_connection(self) -> bool:
        """Whether a new connection is served; otherwise it is closed before anything is read."""
        share = accepting.compute_refused_share(self.lag)
        if not share or self._rng.random() >= share:
            return True
        self.refused += 1
        return False

    async def run(self) -> None:
        """Measure the event loop's lateness, until cancelled."""
        loop = asyncio.get_running_loop()
        logged_at = loop.time()
        while True:
            due_at = loop.time() + accepting.LAG_INTERVAL_SECONDS
            await asyncio.sleep(accepting.LAG_INTERVAL_SECONDS)
            self.lag = accepting.update_lag(self.lag, loop.time() - due_at)
            if self.refused > self._logged and loop.time() - logged_at > LOG_INTERVAL_SECONDS:
                logged_at = loop.time()
                self._timeline.record(
                    "connections.shed",
                    refused=self.refused - self._logged,
                    lag_ms=int(self.lag * 1000),
                )
                self._logged = self.refused
