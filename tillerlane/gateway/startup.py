"""Holds requests that arrive before an entry knows its configuration or its targets.

When a whole fleet restarts at once, each entry is without a configuration for some tenths of a
second, and no other entry does better.  A caller that is refused then wastes its retry on that
moment; one that waits is served in time.  An entry that had a configuration before and lost contact
with the keepers refuses at once instead, since other entries can serve.
"""

import asyncio

__all__ = ["Startup"]

MAX_WAIT_SECONDS = 1.5
"""Longest wait for the configuration: after a start of all keepers, an election takes up to 1.1 s
without the former leader, and 0.2 s with it."""
MAX_WAIT_SHARE = 0.5
"""Longest wait as a share of a caller's time-out; the rest is for the response or a retry."""
DEFAULT_TIMEOUT_SECONDS = 1.0
"""Time-out of a caller that sends none."""
TARGET_DISCOVERY_SECONDS = 2.0
"""How long after the configuration targets may still be unknown: they send a heartbeat every 1.2 s,
and at once after one that failed."""


class Startup:
    """Whether an entry is still starting.

    Attributes
    ----------
    ready_at : float or None
        Event-loop time at which it first had a configuration that it could trust.
    """

    def __init__(self) -> None:
        self.ready_at: float | None = None
        self._ready = asyncio.Event()
        self._loop = asyncio.get_running_loop()

    def mark_ready(self) -> None:
        """Mark the configuration as present; losing it later changes nothing."""
        if self.ready_at is None:
            self.ready_at = self._loop.time()
            self._ready.set()

    async def wait_ready(self, arrived: float, wait_seconds: float | None) -> None:
        """Wait for the configuration, as long as that leaves the caller time for a response."""
        if self._ready.is_set():
            return
        try:
            async with asyncio.timeout_at(_compute_wait_end(arrived, wait_seconds)):
                await self._ready.wait()
        except TimeoutError:
            return  # the request is then refused without a configuration, which is logged

    def should_wait_for_targets(self, arrived: float, wait_seconds: float) -> bool:
        """Whether a request for which no target is known should wait for one."""
        if self.ready_at is None:
            return False
        until = min(
            self.ready_at + TARGET_DISCOVERY_SECONDS, _compute_wait_end(arrived, wait_seconds)
        )
        return self._loop.time() < until


def _compute_wait_end(arrived: float, wait_seconds: float | None) -> float:
    seconds = DEFAULT_TIMEOUT_SECONDS if wait_seconds is None else wait_seconds
    return arrived + min(MAX_WAIT_SECONDS, seconds * MAX_WAIT_SHARE)
