"""The planned stop of an entry: which requests still begin, and when the others are answered.

From the time at which no more connections are accepted, no new request is served that may outlast
the stop: it is refused, so that its caller may send it elsewhere.  One that waits by then is passed
on a little longer.  Shortly before the end, whatever still waits for a target or for its response
is answered, so that no connection ends without an answer.
"""

import asyncio
import contextlib
import math
from collections.abc import AsyncIterator

from tillerlane.gateway import refusals

__all__ = ["RETRY_AFTER_SECONDS", "PlannedStop", "build_refusal"]

RETRY_AFTER_SECONDS = 0.1
"""Retry delay of callers refused by an entry that stops; the other entries serve them at once."""
LAST_SEND_SHARE = 0.375
"""Part of a planned stop in which waiting requests that may outlast it are passed on; the rest is
left for their responses."""
ANSWER_SECONDS = 0.2
"""How long before the end of a planned stop the last requests are answered, so that their callers
get the responses."""


class PlannedStop:
    """The planned stop of an entry, which has not begun at first.

    Attributes
    ----------
    closed_at : float
        Time of the event loop from which requests that may outlast the stop are refused.
    sends_until : float
        Time of the event loop until which those that wait already are passed on.
    ends_at : float
        Time of the event loop at which all connections are closed.
    """

    def __init__(self) -> None:
        self.closed_at = math.inf
        self.sends_until = math.inf
        self.ends_at = math.inf
        self._loop = asyncio.get_running_loop()
        self._waiting: dict[asyncio.Timeout, float] = {}
        """Time-outs of requests that wait for a target, with their deadlines."""
        self._sent: set[asyncio.Timeout] = set()
        """Time-outs of requests that wait for a response."""

    @property
    def answers_at(self) -> float:
        """Time of the event loop at which the last requests are answered."""
        return self.ends_at - ANSWER_SECONDS

    @property
    def is_answering(self) -> bool:
        """Whether the last requests are being answered."""
        return self._loop.time() >= self.answers_at

    def begin(self, closed_at: float, ends_at: float) -> None:
        """Set the times of the stop, which begins now."""
        began_at = self._loop.time()
        self.closed_at, self.ends_at = closed_at, ends_at
        self.sends_until = max(closed_at, began_at + LAST_SEND_SHARE * (ends_at - began_at))
        for timeout, deadline in self._waiting.items():
            _bring_forward(timeout, self._compute_wait_end(deadline))
        for timeout in self._sent:
            _bring_forward(timeout, self.answers_at)

    def bars(self, deadline: float) -> bool:
        """Whether a new request with this deadline may not be passed on any more."""
        ends_at = self.answers_at if deadline <= self.ends_at else self.closed_at
        return self._loop.time() >= ends_at

    def ends_wait(self, deadline: float) -> bool:
        """Whether a request with this deadline that waits may not be passed on any more."""
        return self._loop.time() >= self._compute_wait_end(deadline)

    def _compute_wait_end(self, deadline: float) -> float:
        """Time until which a request may wait to be passed on."""
        return self.answers_at if deadline <= self.ends_at else self.sends_until

    @contextlib.asynccontextmanager
    async def limit_wait(self, deadline: float) -> AsyncIterator[None]:
        """Limit the time in which a request with this deadline waits to be passed on.

        Raises
        ------
        TimeoutError
            If it has to be refused.
        """
        async with asyncio.timeout_at(self._compute_wait_end(deadline)) as timeout:
            self._waiting[timeout] = deadline
            try:
                yield
            finally:
                del self._waiting[timeout]

    @contextlib.asynccontextmanager
    async def limit_response(self, until: float) -> AsyncIterator[None]:
        """Limit the time in which a request waits for its response, `until` a time at most.

        Raises
        ------
        TimeoutError
            If it has to be answered without that.
        """
        async with asyncio.timeout_at(min(until, self.answers_at)) as timeout:
            self._sent.add(timeout)
            try:
                yield
            finally:
                self._sent.discard(timeout)


def build_refusal() -> refusals.NotRun:
    """Refuse a request that is not passed on because of the stop."""
    return refusals.NotRun("entry is stopping", sent=False, retry_after=RETRY_AFTER_SECONDS)


def _bring_forward(timeout: asyncio.Timeout, at: float) -> None:
    when = timeout.when()
    if not timeout.expired() and (when is None or at < when):
        timeout.reschedule(at)
