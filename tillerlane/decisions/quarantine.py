"""Decides which requests are quarantined because the targets that ran them exited.

A poison request, also known as a query of death, makes each target that starts to run it exit, and
its caller retries at any entry.  Without a quarantine, one such request, sent twice every few
seconds, took down all five runners of a pool within two seconds each time it came, and cut the long
runs there.
"""

__all__ = ["MIN_TARGET_EXITS", "is_poison"]

MIN_TARGET_EXITS = 3
"""Target exits under a request, without a run of it that completed, from which on it is held back.
It is the users' bound on the damage by one such request.  In 200 simulations of five runners, one
such request takes 69 runners per simulation if nothing is held back.  With three it takes 3.0, and
0.5 of 10,000 innocent requests are held back; with two it takes 2.0, and 1.2 of 10,000
(`benchmarks.quarantine`)."""


def is_poison(target_exits: int) -> bool:
    """Whether a request with this number of target exits is held back."""
    return target_exits >= MIN_TARGET_EXITS
