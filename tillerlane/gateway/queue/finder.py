"""Finds a target for a request: at once, or after it has waited in its pool's queue."""

import asyncio
from collections.abc import Callable

from tillerlane.decisions import ordering
from tillerlane.gateway import admission as admissions
from tillerlane.gateway import availability, directory, refusals, selection
from tillerlane.gateway import metrics as entry_metrics
from tillerlane.gateway import usage as usages
from tillerlane.gateway.queue import choosing, memory_watch, offers, pool_queue
from tillerlane.gateway.shares import figures
from tillerlane.timeline import core as timelines

__all__ = ["TargetFinder"]

CHECK_INTERVAL_SECONDS = 0.03
"""Interval at which requests to plain services that wait for a target try again."""
MEMORY_WAIT_SHARE = 0.2
"""Share of the response-time objective that a request waits for memory, in a pool without a queue,
before it is refused with a retry time.  Where memory is short, longer waits take capacity from
later requests that would still be in time: on two loaded days long runs earn 0.52 and 0.57 of their
credit with a share of 0.7, instead of 0.61 and 0.66."""
PERMIT_TIMEOUT_SECONDS = 0.05
"""Longest wait for a permit while other targets have room; a permit exchange takes milliseconds."""


class TargetFinder:
    """Finds targets for the requests of one entry.

    Parameters
    ----------
    chooser : choosing.Chooser
        Chooses targets that can take a request now.
    selector : selection.Selector
        Chooses targets of plain services.
    available : availability.Availability
        Requests permits.
    usage : usages.Usage
        Load of targets.
    targets : directory.Directory
        Known targets.
    refuser : refusals.RefusalBuilder
        Builds refusals.
    timeline : timelines.Timeline
        Log of decisions.
    metrics : entry_metrics.EntryMetrics
        Waiting times.

    Attributes
    ----------
    compute_debt : callable
        Tokens by which a workspace is above its share, by pool and workspace.
    record_waiting : callable
        Called with changes of the waiting requests: pool, workspace, priority, requests, tokens.
    find_first_arrival : callable
        Arrival of the first attempt of a request, by fingerprint; None if unknown.
    record_refusal : callable or None
        Gives the delay after which a refused caller has its turn: fingerprint, first arrival,
        tokens, tokens that become free per second, and the seconds to its deadline.
    estimate_waiting_elsewhere : callable
        Tokens that wait at all other entries for a pool, given the pool and those that wait here.
    """

    def __init__(
        self,
        chooser: choosing.Chooser,
        selector: selection.Selector,
        available: availability.Availability,
        usage: usages.Usage,
        targets: directory.Directory,
        refuser: refusals.RefusalBuilder,
        timeline: timelines.Timeline,
        metrics: entry_metrics.EntryMetrics,
    ) -> None:
        self.compute_debt: Callable[[str, str], float] = lambda pool, workspace: 0.0
        self.record_waiting: Callable[[str, str, int, int, int], None] = (
            lambda pool, workspace, priority, requests, tokens: None
        )
        self.find_first_arrival: Callable[[str], float | None] = lambda fingerprint: None
        self.record_refusal: Callable[[str, float, int, float, float], float] | None = None
        self.estimate_waiting_elsewhere: Callable[[str, int], float] = lambda pool, tokens: (
            usage.assume_equal_entries(tokens)
        )
        self._chooser = chooser
        self._selector = selector
        self._available = available
        self._usage = usage
        self._directory = targets
        self._refusals = refuser
        self._timeline = timeline
        self._metrics = metrics
        self._loop = asyncio.get_running_loop()
        self._queues: dict[str, pool_queue.PoolQueue] = {}
        self._is_stopping = False

    def begin(
        self,
        admission: admissions.Admission,
        is_barred: Callable[[admissions.Admission], bool],
    ) -> choosing.Search:
        """Start the search of a request; it ends once the request `is_barred` from being sent."""
        return choosing.Search(self._chooser, admission, is_barred)

    async def find(self, search: choosing.Search) -> offers.Placement | refusals.NotRun | None:
        """Find a target that can take a request now.

        Returns a refusal if it got no memory in time, and None without any target.  The
        caller has to release the placement before it sends the request.
        """
        while True:
            result = await self._wait_for_target(search)
            if not isinstance(result, offers.Placement):
                return result
            target = result.target
            if search.permit_requests >= choosing.MAX_PERMIT_REQUESTS:
                return result
            if not self._available.needs_permit(target):
                return result
            search.permit_requests += 1
            result.count()
            is_granted = False
            try:
                is_granted = await self._available.request_permit(target, PERMIT_TIMEOUT_SECONDS)
            finally:
                if not is_granted:
                    result.release()
            if is_granted:
                return result

    # Notifications

    def notify(self) -> None:
        """Offer memory to the waiting requests soon, since some may have become free."""
        for queue in self._queues.values():
            queue.notify()

    def refuse_waiting(self) -> None:
        """Refuse all waiting requests, and those that would have to wait later, before a stop."""
        self._is_stopping = True
        refused = sum(queue.refuse_all() for queue in self._queues.values())
        if refused:
            self._timeline.record("queue.stop", refused=refused)

    def count_waiting(self) -> int:
        """Number of requests that wait at this entry."""
        return sum(len(queue) for queue in self._queues.values())

    # Waiting

    async def _wait_for_target(
        self, search: choosing.Search
    ) -> offers.Placement | refusals.NotRun | None:
        if search.admission.pool.engine is None:
            return await self._poll(search)
        if not search.admission.pool.has_slack:
            return await self._poll_runners(search)
        if self._chooser.is_oversized(search.admission):
            return self._refusals.build_no_room(search.admission, "no memory", None)
        queue = self._get_queue(search.admission)
        if not len(queue):
            offer = self._chooser.choose(search)
            if not isinstance(offer, offers.Wait):
                return self._conclude(search.admission, offer)
        return await self._wait_in_queue(search, queue)

    async def _poll(self, search: choosing.Search) -> offers.Placement | None:
        """Find a target of a plain service."""
        admission = search.admission
        while not search.is_barred:
            target = self._selector.choose(
                admission.pool,
                admission.work,
                search.excluded,
                can_request_permit=search.permit_requests < choosing.MAX_PERMIT_REQUESTS,
                software_version=admission.software_version,
            )
            if target is None:
                if not search.excluded and self._chooser.should_wait_for_targets(admission):
                    await asyncio.sleep(CHECK_INTERVAL_SECONDS)
                    continue
                if self._chooser.should_wait_for_capacity(admission, search.excluded):
                    await self._available.wait_for_permits(CHECK_INTERVAL_SECONDS)
                    continue
                return None
            if self._loop.time() + choosing.MIN_SEND_SECONDS > admission.deadline:
                return None
            return offers.Placement(target, lambda sign: None)
        return None

    async def _poll_runners(
        self, search: choosing.Search
    ) -> offers.Placement | refusals.NotRun | None:
        """Find a runner of a pool whose requests have no time to wait for memory in order."""
        admission = search.admission
        wait_deadline = (
            admission.request.arrived + admission.route.objective_seconds * MEMORY_WAIT_SHARE
        )
        while not search.is_barred:
            offer = self._chooser.choose(search)
            if not isinstance(offer, offers.Wait):
                return self._conclude(admission, offer)
            if offer is offers.Wait.MEMORY and self._loop.time() >= wait_deadline:
                return self._refusals.build_no_room(admission, "no memory", None)
            if offer is offers.Wait.TARGET:
                await self._available.wait_for_permits(CHECK_INTERVAL_SECONDS)
            else:
                await asyncio.sleep(CHECK_INTERVAL_SECONDS)
        return None

    async def _wait_in_queue(
        self, search: choosing.Search, queue: pool_queue.PoolQueue
    ) -> offers.Placement | refusals.NotRun | None:
        admission = search.admission
        workspace = admission.workspace_name
        item = self._build_item(admission, workspace)
        headroom = self._chooser.compute_headroom(admission)
        ticket = queue.join(item, search, workspace, len(admission.request.body), headroom)
        if search.queue_rank is None:
            search.queue_rank, search.queue_length = ticket.rank, ticket.length
        outcome = "left"
        try:
            result = await ticket.wait()
            outcome = "placed" if isinstance(result, offers.Placement) else result.kind.value
            if isinstance(result, offers.Verdict) and result.retry_after is not None:
                seconds = self._schedule_return(admission, item, queue, result.retry_after)
                result = offers.Verdict(result.kind, seconds)
            return self._conclude(admission, result)
        finally:
            self._record_wait(search, ticket, outcome)

    def _conclude(
        self, admission: admissions.Admission, result: offers.Placement | offers.Verdict
    ) -> offers.Placement | refusals.NotRun | None:
        if isinstance(result, offers.Placement):
            return result
        if result.kind is offers.VerdictKind.NO_TARGET:
            return None
        return self._refusals.build_no_room(admission, result.kind.value, result.retry_after)

    def _schedule_return(
        self,
        admission: admissions.Admission,
        item: ordering.Waiting,
        queue: pool_queue.PoolQueue,
        retry_after: float,
    ) -> float:
        """Seconds until a refused caller may return, after those that were refused before it."""
        rate = queue.freed_tokens_per_second
        if self.record_refusal is None or rate is None:
            return retry_after
        return self.record_refusal(
            admission.fingerprint,
            item.first_arrived,
            item.memory_tokens,
            rate,
            max(0.0, item.deadline - self._loop.time()),
        )

    def _get_queue(self, admission: admissions.Admission) -> pool_queue.PoolQueue:
        """The queue of a request's pool, as it is configured for that request."""
        pool = admission.pool
        queue = self._queues.get(pool.name)
        if queue is None:
            watch = memory_watch.MemoryWatch(self._directory.list_pool, self._usage)
            queue = self._queues[pool.name] = pool_queue.PoolQueue(pool, watch, self._chooser.rng)
            queue.is_closed = self._is_stopping
            queue.compute_debt = self.compute_debt
            queue.record_waiting = self.record_waiting
            queue.estimate_waiting_elsewhere = self.estimate_waiting_elsewhere
        queue.pool = pool
        return queue

    def _build_item(self, admission: admissions.Admission, workspace: str) -> ordering.Waiting:
        arrived = admission.request.arrived
        first_arrived = self.find_first_arrival(admission.fingerprint)
        return ordering.Waiting(
            arrived,
            arrived if first_arrived is None else min(arrived, first_arrived),
            admission.route.objective_seconds,
            admission.deadline,
            admission.priority,
            admission.facts.prompt_tokens,
            admission.tokens,
            admission.has_long_output,
            self.compute_debt(admission.pool.name, workspace),
        )

    def _record_wait(
        self, search: choosing.Search, ticket: pool_queue.Ticket, outcome: str
    ) -> None:
        admission, item = search.admission, ticket.item
        now = self._loop.time()
        seconds = now - ticket.joined_at
        size = figures.get_size_class(item.prompt_tokens)
        self._metrics.queue_seconds.labels(admission.pool.name, size).observe(seconds)
        forecast = ticket.forecast_seconds
        self._timeline.record(
            "queue.wait",
            request_id=admission.facts.request_id,
            pool=admission.pool.name,
            workspace=ticket.workspace,
            priority=item.priority,
            tokens=item.memory_tokens,
            waited_ms=int(seconds * 1000),
            outcome=outcome,
            cause=ticket.cause.value,
            queue_rank=ticket.rank,
            queue_length=ticket.length,
            share_debt=int(item.debt_tokens),
            forecast_ms=int(forecast * 1000) if forecast is not None else None,
            load_age_ms=self._usage.compute_age_ms(now),
        )
