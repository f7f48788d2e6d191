"""How many requests one entry may send to a target that is cold.

The load that it answers: a data hall's targets come back together, or one turns cold at any moment,
while many entries, each with a few requests a second, look for room.  A cold target bears so many
requests a second from all entries together, and falls over well above that.

What an entry has heard of the others' sends is older than a rush, so each keeps to a number of its
own in any second: its share of the rate, whole requests, and for what is left over a lot that it
draws once for each target.  Shares saved up for later would come all at once: 68 entries that each
may send one request whenever they have saved enough for it send 68 within a second, with a rate of
5 and a bound of 12.5; with lots it is 12 at most and 4.3 a second on the mean (played with 68
entries that have something to send all the time, 1,000 targets).
"""

import dataclasses
import math

__all__ = ["Rate", "count_share"]

SPREADS = 4.0
"""Standard deviations of the entries' lots that fit below the bound: with 68 entries, a rate of 5
and a bound of 12.5 one target in 3,700 has more winners than that (binomial), and gets more only if
all of them send within the same second."""


@dataclasses.dataclass(frozen=True, slots=True)
class Rate:
    """What a cold target bears from all entries together.

    Attributes
    ----------
    wished : float
        Requests a second that it is meant to get.
    most : float
        Requests within any second above which it may fall over.
    """

    wished: float
    most: float


def count_share(rate: Rate, entries: int, lot: float) -> int:
    """Requests that one entry may send to a cold target within any second.

    Parameters
    ----------
    rate : Rate
        What the target bears.
    entries : int
        Entries of the fleet; 0 where it is not known, which allows nothing.
    lot : float
        Drawn evenly from 0 to 1 for this entry and target.
    """
    if entries <= 0:
        return 0
    return math.floor(read_aim(rate, entries) / entries + lot)


def read_aim(rate: Rate, entries: int) -> float:
    """Requests a second that all entries together aim at.

    The sum of their lots is spread by the root of the requests that they stand for, and by half the
    root of their number at most.  The aim is lowered until `SPREADS` times that stays below the
    bound: with 68 entries, a rate of 5 and a bound of 12.5 to 4.3.
    """
    if rate.wished + SPREADS * math.sqrt(min(rate.wished, entries / 4)) <= rate.most:
        return rate.wished
    root = (math.sqrt(SPREADS**2 + 4 * max(0.0, rate.most)) - SPREADS) / 2
    return min(rate.wished, root**2)
