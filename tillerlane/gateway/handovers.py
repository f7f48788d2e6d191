"""Orders that stop a run at its runner, so that another one may go on with it."""

import asyncio
from collections.abc import Callable, Coroutine
from typing import Any

from tillerlane.decisions import handover
from tillerlane.gateway import dialect as dialects
from tillerlane.gateway import http_client, runs
from tillerlane.gateway import metrics as entry_metrics
from tillerlane.timeline import core as timelines

__all__ = ["StopOrder", "StopOrders"]

RETRY_DELAY_SECONDS = 0.05
"""Pause before an order without a clear answer is given again, for the first time.  With the time
in which a connection comes about or not (0.3 s) it stays below the 0.4 s that two runners may work
on one run: one that can be reached again is told within that time."""
MAX_RETRY_DELAY_SECONDS = 1.0
"""Pause before the later ones, each of which is twice the one before."""
ANSWER_TIMEOUT_SECONDS = 0.15
"""Time after which an order counts as not answered and is given anew; its answer is still taken.
A runner stops a run at once, and tells whoever asks again that an order is under way."""
ORDER_TIMEOUT_SECONDS = 4.0
"""Longest wait for an order's own answer.  It comes when the runner's link, which makes copies one
after another, has carried the run's memory: 0.02 to 0.8 s on a day with many moves."""

_WORDS = {
    dialects.CopyOutcome.COPIED: handover.StopOutcome.STOPPED,
    dialects.CopyOutcome.NO_RUN: handover.StopOutcome.NO_RUN,
    dialects.CopyOutcome.BUSY: handover.StopOutcome.ORDER_IN_PROGRESS,
    dialects.CopyOutcome.REFUSED: handover.StopOutcome.REFUSED,
    dialects.CopyOutcome.UNREACHABLE: handover.StopOutcome.UNREACHABLE,
}

_NOT_TAKEN = frozenset(
    (
        dialects.CopyOutcome.NO_RUN,
        dialects.CopyOutcome.BUSY,
        dialects.CopyOutcome.NO_ROOM,
        dialects.CopyOutcome.REFUSED,
        dialects.CopyOutcome.UNREACHABLE,
        dialects.CopyOutcome.UNSUPPORTED,
    )
)
"""What comes of an order that the runner does not carry out, if it names no memory of the run."""


def _read_word(result: dialects.CopyResult) -> handover.StopOutcome:
    """What a runner said; without room for a copy, it names the memory that it keeps."""
    if result.outcome is dialects.CopyOutcome.NO_ROOM and result.handle:
        return handover.StopOutcome.STOPPED
    return _WORDS.get(result.outcome, handover.StopOutcome.UNCLEAR)


class StopOrder:
    """A run that its runner is told to stop, until it has.

    Attributes
    ----------
    run : runs.Run
        The run, at the runner that is to stop it.
    destination : str
        Address of the runner that the run's memory goes to.
    ends_at : float
        Time of the event loop at which the run is over anyway, by the limit that it was sent with.
    evidence : handover.Evidence
        What is known by now; what proves that the runner has let go stays.
    copy : dialects.MemoryCopy or None
        The run's memory as it was when it stopped, if the runner has named it.
    is_at_destination : bool
        Whether that lies at the destination too, and not only where the run stopped.
    is_stream_open : bool
        Whether the run's stream has not ended here.
    is_supported : bool
        Whether the runner's address knows such orders.
    is_cancelled : bool
        Whether the run goes on at this runner again, so that it is not to be stopped there.
    is_needed : bool
        Whether the run may still go on with what the order copies.
    orders, unanswered : int
        How often the order was given, and how many of these the runner may be carrying out.
    on_release : callable
        Called when the runner has let go.
    """

    def __init__(
        self, run: runs.Run, destination: str, ends_at: float, *, is_stream_open: bool
    ) -> None:
        self.run = run
        self.destination = destination
        self.ends_at = ends_at
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
        self._known = asyncio.Event()

    @property
    def is_released(self) -> bool:
        """Whether the runner certainly works on the run no more."""
        return handover.is_released(self.evidence)

    def record_evidence(self, evidence: handover.Evidence) -> None:
        """Take what is known now; that a runner was out of reach holds until it is reached."""
        if self.is_released:
            return
        self.evidence = evidence
        if evidence is handover.Evidence.NONE:
            self._known.clear()
        else:
            self._known.set()
        if self.is_released:
            self.on_release()

    def record_answer(self, number: int, evidence: handover.Evidence) -> None:
        """Take what an order's answer proves; what does not prove an end may be out of date."""
        if number >= self._latest_answered or handover.is_released(evidence):
            self._latest_answered = max(number, self._latest_answered)
            self.record_evidence(evidence)

    def record_unsupported(self) -> None:
        """Take that nothing more will be known."""
        self.is_supported = False
        self._known.set()

    async def wait_for_evidence(self, seconds: float) -> handover.Evidence:
        """Wait until something is known; what is known then."""
        try:
            async with asyncio.timeout(seconds):
                await self._known.wait()
        except TimeoutError:
            return handover.Evidence.NONE
        return self.evidence

    async def wait_for_copy(self, seconds: float) -> dialects.MemoryCopy | None:
        """Wait for the memory of the run as it stopped; None if there is none."""
        loop = asyncio.get_running_loop()
        until = loop.time() + seconds
        while self.copy is None and loop.time() < until:
            await asyncio.sleep(RETRY_DELAY_SECONDS)
        return self.copy


class StopOrders:
    """Gives the orders of one entry to stop runs.

    Parameters
    ----------
    dialect : dialects.Dialect
        Gives an order.
    timeline : timelines.Timeline
        Takes what came of it.
    metrics : entry_metrics.EntryMetrics
        Counts it.
    """

    def __init__(
        self,
        dialect: dialects.Dialect,
        timeline: timelines.Timeline,
        metrics: entry_metrics.EntryMetrics,
    ) -> None:
        self._dialect = dialect
        self._timeline = timeline
        self._metrics = metrics
        self._loop = asyncio.get_running_loop()
        self._tasks: set[asyncio.Task[None]] = set()
        self._reaching: dict[str, asyncio.Task[None]] = {}
        """Tries to reach a runner, by its address: all orders for it share them."""

    def stop(
        self, run: runs.Run, destination: str, ends_at: float, *, is_stream_open: bool
    ) -> StopOrder:
        """Have a run's runner stop it, and go on saying so until it has let go."""
        stop_order = StopOrder(run, destination, ends_at, is_stream_open=is_stream_open)
        self._begin(self._insist(stop_order))
        return stop_order

    def record_stream_end(self, stop_order: StopOrder) -> None:
        """Take the end of the run's stream, and ask at once what that means.

        It may have ended because of the order, or just then by itself.
        """
        if not stop_order.is_stream_open:
            return
        stop_order.is_stream_open = False
        if not stop_order.is_released:
            stop_order.record_evidence(handover.Evidence.NONE)  # of before
            self._begin(self._order(stop_order))

    def discard_unused_copy(
        self, stop_order: StopOrder, *, used: dialects.MemoryCopy | None
    ) -> None:
        """Need no memory of an order any more: the run goes on with `used`, or not at all.

        What is copied besides lies there for nobody, and takes a place and memory for seconds.
        """
        if not stop_order.is_needed:
            return
        stop_order.is_needed = stop_order.is_stream_open = False
        if stop_order.copy != used:
            self._drop_copy(stop_order)

    def _begin(self, work: Coroutine[Any, Any, None]) -> "asyncio.Task[None]":
        task = self._loop.create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        return task

    def _drop_copy(self, stop_order: StopOrder) -> None:
        if stop_order.copy is not None:
            self._begin(self._dialect.drop_copy(stop_order.copy))

    async def _order(self, stop_order: StopOrder) -> None:
        """Give the order once, and take its answer whenever it comes."""
        run = stop_order.run
        is_stream_open = stop_order.is_stream_open
        may_be_copying = run.may_be_copying or not stop_order.unanswered
        stop_order.orders += 1
        number = stop_order.orders
        stop_order.unanswered += 1
        result = await self._dialect.stop_run(
            run.target.address, run.request_id, stop_order.destination, ORDER_TIMEOUT_SECONDS
        )
        if result.outcome in _NOT_TAKEN and not result.handle:
            stop_order.unanswered -= 1
        if result.outcome is dialects.CopyOutcome.UNSUPPORTED:
            stop_order.record_unsupported()
        if result.handle:
            stop_order.copy = dialects.MemoryCopy(run.target.address, result.handle)
            stop_order.is_at_destination = result.outcome is dialects.CopyOutcome.COPIED
            if not stop_order.is_needed:
                self._drop_copy(stop_order)
        evidence = handover.derive_evidence(
            _read_word(result), is_stream_open=is_stream_open, may_be_copying=may_be_copying
        )
        stop_order.record_answer(number, evidence)

    async def _insist(self, stop_order: StopOrder) -> None:
        """Give the order until the runner has let go."""
        began = self._loop.time()
        pause = RETRY_DELAY_SECONDS
        while (
            not stop_order.is_released and stop_order.is_supported and not stop_order.is_cancelled
        ):
            if self._loop.time() >= stop_order.ends_at:
                stop_order.record_evidence(handover.Evidence.EXPIRED)
                break
            await asyncio.wait(
                {self._begin(self._order(stop_order))}, timeout=ANSWER_TIMEOUT_SECONDS
            )
            if stop_order.is_released:
                break
            if stop_order.evidence is handover.Evidence.UNREACHABLE:
                await self._await_reach(stop_order)
                stop_order.record_evidence(handover.Evidence.NONE)
                continue
            await asyncio.sleep(pause)
            pause = min(2 * pause, MAX_RETRY_DELAY_SECONDS)
        self._note_over(stop_order, began)

    def _note_over(self, stop_order: StopOrder, began: float) -> None:
        self._metrics.stops.labels(stop_order.evidence.value).inc()
        self._timeline.record(
            "run.stop",
            request_id=stop_order.run.request_id,
            source=stop_order.run.target.target_id,
            evidence=stop_order.evidence.value,
            orders=stop_order.orders,
            took_ms=int((self._loop.time() - began) * 1000),
        )

    async def _await_reach(self, stop_order: StopOrder) -> None:
        """Wait until a connection to a run's runner comes about, or is refused."""
        address = stop_order.run.target.address
        task = self._reaching.get(address)
        if task is None:
            task = self._begin(self._try_to_reach(address, stop_order.ends_at))
            self._reaching[address] = task
            task.add_done_callback(lambda _: self._reaching.pop(address))
        await asyncio.shield(task)

    async def _try_to_reach(self, address: str, ends_at: float) -> None:
        while self._loop.time() < ends_at:
            if await http_client.probe(address) is not http_client.ProbeResult.UNREACHABLE:
                return
            await asyncio.sleep(RETRY_DELAY_SECONDS)
