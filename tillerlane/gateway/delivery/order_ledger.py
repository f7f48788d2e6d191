"""Orders to stop runs that one entry knows of, and what their answers prove."""

import asyncio
import collections
import contextlib
from collections.abc import Awaitable, Callable

from tillerlane.decisions import handover
from tillerlane.gateway import runs
from tillerlane.gateway.delivery import stop_notices

__all__ = ["OrderLedger", "SentOrder"]

ANSWER_SECONDS = 0.8
"""Longest wait for the answers to orders once a response has ended; a copy of the run's memory,
after which they come, takes that long on a day with many moves."""
RETENTION_SECONDS = 5.0
"""How long an order is kept after the run's time limit; above the longest wait for its answer."""


class SentOrder:
    """An order that was sent, and its answer.

    Parameters
    ----------
    on_over : callable
        Called when no answer is awaited any more.

    Attributes
    ----------
    record : handover.OrderRecord
        What is known of it.
    is_over : bool
        Whether no answer is awaited any more.
    """

    def __init__(self, on_over: Callable[[], None]) -> None:
        self.record = handover.OrderRecord()
        self.is_over = False
        self._on_over = on_over

    def record_outcome(self, outcome: handover.StopOutcome, *, may_be_copying: bool) -> None:
        """Record the outcome; one without a clear answer leaves open what the runner does."""
        if outcome is not handover.StopOutcome.UNCLEAR:
            self.record = handover.OrderRecord(
                asyncio.get_running_loop().time(),
                handover.is_declined(outcome, may_be_copying=may_be_copying),
            )
        self.is_over = True
        self._on_over()


class OrderLedger:
    """Orders to stop runs that one entry knows of, until the time limits of these runs."""

    def __init__(self) -> None:
        self._orders: dict[tuple[str, str], list[SentOrder]] = collections.defaultdict(list)
        self._noticed_until: dict[tuple[str, str], float] = {}
        """Time up to which announced orders of other entries may be carried out."""
        self._next_answer = asyncio.Event()

    def add(self, run: runs.Run, deadline: float) -> SentOrder:
        """Add an order that is about to be sent to a run's runner.

        Parameters
        ----------
        run : runs.Run
            The run that is to be stopped.
        deadline : float
            Time of the event loop at which the run's time limit expires.
        """
        key = run.key
        order = SentOrder(self._wake)
        self._orders[key].append(order)
        loop = asyncio.get_running_loop()
        loop.call_at(max(deadline, loop.time()) + RETENTION_SECONDS, self._discard, key, order)
        return order

    def add_notices(self, notices: list[stop_notices.StopNotice]) -> None:
        """Add orders of other entries, whose answers are not known here."""
        loop = asyncio.get_running_loop()
        for notice in notices:
            key = (notice.address, notice.request_id)
            if notice.until > self._noticed_until.get(key, 0.0):
                self._noticed_until[key] = notice.until
                loop.call_at(notice.until, self._forget_notice, key)

    def list_records(self, run: runs.Run) -> list[handover.OrderRecord]:
        """Orders to a run's runner to stop a run of the same request."""
        records = [order.record for order in self._list(run)]
        if run.key in self._noticed_until:
            records.append(handover.OrderRecord())
        return records

    async def wait_until_over(self, run: runs.Run, seconds: float) -> None:
        """Wait while any order to stop a run awaits its answer, for a limited time."""
        with contextlib.suppress(TimeoutError):  # what is unanswered counts as such
            async with asyncio.timeout(seconds):
                while any(not order.is_over for order in self._list(run)):
                    await self._next_answer.wait()

    async def is_end_proven(
        self, run: runs.Run, began_at: float, confirm_end: Callable[[], Awaitable[None]]
    ) -> bool:
        """Whether no order can be what ended a response of which only the connection tells the end.

        Parameters
        ----------
        run : runs.Run
            The run, or plain request, that the response came from.
        began_at : float
            Time at which it was requested.
        confirm_end : callable
            Coroutine function that confirms the end with the target's process, or raises.  It is
            awaited only if no order is known that may have ended the response.
        """
        await self._wait_until_judged(run, began_at)
        if handover.may_have_stopped(self.list_records(run), began_at):
            return False
        await confirm_end()
        # Orders that were sent meanwhile, one that the end of a stream causes among them.
        await self._wait_until_judged(run, began_at)
        return not handover.may_have_stopped(self.list_records(run), began_at)

    async def _wait_until_judged(self, run: runs.Run, began_at: float) -> None:
        """Wait while answers may still show that no order has stopped a run, for a limited time."""
        with contextlib.suppress(TimeoutError):  # what is unanswered counts as such
            async with asyncio.timeout(ANSWER_SECONDS):
                while any(not order.is_over for order in self._list(run)):
                    settled = [order.record for order in self._list(run) if order.is_over]
                    if handover.may_have_stopped(settled, began_at):
                        return
                    await self._next_answer.wait()

    def _wake(self) -> None:
        """Wake all who wait for answers."""
        self._next_answer.set()
        self._next_answer = asyncio.Event()

    def _list(self, run: runs.Run) -> list[SentOrder]:
        return self._orders.get(run.key, [])

    def _forget_notice(self, key: tuple[str, str]) -> None:
        until = self._noticed_until.get(key)
        if until is not None and until <= asyncio.get_running_loop().time():
            del self._noticed_until[key]

    def _discard(self, key: tuple[str, str], order: SentOrder) -> None:
        orders = self._orders[key]
        orders.remove(order)
        if not orders:
            del self._orders[key]
