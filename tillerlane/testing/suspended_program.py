"""The platform's program on a host that can be suspended: ``suspended_program ROLE``.

A stop signal stands for the suspension.  It leaves all clocks running, so the steady one is put
behind by the time for which the process did not run, as the kernel's is on a suspended host.
"""

import time

from tillerlane.platform import main as programs

LEAST_SECONDS = 0.8
"""Shortest time without a reading that counts as a suspension: these processes look at the clock
ten times a second at least."""


def stand_still() -> None:
    """Have the steady clock not count the time of suspensions."""
    read = time.monotonic
    last, skipped = read(), 0.0

    def read_steady() -> float:
        nonlocal last, skipped
        now = read()
        if now - last > LEAST_SECONDS:
            skipped += now - last
        last = now
        return now - skipped

    time.monotonic = read_steady


if __name__ == "__main__":
    stand_still()
    programs.main()
