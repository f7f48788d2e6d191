"""Reservations of memory at runners, taken right before a request is sent.

A reservation ("hold") is no send: it passes through no limit of `availability.Availability` on its
own account, and whatever becomes of it proves nothing about the request.  While it is being taken,
its tokens count as this entry's load at the runner; from then on the request's own load does.

A hold that is not used is dropped.  Where its answer is late or the caller is gone, the call is
awaited in the background and the hold is dropped as soon as its id is known.  A hold whose id or
drop is lost ends with its lease, and its tokens count until then.
"""

import asyncio
import dataclasses
import math
from collections.abc import Coroutine
from typing import Any, TypeVar

from tillerlane.decisions import reserving
from tillerlane.gateway import admission as admissions
from tillerlane.gateway import availability, routes, selection
from tillerlane.gateway import dialect as dialects
from tillerlane.gateway import directory as directories
from tillerlane.gateway import metrics as entry_metrics
from tillerlane.gateway import usage as usages
from tillerlane.gateway.load import moved as moved_loads
from tillerlane.peers import link as links
from tillerlane.timeline import core as timelines

__all__ = ["Full", "Hold", "Reservations", "Unknown", "can_reserve"]

LEASE_SECONDS = 1.0
"""Longest lease: a request is sent within the time to connect (0.3 s); the rest is what a lost drop
may cost."""
TAKE_TIMEOUT_SECONDS = 0.25
"""Longest wait for an answer: a sixth of a short request's objective (1.5 s)."""
LARGEST_SECONDS = 30.0
"""Time over which the largest short request is remembered: an entry gets one in two seconds."""
FULL_SECONDS = 0.1
"""How long a runner without free memory counts as full: about the age of a load report."""
UNSUPPORTED_SECONDS = 5.0
"""How long no hold is requested from a runner that doesn't know the call."""
UNANSWERED_SECONDS = 1.0
"""How long no hold is requested from a runner that gave no answer, each of which costs a request
0.25 s."""


@dataclasses.dataclass(frozen=True, slots=True)
class Hold:
    """Memory reserved at a runner for one request.

    Attributes
    ----------
    expires_at : float
        Time of the event loop at which the lease ends at the latest.
    """

    id: str
    target_id: str
    address: str
    tokens: int
    expires_at: float


@dataclasses.dataclass(frozen=True, slots=True)
class Full:
    """The runner has no free memory or slot for the request now."""


@dataclasses.dataclass(frozen=True, slots=True)
class Unknown:
    """Whether the runner has free memory is not known; the request may be sent without a hold.

    Attributes
    ----------
    is_unreachable : bool
        No connection was established, so that a send would fail in the same way.
    """

    reason: str
    is_unreachable: bool = False


Reservation = Hold | Full | Unknown
_Result = TypeVar("_Result")


@dataclasses.dataclass(frozen=True, slots=True)
class _Rejection:
    """A runner's answer that it has no free memory.

    Attributes
    ----------
    tokens : int
        Memory that was requested.
    others_tokens : int
        Other entries' load of the runner, as known then.
    """

    tokens: int
    others_tokens: int
    until: float


def can_reserve(pool: routes.Pool) -> bool:
    """Whether requests of a pool reserve memory: it has a queue, and its runners support holds."""
    return pool.engine is not None and pool.has_slack and pool.engine.hold_seconds > 0


class Reservations:
    """Reservations of one entry.

    Parameters
    ----------
    dialect : dialects.Dialect
        Sends the calls.
    usage : usages.Usage
        Counts the reserved memory.
    available : availability.Availability
        Knows which targets are blocked.
    selector : selection.Selector
        Gives the load and the speed of pools; learns which runners are full.
    moved : moved_loads.MovedLoads
        Memory that moved runs take.
    timeline : timelines.Timeline
        Log of decisions.
    metrics : entry_metrics.EntryMetrics
        Counts outcomes.
    """

    def __init__(
        self,
        dialect: dialects.Dialect,
        usage: usages.Usage,
        available: availability.Availability,
        selector: selection.Selector,
        moved: moved_loads.MovedLoads,
        timeline: timelines.Timeline,
        metrics: entry_metrics.EntryMetrics,
    ) -> None:
        self._dialect = dialect
        self._usage = usage
        self._available = available
        self._selector = selector
        selector.is_full = self.is_full
        self._moved = moved
        self._timeline = timeline
        self._metrics = metrics
        self._loop = asyncio.get_running_loop()
        self._rejections: dict[str, _Rejection] = {}
        """Latest rejection by each target, by its id."""
        self._skipped_until: dict[str, float] = {}
        """Targets, by id, from which no hold is requested for a while."""
        self._largest: dict[str, tuple[float, float]] = {}
        """Memory of the largest short request of each pool, and when it was sent."""
        self._tasks: set[asyncio.Task[Any]] = set()
        """Calls in progress, also those that nothing waits for any more."""

    def is_needed(self, admission: admissions.Admission, target: directories.Target) -> bool:
        """Whether a request has to reserve memory at a target before it is sent there."""
        engine = admission.pool.engine
        if engine is None or not can_reserve(admission.pool) or admission.tokens <= 0:
            return False
        now = self._loop.time()
        self._record_size(admission, now)
        if self._skipped_until.get(target.target_id, 0.0) > now:
            return False
        if self._usage.compute_age(now) is None:
            return True  # other entries' load is not known, only the runner knows its free memory
        load = self._usage.get(target.address)
        pool_tokens, pool_memory = self._selector.compute_pool_load(admission.pool)
        return reserving.should_reserve(
            load.tokens,
            admission.tokens,
            engine.memory_tokens,
            load.requests,
            target.slots,
            pool_tokens / max(1, pool_memory),
        )

    def compute_long_share(self, admission: admissions.Admission, default: float) -> float:
        """Share of a runner's memory that a new long run may fill; `default` without holds."""
        engine = admission.pool.engine
        if engine is None or not can_reserve(admission.pool):
            return default
        written_tokens = min(
            admission.facts.output_tokens / 2,  # the runs there are halfway on average
            self._selector.estimate_written_tokens(admission.pool, reserving.GROWTH_SECONDS),
        )
        return reserving.compute_long_share(
            engine.memory_tokens,
            admission.tokens,
            admission.compute_growth_reserve(0),
            written_tokens,
            self._moved.estimate(admission.pool),
            int(self._read_largest(admission.pool.name, self._loop.time())),
        )

    def _read_largest(self, pool: str, now: float) -> float:
        """Memory of the largest short request sent to a pool, which decays until the next one."""
        tokens, at = self._largest.get(pool, (0.0, now))
        return tokens * math.exp((at - now) / LARGEST_SECONDS)

    def _record_size(self, admission: admissions.Admission, now: float) -> None:
        if admission.has_long_output:
            return
        pool = admission.pool.name
        if admission.tokens > self._read_largest(pool, now):
            self._largest[pool] = float(admission.tokens), now

    def is_full(self, target: directories.Target, tokens: int) -> bool:
        """Whether a target has just rejected a hold of this size or a smaller one.

        A load report with less memory in use by other entries there ends this earlier.
        """
        rejection = self._rejections.get(target.target_id)
        if rejection is None or tokens < rejection.tokens:
            return False
        if self._loop.time() >= rejection.until:
            del self._rejections[target.target_id]
            return False
        return self._count_others(target.address) >= rejection.others_tokens

    def _count_others(self, address: str) -> int:
        """Tokens of other entries at a target; the own ones include requests that still wait."""
        return self._usage.get(address).tokens - self._usage.get_own(address).tokens

    async def take_if_needed(
        self, admission: admissions.Admission, target: directories.Target
    ) -> Reservation | None:
        """Reserve memory at a target that is almost full; None if it is not."""
        return await self.take(admission, target) if self.is_needed(admission, target) else None

    async def take(
        self, admission: admissions.Admission, target: directories.Target
    ) -> Reservation:
        """Reserve memory for a request at a target.

        The request's load must be counted in the same iteration of the event loop in which this
        returns, since the reservation's own load is no longer counted then.
        """
        obstacle = self._available.find_obstacle(admission.pool, target)
        engine = admission.pool.engine
        if engine is None or obstacle is not None:
            return Unknown(f"{target.address} is blocked for this entry")
        started_at = self._loop.time()
        load = self._usage.get(target.address)
        lease = min(LEASE_SECONDS, engine.hold_seconds)
        hold = Hold("", target.target_id, target.address, admission.tokens, started_at + lease)
        unread = admission.facts.prompt_tokens
        self._usage.add(target.address, requests=1, tokens=hold.tokens, unread=unread)
        call = self._start_task(self._call(hold, lease))
        is_answered = False
        try:
            seconds = min(TAKE_TIMEOUT_SECONDS, admission.deadline - started_at)
            await asyncio.wait({call}, timeout=max(0.0, seconds))
            is_answered = call.done()
        finally:
            self._usage.add(target.address, requests=-1, unread=-unread)
            if is_answered:
                self._uncount(hold, may_be_held=call.result().outcome is dialects.HoldOutcome.LOST)
            else:
                call.add_done_callback(lambda call: self._settle_late(hold, call))
        outcome = call.result().outcome if is_answered else dialects.HoldOutcome.LOST
        self._record(admission, hold, outcome, started_at, load.tokens)
        if outcome is dialects.HoldOutcome.TAKEN:
            return dataclasses.replace(hold, id=call.result().hold)
        return self._handle_failure(hold, outcome)

    def _start_task(self, work: Coroutine[Any, Any, _Result]) -> "asyncio.Task[_Result]":
        task = self._loop.create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        return task

    def _handle_failure(self, hold: Hold, outcome: dialects.HoldOutcome) -> Full | Unknown:
        now = self._loop.time()
        if outcome is dialects.HoldOutcome.FULL:
            self._record_rejection(hold, now)
            return Full()
        if outcome is dialects.HoldOutcome.UNREACHABLE:
            return Unknown(f"{hold.address} can't be reached", is_unreachable=True)
        is_supported = outcome is not dialects.HoldOutcome.UNSUPPORTED
        self._skipped_until = {
            target_id: until for target_id, until in self._skipped_until.items() if until > now
        }
        seconds = UNANSWERED_SECONDS if is_supported else UNSUPPORTED_SECONDS
        self._skipped_until[hold.target_id] = now + seconds
        return Unknown(f"{hold.address}: {outcome.value}")

    async def _call(self, hold: Hold, lease: float) -> dialects.HoldResult:
        try:
            return await self._dialect.reserve_memory(hold.address, hold.tokens, lease, lease)
        except Exception as error:  # its tokens would be counted for ever
            links.log_exception("reservation", error)
            return dialects.HoldResult(dialects.HoldOutcome.LOST)

    def _record_rejection(self, hold: Hold, now: float) -> None:
        for target_id, rejection in list(self._rejections.items()):
            if now >= rejection.until:
                del self._rejections[target_id]
        former = self._rejections.get(hold.target_id)
        tokens = hold.tokens if former is None else min(hold.tokens, former.tokens)
        others_tokens = self._count_others(hold.address)
        self._rejections[hold.target_id] = _Rejection(tokens, others_tokens, now + FULL_SECONDS)

    def _settle_late(self, hold: Hold, call: "asyncio.Task[dialects.HoldResult]") -> None:
        """Drop a hold whose request no longer waited for the answer."""
        if call.cancelled():
            self._uncount(hold)
            return
        result = call.result()
        self._uncount(hold, may_be_held=result.outcome is dialects.HoldOutcome.LOST)
        if result.outcome is dialects.HoldOutcome.TAKEN:
            self.drop(dataclasses.replace(hold, id=result.hold))

    def _uncount(self, hold: Hold, *, may_be_held: bool = False) -> None:
        """Stop counting the memory of a hold; one that may be held counts to the lease's end."""
        left = hold.expires_at - self._loop.time()
        if may_be_held and left > 0:
            self._loop.call_later(left, self._uncount, hold)
        else:
            self._usage.add(hold.address, tokens=-hold.tokens)

    def drop(self, hold: Hold) -> "asyncio.Future[None]":
        """Free an unused hold, in the background; the result may be awaited but need not be."""
        return asyncio.shield(self._start_task(self._drop(hold)))

    async def _drop(self, hold: Hold) -> None:
        self._usage.add(hold.address, tokens=hold.tokens)
        is_dropped = False
        try:
            is_dropped = await self._dialect.drop_reservation(hold.address, hold.id)
        finally:
            self._uncount(hold, may_be_held=not is_dropped)
        self._metrics.holds.labels("dropped" if is_dropped else "drop_lost").inc()
        self._timeline.record(
            "hold.drop", target=hold.target_id, hold=hold.id, is_dropped=is_dropped
        )

    def _record(
        self,
        admission: admissions.Admission,
        hold: Hold,
        outcome: dialects.HoldOutcome,
        started_at: float,
        load_tokens: int,
    ) -> None:
        now = self._loop.time()
        age = self._usage.compute_age(started_at)
        self._metrics.holds.labels(outcome.value).inc()
        self._timeline.record(
            "hold.take",
            request_id=admission.facts.request_id,
            target=hold.target_id,
            outcome=outcome.value,
            tokens=hold.tokens,
            tokens_there=load_tokens,
            load_age_ms=-1 if age is None else int(age * 1000),
            took_ms=int((now - started_at) * 1000),
        )
