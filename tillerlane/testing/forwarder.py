"""A forwarder of TCP connections on this machine, which does harm on request."""

import asyncio
import contextlib
import dataclasses
import enum
import random
import socket

from tillerlane.peers import node as nodes

__all__ = ["Forwarder", "LinkFault"]

CHUNK_BYTES = 64 * 1024
DELAY_SECONDS = (0.02, 0.3)
"""Least and most delay of a chunk on a slow connection."""
LONG_DELAY_SECONDS = (0.5, 1.5)
CHECK_INTERVAL_SECONDS = 0.02
BACKLOG = 100
FILLERS = 3
"""Own connections that fill the queue of a listener that takes one more, so that no other one
comes about."""


class LinkFault(enum.StrEnum):
    """What happens to connections."""

    NONE = "none"
    DELAY = "delay"
    LONG_DELAY = "long_delay"
    SILENCE = "silence"
    """Nothing passes, no connection comes about, and nobody is told."""
    CUT_IN = "cut_in"
    """Nothing reaches the process behind, no new connection either; what it sends passes."""
    CUT_OUT = "cut_out"
    RESET = "reset"
    """Connections are reset, those that come too."""


_BLOCKS_IN = frozenset({LinkFault.SILENCE, LinkFault.CUT_IN})
_BLOCKS_OUT = frozenset({LinkFault.SILENCE, LinkFault.CUT_OUT})
_BLOCKS_CONNECTIONS = _BLOCKS_IN | _BLOCKS_OUT
_DELAYS = {LinkFault.DELAY: DELAY_SECONDS, LinkFault.LONG_DELAY: LONG_DELAY_SECONDS}


@dataclasses.dataclass(eq=False, slots=True)
class _Pair:
    """A connection and the one behind; an orphan has lost its caller and has not been told."""

    caller: asyncio.StreamWriter
    behind: asyncio.StreamWriter | None = None
    is_orphan: bool = False

    def reset(self) -> None:
        for writer in (self.caller, self.behind):
            if writer is not None:
                writer.transport.abort()


class Forwarder:
    """Passes connections on to a process.

    Parameters
    ----------
    address, behind : str
        Where it listens and where the process does (``IP:port``).
    rng : random.Random
        Draws delays.
    """

    def __init__(self, address: str, behind: str, rng: random.Random) -> None:
        self.address = address
        self._behind = behind
        self._rng = rng
        self._harm = LinkFault.NONE
        self._pairs: set[_Pair] = set()
        self._listener: socket.socket | None = None
        self._fillers: list[socket.socket] = []
        self._serving: set[asyncio.Task[None]] = set()

    async def start(self) -> None:
        """Listen."""
        self._listener = socket.create_server(nodes.split_address(self.address), backlog=BACKLOG)
        self._listener.setblocking(False)
        self.inject(LinkFault.NONE)

    def stop(self) -> None:
        """End all connections and stop listening."""
        self.inject(LinkFault.RESET)
        if self._listener is not None:
            asyncio.get_running_loop().remove_reader(self._listener)
            self._listener.close()
            self._listener = None

    def inject(self, harm: LinkFault) -> None:
        """Do harm from now on; `LinkFault.NONE` ends it."""
        self._harm = harm
        if self._listener is not None:
            self._hold_connections(self._listener, harm in _BLOCKS_CONNECTIONS)
        if harm is LinkFault.RESET:
            for pair in list(self._pairs):
                pair.reset()

    def orphan(self) -> None:
        """Reset all connections on their callers' side; the process behind is not told."""
        for pair in list(self._pairs):
            pair.is_orphan = True
            pair.caller.transport.abort()

    def _hold_connections(self, listener: socket.socket, is_held: bool) -> None:
        """Have new connections wait, as lost packets do, or let them come about again."""
        loop = asyncio.get_running_loop()
        for filler in self._fillers:
            filler.close()
        self._fillers.clear()
        if not is_held:
            listener.listen(BACKLOG)
            loop.add_reader(listener, self._accept, listener)
            return
        loop.remove_reader(listener)
        listener.listen(0)
        for _ in range(FILLERS):
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

    async def _wait_out(self, harms: frozenset[LinkFault]) -> None:
        while self._harm in harms:
            await asyncio.sleep(CHECK_INTERVAL_SECONDS)

    async def _serve(self, connection: socket.socket) -> None:
        try:
            reader, writer = await asyncio.open_connection(sock=connection)
        except OSError:  # reset already
            connection.close()
            return
        pair = _Pair(writer)
        self._pairs.add(pair)
        try:
            await self._wait_out(_BLOCKS_CONNECTIONS)
            if self._harm is LinkFault.RESET:
                return
            host, port = nodes.split_address(self._behind)
            answers, pair.behind = await asyncio.open_connection(host, port)
            await asyncio.gather(
                self._pump(pair, reader, pair.behind, _BLOCKS_IN),
                self._pump(pair, answers, writer, _BLOCKS_OUT),
            )
        except (OSError, RuntimeError):
            pass  # one end is gone, so the other must be told
        finally:
            pair.reset()
            self._pairs.discard(pair)

    async def _pump(
        self,
        pair: _Pair,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        held_by: frozenset[LinkFault],
    ) -> None:
        while True:
            data = await reader.read(CHUNK_BYTES)
            await self._wait_out(held_by)
            if self._harm in _DELAYS:
                await asyncio.sleep(self._rng.uniform(*_DELAYS[self._harm]))
            try:
                if not data:
                    if not pair.is_orphan:
                        writer.write_eof()
                    return
                if not pair.is_orphan or writer is pair.behind:
                    writer.write(data)
                    await writer.drain()
            except (OSError, RuntimeError):
                if not pair.is_orphan:
                    raise
