"""Which requests go to no target any more, since the targets that ran them ended.

A request that ends each target that begins to run it is known as a query of death.  Its caller
comes again, at any entry.  Load answered here: one such request, twice every few seconds, took all
five runners of a pool down within two seconds each time that it came, and cut the long runs there.
"""

__all__ = ["MIN_TARGET_EXITS", "is_poison"]

MIN_TARGET_EXITS = 3
"""Targets that have ended under a request, and no run of it that ended well, from which on it is
held back.  It is the users' bound on what such a request may cost.  In 200 plays of five runners,
where nothing is held back, one such request took 69 runners a play; with three it takes 3.0 and 0.5
of 10,000 innocent requests are held back, with two 2.0 and 1.2 (`benchmarks.quarantine`)."""


def is_poison(target_exits: int) -> bool:
    """Whether a request is held back under which so many targets have ended."""
    return target_exits >= MIN_TARGET_EXITS
