"""Streams of events relayed to callers, over as many runners as their run is moved to.

Events go out whole, in the order of their ids, from one run.  If that run is lost and its memory is
nowhere, another one goes on behind the last event where the route allows it; elsewhere the caller's
connection ends and does not look whole.
"""

import asyncio
import dataclasses
import enum
from collections.abc import Callable

from tillerlane.decisions import handover
from tillerlane.gateway import admission as admissions
from tillerlane.gateway import budget as budgets
from tillerlane.gateway import dialect as dialects
from tillerlane.gateway import directory as directories
from tillerlane.gateway import endings as ends
from tillerlane.gateway import (
    events,
    handovers,
    http_client,
    http_head,
    http_server,
    quarantine,
    runs,
    selection,
    sending,
)
from tillerlane.gateway import meters as entry_meters
from tillerlane.gateway import usage as usages
from tillerlane.timeline import core as timelines

__all__ = ["Streams"]

HANDOVER_SECONDS = 5.0
"""Longest wait for a move of a run whose stream has ended: above the order's own limits."""
STOP_SECONDS = 2.0
"""Longest wait for the word of a runner whose connection broke that it works on a run no more.  One
that ended, or that has no such run, says so within a round trip, others once their link has copied
the run's memory."""

SILENCE_SECONDS = 0.7
"""Pause after which a runner is asked whether it can be reached at all: four times the longest
pause that is still in time (180 ms), so that it costs nothing on a good day."""


class _OutOfReach(http_client.AnswerBroken):
    """A runner is silent and can't be reached, so that nothing is known of its end."""


class Stop(enum.Enum):
    """Why the relay of one runner's events stopped."""

    WHOLE = "whole"
    BROKEN = "broken"
    """What came does not go on behind the last event, or the runner is out of reach."""
    BROKEN_OFF = "broken_off"
    """The runner ended it early."""
    CAN_GO_ON = "can_go_on"
    """It has not ended; a copy of the run is ready elsewhere."""


class Relayed:
    """A stream on its way to the caller.

    Attributes
    ----------
    last_event_id : str
        Id of the last event that the caller was sent.
    runs_begun : int
        Runners that may have begun a run of the request; one that goes on counts once.
    runners : int
        Runners that the stream came from.
    problem : str
        Why it broke off, if it did.
    is_out_of_reach : bool
        Whether it broke off since its runner is silent and no connection to it comes about.
    stopping : handovers.Stopping or None
        The order to its runner to stop the run.
    """

    def __init__(
        self,
        asked: admissions.Admission,
        responder: http_server.Responder,
        run: runs.Run,
        exchange: http_client.Exchange,
    ) -> None:
        self.asked = asked
        self.responder = responder
        self.run = run
        self.exchange: http_client.Exchange | None = exchange
        self.last_event_id = asked.facts.last_event_id
        self.events = 0
        self.runs_begun = 1
        self.runners = 1
        self.first_at = 0.0
        self.longest_pause = 0.0
        self.paused_at = ""
        """Last event before the longest pause."""
        self._wrote_at = 0.0
        self._splitter = events.Splitter()
        self.problem = ""
        self.is_out_of_reach = False
        self.stopping: handovers.Stopping | None = None
        self._heard_at = 0.0
        """When the present runner's last event came; 0 before its first."""
        self.on_growth: Callable[[runs.Run, int], None] = lambda run, tokens: None
        self.on_events: Callable[[runs.Run, int, float], None] = lambda run, events, seconds: None

    def take_exchange(self, exchange: http_client.Exchange) -> None:
        """Go on with what another runner sends behind the last event."""
        self.exchange = exchange
        self.problem = ""
        self.is_out_of_reach = False
        self.stopping = None
        self._splitter = events.Splitter()
        self._heard_at = 0.0

    async def relay(self) -> Stop:
        """Relay one runner's events until they end or the run can go on elsewhere."""
        assert self.exchange is not None
        try:
            while (data := await self._read_chunk(self.exchange)) is not None:
                if not await self._pass_on(data):
                    return Stop.BROKEN
                if self._can_go_on():
                    return Stop.CAN_GO_ON
        except (_OutOfReach, ValueError) as error:
            self.problem = str(error)
            self.is_out_of_reach = isinstance(error, _OutOfReach)
            return Stop.BROKEN
        except http_client.AnswerBroken as error:
            self.problem = str(error)
            return Stop.BROKEN_OFF
        if self._splitter.has_part:
            self.problem = "ended within an event"
            return Stop.BROKEN
        return Stop.WHOLE

    def _can_go_on(self) -> bool:
        """Whether the run can be handed over: a copy is ready, and there is an event to follow."""
        is_ready = self.run.read_continuation() is not None
        return is_ready and self.stopping is None and bool(self.last_event_id)

    async def _pass_on(self, data: bytes) -> bool:
        """Pass on whole events; False if one does not follow the last."""
        before = self.last_event_id
        good, self.problem = self._take_in_order(self._splitter.feed(data))
        if good:
            self._note_times(before, len(good))
            self._count_memory()
            await self.responder.write(b"".join(good))
        return not self.problem

    async def _read_chunk(self, exchange: http_client.Exchange) -> bytes | None:
        """Read on; a silent runner is given up only if it is out of reach and the run can go on.

        Silence alone ends nothing: a run that was pushed aside at its runner goes on there later.
        """
        while True:
            try:
                async with asyncio.timeout(SILENCE_SECONDS):
                    return await exchange.read_chunk()
            except TimeoutError as error:
                can_go_on = self.run.backup is not None or self.asked.route.is_resumable
                if can_go_on and not await http_client.is_reachable(self.run.target.address):
                    raise _OutOfReach("silent and out of reach", sent=True) from error

    def _take_in_order(self, found: list[bytes]) -> tuple[list[bytes], str]:
        """Take the events up to the first that does not follow; and what is wrong with that."""
        for position, event in enumerate(found):
            event_id = events.read_event_id(event)
            if event_id.isdigit() and self.last_event_id.isdigit():
                expected = int(self.last_event_id) + 1
                if int(event_id) != expected:
                    return found[:position], f"got event {event_id}, expected {expected}"
            self.last_event_id = event_id or self.last_event_id
            self.events += 1
        return found, ""

    def _count_memory(self) -> None:
        engine = self.run.pool.engine
        if engine is None:
            return
        written = self.events * engine.event_tokens
        tokens = self.asked.facts.prompt_tokens + written
        self.run.events_left = self.asked.count_events_left(self.events)
        self.on_growth(self.run, tokens + self.asked.count_growth(written))

    def _note_times(self, event_before: str, events_now: int) -> None:
        now = asyncio.get_running_loop().time()
        if self._heard_at:
            self.on_events(self.run, events_now, now - self._heard_at)
        self._heard_at = now
        if not self._wrote_at:
            self.first_at = now
        elif now - self._wrote_at > self.longest_pause:
            self.longest_pause = now - self._wrote_at
            self.paused_at = event_before
        self._wrote_at = now


class Streams:
    """Relays the streams of one entry.

    Parameters
    ----------
    sender : sending.Sender
        Sends requests.
    selector : selection.Selector
        Chooses runners.
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
        stream = Relayed(asked, responder, run, outcome.exchange)
        stream.runs_begun = tried.sends
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
            self._drop(stream)
            if not responder.is_done:
                responder.abort()

    def _hold(self, stream: Relayed) -> None:
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

    def _drop(self, stream: Relayed) -> None:
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

    async def _relay_runs(self, stream: Relayed) -> None:
        """Relay a stream over as many runners as its run is moved to."""
        while True:
            stop = await stream.relay()
            if stop is Stop.WHOLE:
                await stream.responder.finish()
                self._note_end(stream)
                return
            if stop is Stop.BROKEN_OFF:
                assert stream.exchange is not None
                sent_at = stream.exchange.sent_at
                await self._endings.learn(stream.asked, stream.run.target, sent_at, stream.events)
            if stop is Stop.CAN_GO_ON:
                self._hand_over(stream)
                continue
            if await self._go_on_from_copy(stream) or await self._run_anew(stream):
                continue
            self._note_broken(stream, stream.problem)
            return

    async def _await_move(self, run: runs.Run) -> runs.Continuation | None:
        if run.moving is None:
            return None
        try:
            async with asyncio.timeout(HANDOVER_SECONDS):
                return await asyncio.shield(run.moving)
        except TimeoutError:
            return None

    def _find_backup(self, run: runs.Run) -> runs.Continuation | None:
        """Where a run that broke off can go on from the copy made while it grew."""
        backup = run.backup
        if backup is None or backup.phase is directories.Phase.GONE:
            return None
        return runs.Continuation(backup, dialects.MemoryCopy(backup.address, run.request_id))

    def _hand_over(self, stream: Relayed) -> None:
        """Have the runner stop a run whose copy is ready elsewhere.

        Its stream is relayed until the runner ends it behind the last event that it made, and only
        then the run goes on with the copy: two runners never work on it, however late the other
        one's answer or this entry is, and whether or not a runner notices a closed connection.
        """
        run = stream.run
        continuation = run.read_continuation()
        assert continuation is not None
        if self._sender.refuse_held(stream.asked) is not None:
            self._mover.give_up(run)  # nobody would take it up; it may end here yet
        elif not self._may_take_up(run, continuation.target):
            self._mover.move_again(run)
        else:
            stream.stopping = self._order_stop(stream, continuation.target)

    def _may_take_up(self, run: runs.Run, target: directories.Target) -> bool:
        return not target.is_leaving and not self._selector.find_refusal(run.pool, target)

    def _order_stop(self, stream: Relayed, destination: directories.Target) -> handovers.Stopping:
        known = handover.Evidence.NONE
        if stream.is_out_of_reach:
            known = handover.Evidence.OUT_OF_REACH
        ends_at = stream.asked.ends_at
        return self._handovers.stop(stream.run, destination.address, ends_at, known)

    async def _go_on_from_copy(self, stream: Relayed) -> bool:
        """Go on with a copy after the run's own runner ended its stream, or broke off."""
        continuation = await self._await_move(stream.run)
        continuation = continuation or self._find_backup(stream.run)
        if continuation is None:
            return False
        evidence = await self._learn_end(stream, continuation.target)
        if not handover.may_go_on(evidence, stream.last_event_id):
            stream.problem += f"; nothing goes on with it: {evidence.value}"
            return False
        stopping = stream.stopping
        assert stopping is not None
        if stopping.copy is not None and stopping.is_at_destination:
            continuation = runs.Continuation(continuation.target, stopping.copy)
        outcome = await self._take_up(stream, continuation)
        if isinstance(outcome, sending.NotRun):
            outcome = await self._return_to_source(stream, stopping, continuation.target)
        self._handovers.release(stopping, is_copy_used=isinstance(outcome, sending.Stream))
        return isinstance(outcome, sending.Stream)

    async def _learn_end(
        self, stream: Relayed, destination: directories.Target
    ) -> handover.Evidence:
        """Whether the former runner still works on a run whose stream has ended here."""
        if stream.stopping is not None:
            stream.stopping.note_closed()
            return stream.stopping.evidence
        stream.stopping = self._order_stop(stream, destination)
        return await stream.stopping.wait(STOP_SECONDS)

    async def _return_to_source(
        self, stream: Relayed, stopping: handovers.Stopping, refused_by: directories.Target
    ) -> sending.Outcome:
        """Have a run go on where it stopped, since nobody else took it up."""
        run = stream.run
        copy = await stopping.wait_for_copy(HANDOVER_SECONDS)
        if copy is None:
            return sending.NotRun("no memory of the run is left", sent=False)
        run.refused_by |= {refused_by.target_id}
        return await self._take_up(stream, runs.Continuation(run.target, copy))

    async def _run_anew(self, stream: Relayed) -> bool:
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
            stopping = self._order_stop(stream, target)
            self._handovers.release(stopping, is_copy_used=False)
        plan = self._sender.plan(asked, target, last_event_id=stream.last_event_id)
        stream.runs_begun += 1
        outcome = await self._send_on(stream, target, plan, None)
        return isinstance(outcome, sending.Stream)

    async def _take_up(self, stream: Relayed, continuation: runs.Continuation) -> sending.Outcome:
        """Have the run go on with a copy of its memory."""
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

    async def _send_on(
        self,
        stream: Relayed,
        target: directories.Target,
        plan: dialects.ForwardPlan,
        backup: directories.Target | None,
    ) -> sending.Outcome:
        """Send the request to another runner; the stream goes on with its answer if it is one."""
        run = stream.run
        began = self._loop.time()
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
        stream.run = dataclasses.replace(run, target=target, backup=backup, moving=None)
        self._hold(stream)
        return outcome

    def _note_end(self, stream: Relayed) -> None:
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

    def _note_broken(self, stream: Relayed, reason: str) -> None:
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
