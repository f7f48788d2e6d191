"""The event loop of our processes: its clock counts the time for which the host was suspended.

Leases, ages, deadlines and silences are all reckoned in the loop's time.  The steady clock that
event loops use stands still while a host is suspended (clock_gettime(2), CLOCK_MONOTONIC), so a
process would wake with leases that have long ended elsewhere and trust them.  CLOCK_BOOTTIME goes
on and is as steady otherwise; the time of day may jump.  So whatever is asked first after a
suspension, before any timer has run, has its true age.

Guards: suspended for 6 s and woken without a way to the others, an entry served a key withdrawn
meanwhile, and a former leader answered with a configuration that was not the newest
(`platform.tests.test_suspension`).  The ways weighed are in ``docs/design/suspension.md``.
"""

import asyncio
import functools
import time
from collections.abc import Callable

__all__ = ["new_loop", "read_clock"]


read_clock = functools.partial(time.clock_gettime, time.CLOCK_BOOTTIME)
"""Reads the seconds of a clock that never jumps and counts suspended time."""


class _Loop(asyncio.SelectorEventLoop):
    """A loop that goes by a clock of its own.

    The kernel measures its waits for events in steady time, so timers that came due in a suspension
    run after what is left of the present wait: a tenth of a second at most in these processes.
    """

    def __init__(self, clock: Callable[[], float]) -> None:
        self._read_clock = clock
        super().__init__()

    def time(self) -> float:
        return self._read_clock()


def new_loop(clock: Callable[[], float] = read_clock) -> asyncio.AbstractEventLoop:
    """An event loop, as `asyncio.Runner` takes it."""
    return _Loop(clock)
