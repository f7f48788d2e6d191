"""Refusals of requests that were sent nowhere: why, and when the caller may come back."""

import asyncio
import dataclasses

from tillerlane.decisions import limits
from tillerlane.gateway import admission as admissions
from tillerlane.gateway import selection
from tillerlane.gateway import usage as usages

__all__ = ["NotRun", "Refusals"]

NO_ROOM_RETRY_SECONDS = 3.0
"""When a caller may come back that found no memory: a full pool stays full for seconds, since a
long run takes some 8 s and a runner that left is replaced after 4 s."""
NO_ROOM_RETRY_SHARE = 0.3
"""Share of its time left that a caller may be told to wait; callers obey up to a third of it."""
EVACUATED_RETRY_SECONDS = 1.0
"""When a caller may come back that found all data halls evacuated: such an order holds for seconds,
so that coming back at once is in vain."""


@dataclasses.dataclass(frozen=True, slots=True)
class NotRun:
    """The target vouches that it did not run the request, or it was never sent."""

    reason: str
    sent: bool
    is_other_target: bool = False
    """Whether the address has gone to another target."""
    is_held_up: bool = False
    """Whether the target may get nothing of this entry now, which says nothing of its reach."""
    retry_after: float = admissions.RETRY_SECONDS


class Refusals:
    """Builds the refusals of one entry.

    Parameters
    ----------
    selector : selection.Selector
        Knows why targets get nothing.
    usage : usages.Usage
        Knows how many entries there are.
    """

    def __init__(self, selector: selection.Selector, usage: usages.Usage) -> None:
        self._selector = selector
        self._usage = usage
        self._loop = asyncio.get_running_loop()
        self._returns: dict[str, float] = {}
        """When the caller that was refused last for limits may come back, by pool."""

    def build_no_target(self, asked: admissions.Admission) -> NotRun:
        """Refuse a request that no target takes now, and say why."""
        cold_seconds = self._selector.read_cold_seconds(asked.pool)
        if cold_seconds > 0:
            reason = "no target but cold ones that have this entry's share"
            return NotRun(reason, sent=False, retry_after=cold_seconds)
        limits_named = self._selector.list_limits(asked.pool)
        if limits_named:
            return self._build_limited(asked, limits_named)
        halls = self._selector.list_evacuated()
        if not halls:
            return NotRun("no target", sent=False)
        reason = f"no target outside the evacuated data halls {halls}"
        return NotRun(reason, sent=False, retry_after=EVACUATED_RETRY_SECONDS)

    def _build_limited(self, asked: admissions.Admission, limits_named: list[float]) -> NotRun:
        """Refuse a request since all targets left have named limits; callers return in turn."""
        now = self._loop.time()
        rate = sum(limits_named) / max(1, self._usage.entries)
        booked_at = self._returns.get(asked.pool.name, now)
        self._returns[asked.pool.name] = limits.book_return(booked_at, now, rate)
        reason = f"no target but {len(limits_named)} whose limits leave no room"
        return NotRun(reason, sent=False, retry_after=self._returns[asked.pool.name] - now)

    def build_no_room(self, asked: admissions.Admission) -> NotRun:
        left = max(0.0, asked.ends_at - self._loop.time())
        retry_after = min(NO_ROOM_RETRY_SECONDS, left * NO_ROOM_RETRY_SHARE)
        reason = f"no memory: {asked.tokens} tokens beside those under way"
        return NotRun(reason, sent=False, retry_after=retry_after)
