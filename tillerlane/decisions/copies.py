"""Decides when the memory of runs is copied to a second runner ahead of any loss.

A backup copy takes as much memory as its run.  Where memory is short, each copy displaces a request
of the same size; where it is plentiful, it costs nothing and saves a long run that must not be
repeated (value 130) if its runner is lost.

A share of the destination's memory alone is no bound: each runner that has just started is filled
with copies, also in a full pool.  In a simulation of 20 runners, four of which are replaced every
3.3 s (``decisions/tests/test_copies.py``, 12 seeds), long runs that take 0.45, 0.55 and 0.65 of the
memory are served to 0.987, 0.919 and 0.832 by the share of the pool, 0.968, 0.896 and 0.793 by a
share of 0.6 of the destination, and 0.985, 0.920 and 0.834 without copies.
"""

__all__ = ["MAX_POOL_SHARE", "should_back_up"]

MAX_POOL_SHARE = 0.5
"""Share of a pool's memory in use, copies included, up to which new copies are made.  Below it, a
burst of twice the load still finds memory."""


def should_back_up(load_tokens: int, memory_tokens: int, request_tokens: int) -> bool:
    """Whether a new run gets backup copies.

    Parameters
    ----------
    load_tokens : int
        Memory in use at all runners of the pool that accept requests, copies included.
    memory_tokens : int
        Memory of these runners.
    request_tokens : int
        Memory that the run is counted with, which its copy takes again.
    """
    return load_tokens + 2 * request_tokens <= memory_tokens * MAX_POOL_SHARE
