"""In-memory connections that can be partitioned silently, in one direction or both, and healed.

Data sent into a cut is buffered, as in a kernel's socket buffers, and is delivered after the cut
has healed if the connection is still open.
"""

import asyncio
from collections.abc import Callable
from typing import Any

__all__ = ["Network"]


class Network:
    """Determines which pairs of daemons can communicate."""

    def __init__(self) -> None:
        self._cuts: set[tuple[str, str]] = set()
        self._changed = asyncio.Event()
        self.names: dict[str, str] = {}
        """Peer address to daemon id."""

    def cut(self, sender: str, receiver: str) -> None:
        """Block all data from one daemon to another."""
        self._cuts.add((sender, receiver))

    def isolate(self, name: str) -> None:
        """Partition a daemon from all others in both directions, without closing connections."""
        for other in self.names.values():
            if other != name:
                self.cut(name, other)
                self.cut(other, name)

    def heal(self) -> None:
        """Remove all cuts."""
        self._cuts.clear()
        self.wake_up()

    def wake_up(self) -> None:
        """Have all who wait for a cut to heal check again."""
        changed, self._changed = self._changed, asyncio.Event()
        changed.set()

    async def wait_changed(self) -> None:
        """Wait until cuts may have healed."""
        await self._changed.wait()

    def is_cut(self, sender: str, receiver: str) -> bool:
        """Whether data from `sender` to `receiver` is blocked."""
        return (sender, receiver) in self._cuts

    async def wait_open(self, sender: str, receiver: str) -> None:
        """Wait until data can pass from `sender` to `receiver`."""
        while self.is_cut(sender, receiver):
            await self._changed.wait()

    def connect_as(self, name: str) -> Callable[..., Any]:
        """Return a replacement of ``asyncio.open_connection`` for one daemon."""

        async def open_connection(
            host: str, port: int, **extra: Any
        ) -> tuple["_Reader", "_Writer"]:
            other = self.names.get(f"{host}:{port}", "")
            await self.wait_open(name, other)
            await self.wait_open(other, name)
            reader, writer = await asyncio.open_connection(host, port, **extra)
            held_reader = _Reader(self, reader, other, name)
            held_writer = _Writer(self, writer, name, other)
            held_writer.on_abort = held_reader.abort
            return held_reader, held_writer

        return open_connection


class _Reader:
    """A stream reader that blocks while its direction is cut."""

    def __init__(
        self, network: Network, reader: asyncio.StreamReader, sender: str, receiver: str
    ) -> None:
        self._network = network
        self._reader = reader
        self._pair = (sender, receiver)
        self._is_aborted = False

    def abort(self) -> None:
        """End the connection at this side, whether or not its direction is cut."""
        self._is_aborted = True
        self._reader.set_exception(ConnectionAbortedError("connection aborted"))
        self._network.wake_up()

    async def readexactly(self, count: int) -> bytes:
        await self._wait_open()
        data = await self._reader.readexactly(count)
        await self._wait_open()
        return data

    async def _wait_open(self) -> None:
        while self._network.is_cut(*self._pair) and not self._is_aborted:
            await self._network.wait_changed()
        if self._is_aborted:
            raise ConnectionAbortedError("connection aborted")


class _Writer:
    """A stream writer that buffers data while its direction is cut."""

    def __init__(
        self, network: Network, writer: asyncio.StreamWriter, sender: str, receiver: str
    ) -> None:
        self._network = network
        self._writer = writer
        self._pair = (sender, receiver)
        self._held = bytearray()
        self._flushing: asyncio.Task[None] | None = None
        self.on_abort: Callable[[], None] = lambda: None
        """Called when the connection is aborted at this side."""
        self.transport = _Transport(self)

    def write(self, data: bytes) -> None:
        if not self._held and not self._network.is_cut(*self._pair):
            self._writer.write(data)
            return
        self._held += data
        if self._flushing is None:
            self._flushing = asyncio.create_task(self._flush())

    async def _flush(self) -> None:
        await self._network.wait_open(*self._pair)
        data, self._held = bytes(self._held), bytearray()
        self._flushing = None
        if not self._writer.is_closing():
            self._writer.write(data)

    def get_unsent(self) -> int:
        """Number of bytes that are not sent yet."""
        return len(self._held) + self._writer.transport.get_write_buffer_size()

    def get_extra_info(self, name: str) -> Any:
        return self._writer.get_extra_info(name)

    def close(self) -> None:
        """Close; during a cut, the other side is only notified after it has healed."""
        if self._flushing is not None:
            self._flushing.cancel()
        if not self._network.is_cut(*self._pair):
            self._writer.close()
        else:
            self._closing = asyncio.create_task(self._close_later())

    async def _close_later(self) -> None:
        await self._network.wait_open(*self._pair)
        self._writer.close()


class _Transport:
    """The part of a transport's interface that links use."""

    def __init__(self, writer: _Writer) -> None:
        self._writer = writer

    def get_write_buffer_size(self) -> int:
        return self._writer.get_unsent()

    def abort(self) -> None:
        """End the connection at this side; the other one learns of it as after `close`."""
        self._writer.close()
        self._writer.on_abort()
