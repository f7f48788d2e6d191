"""Bytes that wait for one caller: counted, and the caller ended if it takes none of them."""

import asyncio
import contextlib
import socket
from collections.abc import Callable

from tillerlane.decisions import pressure
from tillerlane.gateway.memory import accounts

__all__ = ["UnsentBytes"]

CHECK_INTERVAL_SECONDS = 0.5
"""Interval of checks of a connection with waiting bytes; a check costs some microseconds.  A caller
that reads nothing is ended up to one interval late."""
KERNEL_BYTES = 16 * 1024
"""Unsent bytes that the kernel takes for one caller; what waits beyond them is seen here."""


class UnsentBytes:
    """Unsent bytes of one connection to a caller.

    Only time counts in which bytes wait and the caller takes none: a caller that reads a byte per
    second is never ended, and neither is one whose runner pauses, since no bytes wait then.

    Parameters
    ----------
    budget : accounts.Budget
        Where they are counted.
    transport : asyncio.Transport
        The connection.
    end : callable
        Called when the caller has taken nothing for too long.
    """

    def __init__(
        self, budget: accounts.Budget, transport: asyncio.Transport, end: Callable[[], None]
    ) -> None:
        self._budget = budget
        self._transport = transport
        self._end = end
        self._loop = asyncio.get_running_loop()
        self._account: accounts.Account | None = None
        self._written = 0
        self._taken = 0
        self._taken_at = 0.0
        self._charged = 0
        self._charged_to: str | None = ""
        self._high = pressure.MAX_WRITE_BUFFER_BYTES
        self._timer: asyncio.TimerHandle | None = None
        connected = transport.get_extra_info("socket")
        if connected is not None:
            # Simulated connections do not have the option.
            with contextlib.suppress(OSError, NotImplementedError):
                connected.setsockopt(socket.IPPROTO_TCP, socket.TCP_NOTSENT_LOWAT, KERNEL_BYTES)

    def prepare(self, account: accounts.Account | None) -> int:
        """Set the size of the write buffer for the next write, and give it."""
        if account is not None:
            self._account = account
        size = pressure.compute_write_buffer(self._budget.get_pressure())
        if size != self._high:
            self._high = size
            self._transport.set_write_buffer_limits(high=size)
        return size

    def record_write(self, size: int) -> None:
        """Count bytes that were just written to the connection."""
        self._written += size
        waiting = self._transport.get_write_buffer_size()
        if not waiting and not self._charged:
            return
        self._charge(waiting)
        if waiting and self._timer is None:
            self._taken = self._written - waiting
            self._taken_at = self._loop.time()
            self._timer = self._loop.call_later(CHECK_INTERVAL_SECONDS, self._check)

    def update(self) -> None:
        """Count what still waits, after some was sent or a request has ended."""
        waiting = self._transport.get_write_buffer_size()
        if waiting or self._charged:
            self._charge(waiting)

    def close(self) -> None:
        """Release all bytes, as the connection has ended."""
        self._charge(0)
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None

    def _charge(self, waiting: int) -> None:
        """Count waiting bytes beyond those that an open request is counted with anyway."""
        account = self._account
        floor = pressure.WRITE_FLOOR_BYTES if account is not None and account.is_open else 0
        workspace = account.workspace if account is not None else ""
        charged = max(0, waiting - floor)
        if workspace == self._charged_to:
            self._budget.change(workspace, charged - self._charged)
        else:
            self._budget.change(self._charged_to, -self._charged)
            self._budget.change(workspace, charged)
        self._charged, self._charged_to = charged, workspace

    def _check(self) -> None:
        """Check whether the caller has taken any byte."""
        self._timer = None
        waiting = self._transport.get_write_buffer_size()
        self._charge(waiting)
        if not waiting:
            return
        now = self._loop.time()
        taken = self._written - waiting
        if taken > self._taken:
            self._taken, self._taken_at = taken, now
        seconds = now - self._taken_at
        if not pressure.is_stalled(seconds):
            self._timer = self._loop.call_later(CHECK_INTERVAL_SECONDS, self._check)
            return
        account = self._account
        self._budget.record_slow_reader(
            account.request_id if account is not None else "",
            (account.workspace or "") if account is not None else "",
            waiting,
            seconds,
        )
        self._end()
