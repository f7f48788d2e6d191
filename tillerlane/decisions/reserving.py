"""Decides when memory is reserved at a runner, and how much of it new long runs may take.

The load is some dozens of entries whose requests take a tenth of a runner's memory each, in a pool
that is almost full.  An entry knows a runner's memory from reports that are about 0.1 s old.  When
two runs end there, all entries see the same free memory and send several times as much as there is:
nine entries sent a runner 30,000 tokens within 18 ms for 10,000 that were free, and first events
came 3 to 10 s later.  A reservation lets the runner decide which of them are admitted,
before any of them is bound to it.

Runs grow after they were admitted, and runs of runners that leave have to find memory elsewhere
within 1.5 s or are lost.  New long runs, which hold their memory for 5 to 9 s, leave room for both
(`compute_long_share`); short ones are gone within half a second.
"""

__all__ = ["GROWTH_SECONDS", "RESERVE_ABOVE_SHARE", "compute_long_share", "should_reserve"]

RESERVE_ABOVE_SHARE = 0.6
"""Share of a runner's memory or slots above which a request reserves its own first.  Below it there
is memory for four more requests of 2,500 tokens, which is more than other entries send to one
runner within the age of a report, and a reservation would only cost a round trip."""

GROWTH_SECONDS = 3.0
"""Time over which the growth of a full runner's runs must fit.  Seven long runs of 7 s end at
random times, so that none of them ends within 3 s in one of twenty cases."""
COUNTED_GROWTH_SHARE = 0.6
"""Mean part of a run's growth reserve, over its life, that is counted as used already."""
MIN_HEADROOM_SHARE = 0.2
"""Part of a runner's memory that is free of long runs in any case: most short requests need less
than that at once, and copies of runs from a leaving runner have to find it within its notice."""
MOVED_WEIGHT = 0.5
"""Part of the memory of moved runs that is kept free; the rest becomes free by itself while they
move.  With all of it, long runs wait longer than the moved runs gain."""
MAX_HEADROOM_SHARE = 0.3
"""Bound on the memory kept free, so that many leaving runners don't keep long runs out: with 0.35,
long runs earned 0.68 and 0.73 of their value on two loaded days, and 0.74 and 0.76 with 0.25."""


def should_reserve(
    load_tokens: int,
    request_tokens: int,
    memory_tokens: int,
    requests: int,
    slots: int,
    pool_share: float = 0.0,
) -> bool:
    """Whether a request reserves memory before it is sent.

    Parameters
    ----------
    load_tokens, requests : int
        Memory in use at the runner and requests under way there, as known to the entry.
    request_tokens : int
        Memory that the request is counted with.
    memory_tokens, slots : int
        The runner's memory, and the requests that it runs at once.
    pool_share : float
        Share of the whole pool's memory in use.  In a full pool requests wait at every entry, and a
        runner that has just started or lost its runs gets one from each of them at the same moment.
    """
    return (
        pool_share > RESERVE_ABOVE_SHARE
        or load_tokens + request_tokens > memory_tokens * RESERVE_ABOVE_SHARE
        or requests + 1 > slots * RESERVE_ABOVE_SHARE
    )


def compute_long_share(
    memory_tokens: int,
    run_tokens: int,
    reserve_tokens: int,
    written_tokens: float,
    moved_tokens: float,
    largest_tokens: int = 0,
) -> float:
    """Compute the share of a runner's memory up to which new long runs may fill it.

    Parameters
    ----------
    memory_tokens : int
        The runner's memory.
    run_tokens, reserve_tokens : int
        Memory that the run is counted with, and the part of it that is reserved for its growth.
    written_tokens : float
        Tokens that such a run is expected to write within `GROWTH_SECONDS`.
    moved_tokens : float
        Memory that runs of leaving runners take at each runner of the pool.
    largest_tokens : int
        Memory of the largest short request of the last seconds.  Where long runs fill a runner,
        such a request finds no gap that smaller ones do not take first.

    In a simulation of 16 runners, four more of which hand over their long runs every 3.3 s
    (`tillerlane.testing.engine_play`, four seeds, three loads), requests earn 0.996, 0.927 and
    0.798 of their value with a fixed share of 0.95, 0.997, 0.965 and 0.914 with 0.85, and 0.999,
    0.971 and 0.915 with this one; ``docs/design/reservations.md`` has the other variants.
    """
    grown = max(0.0, written_tokens - COUNTED_GROWTH_SHARE * reserve_tokens)
    growth_share = max(MIN_HEADROOM_SHARE, grown / max(1, run_tokens))
    moved_share = MOVED_WEIGHT * moved_tokens / max(1, memory_tokens)
    largest_share = largest_tokens / max(1, memory_tokens)
    headroom_share = max(largest_share, growth_share + moved_share)
    return 1.0 - min(MAX_HEADROOM_SHARE, headroom_share)
