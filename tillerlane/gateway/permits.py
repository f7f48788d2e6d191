"""Permits of one entry to send to targets that have named limits.

An entry asks for permits when a request could have used one, and asks again as long as requests do.
Permits are given by the leader of the keepers' log (`gateway.grants`), to which the keeper that is
asked passes the wishes on.  While nobody gives any, the entry keeps to its share by lot.
"""

import asyncio
import collections
import dataclasses
import math
from collections.abc import Awaitable, Callable

from tillerlane.decisions import limits as decisions
from tillerlane.faults import core as faults
from tillerlane.gateway import limits
from tillerlane.peers import link as links
from tillerlane.peers import messages

__all__ = ["Permits"]

ASK_SECONDS = 0.05
"""Least pause between two requests for permits."""
MOST_REQUESTS = 1_000
"""Requests for permits that all entries together make a second at most; the pause grows for it."""
ANSWER_SECONDS = 0.3
"""Longest wait for permits; an exchange within a region takes milliseconds."""
MOST_WISHES = 2
"""Targets that one request wishes for at most: it needs one of them."""

Ask = Callable[[list[messages.PermitWish]], Awaitable[list[messages.PermitGrant]]]


@dataclasses.dataclass(slots=True)
class _Held:
    """Permits held for a target: until when each may be used, the first to end first."""

    until: collections.deque[float] = dataclasses.field(default_factory=collections.deque)

    def drop_ended(self, now: float) -> int:
        """Drop those whose time is over; how many were dropped."""
        ended = sum(at <= now for at in self.until)
        self.until = collections.deque(at for at in self.until if at > now)
        return ended


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
    ask : callable
        Asks for permits; raises `links.LinkLost` or `faults.FaultError` if there is no answer.
    on_answered : callable
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
        self._held: dict[str, _Held] = collections.defaultdict(_Held)
        self._sent: dict[str, collections.deque[float]] = collections.defaultdict(collections.deque)
        """Times of this entry's latest sends to limited targets, no older than a window."""
        self._wishes: collections.Counter[str] = collections.Counter()
        self._wished = asyncio.Event()
        self._is_answered = True
        """Whether the last request for permits had an answer."""
        self.ask: Ask = _have_nobody_to_ask
        self.on_answered: Callable[[bool, str], None] = lambda is_answered, reason: None
        self.entries = 0
        self.unused = 0

    def find_limit(self, target_id: str) -> float | None:
        """A target's limit in requests a second; None without one in force."""
        return self._limits.find(target_id, self._now())

    def may_send(self, target_id: str) -> bool:
        """Whether a request may go to a target now."""
        if not len(self._limits):
            return True
        now = self._now()
        limit = self._limits.find(target_id, now)
        if limit is None:
            return True
        if self._has_permit(target_id, now):
            return True
        return not self._is_answered and self._count_sent(target_id, now) < self._read_share(
            target_id, limit
        )

    def wish(self, target_id: str) -> None:
        """Have permits asked for, since a request could have gone to a target with one."""
        self._wishes[target_id] += 1
        self._wished.set()

    def note_sent(self, target_id: str) -> None:
        """Count a request that goes out to a target now; it uses a permit if one is held."""
        now = self._now()
        if self._limits.find(target_id, now) is None:
            return
        self._sent[target_id].append(now)
        if self._has_permit(target_id, now):
            self._held[target_id].until.popleft()

    def forget(self, target_id: str) -> None:
        """Drop what is kept of a target that has ended."""
        for kept in (self._held, self._sent, self._wishes):
            kept.pop(target_id, None)

    def _has_permit(self, target_id: str, now: float) -> bool:
        held = self._held.get(target_id)
        if held is None:
            return False
        self.unused += held.drop_ended(now)
        return bool(held.until)

    def _count_sent(self, target_id: str, now: float) -> int:
        times = self._sent[target_id]
        while times and times[0] <= now - decisions.WINDOW_SECONDS:
            times.popleft()
        return len(times)

    def _read_share(self, target_id: str, limit: float) -> int:
        lot = decisions.draw_lot(self._entry, target_id)
        return decisions.count_share(decisions.build_fallback(limit), self.entries, lot)

    # Asking

    async def run(self) -> None:
        """Ask for what is wished for, until cancelled."""
        while True:
            await self._wished.wait()
            self._wished.clear()
            await self._ask()
            await asyncio.sleep(max(ASK_SECONDS, self.entries / MOST_REQUESTS))

    async def _ask(self) -> None:
        asked_at = self._now()
        wishes = self._list_wishes(asked_at)
        self._wishes.clear()
        if not wishes:
            return
        try:
            grants = await self.ask(wishes)
        except (links.LinkLost, faults.FaultError) as error:
            self._note_answered(False, str(error))
            return
        self._note_answered(True, "")
        for grant in grants:
            until = asked_at + grant.hold_ms / 1000
            self._held[grant.target_id].until.extend([until] * grant.count)

    def _list_wishes(self, now: float) -> list[messages.PermitWish]:
        """What to ask for: no more than the limit allows until the next time."""
        pause = max(ASK_SECONDS, self.entries / MOST_REQUESTS)
        found = []
        for target_id, count in self._wishes.items():
            limit = self._limits.find(target_id, now)
            if limit is not None:
                most = max(1, math.ceil(limit * pause))
                found.append(messages.PermitWish(target_id, min(count, most), limit))
        return found

    def _note_answered(self, is_answered: bool, reason: str) -> None:
        if is_answered != self._is_answered:
            self.on_answered(is_answered, reason)
        self._is_answered = is_answered


async def _have_nobody_to_ask(
    wishes: list[messages.PermitWish],
) -> list[messages.PermitGrant]:
    raise links.LinkLost("no keeper to ask for permits")
