"""Streams under way at runners, and moving them off a runner that leaves.

A run's memory is copied while the run goes on.  Once the copy is whole, the runner is told to stop
the run, and the same request goes to the destination with the copy's handle and the last event that
the caller has; its events follow in the same answer, and the destination reads anew what was
written during the copy.  All runs of a runner are ordered at once: the runner's link, which makes
copies one after another, is never idle while a run waits.
"""

import asyncio
import collections
import dataclasses
from collections.abc import Callable

from tillerlane.decisions import placing
from tillerlane.gateway import dialect as dialects
from tillerlane.gateway import directory as directories
from tillerlane.gateway import metrics as entry_metrics
from tillerlane.gateway import routes, selection
from tillerlane.gateway import usage as usages
from tillerlane.timeline import core as timelines

__all__ = ["Mover", "ResumePoint", "Run"]

COPY_TIMEOUT_SECONDS = 4.0
"""Longest wait for a copy: twice the longest notice met (2.1 s); the source is gone by then."""
FULL_DESTINATION_DELAY_SECONDS = 0.8
"""Time from a runner's notice after which a destination is asked that is full by our own count;
the shortest notice met is 1.5 s."""
MIN_NOTICE_SECONDS = 1.5
"""Shortest time met from a runner's notice to its end, and the time for which a run may still go to
it."""
LINK_CHECK_INTERVAL_SECONDS = 0.03
"""Pause of a run that waits for the link: a fifth of the shortest copy seen, so that little of its
time is lost."""
MOVE_TIMEOUT_SECONDS = 6.0
"""Longest time in which moving one run is tried: a runner that drains may serve on for seconds."""
RETRY_DELAY_SECONDS = 0.1


@dataclasses.dataclass(frozen=True, slots=True)
class ResumePoint:
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
        Gives a `ResumePoint`, or None if the run stays where it is.
    on_copied : callable
        Called when `moving` is done.
    """

    request_id: str
    pool: routes.Pool
    target: directories.Target
    tokens: int
    backup: directories.Target | None = None
    remaining_events: float = 0.0
    """Events that it is expected to write yet."""
    is_long: bool = False
    """Whether its memory is worth a copy."""
    leaving_since: float = 0.0
    """Time of the event loop at which its runner was known to leave."""
    moving: "asyncio.Task[ResumePoint | None] | None" = None
    on_copied: Callable[[], None] = lambda: None
    rejected_by: frozenset[str] = frozenset()
    """Runners that did not take it up."""
    may_be_copying: bool = False
    """Whether its runner may be carrying out an order to copy it, of which nobody has an answer."""

    def can_move_to(self, target: directories.Target) -> bool:
        """Whether the run may go on at a target, as far as that one's leaving goes."""
        if not target.is_leaving:
            return True
        now = asyncio.get_running_loop().time()
        return target.is_winding_down and now - target.leaving_at < MIN_NOTICE_SECONDS

    @property
    def unsaved_tokens(self) -> int:
        """Memory that it is counted with among the runs without a copy."""
        return self.tokens if self.is_long and self.backup is None else 0

    def get_resume_point(self) -> ResumePoint | None:
        """Where the run can go on by now."""
        task = self.moving
        if task is None or not task.done() or task.cancelled():
            return None
        return task.result()


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
    metrics : entry_metrics.EntryMetrics
        Counts orders.
    """

    def __init__(
        self,
        dialect: dialects.Dialect,
        selector: selection.Selector,
        usage: usages.Usage,
        directory: directories.Directory,
        timeline: timelines.Timeline,
        metrics: entry_metrics.EntryMetrics,
    ) -> None:
        self._dialect = dialect
        self._selector = selector
        self._usage = usage
        self._directory = directory
        self._timeline = timeline
        self._metrics = metrics
        self._runs: dict[str, set[Run]] = collections.defaultdict(set)
        self._ordered: dict[str, int] = {}
        """Tokens of the copies under way from each source, by its id; none without a copy."""
        self._dropping: set[asyncio.Task[None]] = set()
        directory.add_listener(self._note_phase)

    def add(self, run: Run) -> None:
        """Take a run that begins at a target."""
        self._runs[run.target.target_id].add(run)
        if run.target.is_winding_down:
            self._start(run)

    def remove(self, run: Run) -> None:
        """Drop a run that ended there or goes on elsewhere."""
        runs = self._runs.get(run.target.target_id)
        if runs is not None:
            runs.discard(run)
            if not runs:
                del self._runs[run.target.target_id]
        self.cancel_move(run)

    def cancel_move(self, run: Run) -> None:
        """Move a run no more, and free a copy that it does not go on with."""
        unused = run.get_resume_point()
        if unused is not None:
            self._drop_copy(run, unused)
        elif run.moving is not None:
            run.moving.cancel()
        run.moving = None

    def retry_move(self, run: Run) -> None:
        """Look for another destination after one did not take the run up."""
        self.cancel_move(run)
        if run.target.is_winding_down:
            self._start(run)

    def discard_evacuated_backups(self) -> None:
        """Go by no copy in a data hall that gets nothing new: it could not be sent there."""
        self._lose_backups(lambda backup: backup.data_hall in self._directory.evacuated)

    def _note_phase(self, target: directories.Target, former: directories.Phase | None) -> None:
        if not target.is_leaving:
            return
        self._lose_backups(lambda backup: backup.target_id == target.target_id)
        runs = sorted(self._runs.get(target.target_id, ()), key=lambda run: run.tokens)
        for run in runs:
            if target.is_superseded:
                self._stop_move(run)
            else:
                self._start(run)

    def _stop_move(self, run: Run) -> None:
        """Wait for no copy out of memory that is lost; one that is whole may still be used."""
        if run.moving is not None and not run.moving.done():
            run.moving.cancel()
            run.moving = None

    def _lose_backups(self, is_lost: Callable[[directories.Target], bool]) -> None:
        for run in [run for runs in self._runs.values() for run in runs]:
            if run.backup is not None and is_lost(run.backup):
                self._lose_backup(run)

    def _lose_backup(self, run: Run) -> None:
        """Count a run among those without a copy when the one that it has can't be used."""
        assert run.backup is not None
        self._usage.add(run.backup.address, tokens=-run.tokens)
        run.backup = None
        self._usage.add(run.target.address, unsaved=run.unsaved_tokens)
        if run.target.is_winding_down:
            self._start(run)

    def _start(self, run: Run) -> None:
        engine = run.pool.engine
        if engine is None or not engine.can_move or run.moving is not None:
            return
        if run.backup is not None and self._directory.accepts_requests(run.backup):
            # It may end here yet, and goes on there at once if it does not.  An order would copy
            # all of its memory again, and hold up those runs that have no other copy.
            return
        run.leaving_since = asyncio.get_running_loop().time()
        run.moving = asyncio.get_running_loop().create_task(self._move(run))
        run.moving.add_done_callback(lambda task: run.on_copied())

    async def _move(self, run: Run) -> ResumePoint | None:
        """Copy a run's memory to a runner with room; None if it stays."""
        excluded = {run.target.target_id, *run.rejected_by}
        loop = asyncio.get_running_loop()
        until = loop.time() + MOVE_TIMEOUT_SECONDS
        while loop.time() < until:
            destination = self._choose(run, excluded)
            if destination is not None and not self._has_link_time(run):
                await asyncio.sleep(LINK_CHECK_INTERVAL_SECONDS)
                continue
            if destination is not None:
                result = await self._copy(run, destination)
                if result.outcome is dialects.CopyOutcome.COPIED:
                    copy = dialects.MemoryCopy(run.target.address, result.handle)
                    return ResumePoint(destination, copy)
                if result.outcome.is_unanswered:
                    return None
                if result.outcome is dialects.CopyOutcome.NO_ROOM:
                    excluded.add(destination.target_id)
            else:
                excluded = {run.target.target_id, *run.rejected_by}
            # A run that has not begun yet has no memory to copy; room may come.
            await asyncio.sleep(RETRY_DELAY_SECONDS)
        return None

    def _count_ordered(self, run: Run, tokens: int) -> None:
        source = run.target.target_id
        total = self._ordered.pop(source, 0) + tokens
        if total:
            self._ordered[source] = total

    def _has_link_time(self, run: Run) -> bool:
        """Whether a copy is likely whole before the runner ends, or none is under way.

        A copy that waits on the link takes memory at its destination all the while, and for
        seconds after the runner has ended.  Entries share the time that is left by what they have
        to move.
        """
        ordered = self._ordered.get(run.target.target_id)
        if ordered is None:
            return True
        waited = asyncio.get_running_loop().time() - run.leaving_since
        left = max(0.0, MIN_NOTICE_SECONDS - waited)
        share = self._selector.compute_own_share(run.target)
        return self._selector.estimate_copy_seconds(run.pool, ordered + run.tokens) <= left * share

    async def _copy(self, run: Run, destination: directories.Target) -> dialects.CopyResult:
        """Copy a run's memory while it goes on, and count the copy as memory meanwhile."""
        tokens = run.tokens
        lingers = True  # unless the runners say otherwise
        self._usage.add(destination.address, tokens=tokens)
        self._count_ordered(run, tokens)
        try:
            result = await self._order(run, destination)
            lingers = result.outcome.is_unanswered
            return result
        finally:
            self._release(run, destination, tokens, lingers)

    def _release(
        self, run: Run, destination: directories.Target, tokens: int, lingers: bool
    ) -> None:
        """Count a copy out; one that nobody asks for stays for as long as copies are kept."""
        self._count_ordered(run, -tokens)
        engine = run.pool.engine
        if not lingers or engine is None:
            self._usage.add(destination.address, tokens=-tokens)
            return
        asyncio.get_running_loop().call_later(
            engine.copy_retention_seconds,
            lambda: self._usage.add(destination.address, tokens=-tokens),
        )

    def _drop_copy(self, run: Run, unused: ResumePoint) -> None:
        """Free a copy that nobody will use; it would hold memory for seconds."""
        self._timeline.record(
            "copy.drop",
            request_id=run.request_id,
            source=run.target.target_id,
            destination=unused.target.target_id,
        )
        for address in (run.target.address, unused.target.address):
            task = asyncio.get_running_loop().create_task(
                self._dialect.drop_copy(dialects.MemoryCopy(address, unused.copy.handle))
            )
            self._dropping.add(task)
            task.add_done_callback(self._dropping.discard)

    def _choose(self, run: Run, excluded: set[str]) -> directories.Target | None:
        """The least loaded runner with room for the run; in the end any, whose word it is."""
        hall = run.target.data_hall
        work = placing.Work(run.tokens, events=run.remaining_events)
        found = self._selector.choose(run.pool, work, excluded, hall, is_sent_now=False)
        if found is None or self._selector.has_room(run.pool, found, run.tokens, 1.0):
            return found
        waited = asyncio.get_running_loop().time() - run.leaving_since
        return found if waited > FULL_DESTINATION_DELAY_SECONDS else None

    async def _order(self, run: Run, destination: directories.Target) -> dialects.CopyResult:
        loop = asyncio.get_running_loop()
        began = loop.time()
        run.may_be_copying = True
        result = await self._dialect.copy_run(
            run.target.address, run.request_id, destination.address, COPY_TIMEOUT_SECONDS
        )
        run.may_be_copying = result.outcome.is_unanswered
        self._metrics.moves.labels(result.outcome.value).inc()
        self._timeline.record(
            "run.move",
            request_id=run.request_id,
            source=run.target.target_id,
            destination=destination.target_id,
            outcome=result.outcome.value,
            took_ms=int((loop.time() - began) * 1000),
            events=result.events,
            tokens=run.tokens,
        )
        return result
