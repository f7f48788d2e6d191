"""Refusals of requests that were not sent: the reason, and when the caller may retry."""

import asyncio
import dataclasses

from tillerlane.decisions import limits, returns, room
from tillerlane.gateway import admission as admissions
from tillerlane.gateway import availability, routes
from tillerlane.gateway import usage as usages
from tillerlane.gateway.backpressure import backoff as backoffs

__all__ = ["NotRun", "RefusalBuilder", "build_no_version"]

EVACUATED_RETRY_AFTER_SECONDS = 1.0
"""Retry delay where all data halls are evacuated: such an order holds for seconds, so that an
immediate retry would fail."""
NO_VERSION_RETRY_AFTER_SECONDS = 1.0
"""Retry delay where no runner has the version that began a stream: one that has crashed is back, if
at all, within about this time."""


@dataclasses.dataclass(frozen=True, slots=True)
class NotRun:
    """The target guarantees that it did not run the request, or it was never sent."""

    reason: str
    sent: bool
    is_other_target: bool = False
    """Whether the address now belongs to another target."""
    is_blocked: bool = False
    """Whether this entry may not send there now, which does not make the target unreachable."""
    retry_after: float = admissions.RETRY_AFTER_SECONDS


def build_no_version(version: str | None) -> NotRun:
    """Refuse to resume a stream for which no runner with its software version is left."""
    reason = f"no runner of version {version!r} left"
    return NotRun(reason, sent=False, retry_after=NO_VERSION_RETRY_AFTER_SECONDS)


class RefusalBuilder:
    """Builds the refusals of one entry.

    Parameters
    ----------
    available : availability.Availability
        Obstacles to sending to targets.
    usage : usages.Usage
        Number of entries.
    """

    def __init__(self, available: availability.Availability, usage: usages.Usage) -> None:
        self._available = available
        self._usage = usage
        self._loop = asyncio.get_running_loop()
        self._retry_times: dict[tuple[str, availability.Cause], float] = {}
        """Time at which the last refused caller may retry, by pool and cause."""

    def build_no_target(self, admission: admissions.Admission) -> NotRun:
        """Refuse a request that no target accepts now, with the reason."""
        if not self._available.has_version(admission.pool, admission.software_version):
            return build_no_version(admission.software_version)
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

    def adjust_retry_after(self, admission: admissions.Admission, rejected: NotRun) -> NotRun:
        """Delay the retry of a caller rejected by targets until one may accept more."""
        opening = self._available.find_next_opening(
            admission.pool, software_version=admission.software_version
        )
        if opening <= self._loop.time():
            return rejected
        found = self._list_in_backoff(admission.pool)
        return dataclasses.replace(rejected, retry_after=found[0][0]) if found else rejected

    def _list_cold(self, pool: routes.Pool) -> list[tuple[float, str]]:
        """Retry delay and reason if cold targets are the obstacle; empty if they are not."""
        seconds = self._available.compute_warm_up_seconds(pool)
        if seconds <= 0:
            return []
        return [(seconds, "no target but cold ones that have this entry's share")]

    def _list_limited(self, pool: routes.Pool) -> list[tuple[float, str]]:
        named_limits = self._available.list_limits(pool)
        if not named_limits:
            return []
        rate = sum(named_limits) / max(1, self._usage.entries)
        seconds = self._schedule_retry(pool, availability.Cause.LIMITED, self._loop.time(), rate)
        return [(seconds, f"no target but {len(named_limits)} whose limits leave no room")]

    def _list_in_backoff(self, pool: routes.Pool) -> list[tuple[float, str]]:
        ends = self._available.list_backoff_ends(pool)
        if not ends:
            return []
        cause = availability.Cause.BACKOFF
        seconds = self._schedule_retry(pool, cause, min(ends), 1 / backoffs.PROBE_INTERVAL_SECONDS)
        return [(seconds, f"no target but {len(ends)} that asked for back-off")]

    def _schedule_retry(
        self, pool: routes.Pool, cause: availability.Cause, first_at: float, rate: float
    ) -> float:
        """Seconds until one more caller may retry, in turn, `first_at` or later."""
        key = (pool.name, cause)
        previous_at = self._retry_times.get(key, first_at)
        self._retry_times[key] = limits.schedule_retry(previous_at, first_at, rate)
        return self._retry_times[key] - self._loop.time()

    def build_no_room(
        self, admission: admissions.Admission, cause: str, retry_after: float | None
    ) -> NotRun:
        """Refuse a request that did not get the memory that it waited for.

        Without a forecast the `retry_after` is None.
        """
        if retry_after is None:
            remaining = max(0.0, admission.deadline - self._loop.time())
            retry_after = min(room.DEFAULT_RETRY_SECONDS, remaining * returns.MAX_DELAY_SHARE)
        reason = f"{cause}: {admission.tokens} tokens beside those under way"
        return NotRun(reason, sent=False, retry_after=retry_after)
