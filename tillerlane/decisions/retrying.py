"""How many sends beyond a request's first an entry may make, of what the fleet may make together.

The fleet is allowed, in any window, a ratio of the requests of that window or of an earlier one,
whichever has most, plus a fixed allowance.  Entries keep to shares of it that add up to less,
although each knows only its own requests, and of the others only how many they are said to be.
"""

__all__ = ["compute_share"]

RATIO_SHARE = 0.5
"""Share of the ratio in use.  The windows of two entries' last retries may be disjoint: together
they hold the requests of two windows, while the fleet is allowed a ratio of one."""
ALLOWANCE_SHARE = 0.7
"""Share of the allowance in use."""
FIRST_WINDOW_SHARE = 0.2
"""Share of it for entries that have run for less than a window, together with `ALLOWANCE_SHARE`
below the whole: an earlier process of such an entry, or the entry that it replaces, may have used
its own share just before."""
SETTLING_WINDOWS = 0.2
"""Time after its start, in windows, in which an entry may know only some of the others."""


def compute_share(
    ratio: float, allowance: float, requests: int, entries: int, windows: float
) -> float:
    """Compute how many retries an entry may make within a window.

    Parameters
    ----------
    ratio, allowance : float
        What the fleet is allowed.
    requests : int
        The entry's own requests in the window.
    entries : int
        Largest number of entries that there may be; 0 if unknown, which leaves no allowance.
    windows : float
        Time since the entry's process started, in windows.
    """
    share = RATIO_SHARE * ratio * requests
    if entries and windows >= SETTLING_WINDOWS:
        allowance_share = ALLOWANCE_SHARE if windows >= 1 else FIRST_WINDOW_SHARE
        share += allowance_share * allowance / entries
    return share
