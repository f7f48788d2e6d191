"""Decides how many new connections an entry closes unread, since it is overloaded.

A load balancer may hand most new connections of a region to one entry.  Each request that the entry
reads then waits for its processor, behind all others, until most deadlines have passed.  A
connection that is closed before its request has been read costs the caller one more connection,
to another entry, and nothing can have run.
"""

__all__ = ["LAG_INTERVAL_SECONDS", "compute_refused_share", "update_lag"]

LAG_INTERVAL_SECONDS = 0.05
"""Interval of the timer whose lateness is measured."""
LAG_WINDOW_SECONDS = 0.5
"""Time over which the lateness is averaged."""
MAX_LAG_SAMPLE_SECONDS = 0.4
"""Bound on one sample: after a suspended process resumes, its entry is not overloaded."""
TOLERATED_LAG_SECONDS = 0.1
"""Average lateness up to which all connections are accepted: callers of plain requests have an
objective of this order."""
FULL_LAG_SECONDS = 0.3
"""Average lateness from which on the largest share is refused."""
MAX_REFUSED_SHARE = 0.9
"""An overloaded entry goes on accepting some connections, so that it serves as much as it can."""


def update_lag(lag: float, sample: float) -> float:
    """Average lateness in seconds after one more sample."""
    weight = LAG_INTERVAL_SECONDS / LAG_WINDOW_SECONDS
    return lag + weight * (min(max(0.0, sample), MAX_LAG_SAMPLE_SECONDS) - lag)


def compute_refused_share(lag: float) -> float:
    """Share of new connections that are closed unread at an average lateness in seconds."""
    excess = (lag - TOLERATED_LAG_SECONDS) / (FULL_LAG_SECONDS - TOLERATED_LAG_SECONDS)
    return MAX_REFUSED_SHARE * min(1.0, max(0.0, excess))
