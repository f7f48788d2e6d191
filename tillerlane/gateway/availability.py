"""Whether an entry may send one more request to a target, from what targets report.

Every path to a target checks `Availability`, and nothing else.  A report about a target belongs to
one incarnation of it and ends with it.

============ ===================== ============ ==================================
report       source                applies to   ends
============ ===================== ============ ==================================
leaving      heartbeats            all entries  with the incarnation
evacuated    operators' orders     all entries  with the order
back-off     responses             this entry   after the time that it names
cold         heartbeats            all entries  after the time that it names
limit        responses             all entries  when responses no longer name it
============ ===================== ============ ==================================
"""

import dataclasses
import enum
from collections.abc import Callable, Collection

from tillerlane.gateway import directory as directories
from tillerlane.gateway import routes
from tillerlane.gateway import usage as usages
from tillerlane.gateway.backpressure import backoff as backoffs
from tillerlane.gateway.backpressure import cold as colds
from tillerlane.gateway.backpressure import permits

__all__ = ["Availability", "Cause", "Obstacle"]


class Cause(enum.StrEnum):
    """Reason why this entry may not send to a target now."""

    LEAVING = "leaving"
    EVACUATED = "evacuated"
    BACKOFF = "backoff"
    COLD = "cold"
    LIMITED = "limited"


@dataclasses.dataclass(frozen=True, slots=True)
class Obstacle:
    """Condition that prevents a request from being sent to a target.

    Attributes
    ----------
    until : float
        Time of the event loop at which it may end: infinite if it does not end by itself.
    """

    cause: Cause
    until: float

    @property
    def is_hard(self) -> bool:
        """Whether the target is also excluded for what is sent later, such as a run's copy."""
        return self.cause not in (Cause.BACKOFF, Cause.LIMITED)


_LEAVING = Obstacle(Cause.LEAVING, float("inf"))
_EVACUATED = Obstacle(Cause.EVACUATED, float("inf"))
# Shares and permits of one entry may become available again at any time.
_COLD = Obstacle(Cause.COLD, 0.0)
_LIMITED = Obstacle(Cause.LIMITED, 0.0)


class Availability:
    """What one entry may send to each target.

    Parameters
    ----------
    directory : directories.Directory
        Targets that leave, and evacuated data halls.
    usage : usages.Usage
        Own requests under way, and the number of entries.
    cold : colds.ColdLimiter
        Limits sends to cold targets.
    permits_held : permits.Permits
        Permits for targets that have named limits.
    backoffs_in_force : backoffs.Backoffs
        Back-off that targets have requested from this entry.
    now : callable
        Time of the event loop.
    """

    def __init__(
        self,
        directory: directories.Directory,
        usage: usages.Usage,
        cold: colds.ColdLimiter,
        permits_held: permits.Permits,
        backoffs_in_force: backoffs.Backoffs,
        now: Callable[[], float],
    ) -> None:
        self._directory = directory
        self._usage = usage
        self._cold = cold
        self._permits = permits_held
        self._backoffs = backoffs_in_force
        self._now = now

    def find_obstacle(
        self,
        pool: routes.Pool,
        target: directories.Target,
        *,
        is_resumed: bool = False,
        is_counted: bool = False,
    ) -> Obstacle | None:
        """Obstacle to one more request to a target now; None if it may be sent.

        A run that `is_resumed` with a copy of its memory may go to a target that has started to
        leave, and is not bounded after a back-off: its copy already occupies the target.  With
        `is_counted` the request is already counted among those under way there.
        """
        if self.is_evacuated(target):
            return _EVACUATED
        if target.is_leaving and not is_resumed:
            return _LEAVING
        under_way = 0 if is_resumed else self._usage.count_own_at(target.address) - is_counted
        backoff_until = self._backoffs.find_end(target.target_id, under_way)
        if backoff_until is not None:
            return Obstacle(Cause.BACKOFF, backoff_until)
        if not self._cold.can_send(pool, target, self._usage.entries, self._now()):
            return _COLD
        if not self._permits.can_send(target.target_id):
            return _LIMITED
        return None

    def is_rejecting_others(self, target: directories.Target) -> bool:
        """Whether a target rejects other entries."""
        return self._backoffs.is_hinted(target.target_id)

    def acquire(
        self, pool: routes.Pool, target: directories.Target, *, is_resumed: bool = False
    ) -> Obstacle | None:
        """Count a request that is sent to a target now, unless there is an obstacle."""
        obstacle = self.find_obstacle(pool, target, is_resumed=is_resumed, is_counted=True)
        if obstacle is None:
            self._cold.record_send(target, self._now())
            self._permits.record_send(target.target_id)
            self._backoffs.record_send(target.target_id)
        return obstacle

    def is_blocked(self, pool: routes.Pool, target: directories.Target) -> bool:
        """Whether a resumed run has to wait for a target that may soon accept it.

        Requests a permit where that would help.
        """
        obstacle = self.find_obstacle(pool, target, is_resumed=True)
        if obstacle is not None and obstacle.cause is Cause.LIMITED:
            self.queue_permit_request(target)
        return obstacle is not None and obstacle.cause is not Cause.EVACUATED

    def is_evacuated(self, target: directories.Target) -> bool:
        """Whether a target's data hall is evacuated, so that nothing new is sent there."""
        return target.data_hall in self._directory.evacuated

    def list_backoff_ends(self, pool: routes.Pool) -> list[float]:
        """End of the back-off of each target of a pool that accepts requests, in loop time."""
        ends = [
            self._backoffs.find_end(target.target_id, self._usage.count_own_at(target.address))
            for target in self._directory.list_pool(pool.name)
        ]
        return [until for until in ends if until is not None]

    def has_version(self, pool: routes.Pool, software_version: str | None) -> bool:
        """Whether a target with a software version accepts requests; true for None, any version."""
        return software_version is None or any(
            target.has_version(software_version) for target in self._directory.list_pool(pool.name)
        )

    def find_next_opening(
        self,
        pool: routes.Pool,
        excluded: Collection[str] = (),
        software_version: str | None = None,
    ) -> float:
        """Time of the event loop from which a target of a pool may accept a request.

        Infinite if none will by itself; targets that are `excluded` (ids) don't count, nor those
        that don't have a given `software_version`.
        """
        now = self._now()
        first = float("inf")
        for target in self._directory.list_pool(pool.name):
            if target.target_id in excluded or not target.has_version(software_version):
                continue
            obstacle = self.find_obstacle(pool, target)
            first = min(first, max(now, obstacle.until) if obstacle is not None else now)
        return first

    def compute_warm_up_seconds(self, pool: routes.Pool) -> float:
        """Seconds until the first cold target of a pool is warm; 0 if none is cold."""
        now = self._now()
        targets = self._directory.list_pool(pool.name)
        return min((item.warm_at - now for item in targets if item.warm_at > now), default=0.0)

    async def wait_for_permits(self, seconds: float) -> None:
        """Wait until requested permits are granted or denied, at most `seconds`."""
        await self._permits.wait_for_reply(seconds)

    def queue_permit_request(self, target: directories.Target) -> None:
        """Queue a request for a permit, for later requests to a target."""
        self._permits.queue_request(target.target_id)

    def needs_permit(self, target: directories.Target) -> bool:
        """Whether a target has named a limit and this entry needs a permit to send there."""
        return not self._permits.can_send(target.target_id)

    async def request_permit(self, target: directories.Target, seconds: float) -> bool:
        """Request a permit and wait at most `seconds` for it; whether one is held then."""
        self.queue_permit_request(target)
        await self._permits.wait_for_reply(seconds)
        return not self.needs_permit(target)

    def is_permit_likely(self, target: directories.Target) -> bool:
        """Whether a permit will probably be granted soon if requested."""
        return self._permits.is_permit_likely(target.target_id)

    def find_limit(self, target: directories.Target) -> float | None:
        """A target's limit in requests a second; None without one in force."""
        return self._permits.find_limit(target.target_id)

    def list_limits(self, pool: routes.Pool) -> list[float]:
        """Limits in force of a pool's targets that accept requests, in requests a second."""
        limits = [self.find_limit(target) for target in self._directory.list_pool(pool.name)]
        return [limit for limit in limits if limit is not None]

    def list_evacuated(self) -> list[str]:
        """Evacuated data halls, to whose targets nothing new is sent."""
        return sorted(self._directory.evacuated)
