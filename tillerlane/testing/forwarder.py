"""A forwarder of TCP connections on the local host that injects faults on request."""

import asyncio
import contextlib
import dataclasses
import enum
import random
import socket

from tillerlane.peers import node as nodes
from tillerlane.testing import resets

__all__ = ["Forwarder", "LinkFault"]

CHUNK_BYTES = 64 * 1024
DELAY_SECONDS = (0.02, 0.3)
"""Minimum and maximum delay of a chunk on a slow connection."""
LONG_DELAY_SECONDS = (0.5, 1.5)
CHECK_INTERVAL_SECONDS = 0.02
BACKLOG = 100
QUEUE_FILLERS = 3
"""Number of own connections that fill the accept queue of a listener without a backlog, so that
no further connection can be established."""


class LinkFault(enum.StrEnum):
    """Fault that affects connections."""

    NONE = "none"
    DELAY = "delay"
    LONG_DELAY = "long_delay"
    SILENCE = "silence"
    """Data and new connections hang in both directions, without an error at either end."""
    CUT_IN = "cut_in"
    """Data to the upstream and new connections hang; data from the upstream passes."""
    CUT_OUT = "cut_out"
    """Data from the upstream and new connections hang; data to the upstream passes."""
    RESET = "reset"
    """Existing and new connections are reset."""


_BLOCKS_IN = frozenset({LinkFault.SILENCE, LinkFault.CUT_IN})
_BLOCKS_OUT = frozenset({LinkFault.SILENCE, LinkFault.CUT_OUT})
_BLOCKS_CONNECTIONS = _BLOCKS_IN | _BLOCKS_OUT
_DELAYS = {LinkFault.DELAY: DELAY_SECONDS, LinkFault.LONG_DELAY: LONG_DELAY_SECONDS}


@dataclasses.dataclass(eq=False, slots=True)
class _Pair:
    """A caller's connection and the one to the upstream.

    An orphan has lost its caller's connection while the one to the upstream stays open.
    """

    caller: asyncio.StreamWriter
    upstream: asyncio.StreamWriter | None = None
    is_orphan: bool = False
    is_silent: bool = False
    """Carries nothing more, in either direction, while both connections stay open."""

    def reset(self) -> None:
        self.is_silent = False
        for writer in (self.caller, self.upstream):
            if writer is not None:
                resets.reset(writer.transport)

    def close(self) -> None:
        """Close both connections regularly, after what was written to them."""
        for writer in (self.caller, self.upstream):
            if writer is not None:
                writer.close()


class Forwarder:
    """Forwards connections to a process.

    Parameters
    ----------
    address, upstream : str
        Addresses (``IP:port``) on which the forwarder and the process listen.
    rng : random.Random
        Source of random delays.
    """

    def __init__(self, address: str, upstream: str, rng: random.Random) -> None:
        self.address = address
        self._upstream = upstream
        self._rng = rng
        self._fault = LinkFault.NONE
        self._pairs: set[_Pair] = set()
        self._listener: socket.socket | None = None
        self._fillers: list[socket.socket] = []
        self._serving: set[asyncio.Task[None]] = set()

    async def start(self) -> None:
        """Start to listen."""
        self._listener = socket.create_server(nodes.split_address(self.address), backlog=BACKLOG)
        self._listener.setblocking(False)
        self.inject(LinkFault.NONE)

    def stop(self) -> None:
        """Reset all connections and stop listening."""
        self.inject(LinkFault.RESET)
        self.stop_listening()

    def stop_listening(self) -> None:
        """Stop listening; open connections go on, and each of their ends is passed on as it is."""
        for filler in self._fillers:
            filler.close()
        self._fillers.clear()
        if self._listener is not None:
            asyncio.get_running_loop().remove_reader(self._listener)
            self._listener.close()
            self._listener = None

    def inject(self, fault: LinkFault) -> None:
        """Inject a fault from now on; `LinkFault.NONE` ends it."""
        self._fault = fault
        if self._listener is not None:
            self._block_connections(self._listener, fault in _BLOCKS_CONNECTIONS)
        if fault is LinkFault.RESET:
            for pair in list(self._pairs):
                pair.reset()

    def orphan(self) -> None:
        """Reset the callers' side of all connections, leaving the upstream's side open."""
        for pair in list(self._pairs):
            pair.is_orphan = True
            resets.reset(pair.caller.transport)

    def silence(self) -> None:
        """Have all open connections carry nothing more, without an end; new ones work."""
        for pair in list(self._pairs):
            pair.is_silent = True

    def _block_connections(self, listener: socket.socket, is_blocked: bool) -> None:
        """Make new connections hang, as with lost packets, or accept them again."""
        loop = asyncio.get_running_loop()
        for filler in self._fillers:
            filler.close()
        self._fillers.clear()
        if not is_blocked:
            listener.listen(BACKLOG)
            loop.add_reader(listener, self._accept, listener)
            return
        loop.remove_reader(listener)
        listener.listen(0)
        for _ in range(QUEUE_FILLERS):
            filler = socket.socket()
            filler.setblocking(False)
            filler.connect_ex(nodes.split_address(self.address))
            self._fillers.append(filler)

    def _accept(self, listener: socket.socket) -> None:
        with contextlib.suppress(BlockingIOError, ConnectionError):
            connection, _ = listener.accept()
            connection.setblocking(False)
            task = asyncio.get_running_loop().create_task(self._serve(connection))
            self._serving.add(task)
            task.add_done_callback(self._serving.discard)

    async def _wait_while(self, faults: frozenset[LinkFault]) -> None:
        while self._fault in faults:
            await asyncio.sleep(CHECK_INTERVAL_SECONDS)

    async def _serve(self, connection: socket.socket) -> None:
        try:
            reader, writer = await asyncio.open_connection(sock=connection)
        except OSError:  # already reset
            connection.close()
            return
        pair = _Pair(writer)
        self._pairs.add(pair)
        try:
            await self._wait_while(_BLOCKS_CONNECTIONS)
            if self._fault is LinkFault.RESET:
                raise ConnectionResetError
            host, port = nodes.split_address(self._upstream)
            upstream_reader, pair.upstream = await asyncio.open_connection(host, port)
            await asyncio.gather(
                self._pump(pair, reader, pair.upstream, _BLOCKS_IN),
                self._pump(pair, upstream_reader, writer, _BLOCKS_OUT),
            )
            pair.close()
        except (OSError, RuntimeError):
            pair.reset()
        except asyncio.CancelledError:
            pair.reset()
            raise
        finally:
            self._pairs.discard(pair)

    async def _pump(
        self,
        pair: _Pair,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        blocked_by: frozenset[LinkFault],
    ) -> None:
        while True:
            data = await reader.read(CHUNK_BYTES)
            await self._wait_while(blocked_by)
            while pair.is_silent:
                await asyncio.sleep(CHECK_INTERVAL_SECONDS)
            if self._fault in _DELAYS:
                await asyncio.sleep(self._rng.uniform(*_DELAYS[self._fault]))
            try:
                if not data:
                    if not pair.is_orphan:
                        writer.write_eof()
                    return
                if not pair.is_orphan or writer is pair.upstream:
                    writer.write(data)
                    await writer.drain()
            except (OSError, RuntimeError):
                if not pair.is_orphan:
                    raise
