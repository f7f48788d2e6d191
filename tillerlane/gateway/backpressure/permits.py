"""Permits of one entry to send to targets that have named limits.

The entry requests a permit for a caller's request to such a target and waits for the reply, a round
trip.  While permits are denied, callers' requests go elsewhere, and permits are requested without
waiting for later ones.  Permits that are not used soon are returned.  The leader of the keepers'
log issues them (`gateway.backpressure.grants`); the keeper that receives the request forwards it.
Without an issuer, the entry keeps to its hash-based share.
"""

import asyncio
import collections
import contextlib
import math
from collections.abc import Awaitable, Callable

from tillerlane.decisions import limits as decisions
from tillerlane.faults import core as faults
from tillerlane.gateway.backpressure import limits
from tillerlane.peers import link as links
from tillerlane.peers import messages

__all__ = ["Permits"]

REQUEST_INTERVAL_SECONDS = 0.05
"""Minimum time between two requests for permits; an entry makes one at a time."""
REPLY_TIMEOUT_SECONDS = 0.3
"""Maximum wait for permits; an exchange within a region takes milliseconds."""
USE_SHARE = 0.5
"""Part of a permit's validity in which it is used; in the rest it is returned."""
DENIAL_DELAY_SECONDS = 0.3
"""How long after a denial no request waits for a permit."""
MAX_PERMIT_REQUESTS = 2
"""Maximum number of targets for which one request queues a permit: it needs one of them."""

RequestGrants = Callable[[list[messages.PermitWish]], Awaitable[list[messages.PermitGrant]]]


class Permits:
    """What one entry may send to targets that have named limits.

    Parameters
    ----------
    entry : str
        This entry's id, from which its share of each target is derived.
    named_limits : limits.Limits
        Limits that targets have named.
    now : callable
        Time of the event loop.

    Attributes
    ----------
    request_grants : callable
        Requests permits; raises `links.LinkLost` or `faults.FaultError` without a reply.
    on_owner_change : callable
        Called when the issuer stops or resumes replying: whether it replies, and why not.
    entries : int
        Entries of the fleet, as last reported; 0 until then.
    unused : int
        Permits that expired unused.
    on_reply : callable
        Called when permits were granted or denied.
    """

    def __init__(
        self,
        entry: str,
        named_limits: limits.Limits,
        now: Callable[[], float],
    ) -> None:
        self._entry = entry
        self._limits = named_limits
        self._now = now
        self._held: dict[str, collections.deque[float]] = collections.defaultdict(collections.deque)
        """Time until which each permit may be used, by target, earliest first."""
        self._returned: collections.Counter[str] = collections.Counter()
        """Permits to return."""
        self._sent: dict[str, collections.deque[float]] = collections.defaultdict(collections.deque)
        """Times of this entry's sends to limited targets within the window."""
        self._denied: dict[str, float] = {}
        """Time of the latest denial, by target."""
        self._queued: collections.Counter[str] = collections.Counter()
        self._has_queued = asyncio.Event()
        self._next_reply: asyncio.Future[None] | None = None
        """Awaited by requests without a permit."""
        self._is_issuer_reachable = True
        """Whether the last request for permits had a reply."""
        self.request_grants: RequestGrants = _raise_no_keeper
        self.on_owner_change: Callable[[bool, str], None] = lambda is_reachable, reason: None
        self.entries = 0
        self.unused = 0
        self.on_reply: Callable[[], None] = lambda: None

    def find_limit(self, target_id: str) -> float | None:
        """A target's limit in requests a second; None without one in force."""
        return self._limits.find(target_id, self._now())

    def can_send(self, target_id: str) -> bool:
        """Whether a request may go to a target now."""
        if not len(self._limits):
            return True
        now = self._now()
        limit = self._limits.find(target_id, now)
        if limit is None:
            return True
        if self._has_permit(target_id, now):
            return True
        return not self._is_issuer_reachable and self._count_sent(
            target_id, now
        ) < self._compute_share(target_id, limit)

    def is_permit_likely(self, target_id: str) -> bool:
        """Whether a permit will probably be granted soon if requested."""
        denied_at = self._denied.get(target_id)
        return self._is_issuer_reachable and (
            denied_at is None or self._now() - denied_at >= DENIAL_DELAY_SECONDS
        )

    def queue_request(self, target_id: str) -> None:
        """Queue a request for a permit, for later requests to a target."""
        self._queued[target_id] += 1
        self._has_queued.set()

    def record_send(self, target_id: str) -> None:
        """Record a request that is sent to a target now; it uses a permit if one is held."""
        now = self._now()
        if self._limits.find(target_id, now) is None:
            return
        self._count_sent(target_id, now)
        self._sent[target_id].append(now)
        if self._has_permit(target_id, now):
            self._held[target_id].popleft()

    def discard(self, target_id: str) -> None:
        """Discard the state of a target that has ended."""
        for table in (self._held, self._sent, self._queued, self._returned, self._denied):
            table.pop(target_id, None)

    def _has_permit(self, target_id: str, now: float) -> bool:
        held = self._held.get(target_id)
        while held and held[0] <= now:
            held.popleft()
            self._returned[target_id] += 1
            self.unused += 1
        return bool(held)

    def _count_sent(self, target_id: str, now: float) -> int:
        times = self._sent[target_id]
        while times and times[0] <= now - decisions.WINDOW_SECONDS:
            times.popleft()
        return len(times)

    def _compute_share(self, target_id: str, limit: float) -> int:
        fraction = decisions.compute_hash_fraction(self._entry, target_id)
        return decisions.compute_share(
            decisions.compute_fallback_quota(limit), self.entries, fraction
        )

    # Requests to the issuer

    async def wait_for_reply(self, seconds: float) -> None:
        """Wait until requested permits are granted or denied, at most `seconds`."""
        if self._next_reply is None:
            self._next_reply = asyncio.get_running_loop().create_future()
        await asyncio.wait({self._next_reply}, timeout=seconds)

    async def run(self) -> None:
        """Request queued permits and return unused ones, until cancelled."""
        while True:
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout_at(self._find_next_expiry()):
                    await self._has_queued.wait()
            self._has_queued.clear()
            await self._request()
            self._wake_waiters()
            await asyncio.sleep(REQUEST_INTERVAL_SECONDS)

    def _find_next_expiry(self) -> float | None:
        """Time at which the first held permit has to be returned; None without any."""
        return min((held[0] for held in self._held.values() if held), default=None)

    def _wake_waiters(self) -> None:
        self.on_reply()
        if self._next_reply is not None and not self._next_reply.done():
            self._next_reply.set_result(None)
        self._next_reply = None

    async def _request(self) -> None:
        requested_at = self._now()
        requests = self._list_requests(requested_at)
        self._queued.clear()
        self._returned.clear()
        if not requests:
            return
        try:
            grants = await self.request_grants(requests)
        except (links.LinkLost, faults.FaultError) as error:
            self._record_issuer(False, str(error))
            return
        self._record_issuer(True, "")
        granted = {grant.target_id for grant in grants}
        for request in requests:
            if request.count and request.target_id not in granted:
                self._denied[request.target_id] = self._now()
        for grant in grants:
            until = requested_at + grant.hold_ms / 1000 * USE_SHARE
            self._held[grant.target_id].extend([until] * grant.count)

    def _list_requests(self, now: float) -> list[messages.PermitWish]:
        """Permits to request, bounded by the limit until the next request, and to return."""
        for target_id in self._held:
            self._has_permit(target_id, now)
        requests = []
        for target_id in {*self._queued, *self._returned}:
            limit = self._limits.find(target_id, now)
            if limit is not None:
                max_count = max(1, math.ceil(limit * REQUEST_INTERVAL_SECONDS))
                count = min(self._queued[target_id], max_count)
                returned = self._returned[target_id]
                requests.append(messages.PermitWish(target_id, count, limit, returned))
        return requests

    def _record_issuer(self, is_reachable: bool, reason: str) -> None:
        if is_reachable != self._is_issuer_reachable:
            self.on_owner_change(is_reachable, reason)
        self._is_issuer_reachable = is_reachable


async def _raise_no_keeper(
    requests: list[messages.PermitWish],
) -> list[messages.PermitGrant]:
    raise links.LinkLost("no keeper to ask for permits")
