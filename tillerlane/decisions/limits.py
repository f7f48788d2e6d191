"""How many requests one entry may send to a target that bears so many from all entries together.

A target that is cold, or that has named a limit, bears so many requests a second whoever sends
them.  What an entry has heard of the others' sends is older than a rush, so entries can't keep such
a bound by watching each other.  It is divided in one of two ways:

* Permits: one owner gives them out as entries ask, at the rate that the target bears.  The limit is
  used wherever callers want it, however uneven the traffic is.  For limits that targets name.
* Shares by lot: each entry keeps to a number of its own in any window: its part of the rate in
  whole requests, and for what is left over a lot that it draws for each target.  Nobody has to be
  asked.  For cold targets, and for named limits while the owner can't be reached.  Shares that were
  saved up for later would come all at once, from as many entries as have saved one.
"""

import dataclasses
import hashlib
import math

__all__ = [
    "WINDOW_SECONDS",
    "Bucket",
    "WindowQuota",
    "compute_fallback_quota",
    "compute_hash_fraction",
    "compute_hold_seconds",
    "compute_share",
    "refill",
    "schedule_retry",
]

MARGIN_DEVIATIONS = 4.0
"""Standard deviations of the entries' lots that fit below the bound."""
WINDOW_SECONDS = 4.0
"""Span within which a target must not get more than its limit and the slack."""
SLACK_REQUESTS = 5.0
"""Requests beyond its limit that a target bears within the window."""
FALLBACK_SHARE = 0.5
"""Part of a named limit that is divided by lot: what was permitted shortly before comes on top."""
PERMITTED_SHARE = 0.95
"""Part of a named limit that is given out, so that permits held for a while fit below it."""
MIN_PERMIT_RATE = 0.25
"""Permits a second whatever the limit, so that the end of a target's need shows in its answers; the
slack bears them."""
BASE_BURST, BURST_SECONDS = 2.0, 0.1
"""Permits that may be saved up: so many, and those of so many seconds of the limit."""
MAX_HOLD_SECONDS = 0.6
"""Longest time for which a permit holds: what an entry with little traffic holds, another wants."""
MAX_RETRY_DELAY_SECONDS = 5.0
"""Longest time after which a refused caller is told to come back."""


@dataclasses.dataclass(frozen=True, slots=True)
class WindowQuota:
    """What a target bears from all entries together.

    Attributes
    ----------
    wished : float
        Requests within any window that it is meant to get.
    most : float
        Requests within any window above which it may fall over.
    """

    desired: float
    maximum: float


# Shares by lot


def compute_share(quota: WindowQuota, entries: int, fraction: float) -> int:
    """Requests that one entry may send to a target within any window.

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
    return math.floor(compute_expected_requests(quota, entries) / entries + fraction)


def compute_hash_fraction(entry: str, target_id: str) -> float:
    """A lot from 0 to 1, always the same for an entry and a target."""
    digest = hashlib.blake2b(f"{entry}:{target_id}".encode(), digest_size=4).digest()
    return int.from_bytes(digest) / 2**32


def compute_expected_requests(quota: WindowQuota, entries: int) -> float:
    """Requests within a window that all entries together aim at.

    The sum of their lots is spread by the root of the requests that they stand for, and by half the
    root of their number at most.  The aim is lowered until `MARGIN_DEVIATIONS` times that
    stays below the bound.
    """
    if (
        quota.desired + MARGIN_DEVIATIONS * math.sqrt(min(quota.desired, entries / 4))
        <= quota.maximum
    ):
        return quota.desired
    root = (math.sqrt(MARGIN_DEVIATIONS**2 + 4 * max(0.0, quota.maximum)) - MARGIN_DEVIATIONS) / 2
    return min(quota.desired, root**2)


def compute_fallback_quota(limit: float) -> WindowQuota:
    """What entries divide by lot of a named limit (requests a second), in `WINDOW_SECONDS`."""
    borne = limit * WINDOW_SECONDS
    return WindowQuota(FALLBACK_SHARE * borne, borne + SLACK_REQUESTS)


# Permits


@dataclasses.dataclass(frozen=True, slots=True)
class Bucket:
    """Permits that the owner may give out for one target, as of a time of the event loop."""

    permits: float
    updated_at: float

    def acquire(self, requested: int) -> tuple["Bucket", int]:
        """Give out as many as are wished, and are there."""
        given = max(0, min(requested, math.floor(self.permits)))
        return dataclasses.replace(self, permits=self.permits - given), given


def refill(bucket: Bucket, limit: float, now: float, returned: int = 0) -> Bucket:
    """The bucket with what has become free since, for a limit in requests a second.

    `returned` are permits given back before their time was over.
    """
    gained = returned + (now - bucket.updated_at) * _compute_permit_rate(limit)
    return Bucket(min(_compute_burst(limit), bucket.permits + gained), now)


def compute_hold_seconds(limit: float) -> float:
    """How long an entry may hold a permit before it uses it.

    Within any window a target gets what was saved up, and what was given out in the window and for
    as long before as permits are held.  This holds them for as long as that stays below the limit
    and the slack.
    """
    spare = limit * WINDOW_SECONDS + SLACK_REQUESTS - _compute_burst(limit)
    rate = _compute_permit_rate(limit)
    return min(MAX_HOLD_SECONDS, spare / rate - WINDOW_SECONDS)


def _compute_permit_rate(limit: float) -> float:
    return max(MIN_PERMIT_RATE, PERMITTED_SHARE * limit)


def _compute_burst(limit: float) -> float:
    return BASE_BURST + BURST_SECONDS * limit


# Callers who are refused


def schedule_retry(previous_at: float, now: float, rate: float) -> float:
    """When the next refused caller may come back, behind the one who was told `booked_at`.

    Callers come back one after another, as fast as the pool bears them from one entry (`rate`, in
    requests a second), and no later than `MAX_RETRY_DELAY_SECONDS`.
    """
    if rate <= 0:
        return now + MAX_RETRY_DELAY_SECONDS
    return min(max(previous_at, now) + 1 / rate, now + MAX_RETRY_DELAY_SECONDS)
