"""Requests that come before an entry knows its configuration or its targets.

When a whole fleet comes back at once, each entry is without a configuration for some tenths of a
second, and no other entry does better.  A caller who is refused then spends its retry on that
moment; one that waits is served in time.  An entry that knew its configuration before and is cut
off from it refuses at once instead: other entries serve.
"""

import asyncio

__all__ = ["Startup"]

MAX_WAIT_SECONDS = 1.5
"""Longest wait for the configuration: an election among keepers that have lost their former leader
takes up to 1.1 s after their start, one with it 0.2 s."""
MAX_WAIT_SHARE = 0.5
"""Share of a caller's time that is waited at most; the rest is for the answer or another try."""
DEFAULT_TIMEOUT_SECONDS = 1.0
"""Time of a caller that names none."""
TARGET_DISCOVERY_SECONDS = 2.0
"""How long after the configuration targets may still be unheard of: they tell of themselves each
1.2 s, and at once where their last word failed."""


class Startup:
    """Whether an entry is still coming up.

    Attributes
    ----------
    ready_at : float or None
        Time of the event loop at which it first had a configuration that it could trust.
    """

    def __init__(self) -> None:
        self.ready_at: float | None = None
        self._ready = asyncio.Event()
        self._loop = asyncio.get_running_loop()

    def mark_ready(self) -> None:
        """Take note that the configuration is there; later losses of it change nothing."""
        if self.ready_at is None:
            self.ready_at = self._loop.time()
            self._ready.set()

    async def wait_ready(self, arrived: float, wait_seconds: float | None) -> None:
        """Wait for the configuration, as long as that leaves the caller time for an answer."""
        if self._ready.is_set():
            return
        try:
            async with asyncio.timeout_at(_compute_wait_end(arrived, wait_seconds)):
                await self._ready.wait()
        except TimeoutError:
            return  # the caller is refused for want of a configuration, which is logged

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
