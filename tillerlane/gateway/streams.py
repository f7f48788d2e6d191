"""Streams of events relayed to callers, over as many runners as their run is moved to.

Events go out whole, in the order of their ids, from one run.  If that run is lost and its memory is
nowhere, another one goes on behind the last event where the route allows it; elsewhere the caller's
connection ends and does not look whole.
"""

import asyncio
import dataclasses

from tillerlane.decisions import handover
from tillerlane.gateway import admission as admissions
from tillerlane.gateway import (
    availability,
    handovers,
    http_head,
    http_server,
    quarantine,
    refusals,
    relayed,
    routes,
    runs,
    selection,
    sending,
)
from tillerlane.gateway import budget as budgets
from tillerlane.gateway import dialect as dialects
from tillerlane.gateway import directory as directories
from tillerlane.gateway import endings as ends
from tillerlane.gateway import meters as entry_meters
from tillerlane.gateway import usage as usages
from tillerlane.timeline import core as timelines

__all__ = ["Streams"]

HANDOVER_SECONDS = 5.0
"""Longest wait for a copy of a run whose stream has ended: above the order's own limits."""
STOP_SECONDS = 2.0
"""Longest wait for the word of a runner whose connection broke that it works on a run no more.  One
that ended, or that has no such run, says so within a round trip, others once their link has copied
the run's memory."""

BEARING_CHECK_SECONDS = 0.05
"""Pause between looks at a runner that has a run's copy and gets nothing of this entry now."""
BEARING_WAIT_SHARE = 0.5
"""Share of the time for which a copy is kept that a run waits for such a runner."""


class Streams:
    """Relays the streams of one entry.

    Parameters
    ----------
    sender : sending.Sender
        Sends requests.
    selector : selection.Selector
        Chooses runners.
    available : availability.Availability
        Tells what keeps requests from a runner.
    usage : usages.Usage
        Counts what is under way.
    budget : budgets.RetryBudget
        Bounds new runs.
    mover : runs.Mover
        Moves runs off runners that leave.
    timeline : timelines.Timeline
        Takes the decisions.
    meters : entry_meters.EntryMeters
        Counts outcomes.
    endings : ends.Endings
        Asks after runners that broke off.
    quarantined : quarantine.Quarantine
        Takes note of streams that ended well.
    orders : handovers.Handovers
        Has former runners stop runs.
    """

    def __init__(
        self,
        sender: sending.Sender,
        selector: selection.Selector,
        available: availability.Availability,
        usage: usages.Usage,
        budget: budgets.RetryBudget,
        mover: runs.Mover,
        timeline: timelines.Timeline,
        meters: entry_meters.EntryMeters,
        endings: ends.Endings,
        quarantined: quarantine.Quarantine,
        orders: handovers.Handovers,
    ) -> None:
        self._handovers = orders
        self._quarantine = quarantined
        self._endings = endings
        self._sender = sender
        self._selector = selector
        self._available = available
        self._usage = usage
        self._budget = budget
        self._mover = mover
        self._timeline = timeline
        self._meters = meters
        self._loop = asyncio.get_running_loop()

    async def serve(
        self,
        asked: admissions.Admission,
        responder: http_server.Responder,
        tried: sending.Tried,
    ) -> None:
        """Relay a stream that a target has begun."""
        outcome, target = tried.outcome, tried.target
        assert isinstance(outcome, sending.Stream) and target is not None
        run = runs.Run(asked.facts.request_id, asked.pool, target, asked.tokens, tried.backup)
        run.is_long = asked.is_long
        run.events_left = asked.count_events_left(0)
        stream = relayed.Relayed(asked, responder, run, outcome.exchange)
        stream.runs_begun = tried.runs
        stream.on_growth = self._note_growth
        stream.on_events = self._note_events
        self._hold(stream)
        try:
            headers = http_head.list_end_to_end(outcome.head.headers)
            await responder.begin(http_head.AnswerHead(outcome.head.status, headers))
            async with asyncio.timeout_at(asked.ends_at):
                await self._relay_runs(stream)
        except TimeoutError:
            self._note_broken(stream, "out of time")
        except asyncio.CancelledError:
            self._note_broken(stream, "caller left")
            raise
        finally:
            if stream.stopping is not None:
                self._handovers.release(stream.stopping, used=None)
            self._drop(stream)
            if not responder.is_done:
                responder.abort()

    def _hold(self, stream: relayed.Relayed) -> None:
        """Take a run that has begun, and count its copy elsewhere while it goes on."""
        run = stream.run
        assert stream.exchange is not None
        run.on_copied = stream.exchange.interrupt
        self._mover.add(run)
        if run.backup is not None:
            self._usage.add(run.backup.address, tokens=run.tokens)

    def _note_events(self, run: runs.Run, events_now: int, seconds: float) -> None:
        """Keep the pace at which a runner's events come."""
        self._usage.note_events(run.target.address, events_now, seconds, self._loop.time())

    def _note_growth(self, run: runs.Run, tokens: int) -> None:
        """Keep count of a run's memory, and of its copy's."""
        grown = tokens - run.tokens
        unsaved_before = run.unsaved_tokens
        run.tokens = tokens
        unsaved_grown = run.unsaved_tokens - unsaved_before
        self._usage.add(run.target.address, tokens=grown, unsaved=unsaved_grown)
        if run.backup is not None:
            self._usage.add(run.backup.address, tokens=grown)

    def _drop(self, stream: relayed.Relayed) -> None:
        """Let go of the run that a stream comes from."""
        if stream.exchange is not None:
            stream.exchange.abort()
            stream.exchange = None
            run = stream.run
            self._usage.add(
                run.target.address, requests=-1, tokens=-run.tokens, unsaved=-run.unsaved_tokens
            )
            if run.backup is not None:
                self._usage.add(run.backup.address, tokens=-run.tokens)
        self._mover.remove(stream.run)

    async def _relay_runs(self, stream: relayed.Relayed) -> None:
        """Relay a stream over as many runners as its run is moved to."""
        while True:
            stop = await stream.relay()
            if stop is relayed.Stop.WHOLE:
                await stream.responder.finish()
                self._note_end(stream)
                return
            if stop is relayed.Stop.BROKEN_OFF:
                assert stream.exchange is not None
                sent_at = stream.exchange.sent_at
                await self._endings.learn(stream.asked, stream.run.target, sent_at, stream.events)
            if stop is relayed.Stop.CAN_GO_ON:
                self._hand_over(stream)
                continue
            if await self._go_on_from_copy(stream) or await self._run_anew(stream):
                continue
            self._note_broken(stream, stream.problem)
            return

    async def _await_move(self, run: runs.Run) -> runs.Continuation | None:
        if run.moving is None:
            return None
        # The order may be given up meanwhile, which ends its task and not this one.
        await asyncio.wait({run.moving}, timeout=HANDOVER_SECONDS)
        return run.read_continuation()

    def _find_backup(self, run: runs.Run) -> runs.Continuation | None:
        """Where a run that broke off can go on from the copy made while it grew."""
        backup = run.backup
        if backup is None or backup.phase is directories.Phase.GONE:
            return None
        return runs.Continuation(backup, dialects.MemoryCopy(backup.address, run.request_id))

    def _hand_over(self, stream: relayed.Relayed) -> None:
        """Have the runner stop a run whose copy is ready elsewhere.

        Its stream is relayed until the runner has let go of the run, and only then the run goes on
        with the copy: two runners never work on it, however late the other one's answer or this
        entry is, and whether or not a runner notices a closed connection.
        """
        run = stream.run
        continuation = run.read_continuation()
        assert continuation is not None
        target = continuation.target
        if self._sender.refuse_held(stream.asked) is not None:
            self._mover.give_up(run)  # nobody would take it up; it may end here yet
        elif self._available.is_evacuated(target) or not run.may_go_to(target):
            self._mover.move_again(run)
        elif not self._available.is_held_up(run.pool, target):  # else again with its next event
            stream.stopping = self._order_stop(stream, target)

    def _order_stop(
        self,
        stream: relayed.Relayed,
        destination: directories.Target,
        *,
        is_stream_open: bool = True,
    ) -> handovers.Stopping:
        stopping = self._handovers.stop(
            stream.run,
            destination.address,
            stream.asked.ends_at,
            is_stream_open=is_stream_open,
        )
        if stream.exchange is not None:
            stopping.on_let_go = stream.exchange.interrupt
        return stopping

    async def _go_on_from_copy(self, stream: relayed.Relayed) -> bool:
        """Go on with a copy after the run's own runner let go of it, or broke off."""
        continuation = await self._await_move(stream.run)
        continuation = continuation or self._find_backup(stream.run)
        if continuation is None:
            return False
        evidence = await self._learn_end(stream, continuation.target)
        if not handover.can_resume(evidence, stream.last_event_id):
            stream.problem += f"; nothing goes on with it: {evidence.value}"
            return False
        stopping = stream.stopping
        assert stopping is not None
        if stopping.copy is not None and stopping.is_at_destination:
            continuation = runs.Continuation(continuation.target, stopping.copy)
        outcome, used = await self._take_up(stream, continuation), continuation.copy
        if isinstance(outcome, refusals.NotRun):
            if outcome.sent:
                stream.run.refused_by |= {continuation.target.target_id}
            outcome = await self._return_to_source(stream, stopping)
            used = stopping.copy
        is_taken = isinstance(outcome, sending.Stream)
        self._handovers.release(stopping, used=used if is_taken else None)
        return is_taken

    async def _learn_end(
        self, stream: relayed.Relayed, destination: directories.Target
    ) -> handover.Evidence:
        """Whether the former runner still works on a run whose stream has ended here."""
        if stream.stopping is None:
            stream.stopping = self._order_stop(stream, destination, is_stream_open=False)
        self._handovers.note_closed(stream.stopping)
        if stream.is_out_of_reach and not stream.stopping.has_let_go:
            return handover.Evidence.UNREACHABLE
        return await stream.stopping.wait(STOP_SECONDS)

    async def _return_to_source(
        self, stream: relayed.Relayed, stopping: handovers.Stopping
    ) -> sending.Outcome:
        """Have a run go on where it stopped, since nobody else took it up."""
        run = stream.run
        refused = self._sender.refuse_held(stream.asked)
        if refused is not None:
            return refused
        has_copy = stopping.evidence is handover.Evidence.STOPPED
        copy = await stopping.wait_for_copy(HANDOVER_SECONDS) if has_copy else None
        if copy is None or not run.may_go_to(run.target):
            return refusals.NotRun("no memory of the run is left where it may go", sent=False)
        return await self._take_up(stream, runs.Continuation(run.target, copy))

    async def _run_anew(self, stream: relayed.Relayed) -> bool:
        """Have another run go on behind the last event, where the route allows it."""
        asked = stream.asked
        held_back = self._sender.refuse_held(asked)
        if held_back is not None:
            stream.problem = held_back.reason
            return False
        if not asked.route.is_resumable or stream.runs_begun >= asked.route.max_attempts:
            return False
        if not self._budget.take(asked.pool.name, self._loop.time()):
            return False
        former = stream.run
        self._drop(stream)
        target = self._selector.choose(asked.pool, asked.work, {former.target.target_id})
        if target is None:
            return False
        if stream.stopping is None:
            # The former runner may work on; the new run need not wait for its word.
            stream.stopping = self._order_stop(stream, target, is_stream_open=False)
        self._handovers.release(stream.stopping, used=None)
        plan = self._sender.plan(asked, target, last_event_id=stream.last_event_id)
        stream.runs_begun += 1
        outcome = await self._send_on(stream, target, plan, None)
        return isinstance(outcome, sending.Stream)

    async def _take_up(
        self, stream: relayed.Relayed, continuation: runs.Continuation
    ) -> sending.Outcome:
        """Have the run go on with a copy of its memory, as soon as its runner bears one more."""
        target = continuation.target
        engine = stream.run.pool.engine
        hold_seconds = engine.hold_seconds if engine is not None else 0.0
        until = self._loop.time() + hold_seconds * BEARING_WAIT_SHARE
        while True:
            await self._await_bearing(stream.run.pool, target, until)
            if not stream.run.may_go_to(target):
                return refusals.NotRun(f"{target.target_id} leaves too", sent=False)
            outcome = await self._send_copy(stream, continuation)
            is_refused_here = isinstance(outcome, refusals.NotRun) and not outcome.sent
            is_held_up = self._available.is_held_up(stream.run.pool, target)
            if not is_refused_here or not is_held_up or self._loop.time() >= until:
                return outcome

    async def _send_copy(
        self, stream: relayed.Relayed, continuation: runs.Continuation
    ) -> sending.Outcome:
        asked, target = stream.asked, continuation.target
        backup = self._sender.choose_backup(asked, target)
        plan = self._sender.plan(
            asked,
            target,
            last_event_id=stream.last_event_id,
            copy=continuation.copy,
            backup=backup,
        )
        self._budget.note_repeat(asked.pool.name, self._loop.time())
        return await self._send_on(stream, target, plan, backup)

    async def _await_bearing(
        self, pool: routes.Pool, target: directories.Target, until: float
    ) -> None:
        """Wait while a target gets nothing of this entry: cold, limited or in back-off."""
        while self._available.is_held_up(pool, target) and self._loop.time() < until:
            await asyncio.sleep(BEARING_CHECK_SECONDS)

    async def _send_on(
        self,
        stream: relayed.Relayed,
        target: directories.Target,
        plan: dialects.ForwardPlan,
        backup: directories.Target | None,
    ) -> sending.Outcome:
        """Send the request to another runner; the stream goes on with its answer if it is one."""
        run = stream.run
        began = self._loop.time()
        for stopping in stream.left:
            stopping.is_called_off |= stopping.run.target.target_id == target.target_id
        outcome = await self._sender.send(stream.asked, target, plan, run.tokens)
        taken = isinstance(outcome, sending.Stream)
        self._meters.continuations.labels(str(taken).lower()).inc()
        self._timeline.record(
            "run.go_on",
            request_id=stream.asked.facts.request_id,
            former=run.target.target_id,
            cause=stream.problem or "moved",
            took_ms=_milliseconds(self._loop.time() - began),
            target=target.target_id,
            copy=plan.copy.handle if plan.copy is not None else "",
            backup=plan.backup_address,
            last_event=stream.last_event_id,
            taken=taken,
            reason=getattr(outcome, "reason", ""),
        )
        if not isinstance(outcome, sending.Stream):
            return outcome
        run.moving = None  # its copy is used
        self._drop(stream)
        stream.take_exchange(outcome.exchange)
        stream.runners += 1
        stream.run = dataclasses.replace(
            run, target=target, backup=backup, moving=None, may_be_copying=False
        )
        self._hold(stream)
        return outcome

    def _note_end(self, stream: relayed.Relayed) -> None:
        asked = stream.asked
        self._quarantine.note_good(asked.fingerprint)
        self._meters.requests.labels(asked.route.name, "200").inc()
        first_seconds = stream.first_at - asked.request.arrived
        self._meters.seconds.labels(asked.route.name).observe(first_seconds)
        self._meters.pauses.labels(asked.route.name).observe(stream.longest_pause)
        self._timeline.record(
            "stream.end",
            request_id=stream.asked.facts.request_id,
            fingerprint=stream.asked.fingerprint,
            target=stream.run.target.target_id,
            events=stream.events,
            first_ms=_milliseconds(first_seconds),
            pause_ms=_milliseconds(stream.longest_pause),
            paused_at=stream.paused_at,
            runners=stream.runners,
        )

    def _note_broken(self, stream: relayed.Relayed, reason: str) -> None:
        self._meters.requests.labels(stream.asked.route.name, "broken").inc()
        self._timeline.record(
            "stream.break",
            request_id=stream.asked.facts.request_id,
            fingerprint=stream.asked.fingerprint,
            target=stream.run.target.target_id,
            phase=stream.run.target.phase.value,
            last_event=stream.last_event_id,
            events=stream.events,
            reason=reason,
        )


def _milliseconds(seconds: float) -> int:
    return int(seconds * 1000)
