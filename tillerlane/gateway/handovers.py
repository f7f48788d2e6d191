"""Orders that stop a run at its runner, so that another one may go on with it."""

import asyncio
from collections.abc import Callable, Coroutine
from typing import Any

from tillerlane.decisions import handover
from tillerlane.gateway import dialect as dialects
from tillerlane.gateway import http_client, runs
from tillerlane.gateway import meters as entry_meters
from tillerlane.timeline import core as timelines

__all__ = ["Handovers", "Stopping"]

AGAIN_SECONDS = 0.05
"""Pause before an order without a clear answer is given again, for the first time.  With the time
in which a connection comes about or not (0.3 s) it stays below the 0.4 s that two runners may work
on one run: one that can be reached again is told within that time."""
LONGEST_AGAIN_SECONDS = 1.0
"""Pause before the later ones, each of which is twice the one before."""
ANSWER_SECONDS = 0.15
"""Time after which an order counts as not answered and is given anew; its answer is still taken.
A runner stops a run at once, and tells whoever asks again that an order is under way."""
ORDER_SECONDS = 4.0
"""Longest wait for an order's own answer.  It comes when the runner's link, which makes copies one
after another, has carried the run's memory: 0.02 to 0.8 s on a day with many moves."""

_WORDS = {
    dialects.MoveOutcome.COPIED: handover.StopOutcome.STOPPED,
    dialects.MoveOutcome.NO_RUN: handover.StopOutcome.NO_RUN,
    dialects.MoveOutcome.BUSY: handover.StopOutcome.ORDER_IN_PROGRESS,
    dialects.MoveOutcome.REFUSED: handover.StopOutcome.REFUSED,
    dialects.MoveOutcome.UNREACHABLE: handover.StopOutcome.UNREACHABLE,
}

_NOT_TAKEN = frozenset(
    (
        dialects.MoveOutcome.NO_RUN,
        dialects.MoveOutcome.BUSY,
        dialects.MoveOutcome.NO_ROOM,
        dialects.MoveOutcome.REFUSED,
        dialects.MoveOutcome.UNREACHABLE,
        dialects.MoveOutcome.NOT_UNDERSTOOD,
    )
)
"""What comes of an order that the runner does not carry out, if it names no memory of the run."""


def _read_word(result: dialects.MoveResult) -> handover.StopOutcome:
    """What a runner said; without room for a copy, it names the memory that it keeps."""
    if result.outcome is dialects.MoveOutcome.NO_ROOM and result.handle:
        return handover.StopOutcome.STOPPED
    return _WORDS.get(result.outcome, handover.StopOutcome.UNCLEAR)


class Stopping:
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
    is_understood : bool
        Whether the runner's address knows such orders.
    is_called_off : bool
        Whether the run goes on at this runner again, so that it is not to be stopped there.
    is_needed : bool
        Whether the run may still go on with what the order copies.
    orders, unanswered : int
        How often the order was given, and how many of these the runner may be carrying out.
    on_let_go : callable
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
        self.is_understood = True
        self.is_needed = True
        self.orders = 0
        self.unanswered = 0
        self.is_called_off = False
        self._latest_answered = 0
        self.on_let_go: Callable[[], None] = lambda: None
        self._known = asyncio.Event()

    @property
    def has_let_go(self) -> bool:
        """Whether the runner certainly works on the run no more."""
        return handover.is_released(self.evidence)

    def note(self, evidence: handover.Evidence) -> None:
        """Take what is known now; that a runner was out of reach holds until it is reached."""
        if self.has_let_go:
            return
        self.evidence = evidence
        if evidence is handover.Evidence.NONE:
            self._known.clear()
        else:
            self._known.set()
        if self.has_let_go:
            self.on_let_go()

    def note_answer(self, number: int, evidence: handover.Evidence) -> None:
        """Take what an order's answer proves; what does not prove an end may be out of date."""
        if number >= self._latest_answered or handover.is_released(evidence):
            self._latest_answered = max(number, self._latest_answered)
            self.note(evidence)

    def note_not_understood(self) -> None:
        """Take that nothing more will be known."""
        self.is_understood = False
        self._known.set()

    async def wait(self, seconds: float) -> handover.Evidence:
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
            await asyncio.sleep(AGAIN_SECONDS)
        return self.copy


class Handovers:
    """Gives the orders of one entry to stop runs.

    Parameters
    ----------
    dialect : dialects.Dialect
        Gives an order.
    timeline : timelines.Timeline
        Takes what came of it.
    meters : entry_meters.EntryMeters
        Counts it.
    """

    def __init__(
        self,
        dialect: dialects.Dialect,
        timeline: timelines.Timeline,
        meters: entry_meters.EntryMeters,
    ) -> None:
        self._dialect = dialect
        self._timeline = timeline
        self._meters = meters
        self._loop = asyncio.get_running_loop()
        self._tasks: set[asyncio.Task[None]] = set()
        self._reaching: dict[str, asyncio.Task[None]] = {}
        """Tries to reach a runner, by its address: all orders for it share them."""

    def stop(
        self, run: runs.Run, destination: str, ends_at: float, *, is_stream_open: bool
    ) -> Stopping:
        """Have a run's runner stop it, and go on saying so until it has let go."""
        stopping = Stopping(run, destination, ends_at, is_stream_open=is_stream_open)
        self._begin(self._insist(stopping))
        return stopping

    def note_closed(self, stopping: Stopping) -> None:
        """Take the end of the run's stream, and ask at once what that means.

        It may have ended because of the order, or just then by itself.
        """
        if not stopping.is_stream_open:
            return
        stopping.is_stream_open = False
        if not stopping.has_let_go:
            stopping.note(handover.Evidence.NONE)  # of before
            self._begin(self._order(stopping))

    def release(self, stopping: Stopping, *, used: dialects.MemoryCopy | None) -> None:
        """Need no memory of an order any more: the run goes on with `used`, or not at all.

        What is copied besides lies there for nobody, and takes a place and memory for seconds.
        """
        if not stopping.is_needed:
            return
        stopping.is_needed = stopping.is_stream_open = False
        if stopping.copy != used:
            self._drop_copy(stopping)

    def _begin(self, work: Coroutine[Any, Any, None]) -> "asyncio.Task[None]":
        task = self._loop.create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        return task

    def _drop_copy(self, stopping: Stopping) -> None:
        if stopping.copy is not None:
            self._begin(self._dialect.drop_copy(stopping.copy))

    async def _order(self, stopping: Stopping) -> None:
        """Give the order once, and take its answer whenever it comes."""
        run = stopping.run
        is_stream_open = stopping.is_stream_open
        may_be_copying = run.may_be_copying or not stopping.unanswered
        stopping.orders += 1
        number = stopping.orders
        stopping.unanswered += 1
        result = await self._dialect.stop_run(
            run.target.address, run.request_id, stopping.destination, ORDER_SECONDS
        )
        if result.outcome in _NOT_TAKEN and not result.handle:
            stopping.unanswered -= 1
        if result.outcome is dialects.MoveOutcome.NOT_UNDERSTOOD:
            stopping.note_not_understood()
        if result.handle:
            stopping.copy = dialects.MemoryCopy(run.target.address, result.handle)
            stopping.is_at_destination = result.outcome is dialects.MoveOutcome.COPIED
            if not stopping.is_needed:
                self._drop_copy(stopping)
        evidence = handover.derive_evidence(
            _read_word(result), is_stream_open=is_stream_open, may_be_copying=may_be_copying
        )
        stopping.note_answer(number, evidence)

    async def _insist(self, stopping: Stopping) -> None:
        """Give the order until the runner has let go."""
        began = self._loop.time()
        pause = AGAIN_SECONDS
        while not stopping.has_let_go and stopping.is_understood and not stopping.is_called_off:
            if self._loop.time() >= stopping.ends_at:
                stopping.note(handover.Evidence.EXPIRED)
                break
            await asyncio.wait({self._begin(self._order(stopping))}, timeout=ANSWER_SECONDS)
            if stopping.has_let_go:
                break
            if stopping.evidence is handover.Evidence.UNREACHABLE:
                await self._await_reach(stopping)
                stopping.note(handover.Evidence.NONE)
                continue
            await asyncio.sleep(pause)
            pause = min(2 * pause, LONGEST_AGAIN_SECONDS)
        self._note_over(stopping, began)

    def _note_over(self, stopping: Stopping, began: float) -> None:
        self._meters.stops.labels(stopping.evidence.value).inc()
        self._timeline.record(
            "run.stop",
            request_id=stopping.run.request_id,
            source=stopping.run.target.target_id,
            evidence=stopping.evidence.value,
            orders=stopping.orders,
            took_ms=int((self._loop.time() - began) * 1000),
        )

    async def _await_reach(self, stopping: Stopping) -> None:
        """Wait until a connection to a run's runner comes about, or is refused."""
        address = stopping.run.target.address
        task = self._reaching.get(address)
        if task is None:
            task = self._begin(self._try_to_reach(address, stopping.ends_at))
            self._reaching[address] = task
            task.add_done_callback(lambda _: self._reaching.pop(address))
        await asyncio.shield(task)

    async def _try_to_reach(self, address: str, ends_at: float) -> None:
        while self._loop.time() < ends_at:
            if await http_client.probe(address) is not http_client.Reach.SILENT:
                return
            await asyncio.sleep(AGAIN_SECONDS)
