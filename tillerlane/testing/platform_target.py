"""A stand-in target of the platform as a process of its own: ``platform_target ORDERS``.

It keeps a record that outlives it.  Its faults are switched over its standard input, a line of JSON
each; it ends when that does.
"""

import asyncio
import pathlib
import sys
import time
from typing import Any

import msgspec

from tillerlane.gateway import http_client, http_head, http_server
from tillerlane.testing import platform_record, platform_runner

__all__ = ["Orders", "Switches"]

CALL_SECONDS = 2.0
"""Longest wait for another runner that is to take a copy."""
GROWTH_SECONDS = 0.5
"""Pause between two words to another runner of a copy that grows with its run."""


class Orders(msgspec.Struct):
    """What a target is started with."""

    target_id: str
    address: str
    listen_address: str
    record: str
    length: int
    pace: float
    copy_seconds: float


class Switches(msgspec.Struct):
    """A line of its standard input: fields of the runner to set, or that its connections break."""

    fields: dict[str, Any] = {}
    resets: bool = False


class _Copy(msgspec.Struct):
    request_id: str
    events: int
    source: str


async def _call(address: str, method: bytes, path: str, body: bytes) -> None:
    """Tell another runner something; it is lost if that can't be reached."""
    exchange = None
    try:
        async with asyncio.timeout(CALL_SECONDS):
            exchange = await http_client.connect(address, CALL_SECONDS)
            headers = [(b"Host", address.encode())]
            exchange.send(http_head.RequestHead(method, path.encode(), headers), body)
            await exchange.read_head()
    except (http_client.ExchangeError, TimeoutError):
        pass
    finally:
        if exchange is not None:
            exchange.abort()


class _RemoteCopies:
    """The copies that lie at another runner."""

    def __init__(self, address: str, own_address: str) -> None:
        self._address = address
        self._own_address = own_address
        self._told_at: dict[str, float] = {}
        self._calls: set[asyncio.Task[None]] = set()

    def _begin(self, method: bytes, path: str, body: bytes) -> None:
        task = asyncio.get_running_loop().create_task(_call(self._address, method, path, body))
        self._calls.add(task)
        task.add_done_callback(self._calls.discard)

    def __setitem__(self, handle: str, copy: Any) -> None:
        now = asyncio.get_running_loop().time()
        is_growing = handle == copy.request_id
        if is_growing and now < self._told_at.get(handle, 0.0) + GROWTH_SECONDS:
            return
        self._told_at[handle] = now
        told = _Copy(copy.request_id, copy.events, self._own_address)
        self._begin(b"POST", f"/kv-copy/{handle}", msgspec.json.encode(told))

    def pop(self, handle: str, default: Any = None) -> Any:
        self._begin(b"DELETE", f"/kv-handle/{handle}", b"")
        return default


class _Remote:
    """Another runner, as far as this one sees it."""

    refuses = False

    def __init__(self, address: str, own_address: str) -> None:
        self.copies = _RemoteCopies(address, own_address)


class _Remotes(dict[str, Any]):
    """All other runners by address."""

    own_address = ""

    def get(self, address: str, default: Any = None) -> Any:
        if address and address not in self:
            self[address] = _Remote(address, self.own_address)
        return super().get(address, default)


class _Ran(list[platform_runner.RanRequest]):
    """Runs, each written down before it is worked on."""

    def __init__(self, record: platform_record.Writer) -> None:
        super().__init__()
        self._record = record

    def append(self, run: platform_runner.RanRequest) -> None:
        self._record.record_begin(run)
        super().append(run)


class RecordingRunner(platform_runner.PlatformRunner):
    """A runner that writes down what it does, and whose copies go to other processes."""

    def __init__(self, orders: Orders) -> None:
        remotes = _Remotes()
        remotes.own_address = orders.address
        super().__init__(
            orders.target_id,
            orders.address,
            remotes,
            length=orders.length,
            pace=orders.pace,
            copy_seconds=orders.copy_seconds,
            listen_address=orders.listen_address,
        )
        self._record = platform_record.Writer(pathlib.Path(orders.record))
        self.ran = _Ran(self._record)

    async def start(self) -> None:
        """Listen."""
        await super().start()
        self._record.record_start(time.monotonic())

    async def _serve(self, request: http_server.Request, responder: http_server.Responder) -> None:
        path = request.head.target.decode()
        if not path.startswith("/kv-copy/"):
            await super()._serve(request, responder)
            return
        told = msgspec.json.decode(request.body, type=_Copy)
        source = self.others.get(told.source)
        copy = platform_runner.MemoryCopy(told.request_id, told.events, source)
        self.copies[path.rpartition("/")[2]] = copy
        await responder.send_response(http_head.ResponseHead(200, []), b"")

    def _grow_copy(self, run: platform_runner.RanRequest) -> None:
        self._record.record_event(run, time.monotonic())
        super()._grow_copy(run)

    def _record_rejection(self, arrival: platform_runner.Arrival) -> None:
        super()._record_rejection(arrival)
        self._record.record_rejection(arrival)

    def _record_end(self, run: platform_runner.RanRequest, ended: str) -> None:
        had_ended = bool(run.ended)
        super()._record_end(run, ended)
        if not had_ended:
            self._record.record_end(run)

    def take(self, switches: Switches) -> None:
        """Switch faults on and off."""
        for name, value in switches.fields.items():
            is_bytes = isinstance(getattr(self, name), bytes)
            setattr(self, name, value.encode() if is_bytes else value)
        if switches.resets:
            self.reset_connections()


async def _serve_until_told(orders: Orders) -> None:
    runner = RecordingRunner(orders)
    await runner.start()
    reader = asyncio.StreamReader()
    protocol = asyncio.StreamReaderProtocol(reader)
    await asyncio.get_running_loop().connect_read_pipe(lambda: protocol, sys.stdin)
    while line := await reader.readline():
        runner.take(msgspec.json.decode(line, type=Switches))


def main() -> None:
    """Run a target until its standard input ends."""
    asyncio.run(_serve_until_told(msgspec.json.decode(sys.argv[1], type=Orders)))


if __name__ == "__main__":
    main()
