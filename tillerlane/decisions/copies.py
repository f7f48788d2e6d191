"""Decides when the memory of runs is copied to a second runner ahead of any loss.

A backup copy takes as much memory as its run.  Where memory is short, each copy displaces a request
of the same size; where it is plentiful, it costs nothing and saves a long run that must not be
repeated (value 130) if its runner is lost without notice.
"""

__all__ = ["MAX_POOL_SHARE", "should_back_up"]

MAX_POOL_SHARE = 0.5
"""Share of a pool's memory in use, existing copies included, up to which new copies are made."""


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
