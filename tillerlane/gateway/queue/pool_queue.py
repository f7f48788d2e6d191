"""Requests that wait at one entry for one pool, in the order in which they are offered memory."""

import asyncio
import bisect
import dataclasses
import math
import random
from collections.abc import Callable

from tillerlane.decisions import ordering, placing, room, shares
from tillerlane.gateway import routes
from tillerlane.gateway.queue import memory_watch, offers

__all__ = ["PoolQueue", "Ticket"]

MAX_WAITING = 512
MAX_BODY_BYTES = 8 * 1024 * 1024
"""Bounds on the waiting requests of a pool and on their bodies: an entry has 128 MB.  512 requests
are a hundred seconds of an entry's traffic, far more than the pool serves before they are due."""
MAX_OFFERS = 16
"""Requests that a pass offers memory to: runners seldom free memory for more at once, and a choice
takes 0.1 ms."""
MAX_CHECKS = 64
"""Further requests that are checked at a time, which takes 3 us each: all of a full queue within
0.8 s, and of a usual one at once."""
CHECK_INTERVAL_SECONDS = 0.03
"""Longest time between two passes while requests wait."""
MIN_PASS_INTERVAL_SECONDS = 0.005
MIN_PASS_INTERVAL_PER_TARGET_SECONDS = 0.00003
"""Shortest time between two passes, also for each target: reading a target's load takes 1 us, so
that this takes some 3% of a core at most."""
SORT_INTERVAL_SECONDS = 0.1
"""How often ranks are computed anew, and requests beyond the first `MAX_OFFERS` are checked."""
CLAIM_AFTER_SECONDS = 0.1
"""How long the first request waits before it claims a runner: most waits end by themselves before
that, and a claim keeps memory from others."""
MAX_CLAIM_SECONDS = 1.0
"""How long a request claims the same runner: runs there last some 8 s, so that another runner may
be the first to free memory."""
MAX_CLAIMED_SHARE = 0.0
"""Share of the pool's memory that may be claimed already when another claim is made: one claim at a
time, as far as it is known here.  What is claimed stays idle until there is enough of it, and more
claims at a time cost more than they bring (``docs/design/queue.md``)."""
READ_TOKENS_PER_SECOND = placing.PREFILL_TOKENS_PER_SECOND


@dataclasses.dataclass(eq=False, slots=True)
class Ticket:
    """One waiting request.

    Attributes
    ----------
    rank, length : int
        Its rank when it joined, 0 for the first, and the length of the queue then.
    cause : offers.Wait
        Why it waits, by the last offer.
    forecast_seconds : float or None
        Seconds until there is memory for it, by the last forecast.
    latest_start : float
        Latest time of a send whose first event is in time.
    is_late : bool
        Whether it can't be in time any more.
    headroom_tokens : int
        Memory that must be free beside it at its runner.
    fits_since : float
        Since when a runner has had enough free memory for it; infinite if none has.
    """

    item: ordering.Waiting
    place: offers.Place
    body_bytes: int
    joined_at: float
    workspace: str
    future: "asyncio.Future[offers.Placement | offers.Verdict]"
    leave: Callable[["Ticket"], None]
    key: tuple[float, int, float] = (0.0, 0, 0.0)
    rank: int = 0
    length: int = 0
    cause: offers.Wait = offers.Wait.MEMORY
    forecast_seconds: float | None = None
    latest_start: float = 0.0
    is_late: bool = False
    headroom_tokens: int = 0
    fits_since: float = math.inf

    @property
    def needed_tokens(self) -> int:
        """Free memory that a runner must have for it."""
        return self.item.memory_tokens + self.headroom_tokens

    async def wait(self) -> offers.Placement | offers.Verdict:
        """Wait until there is a target or a verdict.

        If the caller disconnects, the place in the queue and the load of a target that has just
        been chosen are released.
        """
        try:
            return await self.future
        except asyncio.CancelledError:
            if self.future.done() and not self.future.cancelled():
                result = self.future.result()
                if isinstance(result, offers.Placement):
                    result.release()
            raise
        finally:
            self.leave(self)


class PoolQueue:
    """Waiting requests of one pool.

    Parameters
    ----------
    watch : memory_watch.MemoryWatch
        Free memory of the pool's runners.
    rng : random.Random
        Decides which requests are offered memory that other entries want too.

    Attributes
    ----------
    pool : routes.Pool
        The pool as last configured.
    compute_debt : callable
        Tokens by which a workspace is above its share, by pool and workspace.
    record_waiting : callable
        Called with changes: pool, workspace, priority, requests, tokens.
    estimate_waiting_elsewhere : callable
        Tokens that wait at all other entries for a pool, given those that wait here.
    is_closed : bool
        Whether requests are refused instead of waiting.
    """

    def __init__(
        self, pool: routes.Pool, watch: memory_watch.MemoryWatch, rng: random.Random
    ) -> None:
        self.pool = pool
        self._rng = rng
        self.compute_debt: Callable[[str, str], float] = lambda pool, workspace: 0.0
        self.record_waiting: Callable[[str, str, int, int, int], None] = (
            lambda pool, workspace, priority, requests, tokens: None
        )
        self.estimate_waiting_elsewhere: Callable[[str, int], float] = lambda pool, tokens: 0.0
        self.is_closed = False
        self._watch = watch
        self._loop = asyncio.get_running_loop()
        self._ordered: list[Ticket] = []
        self._tokens = 0
        self._body_bytes = 0
        self._claimant: Ticket | None = None
        self._claimed_at = -math.inf
        self._checked = 0
        """Requests behind the first `MAX_OFFERS` that were checked already."""
        self._pass: asyncio.TimerHandle | None = None
        self._passed_at = self._sorted_at = -math.inf

    def __len__(self) -> int:
        return len(self._ordered)

    def rank(self, ticket: Ticket) -> int | None:
        """Number of requests ahead of a request; None if it does not wait."""
        return self._ordered.index(ticket) if ticket in self._ordered else None

    # Joining and leaving

    @property
    def freed_tokens_per_second(self) -> float | None:
        """Rate at which the pool's memory becomes free; None if unknown."""
        return self._watch.freed_tokens_per_second

    def join(
        self,
        item: ordering.Waiting,
        place: offers.Place,
        workspace: str = "",
        body_bytes: int = 0,
        headroom_tokens: int = 0,
    ) -> Ticket:
        """Add a request in its rank; its ticket has a verdict already if the queue is full.

        The request leaves `headroom_tokens` of its runner's memory free.
        """
        now = self._loop.time()
        future: asyncio.Future[offers.Placement | offers.Verdict] = self._loop.create_future()
        ticket = Ticket(item, place, body_bytes, now, workspace, future, self.leave)
        ticket.headroom_tokens = headroom_tokens
        ticket.length = len(self._ordered)
        if self.is_closed:
            future.set_result(offers.Verdict(offers.VerdictKind.STOPPING))
            return ticket
        if ticket.length >= MAX_WAITING or self._body_bytes + body_bytes > MAX_BODY_BYTES:
            future.set_result(offers.Verdict(offers.VerdictKind.OVERFULL))
            return ticket
        self._update_key(ticket, now)
        ticket.rank = bisect.bisect(self._ordered, ticket.key, key=_get_key)
        self._ordered.insert(ticket.rank, ticket)
        self._body_bytes += body_bytes
        self._count(ticket, 1)
        if ticket.rank < MAX_OFFERS:
            self.notify()
        return ticket

    def leave(self, ticket: Ticket) -> None:
        """Remove a request and end its claim; nothing happens if it does not wait."""
        if ticket not in self._ordered:
            return
        self._ordered.remove(ticket)
        self._body_bytes -= ticket.body_bytes
        self._count(ticket, -1)
        if ticket is self._claimant:
            self._claimant = None
            ticket.place.release_claim()

    def refuse_all(self) -> int:
        """Refuse all waiting requests and later ones, before a stop; returns their number."""
        self.is_closed = True
        waiting = list(self._ordered)
        for ticket in waiting:
            self._resolve(ticket, offers.Verdict(offers.VerdictKind.STOPPING))
        return len(waiting)

    def _count(self, ticket: Ticket, sign: int) -> None:
        """Count what waits and can still be in time; other requests take only what is left."""
        if ticket.is_late:
            return
        item = ticket.item
        self._tokens += sign * item.memory_tokens
        self.record_waiting(
            self.pool.name, ticket.workspace, item.priority, sign, sign * item.memory_tokens
        )

    # Offering memory

    def notify(self) -> None:
        """Offer memory soon, since some may have become free."""
        self._schedule(0.0)

    def _schedule(self, seconds: float) -> None:
        if not self._ordered:
            return
        interval = max(
            MIN_PASS_INTERVAL_SECONDS,
            self._watch.targets * MIN_PASS_INTERVAL_PER_TARGET_SECONDS,
        )
        at = max(self._loop.time() + seconds, self._passed_at + interval)
        if self._pass is not None:
            if self._pass.when() <= at:
                return
            self._pass.cancel()
        self._pass = self._loop.call_at(at, self._run_pass)

    def _run_pass(self) -> None:
        """Offer free memory; an error must not end later passes."""
        self._pass = None
        try:
            self._offer_all()
        finally:
            self._schedule(CHECK_INTERVAL_SECONDS)

    def _offer_all(self) -> None:
        """Offer free memory to the first requests, in order."""
        now = self._loop.time()
        seconds, self._passed_at = now - self._passed_at, now
        self._end_old_claim(now)
        self._watch.update(self.pool, now)
        if now - self._sorted_at >= SORT_INTERVAL_SECONDS:
            self._sort(now)
            self._check_rest(now)
        ahead_tokens = 0
        # Short requests may use memory that long ones have to leave free.
        parts = {is_long: self._compute_part(seconds, is_long) for is_long in (False, True)}
        for ticket in self._ordered[:MAX_OFFERS]:
            is_long = ticket.item.is_long
            if ticket is self._claimant:
                self._offer_claimed(ticket)
            if parts[is_long] > 0 and not ticket.future.done():
                parts[is_long] = self._offer(ticket, parts[is_long])
            if not ticket.future.done():
                self._check(ticket, ahead_tokens, now)
            if not ticket.future.done():
                ahead_tokens += ticket.item.memory_tokens
        self._update_claim(now, seconds)

    def _compute_part(self, seconds: float, is_long: bool) -> float:
        """Tokens of the free memory that this entry's long or short requests may take now."""
        most = self._watch.most_free_tokens
        of_class = [item for item in self._ordered[:MAX_OFFERS] if item.item.is_long == is_long]
        first = next((ticket for ticket in of_class if ticket.needed_tokens <= most), None)
        if first is None or not self._watch.targets:
            return math.inf  # no runner is known, or none has memory for any of them
        free_tokens = self._watch.sum_usable(first.item.memory_tokens, first.headroom_tokens)
        own_tokens = sum(item.item.memory_tokens for item in of_class if not item.is_late)
        # Other entries' requests are taken to have the same mix.
        elsewhere = self._estimate_elsewhere() * (
            own_tokens / self._tokens if self._tokens > 0 else 1.0
        )
        age = self._watch.report_age_seconds
        return room.compute_part(free_tokens, own_tokens, own_tokens + elsewhere, seconds, age)

    def _offer(self, ticket: Ticket, part: float) -> float:
        """Offer a request what is free, up to a part; returns what is left of that part.

        A request that needs more than the part is offered memory with a probability, so that small
        parts add up to whole requests over all entries.  What it does not get is not offered to
        later ones.  A request that can't be in time gets only what nobody else wants.  One of a
        workspace above its share leaves memory to the others for a moment: it waits at many
        entries, whose equal chances would otherwise add up to the part of the others.
        """
        now = self._loop.time()
        tokens = ticket.item.memory_tokens
        if self._watch.most_free_tokens < ticket.needed_tokens:
            ticket.cause = offers.Wait.MEMORY
            ticket.fits_since = math.inf
            return part
        ticket.fits_since = min(ticket.fits_since, now)
        if now - ticket.fits_since < shares.compute_hold_seconds(ticket.item.debt_tokens):
            ticket.cause = offers.Wait.MEMORY
            return part
        if ticket.is_late and part < math.inf:
            ticket.cause = offers.Wait.MEMORY
            return part
        if part < tokens and self._rng.random() * tokens >= part:
            ticket.cause = offers.Wait.MEMORY
            return 0.0
        result = ticket.place.offer()
        if isinstance(result, offers.Wait):
            ticket.cause = result
            return part
        self._resolve(ticket, result)
        return part - tokens if isinstance(result, offers.Placement) else part

    def _offer_claimed(self, ticket: Ticket) -> None:
        result = ticket.place.offer_claimed()
        if result is not None:
            self._resolve(ticket, result)

    def _resolve(self, ticket: Ticket, result: offers.Placement | offers.Verdict) -> None:
        self.leave(ticket)
        if not ticket.future.done():
            ticket.future.set_result(result)
        elif isinstance(result, offers.Placement):
            result.release()  # its caller has just disconnected

    def _check(self, ticket: Ticket, ahead_tokens: float, now: float) -> None:
        """Refuse a request that will not get memory in time."""
        item = ticket.item
        if now >= item.deadline or ticket.place.is_hopeless():
            self._resolve(ticket, offers.Verdict(offers.VerdictKind.NO_TARGET))
            return
        if ticket.cause is not offers.Wait.MEMORY:
            return
        # Other entries' requests have the same mix, so that as many of them are ahead; its own
        # tokens count half, so that a request that waits alone is in the middle of the others.
        part = (ahead_tokens + item.memory_tokens / 2) / max(1, self._tokens)
        ahead_tokens += self._estimate_elsewhere() * min(1.0, part)
        seconds = self._watch.forecast(item.memory_tokens, ahead_tokens, ticket.headroom_tokens)
        ticket.forecast_seconds = seconds
        if room.decide(item, now, seconds, READ_TOKENS_PER_SECOND) is room.Decision.REFUSE:
            retry_after = room.compute_retry_after(item, now, seconds)
            self._resolve(ticket, offers.Verdict(offers.VerdictKind.NO_ROOM, retry_after))

    def _estimate_elsewhere(self) -> float:
        return self.estimate_waiting_elsewhere(self.pool.name, self._tokens)

    def _sort(self, now: float) -> None:
        """Update the ranks of requests that are late now, or whose workspace's debt has changed."""
        self._sorted_at = now
        debts: dict[str, float] = {}
        for ticket in self._ordered:
            name = ticket.workspace
            if name not in debts:
                debts[name] = self.compute_debt(self.pool.name, name)
            has_changed = ticket.item.debt_tokens != debts[name]
            if has_changed:
                ticket.item = dataclasses.replace(ticket.item, debt_tokens=debts[name])
            if not ticket.is_late and now > ticket.latest_start:
                self._count(ticket, -1)
                has_changed = True
            if has_changed:
                self._update_key(ticket, now)
        self._ordered.sort(key=_get_key)

    def _update_key(self, ticket: Ticket, now: float) -> None:
        ticket.latest_start = ordering.compute_latest_start(ticket.item, READ_TOKENS_PER_SECOND)
        ticket.is_late = now > ticket.latest_start
        ticket.key = ordering.compute_key(ticket.item, now, READ_TOKENS_PER_SECOND)

    def _check_rest(self, now: float) -> None:
        """Check some of the requests that get no offers yet; the next call goes on from there.

        They wait for the same as the first one.
        """
        rest = self._ordered[MAX_OFFERS:]
        start = self._checked if self._checked < len(rest) else 0
        self._checked = start + MAX_CHECKS
        ahead = self._ordered[: MAX_OFFERS + start]
        ahead_tokens = sum(ticket.item.memory_tokens for ticket in ahead)
        for ticket in rest[start : start + MAX_CHECKS]:
            item = ticket.item
            is_early = now - item.arrived <= room.EARLY_SHARE * item.objective_seconds
            if is_early or ticket.is_late or ticket.place.is_hopeless():
                ticket.cause = self._ordered[0].cause
                self._check(ticket, ahead_tokens, now)
            ahead_tokens += item.memory_tokens

    def _end_old_claim(self, now: float) -> None:
        """End a claim that has lasted long, or whose request is not the first any more."""
        claimant = self._claimant
        if claimant is None:
            return
        is_first = claimant is self._ordered[0] and not claimant.is_late
        if not is_first or now - self._claimed_at >= MAX_CLAIM_SECONDS:
            claimant.place.release_claim()
            self._claimant = None
            self._watch.forget()

    def _update_claim(self, now: float, seconds: float) -> None:
        """Have the first request claim memory once it has waited for a while."""
        if self._claimant is None:
            head = self._ordered[0] if self._ordered else None
            if head is None or not self._may_claim(head, now, seconds):
                return
            self._claimant, self._claimed_at = head, now
        self._claimant.place.claim()

    def _may_claim(self, head: Ticket, now: float, seconds: float) -> bool:
        """Whether the first request may claim a runner; entries whose requests wait take turns."""
        if head.is_late or now - head.joined_at < CLAIM_AFTER_SECONDS:
            return False
        watch = self._watch
        if watch.most_free_tokens >= head.needed_tokens:
            return False
        if watch.claimed_tokens > MAX_CLAIMED_SHARE * watch.memory_tokens:
            return False
        wanted_tokens = self._tokens + self._estimate_elsewhere()
        turn = room.compute_turn(self._tokens, wanted_tokens, seconds, watch.report_age_seconds)
        return self._rng.random() < turn


def _get_key(ticket: Ticket) -> tuple[float, int, float]:
    return ticket.key
