"""The budget of one entry, and the accounts of requests that hold memory of it."""

import asyncio
import collections
from collections.abc import Callable
from typing import Any

from tillerlane.decisions import pressure
from tillerlane.gateway import http_head

__all__ = ["Account", "Budget", "Refused"]

MAX_LINES_PER_SECOND = 10
"""Log lines of each kind per second; a line costs an entry 50 us, and a flood of bodies is refused
by the hundred."""


class Refused(Exception):
    """A request that does not fit into the budget.

    Attributes
    ----------
    retry_after : float
        Seconds after which the caller may retry.
    """

    def __init__(self, retry_after: float) -> None:
        super().__init__(retry_after)
        self.retry_after = retry_after


class Budget:
    """Bytes that one entry may hold for callers.

    Parameters
    ----------
    limit : int
        Bytes of the budget.
    identify : callable
        Gives the id of a request and the name of its workspace, each empty if unknown.

    Attributes
    ----------
    held, peak : int
        Bytes in use, and the most that ever were.
    refused, ended : int
        Requests refused for lack of memory, and callers ended since they read nothing.
    record_event : callable
        Writes a log line.
    """

    def __init__(
        self, limit: int, identify: Callable[[http_head.RequestHead], tuple[str, str]]
    ) -> None:
        self.limit = limit
        self.held = 0
        self.peak = 0
        self.refused = 0
        self.ended = 0
        self.record_event: Callable[..., Any] = lambda name, **fields: None
        self._identify = identify
        self._loop = asyncio.get_running_loop()
        self._by_workspace: collections.Counter[str] = collections.Counter()
        self._released: asyncio.Future[None] | None = None
        self._lines: collections.Counter[str] = collections.Counter()
        self._suppressed: collections.Counter[str] = collections.Counter()
        self._lines_since = 0.0

    def get_pressure(self) -> pressure.Pressure:
        """State of the budget."""
        return pressure.Pressure(self.limit, self.held, len(self._by_workspace))

    def get_held_by(self, workspace: str) -> int:
        """Bytes that a workspace holds."""
        return self._by_workspace.get(workspace, 0)

    def open(self, head: http_head.RequestHead, body_bytes: int) -> "Account":
        """Admit a request whose body has a known length, or 0 if it is counted as it arrives.

        Raises
        ------
        Refused
            If it does not fit.
        """
        request_id, workspace = self._identify(head)
        account = Account(self, request_id, workspace)
        account.admit(body_bytes + pressure.REQUEST_BYTES)
        return account

    def check(self, account: "Account", wanted: int) -> None:
        """Check whether an account may hold so many bytes more.

        Raises
        ------
        Refused
            If not.
        """
        workspace = account.workspace
        own = self.get_held_by(workspace)
        workspaces = len(self._by_workspace) + (not own)
        state = pressure.Pressure(self.limit, self.held, workspaces)
        reason = pressure.find_obstacle(state, own, wanted)
        if not reason:
            return
        self.refused += 1
        retry_after = pressure.compute_retry_seconds(state, wanted)
        self._record(
            "memory.refuse",
            request_id=account.request_id,
            workspace=workspace,
            reason=reason,
            wanted=wanted,
            held=self.held,
            limit=self.limit,
            own=own,
            workspaces=workspaces,
            retry_after=round(retry_after, 2),
        )
        raise Refused(retry_after)

    def change(self, workspace: str, difference: int) -> None:
        """Count bytes that a workspace holds from now on; negative ones are released."""
        if not difference:
            return
        self.held += difference
        self.peak = max(self.peak, self.held)
        left = self._by_workspace[workspace] + difference
        if left:
            self._by_workspace[workspace] = left
        else:
            del self._by_workspace[workspace]
        if difference < 0 and self._released is not None:
            self._released.set_result(None)
            self._released = None

    async def wait_for_room(self, wanted: int) -> None:
        """Wait until so many bytes are free."""
        while self.held + wanted > self.limit:
            if self._released is None:
                self._released = self._loop.create_future()
            await asyncio.shield(self._released)

    def record_slow_reader(
        self, request_id: str, workspace: str, waiting: int, seconds: float
    ) -> None:
        """Record a caller that was ended since it read nothing."""
        self.ended += 1
        self._record(
            "reader.slow",
            request_id=request_id,
            workspace=workspace,
            waiting=waiting,
            unread_ms=int(seconds * 1000),
            held=self.held,
        )

    def _record(self, name: str, **fields: Any) -> None:
        """Write a log line, unless there were too many in this second."""
        now = self._loop.time()
        if now - self._lines_since >= 1.0:
            self._lines_since = now
            self._lines.clear()
        self._lines[name] += 1
        if self._lines[name] > MAX_LINES_PER_SECOND:
            self._suppressed[name] += 1
            return
        self.record_event(name, suppressed=self._suppressed.pop(name, 0), **fields)


class Account:
    """Bytes that one request holds: its body, and what is buffered of its answer.

    Attributes
    ----------
    request_id, workspace : str
        Empty if unknown.
    """

    def __init__(self, budget: Budget, request_id: str, workspace: str) -> None:
        self.budget = budget
        self.request_id = request_id
        self.workspace = workspace
        self._held = 0
        self.is_open = True

    def admit(self, wanted: int) -> None:
        """Hold more bytes if the budget admits them.

        Raises
        ------
        Refused
            If not.
        """
        self.budget.check(self, wanted)
        self.change(wanted)

    def change(self, difference: int) -> None:
        """Count bytes that are held from now on, whether or not they fit."""
        if self.is_open:
            self._held += difference
            self.budget.change(self.workspace, difference)

    async def keep(self, size: int) -> None:
        """Hold a part of an answer that is collected whole; waits until it fits."""
        await self.budget.wait_for_room(size)
        self.change(size)

    def close(self) -> None:
        """Release all bytes."""
        self.change(-self._held)
        self.is_open = False
