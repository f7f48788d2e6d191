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
    exit_detection,
    handovers,
    http_head,
    http_server,
    quarantine,
    refusals,
    routes,
    runs,
    selection,
    sending,
    stream_relay,
)
from tillerlane.gateway import budget as budgets
from tillerlane.gateway import dialect as dialects
from tillerlane.gateway import directory as directories
from tillerlane.gateway import metrics as entry_metrics
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
    metrics : entry_metrics.EntryMetrics
        Counts outcomes.
    exit_detector : exit_detection.ExitDetector
        Asks after runners that broke off.
    quarantined : quarantine.Quarantine
        Takes note of streams that ended well.
    orders : handovers.StopOrders
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
        metrics: entry_metrics.EntryMetrics,
        exit_detector: exit_detection.ExitDetector,
        quarantined: quarantine.Quarantine,
        orders: handovers.StopOrders,
    ) -> None:
        self._stop_orders = orders
        self._quarantine = quarantined
        self._exit_detector = exit_detector
        self._sender = sender
        self._selector = selector
        self._available = available
        self._usage = usage
        self._budget = budget
        self._mover = mover
        self._timeline = timeline
        self._metrics = metrics
        self._loop = asyncio.get_running_loop()

    async def serve(
        self,
        admission: admissions.Admission,
        responder: http_server.Responder,
        tried: sending.SendResult,
    ) -> None:
        """Relay a stream that a target has begun."""
        outcome, target = tried.outcome, tried.target
        assert isinstance(outcome, sending.Stream) and target is not None
        run = runs.Run(
            admission.facts.request_id, admission.pool, target, admission.tokens, tried.backup
        )
        run.is_long = admission.is_long
        run.remaining_events = admission.count_remaining_events(0)
        stream = stream_relay.StreamRelay(admission, responder, run, outcome.exchange)
        stream.runs_started = tried.runs
        stream.on_growth = self._note_growth
        stream.on_events = self._note_events
        self._hold(stream)
        try:
            headers = http_head.list_end_to_end(outcome.head.headers)
            await responder.start_response(http_head.ResponseHead(outcome.head.status, headers))
            async with asyncio.timeout_at(admission.deadline):
                await self._relay_runs(stream)
        except TimeoutError:
            self._note_broken(stream, "out of time")
        except asyncio.CancelledError:
            self._note_broken(stream, "caller left")
            raise
        finally:
            if stream.stop_order is not None:
                self._stop_orders.discard_unused_copy(stream.stop_order, used=None)
            self._drop(stream)
            if not responder.is_finished:
                responder.abort()

    def _hold(self, stream: stream_relay.StreamRelay) -> None:
        """Take a run that has begun, and count its copy elsewhere while it goes on."""
        run = stream.run
        assert stream.exchange is not None
        run.on_copied = stream.exchange.interrupt
        self._mover.add(run)
        if run.backup is not None:
            self._usage.add(run.backup.address, tokens=run.tokens)

    def _note_events(self, run: runs.Run, events_now: int, seconds: float) -> None:
        """Keep the pace at which a runner's events come."""
        self._usage.record_events(run.target.address, events_now, seconds, self._loop.time())

    def _note_growth(self, run: runs.Run, tokens: int) -> None:
        """Keep count of a run's memory, and of its copy's."""
        grown = tokens - run.tokens
        unsaved_before = run.unsaved_tokens
        run.tokens = tokens
        unsaved_grown = run.unsaved_tokens - unsaved_before
        self._usage.add(run.target.address, tokens=grown, unsaved=unsaved_grown)
        if run.backup is not None:
            self._usage.add(run.backup.address, tokens=grown)

    def _drop(self, stream: stream_relay.StreamRelay) -> None:
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

    async def _relay_runs(self, stream: stream_relay.StreamRelay) -> None:
        """Relay a stream over as many runners as its run is moved to."""
        while True:
            stop = await stream.relay()
            if stop is stream_relay.StopReason.COMPLETE:
                await stream.responder.finish()
                self._note_end(stream)
                return
            if stop is stream_relay.StopReason.TRUNCATED:
                assert stream.exchange is not None
                sent_at = stream.exchange.sent_at
                await self._exit_detector.check_target(
                    stream.admission, stream.run.target, sent_at, stream.events
                )
            if stop is stream_relay.StopReason.CAN_RESUME:
                self._hand_over(stream)
                continue
            if await self._go_on_from_copy(stream) or await self._run_anew(stream):
                continue
            self._note_broken(stream, stream.problem)
            return

    async def _await_move(self, run: runs.Run) -> runs.ResumePoint | None:
        if run.moving is None:
            return None
        # The order may be given up meanwhile, which ends its task and not this one.
        await asyncio.wait({run.moving}, timeout=HANDOVER_SECONDS)
        return run.get_resume_point()

    def _find_backup(self, run: runs.Run) -> runs.ResumePoint | None:
        """Where a run that broke off can go on from the copy made while it grew."""
        backup = run.backup
        if backup is None or backup.phase is directories.Phase.GONE:
            return None
        return runs.ResumePoint(backup, dialects.MemoryCopy(backup.address, run.request_id))

    def _hand_over(self, stream: stream_relay.StreamRelay) -> None:
        """Have the runner stop a run whose copy is ready elsewhere.

        Its stream is relayed until the runner has let go of the run, and only then the run goes on
        with the copy: two runners never work on it, however late the other one's answer or this
        entry is, and whether or not a runner notices a closed connection.
        """
        run = stream.run
        resume_point = run.get_resume_point()
        assert resume_point is not None
        target = resume_point.target
        if self._sender.refuse_quarantined(stream.admission) is not None:
            self._mover.cancel_move(run)  # nobody would take it up; it may end here yet
        elif self._available.is_evacuated(target) or not run.can_move_to(target):
            self._mover.retry_move(run)
        elif not self._available.is_blocked(run.pool, target):  # else again with its next event
            stream.stop_order = self._order_stop(stream, target)

    def _order_stop(
        self,
        stream: stream_relay.StreamRelay,
        destination: directories.Target,
        *,
        is_stream_open: bool = True,
    ) -> handovers.StopOrder:
        stop_order = self._stop_orders.stop(
            stream.run,
            destination.address,
            stream.admission.deadline,
            is_stream_open=is_stream_open,
        )
        if stream.exchange is not None:
            stop_order.on_release = stream.exchange.interrupt
        return stop_order

    async def _go_on_from_copy(self, stream: stream_relay.StreamRelay) -> bool:
        """Go on with a copy after the run's own runner let go of it, or broke off."""
        resume_point = await self._await_move(stream.run)
        resume_point = resume_point or self._find_backup(stream.run)
        if resume_point is None:
            return False
        evidence = await self._learn_end(stream, resume_point.target)
        if not handover.can_resume(evidence, stream.last_event_id):
            stream.problem += f"; nothing goes on with it: {evidence.value}"
            return False
        stop_order = stream.stop_order
        assert stop_order is not None
        if stop_order.copy is not None and stop_order.is_at_destination:
            resume_point = runs.ResumePoint(resume_point.target, stop_order.copy)
        outcome, used = await self._take_up(stream, resume_point), resume_point.copy
        if isinstance(outcome, refusals.NotRun):
            if outcome.sent:
                stream.run.rejected_by |= {resume_point.target.target_id}
            outcome = await self._return_to_source(stream, stop_order)
            used = stop_order.copy
        is_taken = isinstance(outcome, sending.Stream)
        self._stop_orders.discard_unused_copy(stop_order, used=used if is_taken else None)
        return is_taken

    async def _learn_end(
        self, stream: stream_relay.StreamRelay, destination: directories.Target
    ) -> handover.Evidence:
        """Whether the former runner still works on a run whose stream has ended here."""
        if stream.stop_order is None:
            stream.stop_order = self._order_stop(stream, destination, is_stream_open=False)
        self._stop_orders.record_stream_end(stream.stop_order)
        if stream.is_unreachable and not stream.stop_order.is_released:
            return handover.Evidence.UNREACHABLE
        return await stream.stop_order.wait_for_evidence(STOP_SECONDS)

    async def _return_to_source(
        self, stream: stream_relay.StreamRelay, stop_order: handovers.StopOrder
    ) -> sending.Outcome:
        """Have a run go on where it stopped, since nobody else took it up."""
        run = stream.run
        refused = self._sender.refuse_quarantined(stream.admission)
        if refused is not None:
            return refused
        has_copy = stop_order.evidence is handover.Evidence.STOPPED
        copy = await stop_order.wait_for_copy(HANDOVER_SECONDS) if has_copy else None
        if copy is None or not run.can_move_to(run.target):
            return refusals.NotRun("no memory of the run is left where it may go", sent=False)
        return await self._take_up(stream, runs.ResumePoint(run.target, copy))

    async def _run_anew(self, stream: stream_relay.StreamRelay) -> bool:
        """Have another run go on behind the last event, where the route allows it."""
        admission = stream.admission
        held_back = self._sender.refuse_quarantined(admission)
        if held_back is not None:
            stream.problem = held_back.reason
            return False
        if not admission.route.is_resumable or stream.runs_started >= admission.route.max_attempts:
            return False
        if not self._budget.try_acquire(admission.pool.name, self._loop.time()):
            return False
        former = stream.run
        self._drop(stream)
        target = self._selector.choose(admission.pool, admission.work, {former.target.target_id})
        if target is None:
            return False
        if stream.stop_order is None:
            # The former runner may work on; the new run need not wait for its word.
            stream.stop_order = self._order_stop(stream, target, is_stream_open=False)
        self._stop_orders.discard_unused_copy(stream.stop_order, used=None)
        plan = self._sender.build_plan(admission, target, last_event_id=stream.last_event_id)
        stream.runs_started += 1
        outcome = await self._send_on(stream, target, plan, None)
        return isinstance(outcome, sending.Stream)

    async def _take_up(
        self, stream: stream_relay.StreamRelay, resume_point: runs.ResumePoint
    ) -> sending.Outcome:
        """Have the run go on with a copy of its memory, as soon as its runner bears one more."""
        target = resume_point.target
        engine = stream.run.pool.engine
        copy_retention_seconds = engine.copy_retention_seconds if engine is not None else 0.0
        until = self._loop.time() + copy_retention_seconds * BEARING_WAIT_SHARE
        while True:
            await self._await_bearing(stream.run.pool, target, until)
            if not stream.run.can_move_to(target):
                return refusals.NotRun(f"{target.target_id} leaves too", sent=False)
            outcome = await self._send_copy(stream, resume_point)
            is_refused_here = isinstance(outcome, refusals.NotRun) and not outcome.sent
            is_blocked = self._available.is_blocked(stream.run.pool, target)
            if not is_refused_here or not is_blocked or self._loop.time() >= until:
                return outcome

    async def _send_copy(
        self, stream: stream_relay.StreamRelay, resume_point: runs.ResumePoint
    ) -> sending.Outcome:
        admission, target = stream.admission, resume_point.target
        backup = self._sender.choose_backup(admission, target)
        plan = self._sender.build_plan(
            admission,
            target,
            last_event_id=stream.last_event_id,
            copy=resume_point.copy,
            backup=backup,
        )
        self._budget.record_retry(admission.pool.name, self._loop.time())
        return await self._send_on(stream, target, plan, backup)

    async def _await_bearing(
        self, pool: routes.Pool, target: directories.Target, until: float
    ) -> None:
        """Wait while a target gets nothing of this entry: cold, limited or in back-off."""
        while self._available.is_blocked(pool, target) and self._loop.time() < until:
            await asyncio.sleep(BEARING_CHECK_SECONDS)

    async def _send_on(
        self,
        stream: stream_relay.StreamRelay,
        target: directories.Target,
        plan: dialects.ForwardPlan,
        backup: directories.Target | None,
    ) -> sending.Outcome:
        """Send the request to another runner; the stream goes on with its answer if it is one."""
        run = stream.run
        began = self._loop.time()
        for stop_order in stream.former_stop_orders:
            stop_order.is_cancelled |= stop_order.run.target.target_id == target.target_id
        outcome = await self._sender.send(stream.admission, target, plan, run.tokens)
        taken = isinstance(outcome, sending.Stream)
        self._metrics.continuations.labels(str(taken).lower()).inc()
        self._timeline.record(
            "run.go_on",
            request_id=stream.admission.facts.request_id,
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
        stream.switch_exchange(outcome.exchange)
        stream.runners += 1
        stream.run = dataclasses.replace(
            run, target=target, backup=backup, moving=None, may_be_copying=False
        )
        self._hold(stream)
        return outcome

    def _note_end(self, stream: stream_relay.StreamRelay) -> None:
        admission = stream.admission
        self._quarantine.record_success(admission.fingerprint)
        self._metrics.requests.labels(admission.route.name, "200").inc()
        first_seconds = stream.first_event_at - admission.request.arrived
        self._metrics.seconds.labels(admission.route.name).observe(first_seconds)
        self._metrics.pauses.labels(admission.route.name).observe(stream.longest_pause)
        self._timeline.record(
            "stream.end",
            request_id=stream.admission.facts.request_id,
            fingerprint=stream.admission.fingerprint,
            target=stream.run.target.target_id,
            events=stream.events,
            first_ms=_milliseconds(first_seconds),
            pause_ms=_milliseconds(stream.longest_pause),
            paused_at=stream.longest_pause_after,
            runners=stream.runners,
        )

    def _note_broken(self, stream: stream_relay.StreamRelay, reason: str) -> None:
        self._metrics.requests.labels(stream.admission.route.name, "broken").inc()
        self._timeline.record(
            "stream.break",
            request_id=stream.admission.facts.request_id,
            fingerprint=stream.admission.fingerprint,
            target=stream.run.target.target_id,
            phase=stream.run.target.phase.value,
            last_event=stream.last_event_id,
            events=stream.events,
            reason=reason,
        )


def _milliseconds(seconds: float) -> int:
    return int(seconds * 1000)
