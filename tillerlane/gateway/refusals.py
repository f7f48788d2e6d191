"""Refusals of requests that were sent nowhere: why, and when the caller may come back."""

import asyncio
import dataclasses

from tillerlane.decisions import limits
from tillerlane.gateway import admission as admissions
from tillerlane.gateway import availability, routes
from tillerlane.gateway import backoff as backoffs
from tillerlane.gateway import usage as usages

__all__ = ["NotRun", "RefusalBuilder"]

NO_ROOM_RETRY_AFTER_SECONDS = 3.0
"""When a caller may come back that found no memory: a full pool stays full for seconds, since a
long run takes some 8 s and a runner that left is replaced after 4 s."""
NO_ROOM_RETRY_SHARE = 0.3
"""Share of its time left that a caller may be told to wait; callers obey up to a third of it."""
EVACUATED_RETRY_AFTER_SECONDS = 1.0
"""When a caller may come back that found all data halls evacuated: such an order holds for seconds,
so that coming back at once is in vain."""


@dataclasses.dataclass(frozen=True, slots=True)
class NotRun:
    """The target vouches that it did not run the request, or it was never sent."""

    reason: str
    sent: bool
    is_other_target: bool = False
    """Whether the address has gone to another target."""
    is_blocked: bool = False
    """Whether the target may get nothing of this entry now, which says nothing of its reach."""
    retry_after: float = admissions.RETRY_AFTER_SECONDS


class RefusalBuilder:
    """Builds the refusals of one entry.

    Parameters
    ----------
    available : availability.Availability
        Knows why targets get nothing.
    usage : usages.Usage
        Knows how many entries there are.
    """

    def __init__(self, available: availability.Availability, usage: usages.Usage) -> None:
        self._available = available
        self._usage = usage
        self._loop = asyncio.get_running_loop()
        self._returns: dict[tuple[str, availability.Cause], float] = {}
        """When the caller that was refused last may come back, by pool and what kept it away."""

    def build_no_target(self, admission: admissions.Admission) -> NotRun:
        """Refuse a request that no target takes now, and say why."""
        found = [
            *self._list_cold(admission.pool),
            *self._list_limited(admission.pool),
            *self._list_in_backoff(admission.pool),
        ]
        if found:
            seconds, reason = min(found)
            return NotRun(reason, sent=False, retry_after=seconds)
        halls = self._available.list_evacuated()
        if not halls:
            return NotRun("no target", sent=False)
        reason = f"no target outside the evacuated data halls {halls}"
        return NotRun(reason, sent=False, retry_after=EVACUATED_RETRY_AFTER_SECONDS)

    def adjust_retry_after(self, admission: admissions.Admission, refused: NotRun) -> NotRun:
        """Have a caller whom targets turned away come back no sooner than one may take more."""
        if self._available.find_next_opening(admission.pool) <= self._loop.time():
            return refused
        found = self._list_in_backoff(admission.pool)
        return dataclasses.replace(refused, retry_after=found[0][0]) if found else refused

    def _list_cold(self, pool: routes.Pool) -> list[tuple[float, str]]:
        """Seconds and reason to tell callers if cold targets keep them away; none if they don't."""
        seconds = self._available.compute_warm_up_seconds(pool)
        if seconds <= 0:
            return []
        return [(seconds, "no target but cold ones that have this entry's share")]

    def _list_limited(self, pool: routes.Pool) -> list[tuple[float, str]]:
        limits_named = self._available.list_limits(pool)
        if not limits_named:
            return []
        rate = sum(limits_named) / max(1, self._usage.entries)
        seconds = self._book(pool, availability.Cause.LIMITED, self._loop.time(), rate)
        return [(seconds, f"no target but {len(limits_named)} whose limits leave no room")]

    def _list_in_backoff(self, pool: routes.Pool) -> list[tuple[float, str]]:
        ends = self._available.list_backoff_ends(pool)
        if not ends:
            return []
        cause = availability.Cause.BACKOFF
        seconds = self._book(pool, cause, min(ends), 1 / backoffs.PROBE_INTERVAL_SECONDS)
        return [(seconds, f"no target but {len(ends)} that asked for back-off")]

    def _book(
        self, pool: routes.Pool, cause: availability.Cause, first_at: float, rate: float
    ) -> float:
        """Seconds until one more caller may come back, in turn, `first_at` or later."""
        key = (pool.name, cause)
        booked_at = self._returns.get(key, first_at)
        self._returns[key] = limits.schedule_retry(booked_at, first_at, rate)
        return self._returns[key] - self._loop.time()

    def build_no_room(self, admission: admissions.Admission) -> NotRun:
        left = max(0.0, admission.deadline - self._loop.time())
        retry_after = min(NO_ROOM_RETRY_AFTER_SECONDS, left * NO_ROOM_RETRY_SHARE)
        reason = f"no memory: {admission.tokens} tokens beside those under way"
        return NotRun(reason, sent=False, retry_after=retry_after)
