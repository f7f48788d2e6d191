"""Relays streams of events to callers while their runs move between runners.

Events are relayed complete, in the order of their ids, and from one run.  If the run and all copies
of its memory are lost, a new run continues after the last event where the route allows it;
otherwise the caller's connection is aborted, so that the stream does not look complete.
"""

import asyncio
import dataclasses

from tillerlane.decisions import handover
from tillerlane.gateway import admission as admissions
from tillerlane.gateway import (
    availability,
    handovers,
    outcomes,
    refusals,
    reservations,
    routes,
    runs,
    selection,
    sending,
)
from tillerlane.gateway import budget as budgets
from tillerlane.gateway import dialect as dialects
from tillerlane.gateway import directory as directories
from tillerlane.gateway import metrics as entry_metrics
from tillerlane.gateway import usage as usages
from tillerlane.gateway.delivery import cancellation, order_ledger, watch
from tillerlane.gateway.http import http_client, http_head, http_server
from tillerlane.gateway.quarantine import exit_detection, guard
from tillerlane.gateway.streaming import restarts, stream_ends, stream_relay
from tillerlane.timeline import core as timelines

__all__ = ["Streams"]

COPY_TIMEOUT_SECONDS = 5.0
"""Longest wait for a copy of a run whose stream has ended; above the time-outs of the order
itself."""
STOP_TIMEOUT_SECONDS = 2.0
"""Longest wait for a runner whose connection broke to confirm that it no longer works on a run.  A
runner that has exited, or has no such run, answers within a round trip; others answer once their
link has copied the run's memory."""
MAX_NEW_RUN_TARGETS = 3
"""Runners that are tried for a new run, as many as for a new request."""
CAPACITY_CHECK_INTERVAL_SECONDS = 0.05
"""Interval of checks whether a runner that holds a run's copy is still blocked for this entry."""
CAPACITY_WAIT_SHARE = 0.5
"""Share of a copy's retention time that a run waits for such a runner."""


class Streams:
    """Relays the streams of one entry.

    Parameters
    ----------
    sender : sending.Sender
        Sends requests to runners.
    selector : selection.Selector
        Chooses runners.
    available : availability.Availability
        Knows which runners are blocked, and why.
    usage : usages.Usage
        Counts requests and tokens at targets.
    budget : budgets.RetryBudget
        Bounds new runs.
    mover : runs.Mover
        Moves runs off runners that leave.
    timeline : timelines.Timeline
        Log of decisions.
    metrics : entry_metrics.EntryMetrics
        Counts outcomes.
    exit_detector : exit_detection.ExitDetector
        Checks runners that broke off a stream.
    quarantined : guard.Quarantine
        Records streams that succeeded.
    orders : handovers.StopOrders
        Orders former runners to stop runs.
    reserved : reservations.Reservations
        Reserves memory for new runs.
    delivery_watch : watch.DeliveryWatch
        Finds connections that have fallen silent.
    canceller : cancellation.RunCanceller
        Stops runs whose callers have left.
    restarted : restarts.RestartedTargets
        Finds out which incarnation of a target serves a stream.
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
        quarantined: guard.Quarantine,
        orders: handovers.StopOrders,
        reserved: reservations.Reservations,
        delivery_watch: watch.DeliveryWatch,
        canceller: cancellation.RunCanceller,
        restarted: restarts.RestartedTargets,
    ) -> None:
        self._restarted = restarted
        self._watch = delivery_watch
        self._canceller = canceller
        self._reservations = reserved
        self._stop_orders = orders
        self._ends = stream_ends.StreamEnds(quarantined, timeline, metrics)
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
        result: outcomes.SendResult,
    ) -> None:
        """Relay a stream that a target has started."""
        outcome, target = result.outcome, result.target
        assert isinstance(outcome, outcomes.Stream) and target is not None
        run = runs.Run(
            admission.facts.request_id, admission.pool, target, admission.tokens, result.backup
        )
        run.is_long = admission.is_long
        run.pause_objective_seconds = admission.route.pause_objective_seconds or 0.0
        run.remaining_events = admission.count_remaining_events(0)
        stream = stream_relay.StreamRelay(admission, responder, run, outcome.exchange, self._watch)
        stream.runs_started = result.runs
        stream.on_growth = self._record_growth
        stream.on_events = self._record_events
        stream.on_first_event = self._record_first_event
        stream.on_begin = self._ends.record_begin
        stream.on_proof = self._ends.record_proof
        self._register(stream)
        try:
            headers = http_head.list_end_to_end(outcome.head.headers)
            await responder.start_response(http_head.ResponseHead(outcome.head.status, headers))
            async with asyncio.timeout_at(admission.deadline):
                await self._relay_runs(stream)
        except TimeoutError:
            self._ends.record_break(stream, "out of time")
        except asyncio.CancelledError:
            reason = "reader.slow" if responder.has_slow_reader else "caller left"
            self._ends.record_break(stream, reason)
            raise
        finally:
            for stop_order in stream.former_stop_orders:
                self._stop_orders.abandon(stop_order)
            if stream.stop_order is not None:
                self._stop_orders.abandon(stream.stop_order)
                self._stop_orders.discard_unused_copy(stream.stop_order, used=None)
            elif stream.exchange is not None:
                self._canceller.cancel_if_quiet(stream.run, stream.exchange, admission.deadline)
            self._unregister(stream)
            self._ends.forget(stream)
            if not responder.is_finished:
                responder.abort()

    def _register(self, stream: stream_relay.StreamRelay) -> None:
        """Register a run that has started, and count the memory of its backup copy."""
        run = stream.run
        assert stream.exchange is not None
        run.on_copied = stream.exchange.interrupt
        self._mover.add(run)
        self._stop_orders.add_relayed(run)
        self._restarted.add(stream)
        if run.backup is not None:
            self._usage.add(run.backup.address, tokens=run.tokens)

    def _record_events(self, run: runs.Run, event_count: int, seconds: float) -> None:
        """Record the rate at which a runner's events arrive."""
        self._selector.speeds.record_events(
            run.pool.name, run.target, run.request_id, event_count, seconds
        )

    def _record_first_event(self, run: runs.Run, exchange: http_client.Exchange) -> None:
        """Record the time that a runner took to prefill a prompt."""
        if run.pool.engine is not None and run.target.phase is not directories.Phase.GONE:
            self._selector.speeds.record_first_event(
                run.target.address,
                exchange.load_at_send,
                run.pool.engine.memory_tokens,
                self._loop.time() - exchange.sent_at,
            )

    def _record_growth(self, run: runs.Run, tokens: int) -> None:
        """Update the memory that a run and its backup copy are counted with."""
        grown = tokens - run.tokens
        unsaved_before = run.unsaved_tokens
        run.tokens = tokens
        unsaved_grown = run.unsaved_tokens - unsaved_before
        self._usage.add(run.target.address, tokens=grown, unsaved=unsaved_grown)
        if run.backup is not None:
            self._usage.add(run.backup.address, tokens=grown)

    def _unregister(self, stream: stream_relay.StreamRelay) -> None:
        """Unregister the run that a stream comes from."""
        if stream.exchange is not None:
            stream.exchange.abort()
            stream.exchange = None
            run = stream.run
            self._stop_orders.remove_relayed(run)
            self._usage.add(
                run.target.address, requests=-1, tokens=-run.tokens, unsaved=-run.unsaved_tokens
            )
            if run.backup is not None:
                self._usage.add(run.backup.address, tokens=-run.tokens)
        self._restarted.remove(stream)
        self._mover.remove(stream.run)

    async def _relay_runs(self, stream: stream_relay.StreamRelay) -> None:
        """Relay a stream over all runners that its run is moved to."""
        while True:
            stop = await stream.relay()
            if stop is stream_relay.StopReason.CLOSED:
                stop = await self._judge_close(stream)
            if stop is stream_relay.StopReason.COMPLETE:
                await stream.responder.finish()
                self._ends.record_end(stream)
                return
            if stop in (stream_relay.StopReason.TRUNCATED, stream_relay.StopReason.STOPPED):
                assert stream.exchange is not None
                sent_at = stream.exchange.sent_at
                if stop is stream_relay.StopReason.TRUNCATED and stream.stop_order is None:
                    self._selector.failures.record_broken_answer(
                        stream.run.target, stream.admission.fingerprint, self._loop.time(), sent_at
                    )
                await self._exit_detector.check_target(
                    stream.admission, stream.run.target, sent_at, stream.events, has_head=True
                )
            if stop is stream_relay.StopReason.CAN_RESUME:
                self._hand_over(stream)
                continue
            if stream.is_version_unknown and stream.last_event_id:
                stream.problem += f"; {stream.run.target.target_id} has restarted, version unknown"
                self._ends.record_break(stream, stream.problem)
                return
            if stream.events and not stream.last_event_id:
                stream.problem += "; its events have no ids"
                self._ends.record_break(stream, stream.problem)
                return
            if await self._resume_from_copy(stream) or await self._start_new_run(stream):
                continue
            self._ends.record_break(stream, stream.problem)
            return

    async def _judge_close(self, stream: stream_relay.StreamRelay) -> stream_relay.StopReason:
        """Why a stream ended whose end is that of its connection.

        A runner closes the stream of a stopped run like that of a complete one, and has neither run
        afterwards.  The stream is complete only if no order can have stopped its run.
        """
        assert stream.exchange is not None
        if stream.stop_order is not None:
            self._stop_orders.record_stream_end(stream.stop_order)
        ledger = self._stop_orders.ledger
        stop = stream_relay.StopReason.COMPLETE
        try:
            sent_at = stream.exchange.sent_at
            if not await ledger.is_end_proven(stream.run, sent_at, stream.confirm_end):
                stop = stream_relay.StopReason.STOPPED
                stream.problem = "connection closed, and an order may have stopped the run"
        except watch.UnconfirmedEnd as error:
            stop = stream_relay.StopReason.TRUNCATED
            stream.problem = str(error)
        orders = ledger.list_records(stream.run)
        self._timeline.record(
            "stream.closed",
            request_id=stream.run.request_id,
            target=stream.run.target.target_id,
            last_event=stream.last_event_id,
            orders=len(orders),
            unanswered=sum(order.answered_at is None for order in orders),
            declined=sum(order.is_declined for order in orders),
            verdict=stop.value,
        )
        return stop

    async def _wait_for_move(self, run: runs.Run) -> runs.ResumePoint | None:
        if run.moving is None:
            return None
        # The move may be cancelled meanwhile, which ends its task but not this one.
        await asyncio.wait({run.moving}, timeout=COPY_TIMEOUT_SECONDS)
        return run.get_resume_point()

    def _find_backup(self, run: runs.Run) -> runs.ResumePoint | None:
        """Where a run that broke off can be resumed from its backup copy."""
        backup = run.backup
        if backup is None or backup.phase is directories.Phase.GONE:
            return None
        return runs.ResumePoint(backup, dialects.MemoryCopy(backup.address, run.request_id))

    def _hand_over(self, stream: stream_relay.StreamRelay) -> None:
        """Order the runner to stop a run whose copy is ready on another runner.

        The stream is relayed until the runner has released the run; only then is the run resumed
        from the copy.  Two runners therefore never work on it, however late the destination's
        response or this entry is, and whether or not the runner notices a closed connection.
        """
        run = stream.run
        resume_point = run.get_resume_point()
        assert resume_point is not None
        target = resume_point.target
        if self._sender.refuse_quarantined(stream.admission) is not None:
            self._mover.cancel_move(run)  # no runner would resume it; it may still end here
        elif self._available.is_evacuated(target) or target.is_leaving:
            # Its notice may be over before the runner has released the run.
            self._mover.retry_move(run)
        elif not self._available.is_blocked(run.pool, target):  # otherwise at the next event
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

    async def _resume_from_copy(self, stream: stream_relay.StreamRelay) -> bool:
        """Resume a run from a copy after its runner released it or broke off.

        Where the connection has fallen silent, the copy that the runner makes as it stops will do.
        """
        resume_point = await self._wait_for_move(stream.run)
        resume_point = resume_point or self._find_backup(stream.run)
        if resume_point is not None:
            return await self._resume_once_released(stream, resume_point, resume_point.target)
        if not stream.is_silent:
            return False
        destination, tokens = self._canceller.choose_destination(stream.run), stream.run.tokens
        # Streams that fall silent at the same time have to see each other's choices.
        self._usage.add(destination.address, tokens=tokens)
        try:
            return await self._resume_once_released(stream, None, destination)
        finally:
            self._usage.add(destination.address, tokens=-tokens)

    async def _resume_once_released(
        self,
        stream: stream_relay.StreamRelay,
        resume_point: runs.ResumePoint | None,
        destination: directories.Target,
    ) -> bool:
        """Resume a run from a copy; without one, from that which its runner makes as it stops."""
        evidence = await self._find_evidence(stream, destination)
        if not handover.can_resume(evidence, stream.last_event_id):
            stream.problem += f"; run is not resumed: {evidence.value}"
            return False
        stop_order = stream.stop_order
        assert stop_order is not None
        if resume_point is None and evidence is handover.Evidence.STOPPED:
            await stop_order.wait_for_copy(COPY_TIMEOUT_SECONDS)
        if stop_order.copy is not None and stop_order.is_at_destination:
            resume_point = runs.ResumePoint(destination, stop_order.copy)
        outcome: outcomes.Outcome = refusals.NotRun("no copy at another runner", sent=False)
        used: dialects.MemoryCopy | None = None
        if resume_point is not None:
            outcome, used = await self._resume_at(stream, resume_point), resume_point.copy
        if isinstance(outcome, refusals.NotRun):
            if outcome.sent:
                stream.run.rejected_by |= {destination.target_id}
            outcome = await self._return_to_source(stream, stop_order)
            used = stop_order.copy
        is_resumed = isinstance(outcome, outcomes.Stream)
        self._stop_orders.discard_unused_copy(stop_order, used=used if is_resumed else None)
        return is_resumed

    async def _find_evidence(
        self, stream: stream_relay.StreamRelay, destination: directories.Target
    ) -> handover.Evidence:
        """Find out whether the former runner still works on a run whose stream has ended here."""
        if stream.stop_order is None:
            stream.stop_order = self._order_stop(stream, destination, is_stream_open=False)
        self._stop_orders.record_stream_end(stream.stop_order)
        if stream.is_unreachable and not stream.stop_order.is_released:
            return handover.Evidence.UNREACHABLE
        return await stream.stop_order.wait_for_evidence(STOP_TIMEOUT_SECONDS)

    async def _return_to_source(
        self, stream: stream_relay.StreamRelay, stop_order: handovers.StopOrder
    ) -> outcomes.Outcome:
        """Resume a run on the runner that stopped it, since no other runner resumed it."""
        run = stream.run
        refusal = self._sender.refuse_quarantined(stream.admission)
        if refusal is not None:
            return refusal
        if stop_order.evidence is handover.Evidence.STOPPED:
            await stop_order.wait_for_copy(COPY_TIMEOUT_SECONDS)
        else:
            # A repeated order may find no run before the answer to the first one names the copy.
            await self._stop_orders.ledger.wait_until_over(run, order_ledger.ANSWER_SECONDS)
        copy = stop_order.copy
        if copy is None or not run.can_move_to(run.target):
            return refusals.NotRun("no copy of the run on a runner that may resume it", sent=False)
        return await self._resume_at(stream, runs.ResumePoint(run.target, copy))

    async def _start_new_run(self, stream: stream_relay.StreamRelay) -> bool:
        """Start a new run that continues after the last event, where the route allows it.

        It starts at a runner with the software version of the events sent so far, if there are any.
        """
        admission = stream.admission
        refusal = self._sender.refuse_quarantined(admission)
        if refusal is not None:
            stream.problem = refusal.reason
            return False
        if not admission.route.is_resumable or stream.runs_started >= admission.route.max_attempts:
            return False
        former = stream.run.target
        version = former.software_version if stream.last_event_id else None
        tried = {former.target_id}
        self._unregister(stream)
        while len(tried) <= MAX_NEW_RUN_TARGETS:
            target = self._selector.choose(
                admission.pool, admission.work, tried, software_version=version
            )
            # Counted before it is sent: other streams may wait for a reservation meanwhile.
            if target is None or not self._budget.try_acquire(
                admission.pool.name, self._loop.time()
            ):
                return False
            tried.add(target.target_id)
            outcome = await self._send_new_run(stream, target)
            if not isinstance(outcome, refusals.NotRun):
                return isinstance(outcome, outcomes.Stream)
        return False

    async def _send_new_run(
        self, stream: stream_relay.StreamRelay, target: directories.Target
    ) -> outcomes.Outcome:
        """Have a runner start a new run of a stream, in memory reserved there if it is scarce."""
        admission = stream.admission
        reservation = await self._reservations.take_if_needed(admission, target)
        if isinstance(reservation, reservations.Full):
            return refusals.NotRun("no memory to reserve", sent=False)
        hold = reservation if isinstance(reservation, reservations.Hold) else None
        outcome: outcomes.Outcome | None = None
        try:
            if stream.stop_order is None:
                # The former runner may still work on its run; the new run need not wait for its
                # answer.
                stream.stop_order = self._order_stop(stream, target, is_stream_open=False)
            self._stop_orders.discard_unused_copy(stream.stop_order, used=None)
            plan = self._sender.build_plan(
                admission,
                target,
                last_event_id=stream.last_event_id,
                hold=hold.id if hold is not None else "",
            )
            outcome = await self._continue_on(stream, target, plan, None)
            stream.runs_started += not isinstance(outcome, refusals.NotRun)
            return outcome
        finally:
            if hold is not None and (outcome is None or isinstance(outcome, refusals.NotRun)):
                self._reservations.drop(hold)

    async def _resume_at(
        self, stream: stream_relay.StreamRelay, resume_point: runs.ResumePoint
    ) -> outcomes.Outcome:
        """Resume a run from a copy of its memory as soon as the copy's runner accepts requests."""
        target = resume_point.target
        engine = stream.run.pool.engine
        copy_retention_seconds = engine.copy_retention_seconds if engine is not None else 0.0
        until = self._loop.time() + copy_retention_seconds * CAPACITY_WAIT_SHARE
        while True:
            await self._wait_for_capacity(stream.run.pool, target, until)
            if not stream.run.can_move_to(target):
                return refusals.NotRun(f"{target.target_id} is leaving too", sent=False)
            outcome = await self._send_copy(stream, resume_point)
            is_unsent = isinstance(outcome, refusals.NotRun) and not outcome.sent
            is_blocked = self._available.is_blocked(stream.run.pool, target)
            if not is_unsent or not is_blocked or self._loop.time() >= until:
                return outcome

    async def _send_copy(
        self, stream: stream_relay.StreamRelay, resume_point: runs.ResumePoint
    ) -> outcomes.Outcome:
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
        return await self._continue_on(stream, target, plan, backup)

    async def _wait_for_capacity(
        self, pool: routes.Pool, target: directories.Target, until: float
    ) -> None:
        """Wait while a target is blocked for this entry: cold, rate-limited or in back-off."""
        while self._available.is_blocked(pool, target) and self._loop.time() < until:
            await asyncio.sleep(CAPACITY_CHECK_INTERVAL_SECONDS)

    async def _continue_on(
        self,
        stream: stream_relay.StreamRelay,
        target: directories.Target,
        plan: dialects.ForwardPlan,
        backup: directories.Target | None,
    ) -> outcomes.Outcome:
        """Send the request to another runner, and continue the stream with its response."""
        run = stream.run
        started_at = self._loop.time()
        for stop_order in stream.former_stop_orders:
            stop_order.is_cancelled |= stop_order.run.target.target_id == target.target_id
        outcome = await self._sender.send(stream.admission, target, plan, run.tokens)
        is_resumed = isinstance(outcome, outcomes.Stream)
        self._metrics.continuations.labels(str(is_resumed).lower()).inc()
        if is_resumed and stream.events and target.software_version != run.target.software_version:
            self._metrics.version_changes.labels(run.pool.name).inc()
        self._timeline.record(
            "run.go_on",
            request_id=stream.admission.facts.request_id,
            former=run.target.target_id,
            former_version=run.target.software_version,
            cause=stream.problem or "moved",
            took_ms=int((self._loop.time() - started_at) * 1000),
            target=target.target_id,
            software_version=target.software_version,
            copy=plan.copy.handle if plan.copy is not None else "",
            backup=plan.backup_address,
            last_event=stream.last_event_id,
            taken=is_resumed,
            reason=getattr(outcome, "reason", ""),
        )
        if not isinstance(outcome, outcomes.Stream):
            return outcome
        run.moving = None  # the copy is in use now
        self._unregister(stream)
        stream.switch_exchange(outcome.exchange)
        stream.runners += 1
        stream.run = dataclasses.replace(
            run, target=target, backup=backup, moving=None, may_be_copying=False
        )
        self._register(stream)
        return outcome
