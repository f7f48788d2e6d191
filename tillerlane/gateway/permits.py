"""Permits of one entry to send to targets that have named limits.

A request that would go to such a target asks for a permit and waits for the answer, a round trip.
While permits are denied, requests go elsewhere and have one asked for in passing, for those that
come next.  What nobody uses soon is given back.  Permits are given by the leader of the keepers'
log (`gateway.grants`), to which the keeper that is asked passes the wishes on.  While nobody gives
any, the entry keeps to its share by lot.
"""

import asyncio
import collections
import contextlib
import math
from collections.abc import Awaitable, Callable

from tillerlane.decisions import limits as decisions
from tillerlane.faults import core as faults
from tillerlane.gateway import limits
from tillerlane.peers import link as links
from tillerlane.peers import messages

__all__ = ["Permits"]

REQUEST_INTERVAL_SECONDS = 0.05
"""Least pause between two requests for permits; an entry makes one at a time."""
REPLY_TIMEOUT_SECONDS = 0.3
"""Longest wait for permits; an exchange within a region takes milliseconds."""
USE_SHARE = 0.5
"""Share of the time for which a permit holds in which it is used; in the rest it is given back."""
DENIAL_DELAY_SECONDS = 0.3
"""How long no request waits for a permit after one was denied."""
MAX_PERMIT_REQUESTS = 2
"""Targets that one request wishes for at most: it needs one of them."""

RequestGrants = Callable[[list[messages.PermitWish]], Awaitable[list[messages.PermitGrant]]]


class Permits:
    """What one entry may send to targets that have named limits.

    Parameters
    ----------
    entry : str
        This entry's id, by which it draws its lots.
    named_limits : limits.Limits
        What targets have named.
    now : callable
        Time of the event loop.

    Attributes
    ----------
    request_grants : callable
        Asks for permits; raises `links.LinkLost` or `faults.FaultError` if there is no answer.
    on_owner_change : callable
        Called when permits are no more to be had, or are again: whether they are, and why not.
    entries : int
        Entries of the fleet, as last heard; 0 until then.
    unused : int
        Permits that ended unused.
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
        """Until when each permit is to be used, by target, the first to end first."""
        self._returned: collections.Counter[str] = collections.Counter()
        """Permits to be given back."""
        self._sent: dict[str, collections.deque[float]] = collections.defaultdict(collections.deque)
        """Times of this entry's latest sends to limited targets, no older than a window."""
        self._denied: dict[str, float] = {}
        """When a permit was last denied, by target."""
        self._wishes: collections.Counter[str] = collections.Counter()
        self._wished = asyncio.Event()
        self._next_reply: asyncio.Future[None] | None = None
        """What requests wait for that found no permit."""
        self._has_owner = True
        """Whether the last request for permits had an answer."""
        self.request_grants: RequestGrants = _have_nobody_to_ask
        self.on_owner_change: Callable[[bool, str], None] = lambda is_answered, reason: None
        self.entries = 0
        self.unused = 0

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
        return not self._has_owner and self._count_sent(target_id, now) < self._read_share(
            target_id, limit
        )

    def is_permit_likely(self, target_id: str) -> bool:
        """Whether a request that waits for a permit is likely to get one soon."""
        denied_at = self._denied.get(target_id)
        return self._has_owner and (
            denied_at is None or self._now() - denied_at >= DENIAL_DELAY_SECONDS
        )

    def queue_request(self, target_id: str) -> None:
        """Have permits asked for, since a request could have gone to a target with one."""
        self._wishes[target_id] += 1
        self._wished.set()

    def record_send(self, target_id: str) -> None:
        """Count a request that goes out to a target now; it uses a permit if one is held."""
        now = self._now()
        if self._limits.find(target_id, now) is None:
            return
        self._count_sent(target_id, now)
        self._sent[target_id].append(now)
        if self._has_permit(target_id, now):
            self._held[target_id].popleft()

    def discard(self, target_id: str) -> None:
        """Drop what is kept of a target that has ended."""
        for kept in (self._held, self._sent, self._wishes, self._returned, self._denied):
            kept.pop(target_id, None)

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

    def _read_share(self, target_id: str, limit: float) -> int:
        lot = decisions.compute_hash_fraction(self._entry, target_id)
        return decisions.compute_share(decisions.compute_fallback_quota(limit), self.entries, lot)

    # Asking

    async def wait_for_reply(self, seconds: float) -> None:
        """Wait until permits that were asked for have come, or were denied; so long at most."""
        if self._next_reply is None:
            self._next_reply = asyncio.get_running_loop().create_future()
        await asyncio.wait({self._next_reply}, timeout=seconds)

    async def run(self) -> None:
        """Ask for what is wished for and give back what is not used, until cancelled."""
        while True:
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout_at(self._read_next_end()):
                    await self._wished.wait()
            self._wished.clear()
            await self._ask()
            self._wake_waiting()
            await asyncio.sleep(REQUEST_INTERVAL_SECONDS)

    def _read_next_end(self) -> float | None:
        """When the first permit held has to be given back; None without any."""
        return min((held[0] for held in self._held.values() if held), default=None)

    def _wake_waiting(self) -> None:
        if self._next_reply is not None and not self._next_reply.done():
            self._next_reply.set_result(None)
        self._next_reply = None

    async def _ask(self) -> None:
        asked_at = self._now()
        wishes = self._list_wishes(asked_at)
        self._wishes.clear()
        self._returned.clear()
        if not wishes:
            return
        try:
            grants = await self.request_grants(wishes)
        except (links.LinkLost, faults.FaultError) as error:
            self._record_owner(False, str(error))
            return
        self._record_owner(True, "")
        granted = {grant.target_id for grant in grants}
        for wish in wishes:
            if wish.count and wish.target_id not in granted:
                self._denied[wish.target_id] = self._now()
        for grant in grants:
            until = asked_at + grant.hold_ms / 1000 * USE_SHARE
            self._held[grant.target_id].extend([until] * grant.count)

    def _list_wishes(self, now: float) -> list[messages.PermitWish]:
        """What to ask for, no more than the limit allows until the next time, and to give back."""
        for target_id in self._held:
            self._has_permit(target_id, now)
        found = []
        for target_id in {*self._wishes, *self._returned}:
            limit = self._limits.find(target_id, now)
            if limit is not None:
                most = max(1, math.ceil(limit * REQUEST_INTERVAL_SECONDS))
                count = min(self._wishes[target_id], most)
                returned = self._returned[target_id]
                found.append(messages.PermitWish(target_id, count, limit, returned))
        return found

    def _record_owner(self, is_answered: bool, reason: str) -> None:
        if is_answered != self._has_owner:
            self.on_owner_change(is_answered, reason)
        self._has_owner = is_answered


async def _have_nobody_to_ask(
    wishes: list[messages.PermitWish],
) -> list[messages.PermitGrant]:
    raise links.LinkLost("no keeper to ask for permits")
