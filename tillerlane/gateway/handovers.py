"""Orders to a runner to stop a run, so that another runner can resume it."""

import asyncio
import collections
from collections.abc import Callable, Coroutine
from typing import Any

from tillerlane.decisions import handover
from tillerlane.gateway import dialect as dialects
from tillerlane.gateway import metrics as entry_metrics
from tillerlane.gateway import runs
from tillerlane.gateway.delivery import order_ledger, stop_notices
from tillerlane.gateway.http import http_client
from tillerlane.timeline import core as timelines

__all__ = ["StopOrder", "StopOrders"]

RETRY_DELAY_SECONDS = 0.05
"""First delay before an order without a clear answer is repeated.  Together with the time-out of a
connection (0.3 s) it stays below the 0.4 s for which two runners may work on one run, so that a
runner that is reachable again gets the order within that time."""
MAX_RETRY_DELAY_SECONDS = 1.0
"""Upper bound of later delays, each of which is twice the one before."""
ANSWER_TIMEOUT_SECONDS = 0.15
"""Time after which an unanswered order is repeated; a late answer to it is still processed.  A
runner stops a run at once, and answers a repeated order by saying that one is in progress."""
ORDER_TIMEOUT_SECONDS = 4.0
"""Longest wait for the answer to an order.  It comes when the runner's link, which makes one copy
at a time, has transferred the run's memory: 0.02 to 0.8 s on a day with many moves."""

_STOP_OUTCOMES = {
    dialects.CopyOutcome.COPIED: handover.StopOutcome.STOPPED,
    dialects.CopyOutcome.NO_RUN: handover.StopOutcome.NO_RUN,
    dialects.CopyOutcome.BUSY: handover.StopOutcome.ORDER_IN_PROGRESS,
    dialects.CopyOutcome.REFUSED: handover.StopOutcome.REFUSED,
    dialects.CopyOutcome.UNREACHABLE: handover.StopOutcome.UNREACHABLE,
    dialects.CopyOutcome.UNSUPPORTED: handover.StopOutcome.UNSUPPORTED,
}

_NOT_CARRIED_OUT = frozenset(
    (
        dialects.CopyOutcome.NO_RUN,
        dialects.CopyOutcome.BUSY,
        dialects.CopyOutcome.NO_ROOM,
        dialects.CopyOutcome.REFUSED,
        dialects.CopyOutcome.UNREACHABLE,
        dialects.CopyOutcome.UNSUPPORTED,
    )
)
"""Outcomes of an order that the runner does not carry out, if no copy is named."""


def _get_stop_outcome(result: dialects.CopyResult) -> handover.StopOutcome:
    """Outcome of an order; a runner without room for a copy names the memory that it keeps."""
    if result.outcome is dialects.CopyOutcome.NO_ROOM and result.handle:
        return handover.StopOutcome.STOPPED
    return _STOP_OUTCOMES.get(result.outcome, handover.StopOutcome.UNCLEAR)


class StopOrder:
    """An order to a runner to stop a run, repeated until the run is released.

    Attributes
    ----------
    run : runs.Run
        The run, on the runner that is to stop it.
    destination : str
        Address of the runner that the run's memory is copied to.
    deadline : float
        Time of the event loop at which the run's time limit, as sent to the runner, expires.
    evidence : handover.Evidence
        What is known so far; proof that the run is released is final.
    copy : dialects.MemoryCopy or None
        The run's memory when it stopped, if the runner has named it.
    is_at_destination : bool
        Whether that copy is on the destination too, and not only on the source.
    is_stream_open : bool
        Whether the run's stream has not ended here.
    is_supported : bool
        Whether the runner's address supports such orders.
    is_cancelled : bool
        Whether the run was resumed on this runner, so that it must not be stopped there.
    is_needed : bool
        Whether the run may still be resumed from the copy.
    orders, unanswered : int
        How often the order was sent, and how many of these the runner may be carrying out.
    on_release : callable
        Called when the run is released.
    """

    def __init__(
        self, run: runs.Run, destination: str, deadline: float, *, is_stream_open: bool
    ) -> None:
        self.run = run
        self.destination = destination
        self.deadline = deadline
        self.evidence = handover.Evidence.NONE
        self.copy: dialects.MemoryCopy | None = None
        self.is_at_destination = False
        self.is_stream_open = is_stream_open
        self.is_supported = True
        self.is_needed = True
        self.orders = 0
        self.unanswered = 0
        self.is_cancelled = False
        self._latest_answered = 0
        self.on_release: Callable[[], None] = lambda: None
        self._has_evidence = asyncio.Event()

    @property
    def is_released(self) -> bool:
        """Whether the runner certainly no longer works on the run."""
        return handover.is_released(self.evidence)

    def record_evidence(self, evidence: handover.Evidence) -> None:
        """Update the evidence; that a runner was unreachable holds until it is reached."""
        if self.is_released:
            return
        self.evidence = evidence
        if evidence is handover.Evidence.NONE:
            self._has_evidence.clear()
        else:
            self._has_evidence.set()
        if self.is_released:
            self.on_release()

    def record_answer(self, number: int, evidence: handover.Evidence) -> None:
        """Update the evidence from an answer; unless it proves a release it may be out of date."""
        if number >= self._latest_answered or handover.is_released(evidence):
            self._latest_answered = max(number, self._latest_answered)
            self.record_evidence(evidence)

    def record_unsupported(self) -> None:
        """Record that the runner's address does not support the order."""
        self.is_supported = False
        self._has_evidence.set()

    async def wait_for_evidence(self, seconds: float) -> handover.Evidence:
        """Wait for evidence, and return it."""
        try:
            async with asyncio.timeout(seconds):
                await self._has_evidence.wait()
        except TimeoutError:
            return handover.Evidence.NONE
        return self.evidence

    async def wait_for_copy(self, seconds: float) -> dialects.MemoryCopy | None:
        """Wait for the memory of the stopped run; None if there is none."""
        loop = asyncio.get_running_loop()
        until = loop.time() + seconds
        while self.copy is None and loop.time() < until:
            await asyncio.sleep(RETRY_DELAY_SECONDS)
        return self.copy


class StopOrders:
    """Sends the orders of one entry to stop runs.

    Parameters
    ----------
    dialect : dialects.Dialect
        Sends an order.
    timeline : timelines.Timeline
        Log of decisions.
    metrics : entry_metrics.EntryMetrics
        Counts outcomes.

    Attributes
    ----------
    ledger : order_ledger.OrderLedger
        All orders and their answers.
    notify_entries : callable
        Tells the other entries of a run that is ordered to stop and not relayed here.
    """

    def __init__(
        self,
        dialect: dialects.Dialect,
        timeline: timelines.Timeline,
        metrics: entry_metrics.EntryMetrics,
    ) -> None:
        self.ledger = order_ledger.OrderLedger()
        self.notify_entries: Callable[[stop_notices.StopNotice], None] = lambda notice: None
        self._relayed: collections.Counter[tuple[str, str]] = collections.Counter()
        """Runs whose streams are relayed here, by address of their runner and request id."""
        self._repeating: set[StopOrder] = set()
        self._dialect = dialect
        self._timeline = timeline
        self._metrics = metrics
        self._loop = asyncio.get_running_loop()
        self._tasks: set[asyncio.Task[None]] = set()
        self._probes: dict[str, asyncio.Task[None]] = {}
        """Attempts to connect to a runner, by address; all orders to that runner share them."""

    def stop(
        self, run: runs.Run, destination: str, deadline: float, *, is_stream_open: bool
    ) -> StopOrder:
        """Order a run's runner to stop it, and repeat the order until the run is released."""
        stop_order = StopOrder(run, destination, deadline, is_stream_open=is_stream_open)
        self._start_task(self._repeat_order(stop_order))
        return stop_order

    def stop_abandoned(self, run: runs.Run, destination: str, deadline: float) -> StopOrder:
        """Order a run to stop whose stream is not relayed (any more), and tell the other entries.

        They may relay a later run of the same request at that runner.
        """
        self._notify(run, deadline)
        return self.stop(run, destination, deadline, is_stream_open=False)

    def abandon(self, stop_order: StopOrder) -> None:
        """Tell the other entries of an order that goes on after its stream has ended here."""
        if not stop_order.is_released:
            self._notify(stop_order.run, stop_order.deadline)

    def _notify(self, run: runs.Run, deadline: float) -> None:
        until = deadline + order_ledger.RETENTION_SECONDS
        self.notify_entries(stop_notices.StopNotice(run.request_id, run.target.address, until))

    def is_relayed(self, run: runs.Run) -> bool:
        """Whether the stream of a run of the same request at the same runner is relayed here."""
        return run.key in self._relayed

    def add_relayed(self, run: runs.Run) -> None:
        """Record that a run's stream is relayed, and withdraw orders to stop an earlier run.

        A runner cannot tell two runs of one request apart.
        """
        self._relayed[run.key] += 1
        for stop_order in self._repeating:
            if stop_order.run.key == run.key:
                stop_order.is_cancelled = True

    def remove_relayed(self, run: runs.Run) -> None:
        """Record that a run's stream is not relayed any more."""
        self._relayed[run.key] -= 1
        if not self._relayed[run.key]:
            del self._relayed[run.key]

    def record_stream_end(self, stop_order: StopOrder) -> None:
        """Record the end of the run's stream, and query at once what it means.

        The stream may have ended because of the order, or by itself at the same time.
        """
        if not stop_order.is_stream_open:
            return
        stop_order.is_stream_open = False
        if not stop_order.is_released:
            stop_order.record_evidence(handover.Evidence.NONE)  # earlier evidence no longer holds
            self._start_task(self._order(stop_order))

    def discard_unused_copy(
        self, stop_order: StopOrder, *, used: dialects.MemoryCopy | None
    ) -> None:
        """Release the copies of an order: the run was resumed from `used`, or not at all.

        Any other copy is unused and would take a slot and memory for seconds.
        """
        if not stop_order.is_needed:
            return
        stop_order.is_needed = stop_order.is_stream_open = False
        if stop_order.copy != used:
            self._drop_copy(stop_order)

    def _start_task(self, coroutine: Coroutine[Any, Any, None]) -> "asyncio.Task[None]":
        task = self._loop.create_task(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        return task

    def _drop_copy(self, stop_order: StopOrder) -> None:
        if stop_order.copy is not None:
            self._start_task(self._dialect.drop_copy(stop_order.copy))

    async def _order(self, stop_order: StopOrder) -> None:
        """Send the order once, and process its answer whenever it arrives."""
        run = stop_order.run
        is_stream_open = stop_order.is_stream_open
        is_own_copy = run.may_be_copying
        may_be_copying = is_own_copy or not stop_order.unanswered
        stop_order.orders += 1
        number = stop_order.orders
        stop_order.unanswered += 1
        sent = self.ledger.add(run, stop_order.deadline)
        result = await self._dialect.stop_run(
            run.target.address, run.request_id, stop_order.destination, ORDER_TIMEOUT_SECONDS
        )
        if result.outcome in _NOT_CARRIED_OUT and not result.handle:
            stop_order.unanswered -= 1
        if result.outcome is dialects.CopyOutcome.UNSUPPORTED:
            stop_order.record_unsupported()
        if result.handle:
            stop_order.copy = dialects.MemoryCopy(run.target.address, result.handle)
            stop_order.is_at_destination = result.outcome is dialects.CopyOutcome.COPIED
            if not stop_order.is_needed:
                self._drop_copy(stop_order)
        outcome = _get_stop_outcome(result)
        sent.record_outcome(outcome, may_be_copying=is_own_copy)
        evidence = handover.derive_evidence(
            outcome, is_stream_open=is_stream_open, may_be_copying=may_be_copying
        )
        stop_order.record_answer(number, evidence)

    async def _repeat_order(self, stop_order: StopOrder) -> None:
        """Repeat the order until the run is released."""
        self._repeating.add(stop_order)
        try:
            await self._repeat_until_released(stop_order)
        finally:
            self._repeating.discard(stop_order)

    async def _repeat_until_released(self, stop_order: StopOrder) -> None:
        started_at = self._loop.time()
        delay = RETRY_DELAY_SECONDS
        while (
            not stop_order.is_released and stop_order.is_supported and not stop_order.is_cancelled
        ):
            if self._loop.time() >= stop_order.deadline:
                stop_order.record_evidence(handover.Evidence.EXPIRED)
                break
            await asyncio.wait(
                {self._start_task(self._order(stop_order))}, timeout=ANSWER_TIMEOUT_SECONDS
            )
            if stop_order.is_released:
                break
            if stop_order.evidence is handover.Evidence.UNREACHABLE:
                await self._wait_until_reachable(stop_order)
                stop_order.record_evidence(handover.Evidence.NONE)
                continue
            await asyncio.sleep(delay)
            delay = min(2 * delay, MAX_RETRY_DELAY_SECONDS)
        self._record_result(stop_order, started_at)

    def _record_result(self, stop_order: StopOrder, started_at: float) -> None:
        self._metrics.stops.labels(stop_order.evidence.value).inc()
        self._timeline.record(
            "run.stop",
            request_id=stop_order.run.request_id,
            source=stop_order.run.target.target_id,
            evidence=stop_order.evidence.value,
            orders=stop_order.orders,
            unanswered=stop_order.unanswered,
            took_ms=int((self._loop.time() - started_at) * 1000),
        )

    async def _wait_until_reachable(self, stop_order: StopOrder) -> None:
        """Wait until a connection to a run's runner is established or refused."""
        address = stop_order.run.target.address
        task = self._probes.get(address)
        if task is None:
            task = self._start_task(self._probe_until_reachable(address, stop_order.deadline))
            self._probes[address] = task
            task.add_done_callback(lambda _: self._probes.pop(address))
        await asyncio.shield(task)

    async def _probe_until_reachable(self, address: str, deadline: float) -> None:
        while self._loop.time() < deadline:
            if await http_client.probe(address) is not http_client.ProbeResult.UNREACHABLE:
                return
            await asyncio.sleep(RETRY_DELAY_SECONDS)
