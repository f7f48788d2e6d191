"""The budget of one process, and the accounts of connections and requests that draw on it."""

import asyncio
import collections
import dataclasses
from collections.abc import Callable
from typing import Any, Protocol

from tillerlane.decisions import eviction, pressure
from tillerlane.gateway.http import http_head

__all__ = ["Account", "Budget", "Holder", "Holding", "Refused"]

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


@dataclasses.dataclass(frozen=True, slots=True)
class Holding:
    """What a connection that waits for its client holds.

    Attributes
    ----------
    workspace : str or None
        Workspace of its request; None while that is not known.
    """

    workspace: str | None
    waiting: eviction.Waiting


class Holder(Protocol):
    """A connection that may give way to others."""

    def describe_wait(self) -> Holding | None:
        """What it holds while it waits for its client; None if it does not wait."""

    def give_way(self, retry_after: float) -> None:
        """Release what it holds."""


class Budget:
    """Bytes that one process may hold for clients.

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
    evicted : int
        Connections that gave way, for lack of memory or descriptors.
    holders : set of Holder
        The open connections.
    receive_buffer : int
        Bytes that the kernel may hold unread for each connection; 0 for its own choice.
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
        self.evicted = 0
        self.holders: set[Holder] = set()
        self.receive_buffer = 0
        self._pauses: dict[tuple[str, str | None], tuple[float, int]] = {}
        """Until when, by obstacle and workspace, no request of so many bytes finds room."""
        self._unidentified = 0
        """Bytes of connections whose request is not known yet."""
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

    def compute_max_body(self, copies: int) -> int:
        """Largest body that ever fits if it is held so many times at once."""
        return pressure.compute_max_body(self.limit, copies)

    def get_held_by(self, workspace: str | None) -> int:
        """Bytes that a workspace holds, or connections whose workspace is not known yet."""
        return self._unidentified if workspace is None else self._by_workspace.get(workspace, 0)

    def open(
        self, head: http_head.RequestHead, body_bytes: int, holder: Holder | None = None
    ) -> "Account":
        """Admit a request whose body has a known length, or 0 if it is counted as it arrives.

        Raises
        ------
        Refused
            If it does not fit.
        """
        request_id, workspace = self._identify(head)
        account = Account(self, request_id, workspace, holder)
        sent = sum(len(name) + len(value) for name, value in head.headers)
        head_bytes = eviction.compute_head_bytes(len(head.target) + sent, len(head.headers))
        account.admit(head_bytes + body_bytes + pressure.REQUEST_BYTES)
        return account

    def open_connection(self, holder: Holder) -> "Account":
        """Account of a connection until its request is known."""
        self.holders.add(holder)
        account = Account(self, "", None, holder)
        account.change(eviction.CONNECTION_BYTES)
        return account

    def check(self, account: "Account", wanted: int) -> None:
        """Check whether an account may hold so many bytes more.

        Raises
        ------
        Refused
            If not.
        """
        reason = self._find_obstacle(account, wanted)
        if reason and self._make_room(account, wanted, reason):
            reason = self._find_obstacle(account, wanted)
        if not reason:
            return
        state, own = self._describe(account)
        self.refused += 1
        retry_after = pressure.compute_retry_seconds(state, wanted)
        self.record(
            "memory.refuse",
            request_id=account.request_id,
            workspace=account.workspace,
            reason=reason,
            wanted=wanted,
            held=self.held,
            limit=self.limit,
            own=own,
            workspaces=state.workspaces,
            retry_after=round(retry_after, 2),
        )
        raise Refused(retry_after)

    def _describe(self, account: "Account") -> tuple[pressure.Pressure, int]:
        """State of the budget, with the account's workspace, and what that workspace holds."""
        own = self.get_held_by(account.workspace)
        is_new = account.workspace is None or not own
        workspaces = len(self._by_workspace) + is_new
        return pressure.Pressure(self.limit, self.held, workspaces), own

    def _find_obstacle(self, account: "Account", wanted: int) -> str:
        state, own = self._describe(account)
        return pressure.find_obstacle(state, own, wanted)

    def _make_room(self, account: "Account", wanted: int, reason: str) -> bool:
        """Have connections give way that wait for their clients; whether that released any."""
        now = self._loop.time()
        paused_until, paused_needed = self._pauses.get((reason, account.workspace), (0.0, 0))
        if now < paused_until and account.held + wanted >= paused_needed:
            return False
        state, own = self._describe(account)
        missing = pressure.count_missing(state, own, wanted, reason)
        found: list[tuple[Holder, eviction.Waiting]] = []
        needed = account.held + wanted
        for holder in self.holders:
            holding = holder.describe_wait()
            if holding is None:
                continue
            if holder is account.holder:
                # A request does not displace others that have taken less.
                waited = holding.waiting
                needed = max(needed, int(waited.held * waited.seconds / eviction.GRACE_SECONDS))
            elif reason == pressure.NO_MEMORY or holding.workspace == account.workspace:
                found.append((holder, holding.waiting))
        waiting = [item for _, item in found]
        chosen = eviction.choose_for_memory(waiting, needed, missing)
        if not chosen:
            until = now + eviction.compute_pause(len(self.holders))
            self._pauses[reason, account.workspace] = (until, account.held + wanted)
            return False
        retry_after = pressure.compute_retry_seconds(state, wanted)
        held = self.held
        for index in chosen:
            found[index][0].give_way(retry_after)
        self.evicted += len(chosen)
        self.record(
            "connections.evict",
            cause="memory",
            connections=len(chosen),
            freed=held - self.held,
            oldest_ms=int(max(waiting[index].seconds for index in chosen) * 1000),
            workspace=account.workspace,
            reason=reason,
            held=self.held,
            limit=self.limit,
        )
        return self.held < held

    def change(self, workspace: str | None, difference: int) -> None:
        """Count bytes that a workspace holds from now on; negative ones are released."""
        if not difference:
            return
        self.held += difference
        self.peak = max(self.peak, self.held)
        if workspace is None:
            self._unidentified += difference
        else:
            left = self._by_workspace[workspace] + difference
            if left:
                self._by_workspace[workspace] = left
            else:
                del self._by_workspace[workspace]
        if difference < 0 and self._released is not None:
            self._released.set_result(None)
            self._released = None

    async def wait_for_room(self, account: "Account", wanted: int) -> None:
        """Wait until so many bytes are free for an account."""
        while self.held + wanted > self.limit:
            if self._make_room(account, wanted, pressure.NO_MEMORY):
                continue
            if self._released is None:
                self._released = self._loop.create_future()
            await asyncio.shield(self._released)

    def record_slow_reader(
        self, request_id: str, workspace: str, waiting: int, seconds: float
    ) -> None:
        """Record a caller that was ended since it read nothing."""
        self.ended += 1
        self.record(
            "reader.slow",
            request_id=request_id,
            workspace=workspace,
            waiting=waiting,
            unread_ms=int(seconds * 1000),
            held=self.held,
        )

    def record_eviction(self, connections: int, seconds: float) -> None:
        """Record connections that gave way for lack of descriptors, and how long one waited."""
        self.evicted += connections
        self.record(
            "connections.evict",
            cause="descriptors",
            connections=connections,
            oldest_ms=int(seconds * 1000),
            open=len(self.holders),
        )

    def record(self, name: str, **fields: Any) -> None:
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
    """Bytes that one request holds: its head and body, and what is buffered of its answer.

    Attributes
    ----------
    request_id, workspace : str
        Empty if unknown; the workspace is None for a connection whose request is not known yet.
    held : int
        Bytes that it holds.
    holder : Holder or None
        The connection that they are held for.
    """

    def __init__(
        self,
        budget: Budget,
        request_id: str,
        workspace: str | None,
        holder: Holder | None = None,
    ) -> None:
        self.budget = budget
        self.request_id = request_id
        self.workspace = workspace
        self.holder = holder
        self.held = 0
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
            self.held += difference
            self.budget.change(self.workspace, difference)

    async def keep(self, size: int) -> None:
        """Hold a part of an answer that is collected whole; waits until it fits."""
        await self.budget.wait_for_room(self, size)
        self.change(size)

    def close(self) -> None:
        """Release all bytes."""
        self.change(-self.held)
        self.is_open = False
