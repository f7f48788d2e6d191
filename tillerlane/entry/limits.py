"""Workspace limits and the retry budget at one entry.

A workspace's limits hold for all entries together.  Each entry enforces its share: the limit
divided by the number of live entries.  Since the view of the members lags when entries join or
leave, the sum may deviate for some seconds by the share of those entries.
"""

import dataclasses

from tillerlane.config import documents
from tillerlane.faults import core as faults
from tillerlane.faults import kinds

__all__ = ["RetryBudget", "WorkspaceLimits"]

BURST_SECONDS = 2.0
"""Burst of requests, in seconds of the rate."""
SECONDS_PER_MINUTE = 60.0
RETRY_BURST = 10.0


class Bucket:
    """Token bucket with a refill of `rate` per second and a capacity of `burst`."""

    __slots__ = ("_at", "_level")

    def __init__(self, level: float, now: float) -> None:
        self._level = level
        self._at = now

    def _refill(self, rate: float, burst: float, now: float) -> None:
        self._level = min(burst, self._level + rate * (now - self._at))
        self._at = now

    def acquire(self, amount: float, rate: float, burst: float, now: float) -> float:
        """Acquire `amount` if available; otherwise return the seconds until it is.

        Returns
        -------
        float
            0 if it was acquired.
        """
        self._refill(rate, burst, now)
        if self._level >= min(amount, burst):
            self._level -= amount
            return 0.0
        return (min(amount, burst) - self._level) / rate

    def debit(self, amount: float) -> None:
        """Deduct `amount` unconditionally; a negative one is refunded."""
        self._level -= amount


@dataclasses.dataclass(slots=True)
class _Usage:
    """Usage of one workspace at this entry."""

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
            unlimited = float("inf")
            usage = _Usage(Bucket(unlimited, now), Bucket(unlimited, now))
            self._usage[workspace] = usage
        return usage

    def admit(
        self, workspace: str, limits: documents.Limits, entries: int, tokens: int, now: float
    ) -> faults.Fault | None:
        """Admit a request, or return the fault with which it is refused.

        Parameters
        ----------
        workspace : str
            Workspace of the caller.
        limits : documents.Limits
            Its limits over all entries.
        entries : int
            Live entries, this one included.
        tokens : int
            Tokens charged on admission: those of the prompt.
        now : float
            Time of the event loop, in seconds.
        """
        usage = self._get(workspace, now)
        share = 1.0 / max(1, entries)
        if limits.concurrent is not None:
            local_limit = max(1, round(limits.concurrent * share))
            if usage.running >= local_limit:
                return _refuse(
                    workspace,
                    f"{usage.running} of {local_limit} concurrent requests at this entry",
                    1.0,
                )
        if limits.requests_per_second is not None:
            rate = limits.requests_per_second * share
            wait = usage.requests.acquire(1.0, rate, max(1.0, rate * BURST_SECONDS), now)
            if wait > 0:
                return _refuse(
                    workspace, f"more than {rate:g} requests per second at this entry", wait
                )
        if limits.tokens_per_minute is not None:
            rate = limits.tokens_per_minute * share / SECONDS_PER_MINUTE
            wait = usage.tokens.acquire(float(tokens), rate, rate * SECONDS_PER_MINUTE, now)
            if wait > 0:
                return _refuse(
                    workspace,
                    f"more than {rate * SECONDS_PER_MINUTE:g} tokens per minute at this entry",
                    wait,
                )
        usage.running += 1
        return None

    def release(self, workspace: str, written: int, now: float) -> None:
        """Record the end of a request and charge its generated tokens."""
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
    """Retry budget of each pool, as a share of its requests.

    Each request adds its class's share of one retry, which prevents a retry storm when a data hall
    fails.
    """

    def __init__(self) -> None:
        self._level: dict[str, float] = {}

    def record_request(self, group: str, share: float) -> None:
        """Add the share of one retry for a request."""
        level = self._level.get(group, 1.0)
        self._level[group] = min(RETRY_BURST, level + share)

    def try_acquire(self, group: str) -> bool:
        """Acquire one retry, if the budget allows it."""
        level = self._level.get(group, 1.0)
        if level < 1.0:
            return False
        self._level[group] = level - 1.0
        return True
