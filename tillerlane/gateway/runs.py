"""Streams under way at runners, and moving them off a runner that leaves.

A run is moved in two steps.  The first copies its memory while it goes on; the second stops it,
copies what is new and gives a handle.  The same request then goes to the destination with that
handle and the last event that the caller has, and its events follow in the same answer.
"""

import asyncio
import collections
import dataclasses

from tillerlane.gateway import dialect as dialects
from tillerlane.gateway import directory as directories
from tillerlane.gateway import meters as entry_meters
from tillerlane.gateway import routes, selection
from tillerlane.gateway import usage as usages
from tillerlane.timeline import core as timelines

__all__ = ["Continuation", "Mover", "Run"]

COPY_SECONDS = 4.0
"""Longest wait for a copy: twice the longest notice met (2.1 s); the source is gone by then."""
STOP_SECONDS = 1.5
QUICK_SECONDS = 0.08
"""A copy that took less was not queued: the next one fits a pause of 180 ms, the bound met."""
URGENT_SECONDS = 0.8
"""Time from a runner's notice after which a run is stopped whatever its copies took; the shortest
notice met is 1.5 s."""
TURN_PATIENCE = 1.5
"""How much longer than reckoned the entries before this one may take: two at once are slower."""
TURN_CHECK_SECONDS = 0.05
"""Entries tell of what they have moved within 0.15 s; a copy takes 0.2 s and more."""
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
    is_long: bool = False
    """Whether its memory is worth a copy."""
    leaving_since: float = 0.0
    """Time of the event loop at which its runner was known to leave."""
    moving: "asyncio.Task[Continuation | None] | None" = None
    is_stopping: bool = False

    @property
    def unsaved_tokens(self) -> int:
        """Memory that it is counted with among the runs without a copy."""
        return self.tokens if self.is_long and self.backup is None else 0


class Mover:
    """All runs of one entry, by target.

    Parameters
    ----------
    dialect : dialects.Dialect
        Gives the orders.
    selector : selection.Selector
        Chooses destinations.
    usage : usages.Usage
        Counts the memory that copies take.
    directory : directories.Directory
        Tells of targets that leave.
    timeline : timelines.Timeline
        Takes the decisions.
    meters : entry_meters.EntryMeters
        Counts orders.
    """

    def __init__(
        self,
        dialect: dialects.Dialect,
        selector: selection.Selector,
        usage: usages.Usage,
        directory: directories.Directory,
        timeline: timelines.Timeline,
        meters: entry_meters.EntryMeters,
    ) -> None:
        self._dialect = dialect
        self._selector = selector
        self._usage = usage
        self._turns: dict[str, asyncio.Lock] = collections.defaultdict(asyncio.Lock)
        """By source: this entry's runs go one after another too."""
        self._timeline = timeline
        self._meters = meters
        self._runs: dict[str, set[Run]] = collections.defaultdict(set)
        self._dropping: set[asyncio.Task[None]] = set()
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
                self._turns.pop(run.target.target_id, None)
        if run.moving is not None and not run.moving.done():
            run.moving.cancel()

    def _note_phase(self, target: directories.Target, former: directories.Phase | None) -> None:
        if target.takes_work:
            return
        for run in [run for runs in self._runs.values() for run in runs]:
            if run.backup is not None and run.backup.target_id == target.target_id:
                self._lose_backup(run)
        runs = sorted(self._runs.get(target.target_id, ()), key=lambda run: run.tokens)
        for run in runs:
            self._start(run)

    def _lose_backup(self, run: Run) -> None:
        """Count a run among those without a copy when the runner that has it leaves."""
        assert run.backup is not None
        self._usage.add(run.backup.address, tokens=-run.tokens)
        run.backup = None
        self._usage.add(run.target.address, unsaved=run.unsaved_tokens)
        if not run.target.takes_work:
            self._start(run)

    def _start(self, run: Run) -> None:
        engine = run.pool.engine
        if engine is None or not engine.can_move or run.moving is not None:
            return
        if run.backup is not None and run.backup.takes_work:
            # It may end here yet, and goes on there at once if it does not.  An order would copy
            # all of its memory again, and hold up those runs that have no other copy.
            return
        run.leaving_since = asyncio.get_running_loop().time()
        run.moving = asyncio.get_running_loop().create_task(self._move(run))

    async def _move(self, run: Run) -> Continuation | None:
        """Move a run; None if it stays."""
        excluded = {run.target.target_id}
        loop = asyncio.get_running_loop()
        until = loop.time() + MOVE_SECONDS
        await self._await_turn(run)
        while loop.time() < until:
            destination = self._choose(run, excluded)
            if destination is not None:
                async with self._turns[run.target.target_id]:
                    result = await self._copy_and_stop(run, destination)
                if result.handle:
                    copy = dialects.MemoryCopy(run.target.address, result.handle)
                    return Continuation(destination, copy)
                if result.outcome is dialects.MoveOutcome.LOST:
                    return None
                if result.outcome is dialects.MoveOutcome.NO_ROOM:
                    excluded.add(destination.target_id)
            else:
                excluded = {run.target.target_id}
            # A run that has not begun yet has no memory to copy; room may come.
            await asyncio.sleep(RETRY_SECONDS)
        return None

    async def _await_turn(self, run: Run) -> None:
        """Wait until the entries before this one have moved their runs, or should have."""
        loop = asyncio.get_running_loop()
        turn = self._selector.read_turn(run.pool, run.target)
        until = loop.time() + turn * TURN_PATIENCE
        while loop.time() < until and self._selector.read_turn(run.pool, run.target) > 0:
            await asyncio.sleep(TURN_CHECK_SECONDS)

    async def _copy_and_stop(
        self, run: Run, destination: directories.Target
    ) -> dialects.MoveResult:
        """Copy a run's memory, stop it and copy the rest; a handle only if it was stopped."""
        tokens = run.tokens
        self._usage.add(destination.address, tokens=tokens)
        handle = ""
        done = False
        try:
            first = await self._copy_until_quick(run, destination)
            handle = first.handle
            if first.outcome is not dialects.MoveOutcome.COPIED:
                return dataclasses.replace(first, handle="")  # it has not stopped
            run.is_stopping = True
            last = await self._order(run, destination, stop=True)
            if not last.handle:
                run.is_stopping = last.outcome is dialects.MoveOutcome.LOST
            done = bool(last.handle)
            return last
        finally:
            self._usage.add(destination.address, tokens=-tokens)
            if handle and not done:
                self._drop_copy(run, destination, handle)

    async def _copy_until_quick(
        self, run: Run, destination: directories.Target
    ) -> dialects.MoveResult:
        """Copy a run's memory while it goes on, again and again until a copy takes no time.

        A copy takes long while others are queued on the source's link; a run that stopped then
        would stand still behind them.
        """
        loop = asyncio.get_running_loop()
        first_handle = ""
        while True:
            began = loop.time()
            result = await self._order(run, destination, stop=False)
            first_handle = result.handle or first_handle
            if result.outcome is not dialects.MoveOutcome.COPIED:
                return dataclasses.replace(result, handle=first_handle)
            is_urgent = loop.time() - run.leaving_since > URGENT_SECONDS
            if loop.time() - began < QUICK_SECONDS or is_urgent:
                return result

    def _drop_copy(self, run: Run, destination: directories.Target, handle: str) -> None:
        """Free a copy that nobody will use; it would hold memory for seconds."""
        self._timeline.record(
            "copy.drop",
            request_id=run.request_id,
            source=run.target.target_id,
            destination=destination.target_id,
        )
        for address in (run.target.address, destination.address):
            task = asyncio.get_running_loop().create_task(
                self._dialect.drop_copy(dialects.MemoryCopy(address, handle))
            )
            self._dropping.add(task)
            task.add_done_callback(self._dropping.discard)

    def _choose(self, run: Run, excluded: set[str]) -> directories.Target | None:
        """The least loaded runner with room for the run; in the end any, whose word it is."""
        hall = run.target.data_hall
        found = self._selector.choose(run.pool, run.tokens, excluded, hall)
        if found is None or self._selector.has_room(run.pool, found, run.tokens, 1.0):
            return found
        waited = asyncio.get_running_loop().time() - run.leaving_since
        return found if waited > URGENT_SECONDS else None

    async def _order(
        self, run: Run, destination: directories.Target, *, stop: bool
    ) -> dialects.MoveResult:
        seconds = STOP_SECONDS if stop else COPY_SECONDS
        loop = asyncio.get_running_loop()
        began = loop.time()
        result = await self._dialect.move_run(
            run.target.address, run.request_id, destination.address, stop, seconds
        )
        self._meters.moves.labels(result.outcome.value).inc()
        self._timeline.record(
            "run.move",
            request_id=run.request_id,
            source=run.target.target_id,
            destination=destination.target_id,
            outcome=result.outcome.value,
            stop=stop,
            took_ms=int((loop.time() - began) * 1000),
            events=result.events,
        )
        return result
