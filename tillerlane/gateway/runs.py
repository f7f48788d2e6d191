"""Active runs, and moving them off a runner that leaves.

A run's memory is copied while the run continues.  Once the copy is complete, the runner is ordered
to stop the run, and the same request is sent to the destination with the handle of the copy and the
id of the caller's last event.  The destination recomputes what was written during the copy, and its
events follow in the same response.  Copies of all runs of a runner are ordered at once, as far as
time allows: its link, which makes one copy at a time, is never idle while a run waits.
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
"""Longest wait for a copy: twice the longest notice (2.1 s), after which the source has exited."""
ANSWER_TIMEOUT_SECONDS = 0.8
"""Time after which an unanswered order is repeated over another connection: the time that an answer
takes on a day with many moves.  Two orders fit into the shortest notice (1.5 s)."""
FULL_DESTINATION_DELAY_SECONDS = 0.8
"""Time after a runner's notice from which a destination that is full by this entry's count may be
tried; the shortest notice is 1.5 s."""
MIN_NOTICE_SECONDS = 1.5
"""Shortest time between a runner's notice and its exit, during which runs may still be sent to
it."""
LINK_CHECK_INTERVAL_SECONDS = 0.03
"""Interval at which a run that waits for the link checks again: a fifth of the shortest copy, so
that little link time is lost."""
MOVE_TIMEOUT_SECONDS = 6.0
"""Longest time for moving one run: a draining runner may continue to serve for seconds."""
RETRY_DELAY_SECONDS = 0.1

_CONCLUSIVE = frozenset(
    (dialects.CopyOutcome.COPIED, dialects.CopyOutcome.NO_RUN, dialects.CopyOutcome.NO_ROOM)
)
"""Outcomes of a repeated order that hold for the first one too."""


@dataclasses.dataclass(frozen=True, slots=True)
class ResumePoint:
    """Where a run is resumed, and from which copy of its memory."""

    target: directories.Target
    copy: dialects.MemoryCopy


@dataclasses.dataclass(eq=False, slots=True)
class Run:
    """An active run.

    Attributes
    ----------
    request_id : str
        The caller's request id, which the runner uses for the run too.
    target : directories.Target
        Its current runner.
    tokens : int
        Memory that it is counted with.
    backup : directories.Target or None
        Runner that receives backup copies of its memory.
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
    """Events that it is expected to write from now on."""
    pause_objective_seconds: float = 0.0
    """Longest pause between its events that meets its route's objective; 0 for none."""
    is_long: bool = False
    """Whether its memory is worth copying."""
    leaving_since: float = 0.0
    """Time of the event loop at which its runner was known to leave."""
    moving: "asyncio.Task[ResumePoint | None] | None" = None
    on_copied: Callable[[], None] = lambda: None
    rejected_by: frozenset[str] = frozenset()
    """Runners that rejected the resumed run."""
    may_be_copying: bool = False
    """Whether its runner may be carrying out an unanswered order to copy it."""

    def can_move_to(self, target: directories.Target) -> bool:
        """Whether the run may be sent to a target that may be leaving."""
        if not target.is_leaving:
            return True
        now = asyncio.get_running_loop().time()
        return target.is_winding_down and now - target.leaving_at < MIN_NOTICE_SECONDS

    @property
    def key(self) -> tuple[str, str]:
        """Address of its runner, and the id by which that runner knows it."""
        return self.target.address, self.request_id

    @property
    def unsaved_tokens(self) -> int:
        """Memory that counts towards runs without a copy."""
        return self.tokens if self.is_long and self.backup is None else 0

    def get_resume_point(self) -> ResumePoint | None:
        """Where the run can be resumed now; None if no copy is ready."""
        task = self.moving
        if task is None or not task.done() or task.cancelled():
            return None
        return task.result()


class Mover:
    """All active runs of one entry, by target.

    Parameters
    ----------
    dialect : dialects.Dialect
        Sends the orders.
    selector : selection.Selector
        Chooses destinations.
    usage : usages.Usage
        Counts the memory of copies.
    directory : directories.Directory
        Notifies of targets that leave.
    timeline : timelines.Timeline
        Log of decisions.
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
        self._copying_tokens: dict[str, int] = {}
        """Tokens of the copies in progress from each source, by its id; no entry without one."""
        self._drop_tasks: set[asyncio.Task[None]] = set()
        directory.add_listener(self._handle_phase)

    def add(self, run: Run) -> None:
        """Register a run that starts on a target."""
        self._runs[run.target.target_id].add(run)
        if run.target.is_winding_down:
            self._start_move(run)

    def remove(self, run: Run) -> None:
        """Unregister a run that ended on a target or was resumed elsewhere."""
        runs = self._runs.get(run.target.target_id)
        if runs is not None:
            runs.discard(run)
            if not runs:
                del self._runs[run.target.target_id]
        self.cancel_move(run)

    def cancel_move(self, run: Run) -> None:
        """Cancel moving a run, and free a copy that it is not resumed from."""
        unused = run.get_resume_point()
        if unused is not None:
            self._drop_copy(run, unused)
        elif run.moving is not None:
            run.moving.cancel()
        run.moving = None

    def retry_move(self, run: Run) -> None:
        """Look for another destination after one rejected the run."""
        self.cancel_move(run)
        if run.target.is_winding_down:
            self._start_move(run)

    def discard_evacuated_backups(self) -> None:
        """Discard backup copies in evacuated data halls: runs could not be sent there."""
        self._discard_backups(lambda backup: backup.data_hall in self._directory.evacuated)

    def _handle_phase(self, target: directories.Target, former: directories.Phase | None) -> None:
        if not target.is_leaving:
            return
        self._discard_backups(lambda backup: backup.target_id == target.target_id)
        runs = sorted(self._runs.get(target.target_id, ()), key=lambda run: run.tokens)
        for run in runs:
            if target.is_superseded:
                self._cancel_copy(run)
            else:
                self._start_move(run)

    def _cancel_copy(self, run: Run) -> None:
        """Stop waiting for a copy of lost memory; a complete copy may still be used."""
        if run.moving is not None and not run.moving.done():
            run.moving.cancel()
            run.moving = None

    def discard_backup(self, run: Run) -> None:
        """Discard a run's backup copy, if it has one."""
        if run.backup is not None:
            self._discard_backup(run)

    def _discard_backups(self, is_lost: Callable[[directories.Target], bool]) -> None:
        for run in [run for runs in self._runs.values() for run in runs]:
            if run.backup is not None and is_lost(run.backup):
                self._discard_backup(run)

    def _discard_backup(self, run: Run) -> None:
        """Count a run as one without a copy after its backup copy became unusable."""
        assert run.backup is not None
        self._usage.add(run.backup.address, tokens=-run.tokens)
        run.backup = None
        self._usage.add(run.target.address, unsaved=run.unsaved_tokens)
        if run.target.is_winding_down:
            self._start_move(run)

    def _start_move(self, run: Run) -> None:
        engine = run.pool.engine
        if engine is None or not engine.can_move or run.moving is not None:
            return
        if run.backup is not None and self._directory.accepts_requests(run.backup):
            # The run may still end here, and is resumed from the backup copy at once if it does
            # not.  An order would copy all of its memory again and delay runs without a copy.
            return
        run.leaving_since = asyncio.get_running_loop().time()
        run.moving = asyncio.get_running_loop().create_task(self._move(run))
        run.moving.add_done_callback(lambda task: run.on_copied())

    async def _move(self, run: Run) -> ResumePoint | None:
        """Copy a run's memory to a runner with room; None if the run stays."""
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
            # A run that has not started yet has no memory to copy; room may become free.
            await asyncio.sleep(RETRY_DELAY_SECONDS)
        return None

    def _count_copying(self, run: Run, tokens: int) -> None:
        source = run.target.target_id
        total = self._copying_tokens.pop(source, 0) + tokens
        if total:
            self._copying_tokens[source] = total

    def _has_link_time(self, run: Run) -> bool:
        """Whether a copy would likely complete before the runner exits, or none is in progress.

        A copy that waits for the link takes memory at its destination until seconds after the
        runner has exited.  Entries share the remaining time in proportion to what they have to
        move.
        """
        copying_tokens = self._copying_tokens.get(run.target.target_id)
        if copying_tokens is None:
            return True
        waited = asyncio.get_running_loop().time() - run.leaving_since
        left = max(0.0, MIN_NOTICE_SECONDS - waited)
        share = self._selector.compute_own_share(run.target)
        return (
            self._selector.estimate_copy_seconds(run.pool, copying_tokens + run.tokens)
            <= left * share
        )

    async def _copy(self, run: Run, destination: directories.Target) -> dialects.CopyResult:
        """Copy a run's memory while the run continues, and count the memory of the copy."""
        tokens = run.tokens
        is_abandoned = True  # unless the runner's answer says otherwise
        self._usage.add(destination.address, tokens=tokens)
        self._count_copying(run, tokens)
        try:
            result = await self._order(run, destination)
            is_abandoned = result.outcome.is_unanswered
            return result
        finally:
            self._uncount_copy(run, destination, tokens, is_abandoned)

    def _uncount_copy(
        self, run: Run, destination: directories.Target, tokens: int, is_abandoned: bool
    ) -> None:
        """Stop counting a copy; an abandoned one counts until its retention time has passed."""
        self._count_copying(run, -tokens)
        engine = run.pool.engine
        if not is_abandoned or engine is None:
            self._usage.add(destination.address, tokens=-tokens)
            return
        asyncio.get_running_loop().call_later(
            engine.copy_retention_seconds,
            lambda: self._usage.add(destination.address, tokens=-tokens),
        )

    def _drop_copy(self, run: Run, unused: ResumePoint) -> None:
        """Free an unused copy, which would otherwise hold memory for seconds."""
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
            self._drop_tasks.add(task)
            task.add_done_callback(self._drop_tasks.discard)

    def _choose(self, run: Run, excluded: set[str]) -> directories.Target | None:
        """Choose the least loaded runner with room; late in the notice, one that may refuse.

        It has the software version of the run's present runner.
        """
        data_hall = run.target.data_hall
        work = placing.Work(
            run.tokens,
            events=run.remaining_events,
            pause_objective_seconds=run.pause_objective_seconds,
        )
        destination = self._selector.choose(
            run.pool,
            work,
            excluded,
            data_hall,
            is_sent_now=False,
            software_version=run.target.software_version,
        )
        if destination is None or self._selector.has_room(run.pool, destination, run.tokens, 1.0):
            return destination
        waited = asyncio.get_running_loop().time() - run.leaving_since
        return destination if waited > FULL_DESTINATION_DELAY_SECONDS else None

    async def _order(self, run: Run, destination: directories.Target) -> dialects.CopyResult:
        loop = asyncio.get_running_loop()
        started_at = loop.time()
        run.may_be_copying = True
        result = await self._repeat_order(run, destination)
        run.may_be_copying = result.outcome.is_unanswered
        self._metrics.moves.labels(result.outcome.value).inc()
        self._timeline.record(
            "run.move",
            request_id=run.request_id,
            source=run.target.target_id,
            destination=destination.target_id,
            source_version=run.target.software_version,
            destination_version=destination.software_version,
            outcome=result.outcome.value,
            took_ms=int((loop.time() - started_at) * 1000),
            events=result.events,
            tokens=run.tokens,
        )
        return result

    async def _repeat_order(self, run: Run, destination: directories.Target) -> dialects.CopyResult:
        """Order a copy, and repeat the order while it is unanswered.

        The connection of an order may fall silent.  A runner that is still copying answers a
        repeated order by saying so.
        """
        loop = asyncio.get_running_loop()
        until = loop.time() + COPY_TIMEOUT_SECONDS

        def start_order() -> "asyncio.Task[dialects.CopyResult]":
            return asyncio.ensure_future(
                self._dialect.copy_run(
                    run.target.address, run.request_id, destination.address, until - loop.time()
                )
            )

        first = start_order()
        orders = {first}
        try:
            while True:
                done, orders = await asyncio.wait(
                    orders, timeout=ANSWER_TIMEOUT_SECONDS, return_when=asyncio.FIRST_COMPLETED
                )
                for order in done:
                    if order is first or order.result().outcome in _CONCLUSIVE:
                        return order.result()
                if not done:
                    orders.add(start_order())
        finally:
            for order in orders:
                order.cancel()
