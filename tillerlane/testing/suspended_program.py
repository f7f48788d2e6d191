"""The platform's program on a simulated host that can be suspended: ``suspended_program ROLE``.

A stop signal simulates the suspension. Since clocks continue to run during it, the time for which
the process did not run is subtracted from the monotonic clock, which on Linux does not advance
while the host is suspended.
"""

import time

from tillerlane.platform import main as programs

MIN_SUSPENSION_SECONDS = 0.8
"""Minimum gap between two clock readings that counts as a suspension; these processes read the
clock at least ten times a second."""


def exclude_suspensions() -> None:
    """Patch the monotonic clock so that it excludes suspensions."""
    read = time.monotonic
    last, skipped = read(), 0.0

    def read_steady() -> float:
        nonlocal last, skipped
        now = read()
        if now - last > MIN_SUSPENSION_SECONDS:
            skipped += now - last
        last = now
        return now - skipped

    time.monotonic = read_steady


if __name__ == "__main__":
    exclude_suspensions()
    programs.main()
