"""Limits of workspaces and the budget of retries at one entry.

A workspace's limits hold over all entries together.  Each entry grants its share: the limit over
the number of live entries.  While entries come or go the view lags, so that for some seconds the
sum may be off by the share of those that came or went.
"""

import dataclasses

from tillerlane.config import documents
from tillerlane.faults import core as faults
from tillerlane.faults import kinds

__all__ = ["RetryBudget", "WorkspaceLimits"]

BURST_SECONDS = 2.0
"""Seconds' worth of requests that may come at once."""
MINUTE = 60.0
RETRY_BURST = 10.0


class Bucket:
    """A token bucket: `rate` a second, at most `burst` at once."""

    __slots__ = ("_at", "_level")

    def __init__(self, level: float, now: float) -> None:
        self._level = level
        self._at = now

    def _fill(self, rate: float, burst: float, now: float) -> None:
        self._level = min(burst, self._level + rate * (now - self._at))
        self._at = now

    def acquire(self, amount: float, rate: float, burst: float, now: float) -> float:
        """Take `amount` if it is there; otherwise give the seconds until it is.

        Returns
        -------
        float
            0 if it was taken.
        """
        self._fill(rate, burst, now)
        if self._level >= min(amount, burst):
            self._level -= amount
            return 0.0
        return (min(amount, burst) - self._level) / rate

    def debit(self, amount: float) -> None:
        """Take `amount` without asking, or give it back if negative."""
        self._level -= amount


@dataclasses.dataclass(slots=True)
class _Usage:
    """What one workspace uses at this entry."""

    requests: Bucket
    tokens: Bucket
    running: int = 0


class WorkspaceLimits:
    """Limits of all workspaces at one entry."""

    def __init__(self) -> None:
        self._usage: dict[str, _Usage] = {}

    def _get(self, workspace: str, now: float) -> _Usage:
        usage = self._usage.get(workspace)
        if usage is None:
            huge = float("inf")
            usage = _Usage(Bucket(huge, now), Bucket(huge, now))
            self._usage[workspace] = usage
        return usage

    def admit(
        self, workspace: str, limits: documents.Limits, entries: int, tokens: int, now: float
    ) -> faults.Fault | None:
        """Count a request in, or say why not.

        Parameters
        ----------
        workspace : str
            Who asks.
        limits : documents.Limits
            Its limits over all entries.
        entries : int
            Live entries, this one included.
        tokens : int
            Tokens that the request is charged at first: its prompt.
        now : float
            Time of the event loop, in seconds.
        """
        usage = self._get(workspace, now)
        share = 1.0 / max(1, entries)
        if limits.concurrent is not None:
            allowed = max(1, round(limits.concurrent * share))
            if usage.running >= allowed:
                return _refuse(workspace, f"{usage.running} of {allowed} at once here", 1.0)
        if limits.requests_per_second is not None:
            rate = limits.requests_per_second * share
            wait = usage.requests.acquire(1.0, rate, max(1.0, rate * BURST_SECONDS), now)
            if wait > 0:
                return _refuse(workspace, f"more than {rate:g} requests a second here", wait)
        if limits.tokens_per_minute is not None:
            rate = limits.tokens_per_minute * share / MINUTE
            wait = usage.tokens.acquire(float(tokens), rate, rate * MINUTE, now)
            if wait > 0:
                return _refuse(workspace, f"more than {rate * MINUTE:g} tokens a minute here", wait)
        usage.running += 1
        return None

    def release(self, workspace: str, written: int, now: float) -> None:
        """Count a request out and charge what was written."""
        usage = self._get(workspace, now)
        usage.running -= 1
        usage.tokens.debit(float(written))


def _refuse(workspace: str, reason: str, wait: float) -> faults.Fault:
    return faults.new_fault(
        kinds.ErrorKind.OVER_LIMIT,
        f"workspace {workspace!r}: {reason}",
        retry_after=max(0.1, round(wait, 2)),
    )


class RetryBudget:
    """Retries of each pool, as a share of its requests.

    Each request pays in its class's share of one retry, so that a dead hall brings no storm.
    """

    def __init__(self) -> None:
        self._level: dict[str, float] = {}

    def record_request(self, group: str, share: float) -> None:
        """Take note of a request."""
        level = self._level.get(group, 1.0)
        self._level[group] = min(RETRY_BURST, level + share)

    def try_acquire(self, group: str) -> bool:
        """Take one retry, if there is one left."""
        level = self._level.get(group, 1.0)
        if level < 1.0:
            return False
        self._level[group] = level - 1.0
        return True
