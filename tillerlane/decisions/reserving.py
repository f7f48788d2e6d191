"""Decides when memory is reserved at a runner before a request is sent there.

The load is some dozens of entries whose requests take a tenth of a runner's memory each, in a pool
that is almost full.  An entry knows a runner's memory from reports that are about 0.1 s old.  When
two runs end there, all entries see the same free memory and send several times as much as there is:
on one day nine entries sent a runner 30,000 tokens within 18 ms for 10,000 that were free, and
first events came 3 to 10 s later.  A reservation lets the runner decide which of them are admitted,
before any of them is bound to it.
"""

__all__ = ["RESERVE_ABOVE_SHARE", "should_reserve"]

RESERVE_ABOVE_SHARE = 0.6
"""Share of a runner's memory or slots above which a request reserves its own first.  Below it there
is memory for four more requests of 2,500 tokens, which is more than other entries send to one
runner within the age of a report, and a reservation would only cost a round trip."""


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
