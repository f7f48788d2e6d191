"""Relays one stream to its caller: events of one or more runners, complete and in order."""

import asyncio
import enum
from collections.abc import Callable

from tillerlane.decisions import event_order, quarantine
from tillerlane.gateway import admission as admissions
from tillerlane.gateway import handovers, runs
from tillerlane.gateway.delivery import watch
from tillerlane.gateway.http import http_client, http_server
from tillerlane.gateway.quarantine import suspects
from tillerlane.gateway.streaming import events

__all__ = ["StopReason", "StreamRelay"]


class StopReason(enum.Enum):
    """Why the relay of one runner's events stopped."""

    COMPLETE = "whole"
    BROKEN = "broken"
    """An event does not follow the last one, or the runner is unreachable."""
    SILENT = "silent"
    """The connection delivers nothing more, although its runner can be reached."""
    TRUNCATED = "broken_off"
    """The connection ended before the stream was complete."""
    CAN_RESUME = "can_go_on"
    """The stream has not ended, but a copy of the run is ready on another runner."""
    CLOSED = "closed"
    """The connection ended, which ends a complete stream as well as one that was stopped."""
    STOPPED = "stopped"
    """The connection ended, and an order may have stopped the run."""
    RELEASED = "let_go"
    """The runner has stopped the run, but its stream has not ended here."""


class StreamRelay:
    """A stream that is relayed to a caller.

    Attributes
    ----------
    last_event_id : str
        Id of the last event sent to the caller.
    runs_started : int
        Runners that may have started a run of the request; a resumed run counts once.
    runners : int
        Runners that events came from.
    problem : str
        Why the stream broke off, if it did.
    evidence : list of suspects.TargetExit
        Target exits that were known when the current run began.
    on_begin, on_proof : callable
        Called at the first event of each run, and when a run has got past its beginning.
    is_silent : bool
        Whether the current runner's connection has fallen silent.
    is_unreachable : bool
        Whether it broke off because the runner sends nothing and accepts no connection.
    is_version_unknown : bool
        Whether its target has restarted with other software, and either incarnation may serve it.
    stop_order : handovers.StopOrder or None
        Order to the current runner to stop the run.
    former_stop_orders : list of handovers.StopOrder
        Orders to former runners of the run.
    """

    def __init__(
        self,
        admission: admissions.Admission,
        responder: http_server.Responder,
        run: runs.Run,
        exchange: http_client.Exchange,
        delivery_watch: watch.DeliveryWatch,
    ) -> None:
        self._watch = delivery_watch
        self.admission = admission
        self.responder = responder
        self.run = run
        self.exchange: http_client.Exchange | None = exchange
        self.last_event_id = admission.facts.last_event_id
        self.events = 0
        self.runs_started = 1
        self.runners = 1
        self.first_event_at = 0.0
        self.longest_pause = 0.0
        self.longest_pause_after = ""
        """Id of the last event before the longest pause."""
        self._last_write_at = 0.0
        self._splitter = events.EventSplitter()
        self.problem = ""
        self.evidence: list[suspects.TargetExit] = []
        self.is_unreachable = False
        self.is_silent = False
        self.is_version_unknown = False
        self.stop_order: handovers.StopOrder | None = None
        self.former_stop_orders: list[handovers.StopOrder] = []
        self.is_proven = False
        """Whether a run of the request has got past its beginning."""
        self._last_event_at = 0.0
        """When the current runner's last event arrived; 0 before its first one."""
        self._began_at = 0.0
        """When the current runner's first event arrived."""
        self.on_begin: Callable[[StreamRelay], None] = lambda stream: None
        self.on_proof: Callable[[StreamRelay], None] = lambda stream: None
        self.on_growth: Callable[[runs.Run, int], None] = lambda run, tokens: None
        self.on_first_event: Callable[[runs.Run, http_client.Exchange], None] = (
            lambda run, exchange: None
        )
        self.on_events: Callable[[runs.Run, int, float], None] = lambda run, events, seconds: None

    def switch_exchange(self, exchange: http_client.Exchange) -> None:
        """Continue with the events that another runner sends after the last one."""
        self.exchange = exchange
        self.problem = ""
        self.is_unreachable = False
        self.is_silent = False
        self.is_version_unknown = False
        if self.stop_order is not None:
            self.former_stop_orders.append(self.stop_order)
        self.stop_order = None
        self._splitter = events.EventSplitter()
        self._last_event_at = 0.0

    async def relay(self) -> StopReason:
        """Relay one runner's events until they end or the run can be resumed elsewhere."""
        assert self.exchange is not None
        try:
            while (data := await self._read_chunk(self.exchange)) is not None:
                if not await self._forward(data):
                    return StopReason.BROKEN
                if self.stop_order is not None and self.stop_order.is_released:
                    return StopReason.RELEASED
                if self._can_hand_over():
                    return StopReason.CAN_RESUME
        except (watch.Unreachable, ValueError) as error:
            self.problem = str(error)
            self.is_unreachable = isinstance(error, watch.Unreachable)
            return StopReason.BROKEN
        except watch.SilentConnection as error:
            self.problem = str(error)
            self.is_silent = True
            return StopReason.SILENT
        except http_client.ExchangeError as error:
            self.problem = str(error)
            return StopReason.TRUNCATED
        if self._splitter.has_partial_event:
            self.problem = "stream ended within an event"
            return StopReason.TRUNCATED
        if not self.exchange.is_close_delimited:
            return StopReason.COMPLETE
        if not self.last_event_id and not self.events:
            self.problem = "connection closed before the first event"
            return StopReason.TRUNCATED
        return StopReason.CLOSED

    async def confirm_end(self) -> None:
        """Confirm with the runner that a stream has ended, of which only the connection says so.

        Raises
        ------
        watch.UnconfirmedEnd
            If the runner does not confirm it.
        """
        await self._watch.confirm_end(self.run, self._get_received())

    def _get_received(self) -> int:
        """Number of the last event that the caller has; 0 if it has no number."""
        return event_order.parse_number(self.last_event_id) or 0

    def prove(self) -> None:
        """Record that a run of the request has got past its beginning."""
        if not self.is_proven and self._began_at:
            self.is_proven = True
            self.on_proof(self)

    def _can_hand_over(self) -> bool:
        """Whether the run can be handed over: a copy is ready, and the caller has an event."""
        is_ready = self.run.get_resume_point() is not None
        return is_ready and self.stop_order is None and bool(self.last_event_id)

    def _is_recoverable(self) -> bool:
        """Whether the run can be resumed elsewhere if its runner is unreachable."""
        has_copy = self.run.backup is not None or self.run.get_resume_point() is not None
        return has_copy or self.admission.route.is_resumable

    async def _forward(self, data: bytes) -> bool:
        """Relay complete events; False if one does not follow the last."""
        previous_event_id, previous_events = self.last_event_id, self.events
        accepted, self.problem = self._accept_in_order(self._splitter.feed(data))
        if self.events > previous_events:
            self._record_times(previous_event_id, self.events - previous_events)
            self._update_memory()
        if accepted:
            await self.responder.write(b"".join(accepted))
        return not self.problem

    async def _read_chunk(self, exchange: http_client.Exchange) -> bytes | None:
        """Read more of the stream; fail if the runner is unreachable and the run can be resumed."""
        received = self._get_received()
        while True:
            try:
                return await self._watch.read(
                    exchange,
                    exchange.read_chunk,
                    self.run,
                    received,
                    has_begun=bool(self._last_event_at),
                )
            except watch.Unreachable:
                if self._is_recoverable():
                    raise

    def _accept_in_order(self, received: list[bytes]) -> tuple[list[bytes], str]:
        """Accept events up to the first that does not follow; also gives what is wrong with it."""
        for position, event in enumerate(received):
            if events.is_comment(event):
                continue
            event_id = events.parse_event_id(event)
            if not events.is_valid_id(event_id):
                return received[:position], "got an event with an invalid id"
            fault = event_order.find_fault(self.last_event_id, event_id)
            if fault:
                return received[:position], fault
            self.last_event_id = event_id
            self.events += 1
        return received, ""

    def _update_memory(self) -> None:
        engine = self.run.pool.engine
        if engine is None:
            return
        written = self.events * engine.event_tokens
        tokens = self.admission.facts.prompt_tokens + written
        self.run.remaining_events = self.admission.count_remaining_events(self.events)
        self.on_growth(self.run, tokens + self.admission.compute_growth_reserve(written))

    def _record_times(self, previous_event_id: str, event_count: int) -> None:
        now = asyncio.get_running_loop().time()
        if self._last_event_at:
            self.on_events(self.run, event_count, now - self._last_event_at)
        else:
            self._began_at = now
            self.on_begin(self)
        self._last_event_at = now
        if now - self._began_at >= quarantine.PROOF_SECONDS:
            self.prove()
        if not self._last_write_at:
            self.first_event_at = now
            assert self.exchange is not None
            self.on_first_event(self.run, self.exchange)
        elif now - self._last_write_at > self.longest_pause:
            self.longest_pause = now - self._last_write_at
            self.longest_pause_after = previous_event_id
        self._last_write_at = now
