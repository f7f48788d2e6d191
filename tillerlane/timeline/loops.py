"""Event loop whose clock includes the time for which the host was suspended.

Leases, ages, deadlines and heartbeat timeouts are all measured in the loop's time.  The monotonic
clock that event loops use by default stops while the host is suspended (clock_gettime(2),
CLOCK_MONOTONIC), so a process would resume with leases that have long expired elsewhere and still
trust them.  CLOCK_BOOTTIME continues and is otherwise as steady, whereas the time of day may jump.
Ages are therefore correct directly after a suspension, before any timer has run.

Without this, after a suspension of 6 s and without connections to other processes, an entry served
a key that had been withdrawn meanwhile, and a former leader replied with an outdated configuration
(`platform.tests.test_suspension`).  ``docs/design/suspension.md`` compares the alternatives.
"""

import asyncio
import functools
import time
from collections.abc import Callable

__all__ = ["new_loop", "read_clock"]


read_clock = functools.partial(time.clock_gettime, time.CLOCK_BOOTTIME)
"""Reads a clock, in seconds, that never jumps and includes suspended time."""


class _Loop(asyncio.SelectorEventLoop):
    """An event loop with a custom clock.

    The kernel measures waits for events in CLOCK_MONOTONIC, so timers that became due during a
    suspension run when the current wait ends, at most a tenth of a second later in these processes.
    """

    def __init__(self, clock: Callable[[], float]) -> None:
        self._read_clock = clock
        super().__init__()

    def time(self) -> float:
        return self._read_clock()


def new_loop(clock: Callable[[], float] = read_clock) -> asyncio.AbstractEventLoop:
    """Create an event loop; a loop factory for `asyncio.Runner`."""
    return _Loop(clock)
