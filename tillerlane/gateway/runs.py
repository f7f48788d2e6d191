"""Streams under way at runners, and moving them off a runner that leaves.

A run is moved in two steps.  The first copies its memory while it goes on; the second stops it,
copies what is new and gives a handle.  The same request then goes to the destination with that
handle and the last event that the caller has, and its events follow in the same answer.
"""

import asyncio
import collections
import dataclasses
from collections.abc import Callable

from tillerlane.gateway import dialect as dialects
from tillerlane.gateway import directory as directories
from tillerlane.gateway import routes, selection
from tillerlane.timeline import core as timelines

__all__ = ["Continuation", "Mover", "Run"]

COPY_SECONDS = 4.0
"""Longest wait for a copy: twice the longest notice met (2.1 s); the source is gone by then."""
STOP_SECONDS = 1.5
MOVE_SECONDS = 6.0
"""Longest time in which moving one run is tried: a runner that drains may serve on for seconds."""
RETRY_SECONDS = 0.1


@dataclasses.dataclass(frozen=True, slots=True)
class Continuation:
    """Where a run goes on, and with which memory."""

    target: directories.Target
    copy: dialects.MemoryCopy


@dataclasses.dataclass(eq=False, slots=True)
class Run:
    """A stream under way.

    Attributes
    ----------
    request_id : str
        The caller's id, by which the runner knows the run too.
    target : directories.Target
        Where it runs now.
    tokens : int
        Memory that it may need.
    backup : directories.Target or None
        Runner that gets its memory as it grows.
    moving : asyncio.Task or None
        Gives a `Continuation`, or None if the run stays where it is.
    is_stopping : bool
        Whether the order to stop it was sent: its stream ends without being whole.
    """

    request_id: str
    pool: routes.Pool
    target: directories.Target
    tokens: int
    backup: directories.Target | None = None
    moving: "asyncio.Task[Continuation | None] | None" = None
    is_stopping: bool = False


class Mover:
    """All runs of one entry, by target.

    Parameters
    ----------
    dialect : dialects.Dialect
        Gives the orders.
    selector : selection.Selector
        Chooses destinations.
    timeline : timelines.Timeline
        Takes the decisions.
    """

    def __init__(
        self,
        dialect: dialects.Dialect,
        selector: selection.Selector,
        directory: directories.Directory,
        timeline: timelines.Timeline,
    ) -> None:
        self._dialect = dialect
        self._selector = selector
        self._timeline = timeline
        self._runs: dict[str, set[Run]] = collections.defaultdict(set)
        self.count: Callable[[str, int], None] = lambda name, number: None
        directory.listen(self._note_phase)

    def add(self, run: Run) -> None:
        """Take a run that begins at a target."""
        self._runs[run.target.target_id].add(run)
        if not run.target.takes_work:
            self._start(run)

    def remove(self, run: Run) -> None:
        """Drop a run that ended there or goes on elsewhere."""
        runs = self._runs.get(run.target.target_id)
        if runs is not None:
            runs.discard(run)
            if not runs:
                del self._runs[run.target.target_id]
        if run.moving is not None and not run.moving.done():
            run.moving.cancel()

    def _note_phase(self, target: directories.Target, former: directories.Phase | None) -> None:
        if target.takes_work:
            return
        runs = sorted(self._runs.get(target.target_id, ()), key=lambda run: -run.tokens)
        for run in runs:
            self._start(run)

    def _start(self, run: Run) -> None:
        engine = run.pool.engine
        if engine is None or not engine.can_move or run.moving is not None:
            return
        if run.backup is not None and run.backup.takes_work:
            # It may end here yet, and goes on there at once if it does not.  An order would copy
            # all of its memory again, and hold up those runs that have no other copy.
            return
        run.moving = asyncio.get_running_loop().create_task(self._move(run))

    async def _move(self, run: Run) -> Continuation | None:
        """Move a run; None if it stays."""
        excluded = {run.target.target_id}
        until = asyncio.get_running_loop().time() + MOVE_SECONDS
        while asyncio.get_running_loop().time() < until:
            destination = self._choose(run, excluded)
            if destination is None:
                self._note(run, "no_destination", None)
                return None
            first = await self._order(run, destination, stop=False)
            if first.outcome is dialects.MoveOutcome.COPIED:
                return await self._stop(run, destination)
            if first.outcome in (dialects.MoveOutcome.BUSY, dialects.MoveOutcome.NO_RUN):
                # A run that has not begun yet has no memory to copy.
                await asyncio.sleep(RETRY_SECONDS)
            elif first.outcome is dialects.MoveOutcome.NO_ROOM:
                excluded.add(destination.target_id)
            else:
                return None
        return None

    async def _stop(self, run: Run, destination: directories.Target) -> Continuation | None:
        """Stop a run whose memory is at the destination but for the newest part."""
        run.is_stopping = True
        last = await self._order(run, destination, stop=True)
        if last.handle:
            copy = dialects.MemoryCopy(run.target.address, last.handle)
            return Continuation(destination, copy)
        run.is_stopping = last.outcome is dialects.MoveOutcome.LOST
        return None

    def _choose(self, run: Run, excluded: set[str]) -> directories.Target | None:
        return self._selector.choose(run.pool, run.tokens, excluded)

    async def _order(
        self, run: Run, destination: directories.Target, *, stop: bool
    ) -> dialects.MoveResult:
        seconds = STOP_SECONDS if stop else COPY_SECONDS
        loop = asyncio.get_running_loop()
        began = loop.time()
        result = await self._dialect.move_run(
            run.target.address, run.request_id, destination.address, stop, seconds
        )
        self._note(
            run,
            result.outcome.value,
            destination,
            stop=stop,
            took_ms=int((loop.time() - began) * 1000),
            events=result.events,
        )
        return result

    def _note(
        self, run: Run, outcome: str, destination: directories.Target | None, **fields: object
    ) -> None:
        self._timeline.record(
            "run.move",
            request_id=run.request_id,
            source=run.target.target_id,
            destination=destination.target_id if destination else "",
            outcome=outcome,
            **fields,
        )
