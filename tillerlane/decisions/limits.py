"""How many requests one entry may send to a target whose capacity all entries share.

A cold target, or one that has named a limit, sustains a certain request rate from all entries
together.  An entry's knowledge of the other entries' sends is older than a burst lasts, so entries
can't enforce the limit by watching each other.  It is divided in one of two ways:

* Permits: one owner grants them as entries request them, at the rate that the target sustains.  The
  full limit is available wherever callers need it, however uneven the traffic is.  This is used for
  limits that targets name.
* Hash-based shares: each entry has a fixed number of requests in any window, which is its part of
  the rate rounded down or up by a hash of the entry and the target.  It needs no communication.
  This is used for cold targets, and for named limits while the owner is unreachable.  Shares do not
  accumulate: accumulated shares of many entries would arrive at the target all at once.
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
"""Margin below the maximum, in standard deviations of the sum of all entries' shares."""
WINDOW_SECONDS = 4.0
"""Window within which a target must not receive more than its limit plus the slack."""
SLACK_REQUESTS = 5.0
"""Requests above its limit that a target tolerates within a window."""
FALLBACK_SHARE = 0.5
"""Part of a named limit that is divided into hash-based shares.  The rest is left for permits that
were granted shortly before and may still be used."""
PERMITTED_SHARE = 0.95
"""Part of a named limit that is granted as permits, to leave room for permits held unused."""
MIN_PERMIT_RATE = 0.25
"""Permits per second granted even if the limit is lower, so that a target's answers can show that
the limit no longer applies; the slack covers them."""
BASE_BURST, BURST_SECONDS = 2.0, 0.1
"""Permits that may accumulate: a base number, plus the limit times this many seconds."""
MAX_HOLD_SECONDS = 0.6
"""Maximum lifetime of a permit; one held by an entry with little traffic is missing elsewhere."""
MAX_RETRY_DELAY_SECONDS = 5.0
"""Maximum delay after which a refused caller is told to retry."""


@dataclasses.dataclass(frozen=True, slots=True)
class WindowQuota:
    """Requests that a target may receive from all entries together within any window.

    Attributes
    ----------
    desired : float
        Number that is aimed for in normal operation.
    maximum : float
        Number above which the target may be overloaded.
    """

    desired: float
    maximum: float


# Hash-based shares


def compute_share(quota: WindowQuota, entries: int, fraction: float) -> int:
    """Return the number of requests that one entry may send to a target within any window.

    Parameters
    ----------
    quota : WindowQuota
        Requests that the target may receive from all entries.
    entries : int
        Entries of the fleet; 0 if unknown, which allows no request.
    fraction : float
        Uniformly distributed from 0 to 1 over entries and targets; decides the rounding.
    """
    if entries <= 0:
        return 0
    return math.floor(compute_expected_requests(quota, entries) / entries + fraction)


def compute_hash_fraction(entry: str, target_id: str) -> float:
    """Return a fraction from 0 to 1 that is always the same for an entry and a target."""
    digest = hashlib.blake2b(f"{entry}:{target_id}".encode(), digest_size=4).digest()
    return int.from_bytes(digest) / 2**32


def compute_expected_requests(quota: WindowQuota, entries: int) -> float:
    """Return the expected sum of all entries' shares within a window.

    The standard deviation of the sum is at most the square root of its mean, and at most half the
    square root of the number of entries.  The mean is reduced until `MARGIN_DEVIATIONS` times that
    fits below the maximum.
    """
    if (
        quota.desired + MARGIN_DEVIATIONS * math.sqrt(min(quota.desired, entries / 4))
        <= quota.maximum
    ):
        return quota.desired
    root = (math.sqrt(MARGIN_DEVIATIONS**2 + 4 * max(0.0, quota.maximum)) - MARGIN_DEVIATIONS) / 2
    return min(quota.desired, root**2)


def compute_fallback_quota(limit: float) -> WindowQuota:
    """Return the quota for hash-based shares of a named limit in requests per second."""
    sustained = limit * WINDOW_SECONDS
    return WindowQuota(FALLBACK_SHARE * sustained, sustained + SLACK_REQUESTS)


# Permits


@dataclasses.dataclass(frozen=True, slots=True)
class Bucket:
    """Token bucket of permits that the owner may grant for one target.

    Attributes
    ----------
    permits : float
        Permits available at `updated_at`.
    updated_at : float
        Time of the event loop.
    """

    permits: float
    updated_at: float

    def acquire(self, requested: int) -> tuple["Bucket", int]:
        """Return the bucket without the granted permits, and their number."""
        granted = max(0, min(requested, math.floor(self.permits)))
        return dataclasses.replace(self, permits=self.permits - granted), granted


def refill(bucket: Bucket, limit: float, now: float, returned: int = 0) -> Bucket:
    """Return the bucket with the permits accrued since its last update.

    `limit` is in requests per second; `returned` counts permits given back before they expired.
    """
    gained = returned + (now - bucket.updated_at) * _compute_permit_rate(limit)
    return Bucket(min(_compute_burst(limit), bucket.permits + gained), now)


def compute_hold_seconds(limit: float) -> float:
    """Return how long an entry may hold a permit before it uses it.

    Within any window a target receives at most the accumulated permits, and those granted in the
    window and up to one hold time before it.  The hold time is chosen so that this stays below the
    limit plus the slack.
    """
    spare = limit * WINDOW_SECONDS + SLACK_REQUESTS - _compute_burst(limit)
    rate = _compute_permit_rate(limit)
    return min(MAX_HOLD_SECONDS, spare / rate - WINDOW_SECONDS)


def _compute_permit_rate(limit: float) -> float:
    return max(MIN_PERMIT_RATE, PERMITTED_SHARE * limit)


def _compute_burst(limit: float) -> float:
    return BASE_BURST + BURST_SECONDS * limit


# Refused callers


def schedule_retry(previous_at: float, now: float, rate: float) -> float:
    """Return when the next refused caller may retry, after the one scheduled for `previous_at`.

    Retries are spaced at `rate`, the requests per second that the pool sustains from one entry, and
    are at most `MAX_RETRY_DELAY_SECONDS` away.
    """
    if rate <= 0:
        return now + MAX_RETRY_DELAY_SECONDS
    return min(max(previous_at, now) + 1 / rate, now + MAX_RETRY_DELAY_SECONDS)
