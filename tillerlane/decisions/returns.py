"""Decides when callers that were refused for lack of memory may return, and whose turn it is.

The load is callers refused at 27 entries while a pool's memory is full.  Each retries once,
and obeys a retry time of at most a third of the time that it has left.  A caller needs memory to be
free when it returns: if all are told to return after the same delay, they find the pool full again,
or find gaps that smaller and later requests have filled.  The turns that all entries give out
therefore follow the rate at which memory becomes free, one after another.

Variants were compared as in `decisions/tests/test_returns.py`, with 27 entries that learn of each
other's turns after 0.05 s, memory for 10 callers a second and 20, 40 or 80 callers refused within
0.5 s.  Most callers that return within a second: 20, 40 and 80 if each entry counts its own turns
only, 14, 21 and 50 if it uses a 27th of the rate, 20, 38 and 59 if it appends to the latest turn of
all, since turns given out at the same time fall together, and 13, 16 and 22 if it counts all
outstanding turns (kept).
"""

__all__ = ["MAX_DELAY_SHARE", "is_in_turn", "schedule"]

MAX_DELAY_SHARE = 0.3
"""Maximum delay as a part of the caller's remaining time; callers obey up to a third of it."""
MIN_DELAY_SECONDS = 0.05
"""A caller that returns sooner finds the same state, since reports of loads are as old."""
EARLY_SECONDS = 0.05
"""How much before its turn a request may return: retry times are rounded to milliseconds, and the
clocks of callers and entries run differently by at most this in a few seconds."""


def schedule(
    outstanding: int,
    now: float,
    tokens: int,
    tokens_per_second: float,
    remaining_seconds: float,
) -> float:
    """Return the time at which a refused caller may return, after all turns given out before.

    Parameters
    ----------
    outstanding : int
        Turns that any entry has given out and that are still to come, as far as known.  The memory
        of their requests is taken to be that of this one: requests refused for lack of memory are
        large ones.
    now : float
        The time.
    tokens : int
        Memory that the request needs.
    tokens_per_second : float
        Measured rate at which the pool's memory becomes free; 0 if unknown.
    remaining_seconds : float
        Time until the caller's deadline.
    """
    longest = max(0.0, remaining_seconds) * MAX_DELAY_SHARE
    if tokens_per_second <= 0:
        return now + longest
    turn = now + (outstanding + 1) * tokens / tokens_per_second
    return min(max(turn, now + MIN_DELAY_SECONDS), now + longest)


def is_in_turn(now: float, turn: float) -> bool:
    """Whether a request that returns now has waited for its turn, and so keeps its first arrival.

    A caller that returns early gains nothing by it.
    """
    return now >= turn - EARLY_SECONDS
