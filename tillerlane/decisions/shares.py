"""Decides how far a workspace is above its share of a pool while other workspaces wait.

Addresses a load with skewed demand: of 24 workspaces the largest sends 30% of the tokens, and
without shares its backlog delays the requests of all others by the same time as its own.

Each workspace has a counter of the tokens served to it, which decays with `MEMORY_SECONDS`.  The
share is the max-min fair part of what the pool served: a workspace that asks for less than an equal
part has all it asks for, and what it leaves is lent to the others.  Counters of several entries can
be added, and a lost or repeated one is forgotten as it decays, which is why the decaying counter is
used rather than the deficit round robin that is kept here for comparison (`advance_deficits`): its
deficits are integrals of differences, in which each lost message stays.
"""

import math
from collections.abc import Iterable, Mapping
from typing import NamedTuple

__all__ = [
    "HOLD_SECONDS",
    "MEMORY_SECONDS",
    "Account",
    "advance_deficits",
    "compute_debt",
    "compute_decay",
    "compute_hold_seconds",
    "compute_level",
    "compute_lift",
    "compute_lowest",
]

MEMORY_SECONDS = 2.0
"""Time over which served tokens are forgotten.  It bounds a debt to 2 s of the pool's rate: callers
judge shares over windows of 2 s, and a workspace that was lent capacity must not be blocked for
longer than that, since its own requests are due within 1.5 to 4 s."""
HOLD_SECONDS = 0.03
"""How long a request of a workspace in debt leaves free capacity to others: one pass of the queues
of entries.  An order within each queue is not enough, since a large workspace waits at all entries
and the others at a few, and entries compete for free capacity with equal chances.
``docs/design/shares.md`` has the figures with and without a hold."""


class Account(NamedTuple):
    """A workspace at a pool; a tuple, since there may be hundreds for each computed level.

    Attributes
    ----------
    served : float
        Its decayed counter of served tokens.
    waiting : float
        Tokens of its waiting requests.
    weight : float
        Its weight, above 0.
    """

    served: float
    waiting: float
    weight: float = 1.0


def compute_decay(seconds: float) -> float:
    """The part of a counter that is left after some seconds."""
    return math.exp(-max(0.0, seconds) / MEMORY_SECONDS)


def compute_level(accounts: Iterable[Account]) -> float:
    """Max-min fair level of what the pool served, in tokens per unit of weight.

    A workspace's share is its weight times the level, or all that it was served and waits for if
    that is less.  Infinite if nothing waits.

    >>> compute_level([Account(900.0, 500.0), Account(100.0, 200.0)])
    700.0
    >>> compute_level([Account(900.0, 500.0), Account(100.0, 0.0)])
    900.0
    """
    left = weights = total_waiting = 0.0
    demands = []
    for served, waiting, weight in accounts:
        left += served
        weights += weight
        total_waiting += waiting
        demands.append(((served + waiting) / weight, weight))
    if total_waiting <= 0:
        return math.inf
    for demand, weight in sorted(demands):
        if demand * weights >= left:
            break
        left -= demand * weight
        weights -= weight
    return max(0.0, left) / weights


def compute_debt(served: float, weight: float, level: float) -> float:
    """Tokens that a workspace was served above its share; 0 within it.

    >>> compute_debt(900.0, 1.0, 700.0), compute_debt(100.0, 1.0, 700.0)
    (200.0, 0.0)
    """
    return max(0.0, served - weight * level)


def compute_hold_seconds(debt: float) -> float:
    """How long capacity must have been free before a request of a workspace may take it."""
    return HOLD_SECONDS if debt > 0 else 0.0


def compute_lowest(waiting: Iterable[Account]) -> float:
    """Lowest counter per unit of weight of the workspaces that wait; 0 without any."""
    return min((item.served / item.weight for item in waiting), default=0.0)


def compute_lift(account: Account, lowest: float) -> float:
    """Tokens to add to the counter of a workspace that begins to wait.

    It starts at the lowest counter of the workspaces that wait already, so that time without
    waiting earns no credit.

    >>> lowest = compute_lowest([Account(300.0, 10.0), Account(900.0, 10.0)])
    >>> compute_lift(Account(100.0, 50.0), lowest)
    200.0
    """
    return max(0.0, lowest * account.weight - account.served)


def advance_deficits(
    deficits: Mapping[str, float],
    served: Mapping[str, float],
    waiting: Mapping[str, float],
    bound: float,
) -> dict[str, float]:
    """Deficit round robin in fluid form, for comparison: the deficits after one interval.

    Parameters
    ----------
    deficits : mapping
        Tokens due to each workspace before the interval; negative ones are debts.
    served : mapping
        Tokens served in the interval.
    waiting : mapping
        Weights of the workspaces that wait, among which the interval's tokens are divided; the
        deficit of any other one ends.
    bound : float
        Largest deficit or debt in tokens.
    """
    weights = sum(waiting.values())
    total = sum(tokens for name, tokens in served.items() if name in waiting)
    return {
        name: max(
            -bound,
            min(bound, deficits.get(name, 0.0) + total * weight / weights - served.get(name, 0.0)),
        )
        for name, weight in waiting.items()
    }
