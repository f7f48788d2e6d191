"""Orders that stop a run at its runner, so that another one may go on with it."""

import asyncio

from tillerlane.decisions import handover
from tillerlane.gateway import dialect as dialects
from tillerlane.gateway import meters as entry_meters
from tillerlane.gateway import runs
from tillerlane.timeline import core as timelines

__all__ = ["Handovers", "Stopping"]

AGAIN_SECONDS = 0.05
"""Pause before an order that was not answered is given again.  With the time in which a connection
comes about or not (0.3 s) it stays below the 0.4 s that two runners may work on one run: a runner
that can be reached again is told within that time."""
ORDER_SECONDS = 4.0
"""Longest wait for an answer: a runner stops at once and answers when its link, which makes copies
one after another, has had this one's turn (0.02 to 0.72 s on a day with many moves)."""

_EVIDENCE = {
    dialects.MoveOutcome.COPIED: handover.Evidence.STOPPED,
    dialects.MoveOutcome.NO_RUN: handover.Evidence.NO_RUN,
    dialects.MoveOutcome.BUSY: handover.Evidence.NONE,
    dialects.MoveOutcome.LOST: handover.Evidence.NONE,
    dialects.MoveOutcome.REFUSED: handover.Evidence.PROCESS_ENDED,
    dialects.MoveOutcome.UNREACHABLE: handover.Evidence.OUT_OF_REACH,
}


def _judge(result: dialects.MoveResult) -> handover.Evidence:
    """What an answer to an order to stop proves.

    A runner without room for the copy has stopped too, if it names the memory that it keeps.
    """
    if result.outcome is dialects.MoveOutcome.NO_ROOM:
        return handover.Evidence.STOPPED if result.handle else handover.Evidence.NONE
    return _EVIDENCE[result.outcome]


class Stopping:
    """An order to stop a run, given until it is answered.

    Attributes
    ----------
    evidence : handover.Evidence
        What is known by now.
    copy : dialects.MemoryCopy or None
        The run's memory as it was when it stopped, if the runner has said so.
    is_at_destination : bool
        Whether that lies at the destination too, and not only where the run stopped.
    is_over : bool
        Whether the order is given no more.
    is_needed : bool
        Whether the run may still go on with what the order copies.
    """

    def __init__(self, evidence: handover.Evidence) -> None:
        self.evidence = evidence
        self.copy: dialects.MemoryCopy | None = None
        self.is_at_destination = False
        self.is_over = False
        self.is_needed = True
        self._changed = asyncio.Event()
        if evidence is not handover.Evidence.NONE:
            self._changed.set()

    def note(self, evidence: handover.Evidence) -> None:
        """Take what is known now."""
        self.evidence = evidence
        if evidence is not handover.Evidence.NONE:
            self._changed.set()

    def note_closed(self) -> None:
        """Take the end of the run's stream behind the order."""
        if not handover.has_let_go(self.evidence):
            self.note(handover.Evidence.CLOSED)

    async def wait(self, seconds: float) -> handover.Evidence:
        """Wait until something is known; what is known then."""
        try:
            async with asyncio.timeout(seconds):
                await self._changed.wait()
        except TimeoutError:
            return handover.Evidence.NONE
        return self.evidence

    async def wait_for_copy(self, seconds: float) -> dialects.MemoryCopy | None:
        """Wait for the memory of the run as it stopped; None if there is none."""
        loop = asyncio.get_running_loop()
        until = loop.time() + seconds
        while self.copy is None and not self.is_over and loop.time() < until:
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
        self._orders: set[asyncio.Task[None]] = set()

    def stop(
        self,
        run: runs.Run,
        destination: str,
        ends_at: float,
        known: handover.Evidence = handover.Evidence.NONE,
    ) -> Stopping:
        """Have a run's runner stop it, and go on saying so until it has answered.

        Parameters
        ----------
        run : runs.Run
            The run; nobody waits here for the answer.
        destination : str
            Address of the runner that the run's memory goes to.
        ends_at : float
            Time of the event loop at which the run is over anyway, by the limit that it was sent
            with.
        known : handover.Evidence
            What is known beforehand.
        """
        stopping = Stopping(known)
        task = self._loop.create_task(self._order(stopping, run, destination, ends_at))
        self._orders.add(task)
        task.add_done_callback(self._orders.discard)
        return stopping

    def release(self, stopping: Stopping, *, is_copy_used: bool) -> None:
        """Need no memory of an order any more: the run goes on elsewhere, or not at all.

        What is copied after that lies there for nobody, and takes a place and memory for seconds.
        """
        stopping.is_needed = False
        if stopping.is_over and not is_copy_used:
            self._drop_copy(stopping)

    def _drop_copy(self, stopping: Stopping) -> None:
        if stopping.copy is not None:
            task = self._loop.create_task(self._dialect.drop_copy(stopping.copy))
            self._orders.add(task)
            task.add_done_callback(self._orders.discard)

    async def _order(
        self, stopping: Stopping, run: runs.Run, destination: str, ends_at: float
    ) -> None:
        """Give the order until the runner is known to have let go, and free what it left."""
        source = run.target.address
        began = self._loop.time()
        orders = 0
        evidence = handover.Evidence.NONE
        result = dialects.MoveResult(dialects.MoveOutcome.LOST)
        try:
            while not handover.has_let_go(evidence):
                if orders:
                    await asyncio.sleep(AGAIN_SECONDS)
                if self._loop.time() >= ends_at:
                    evidence = handover.Evidence.EXPIRED
                    break
                orders += 1
                result = await self._dialect.stop_run(
                    source, run.request_id, destination, ORDER_SECONDS
                )
                evidence = _judge(result)
                if evidence is handover.Evidence.OUT_OF_REACH:
                    stopping.note(evidence)
            if result.handle:
                stopping.copy = dialects.MemoryCopy(source, result.handle)
                stopping.is_at_destination = result.outcome is dialects.MoveOutcome.COPIED
            stopping.note(evidence)
        finally:
            stopping.is_over = True
            if not stopping.is_needed:
                self._drop_copy(stopping)
        self._meters.stops.labels(evidence.value).inc()
        self._timeline.record(
            "run.stop",
            request_id=run.request_id,
            source=run.target.target_id,
            evidence=evidence.value,
            orders=orders,
            took_ms=int((self._loop.time() - began) * 1000),
            events=result.events,
        )
