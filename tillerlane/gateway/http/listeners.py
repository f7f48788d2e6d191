"""The connections of one listener: how many there may be, and which give way to new ones."""

import asyncio
import contextlib
import dataclasses
import resource
import socket
from collections.abc import Callable
from typing import Any, Protocol

from tillerlane.decisions import eviction
from tillerlane.gateway import memory
from tillerlane.gateway.http import http_limits

__all__ = [
    "ACCEPT_BATCH",
    "NO_BOUNDS",
    "SIDE_BOUNDS",
    "UNREAD_SHARE",
    "Connection",
    "ConnectionBounds",
    "Registry",
    "bound_connections",
    "build_side_budget",
    "extend_queue",
    "find_descriptor_limit",
    "listen",
]

UNREAD_SHARE = 1 / 8
"""Unread bytes of clients in the kernel, as a share of the memory for them; they come in addition,
and so do as many of targets."""
SIDE_MEMORY_BYTES = 6_000_000
"""Memory for the clients of listeners for checks and metrics, which are served while none is left
for others."""
BACKLOG = 1_024
ACCEPT_BATCH = 8
"""Connections that are accepted at once, before any of them is counted."""


@dataclasses.dataclass(frozen=True, slots=True)
class ConnectionBounds:
    """Bounds on the connections of one listener; None for no bound.

    Attributes
    ----------
    connections : int or None
        Most connections.
    unread_bytes : int or None
        Bytes that the kernel may hold unread, for all connections together.
    unread_grace_seconds : float
        Time in which a client may read nothing of a response before it gives way; 0 where a
        response costs little to make again.
    """

    connections: int | None = None
    unread_bytes: int | None = None
    unread_grace_seconds: float = eviction.UNREAD_GRACE_SECONDS


NO_BOUNDS = ConnectionBounds()
SIDE_BOUNDS = ConnectionBounds(
    eviction.SIDE_CONNECTIONS,
    eviction.SIDE_CONNECTIONS * eviction.MIN_RECEIVE_BUFFER_BYTES,
    unread_grace_seconds=0.0,
)
"""Bounds of a listener for checks or metrics."""


def find_descriptor_limit(setting: int) -> int:
    """Descriptors that this process may open; 0 for no limit.

    Parameters
    ----------
    setting : int
        Limit from the settings, 0 for none.  The system's limit holds where it is lower.
    """
    process_limit, _ = resource.getrlimit(resource.RLIMIT_NOFILE)
    is_unlimited = process_limit == resource.RLIM_INFINITY
    return eviction.choose_limit(setting, 0 if is_unlimited else process_limit)


def bound_connections(
    memory_bytes: int,
    descriptors: int,
    unread_grace_seconds: float = eviction.UNREAD_GRACE_SECONDS,
) -> ConnectionBounds:
    """Bounds of the main listener of a process; 0 for a limit that is not known."""
    return ConnectionBounds(
        eviction.compute_max_connections(descriptors) if descriptors else None,
        int(memory_bytes * UNREAD_SHARE) if memory_bytes else None,
        unread_grace_seconds,
    )


def build_side_budget(record_event: Callable[..., Any]) -> memory.Budget:
    """Budget of the listeners for checks and metrics."""
    budget = memory.Budget(SIDE_MEMORY_BYTES, lambda head: ("", ""))
    budget.record_event = record_event
    return budget


async def listen(
    protocol: Callable[[], asyncio.BaseProtocol],
    address: tuple[str, int],
    listener: socket.socket | None = None,
) -> asyncio.Server:
    """Accept connections at an address, or on a socket that already listens."""
    loop = asyncio.get_running_loop()
    if listener is not None:
        server = await loop.create_server(protocol, sock=listener, backlog=ACCEPT_BATCH)
    else:
        server = await loop.create_server(protocol, *address, backlog=ACCEPT_BATCH)
    extend_queue(server)
    return server


def extend_queue(server: asyncio.AbstractServer) -> None:
    """Let more connections wait in a listener's queue than are accepted at a time."""
    for duplicate in _duplicate_sockets(server):
        with duplicate, contextlib.suppress(OSError):
            duplicate.listen(BACKLOG)


def _duplicate_sockets(server: asyncio.AbstractServer | None) -> list[socket.socket]:
    """Sockets that share the options of the listening ones, which offer no way to set them."""
    try:
        return [item.dup() for item in getattr(server, "sockets", ())]
    except (OSError, AttributeError):
        return []  # no descriptor is left, or the network is simulated


class Connection(memory.Holder, Protocol):
    """An accepted connection."""

    def limit_receive_buffer(self, size: int) -> None:
        """Limit the bytes that the kernel holds for it unread."""


class Registry:
    """The open connections of a listener.

    Parameters
    ----------
    bounds : ConnectionBounds
        Bounds on connections.
    budget : memory.Budget or None
        Memory that their clients may take; unbounded without one.

    Attributes
    ----------
    connections : set of Connection
        The open connections.
    refused : int
        Connections closed unread, since none of the others could give way.
    server : asyncio.AbstractServer or None
        The listener, whose connections inherit its options.
    """

    def __init__(self, bounds: ConnectionBounds, budget: memory.Budget | None) -> None:
        self.connections: set[Any] = set()
        self.refused = 0
        self.server: asyncio.AbstractServer | None = None
        self._bounds = bounds
        self._budget = budget
        self._receive_buffer = 0
        self._paused_until = 0.0
        """Time of the event loop until which no connection can give way."""

    def admit(self) -> bool:
        """Whether a new connection is accepted; others may give way to it."""
        limit = self._bounds.connections
        if limit is None or len(self.connections) < limit:
            return True
        now = asyncio.get_running_loop().time()
        if now >= self._paused_until:
            self._make_room()
            if len(self.connections) < limit:
                return True
            self._paused_until = now + eviction.compute_pause(len(self.connections))
        self.refused += 1
        return False

    def _make_room(self) -> None:
        """Have connections give way that wait for their clients."""
        described = [(item, item.describe_wait()) for item in self.connections]
        found = [(item, holding.waiting) for item, holding in described if holding is not None]
        waiting = [item for _, item in found]
        chosen = eviction.choose_for_descriptor(waiting, self._bounds.unread_grace_seconds)
        if not chosen:
            return
        for index in chosen:
            found[index][0].give_way(eviction.RETRY_AFTER_SECONDS)
            self.connections.discard(found[index][0])
        if self._budget is not None:
            oldest = max(waiting[index].seconds for index in chosen)
            self._budget.record_eviction(len(chosen), oldest)

    def add(self, connection: Connection) -> None:
        """Register a connection."""
        self.connections.add(connection)
        self.limit_receive_buffers()

    def discard(self, connection: Connection) -> None:
        """Forget a connection that has ended."""
        self.connections.discard(connection)
        if self._budget is not None:
            self._budget.holders.discard(connection)
        self.limit_receive_buffers()

    def limit_receive_buffers(self) -> None:
        """Divide the bytes that may wait in the kernel among the connections.

        New connections inherit the listener's buffer.  It grows again when there are half as many
        connections as it is for, so that it does not change with each one.
        """
        limit = self._bounds.unread_bytes
        if limit is None:
            return
        count = len(self.connections)
        size = eviction.compute_receive_buffer(limit, count)
        larger = eviction.compute_receive_buffer(limit, 2 * count)
        if size >= self._receive_buffer >= larger and self._receive_buffer:
            return
        self._receive_buffer = size
        if self._budget is not None:
            self._budget.receive_buffer = size
        for duplicate in _duplicate_sockets(self.server):
            with duplicate:
                http_limits.limit_receive_buffer(duplicate, size)
        for connection in self.connections:
            connection.limit_receive_buffer(size)
