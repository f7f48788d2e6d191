"""A stream on its way to a caller: one runner's events after another's, whole and in order."""

import asyncio
import enum
from collections.abc import Callable

from tillerlane.gateway import admission as admissions
from tillerlane.gateway import events, handovers, http_client, http_server, runs

__all__ = ["StopReason", "StreamRelay"]

BEFORE_FIRST_ID = "0"
"""Runners number events from 1; a stream that begins with a later one has lost its beginning."""
SILENCE_SECONDS = 0.7
"""Pause after which a runner is asked whether it can be reached at all: four times the longest
pause that is still in time (180 ms), so that it costs nothing on a good day."""


class _OutOfReach(http_client.ExchangeError):
    """A runner is silent and can't be reached, so that nothing is known of its end."""


class StopReason(enum.Enum):
    """Why the relay of one runner's events stopped."""

    COMPLETE = "whole"
    BROKEN = "broken"
    """What came does not go on behind the last event, or the runner is out of reach."""
    TRUNCATED = "broken_off"
    """The runner ended it early."""
    CAN_RESUME = "can_go_on"
    """It has not ended; a copy of the run is ready elsewhere."""
    RELEASED = "let_go"
    """The runner has stopped the run, though the end of its stream has not come."""


class StreamRelay:
    """A stream on its way to the caller.

    Attributes
    ----------
    last_event_id : str
        Id of the last event that the caller was sent.
    runs_started : int
        Runners that may have begun a run of the request; one that goes on counts once.
    runners : int
        Runners that the stream came from.
    problem : str
        Why it broke off, if it did.
    is_unreachable : bool
        Whether it broke off since its runner is silent and no connection to it comes about.
    stop_order : handovers.StopOrder or None
        The order to its runner to stop the run.
    former_stop_orders : list of handovers.StopOrder
        Those to the runners that the run has left.
    """

    def __init__(
        self,
        admission: admissions.Admission,
        responder: http_server.Responder,
        run: runs.Run,
        exchange: http_client.Exchange,
    ) -> None:
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
        """Last event before the longest pause."""
        self._wrote_at = 0.0
        self._splitter = events.EventSplitter()
        self.problem = ""
        self.is_unreachable = False
        self.stop_order: handovers.StopOrder | None = None
        self.former_stop_orders: list[handovers.StopOrder] = []
        self._heard_at = 0.0
        """When the present runner's last event came; 0 before its first."""
        self.on_growth: Callable[[runs.Run, int], None] = lambda run, tokens: None
        self.on_events: Callable[[runs.Run, int, float], None] = lambda run, events, seconds: None

    def switch_exchange(self, exchange: http_client.Exchange) -> None:
        """Go on with what another runner sends behind the last event."""
        self.exchange = exchange
        self.problem = ""
        self.is_unreachable = False
        if self.stop_order is not None:
            self.former_stop_orders.append(self.stop_order)
        self.stop_order = None
        self._splitter = events.EventSplitter()
        self._heard_at = 0.0

    async def relay(self) -> StopReason:
        """Relay one runner's events until they end or the run can go on elsewhere."""
        assert self.exchange is not None
        try:
            while (data := await self._read_chunk(self.exchange)) is not None:
                if not await self._pass_on(data):
                    return StopReason.BROKEN
                if self.stop_order is not None and self.stop_order.is_released:
                    return StopReason.RELEASED
                if self._can_go_on():
                    return StopReason.CAN_RESUME
        except (_OutOfReach, ValueError) as error:
            self.problem = str(error)
            self.is_unreachable = isinstance(error, _OutOfReach)
            return StopReason.BROKEN
        except http_client.ExchangeError as error:
            self.problem = str(error)
            return StopReason.TRUNCATED
        if self._splitter.has_partial_event:
            self.problem = "ended within an event"
            return StopReason.BROKEN
        if self.stop_order is not None and self.exchange.is_close_delimited:
            # A stopped stream ends by its connection's close too, and is not whole then.
            self.problem = "closed after it was to stop"
            return StopReason.TRUNCATED
        return StopReason.COMPLETE

    def _can_go_on(self) -> bool:
        """Whether the run can be handed over: a copy is ready, and there is an event to follow."""
        is_ready = self.run.get_resume_point() is not None
        return is_ready and self.stop_order is None and bool(self.last_event_id)

    def _could_go_on(self) -> bool:
        """Whether there is a way on if the runner can't be reached."""
        has_copy = self.run.backup is not None or self.run.get_resume_point() is not None
        return has_copy or self.admission.route.is_resumable

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
                if self._could_go_on() and not await http_client.is_reachable(
                    self.run.target.address
                ):
                    raise _OutOfReach("silent and out of reach", sent=True) from error

    def _take_in_order(self, found: list[bytes]) -> tuple[list[bytes], str]:
        """Take the events up to the first that does not follow; and what is wrong with that."""
        for position, event in enumerate(found):
            event_id = events.parse_event_id(event)
            former_id = self.last_event_id or BEFORE_FIRST_ID
            if event_id.isdigit() and former_id.isdigit():
                expected = int(former_id) + 1
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
        tokens = self.admission.facts.prompt_tokens + written
        self.run.remaining_events = self.admission.count_remaining_events(self.events)
        self.on_growth(self.run, tokens + self.admission.compute_growth_reserve(written))

    def _note_times(self, event_before: str, events_now: int) -> None:
        now = asyncio.get_running_loop().time()
        if self._heard_at:
            self.on_events(self.run, events_now, now - self._heard_at)
        self._heard_at = now
        if not self._wrote_at:
            self.first_event_at = now
        elif now - self._wrote_at > self.longest_pause:
            self.longest_pause = now - self._wrote_at
            self.longest_pause_after = event_before
        self._wrote_at = now
