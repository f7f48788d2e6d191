"""A simulated target of the platform as a separate process: ``platform_target ORDERS``.

It keeps a record on disk that survives its process. Faults are switched by lines of JSON on its
standard input; it exits at the end of the input.
"""

import asyncio
import os
import pathlib
import sys
import time
from typing import Any

import msgspec

from tillerlane.gateway.http import http_client, http_head, http_server
from tillerlane.testing import broken_answers, platform_record, platform_runner

__all__ = ["Orders", "Switches"]

CALL_TIMEOUT_SECONDS = 2.0
"""Timeout of a call to another runner, about a copy of a run's memory."""
COPY_REPORT_INTERVAL_SECONDS = 0.5
"""Interval between updates to another runner of an incremental copy."""
MAX_ENDLESS = 1
"""Number of endless answers that a target writes at a time, a bound on their cost to the host."""
ORDER_PATHS = ("/report", "/kv-move")


class Orders(msgspec.Struct):
    """Start-up parameters of a target."""

    target_id: str
    address: str
    listen_address: str
    record: str
    length: int
    pace: float
    copy_seconds: float
    software_version: str = ""
    framing: broken_answers.Framing = broken_answers.Framing.USUAL
    started_ms: int = 0
    """Unix milliseconds of its start, which its heartbeats and its reports name."""


class Switches(msgspec.Struct):
    """A line of standard input: attributes to set, and whether to reset all connections."""

    fields: dict[str, Any] = {}
    resets: bool = False


class _Copy(msgspec.Struct):
    request_id: str
    events: int
    source: str


async def _call(address: str, method: bytes, path: str, body: bytes) -> int:
    """Call another runner; returns the status of its answer, 0 without one."""
    exchange = None
    try:
        async with asyncio.timeout(CALL_TIMEOUT_SECONDS):
            exchange = await http_client.connect(address, CALL_TIMEOUT_SECONDS)
            headers = [(b"Host", address.encode())]
            exchange.send(http_head.RequestHead(method, path.encode(), headers), body)
            return (await exchange.read_head()).status
    except (http_client.ExchangeError, TimeoutError):
        return 0
    finally:
        if exchange is not None:
            exchange.abort()


class _RemoteCopies:
    """The copies that another runner holds."""

    def __init__(self, address: str, own_address: str) -> None:
        self._address = address
        self._own_address = own_address
        self._sent_at: dict[str, float] = {}
        self._calls: set[asyncio.Task[int]] = set()

    def _send(self, method: bytes, path: str, body: bytes) -> None:
        task = asyncio.get_running_loop().create_task(_call(self._address, method, path, body))
        self._calls.add(task)
        task.add_done_callback(self._calls.discard)

    async def send(self, handle: str, copy: platform_runner.MemoryCopy) -> bool:
        """Send a copy; returns whether the runner has acknowledged it."""
        return await _call(self._address, *self._encode(handle, copy)) == 200

    def _encode(self, handle: str, copy: platform_runner.MemoryCopy) -> tuple[bytes, str, bytes]:
        copy_report = _Copy(copy.request_id, copy.events, self._own_address)
        return b"POST", f"/kv-copy/{handle}", msgspec.json.encode(copy_report)

    def __setitem__(self, handle: str, copy: Any) -> None:
        now = asyncio.get_running_loop().time()
        is_growing = handle == copy.request_id
        if is_growing and now < self._sent_at.get(handle, 0.0) + COPY_REPORT_INTERVAL_SECONDS:
            return
        self._sent_at[handle] = now
        self._send(*self._encode(handle, copy))

    def pop(self, handle: str, default: Any = None) -> Any:
        self._send(b"DELETE", f"/kv-handle/{handle}", b"")
        return default


class _Remote:
    """Proxy object for a runner in another process."""

    refuses = False

    def __init__(self, address: str, own_address: str) -> None:
        self.copies = _RemoteCopies(address, own_address)


class _Remotes(dict[str, Any]):
    """All other runners by address, created on first use."""

    own_address = ""

    def get(self, address: str, default: Any = None) -> Any:
        if address and address not in self:
            self[address] = _Remote(address, self.own_address)
        return super().get(address, default)


class _Ran(list[platform_runner.RanRequest]):
    """List of runs, each of which is recorded before it is processed."""

    def __init__(self, record: platform_record.Writer) -> None:
        super().__init__()
        self._record = record

    def append(self, run: platform_runner.RanRequest) -> None:
        self._record.record_begin(run)
        super().append(run)


class RecordingRunner(platform_runner.PlatformRunner):
    """A runner that records its work on disk and whose copies go to other processes."""

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
            software_version=orders.software_version,
            started_ms=orders.started_ms,
        )
        self.labels_events = True
        self.is_close_delimited = orders.framing is broken_answers.Framing.CLOSE
        self.is_chunked = orders.framing is broken_answers.Framing.CHUNKED
        self.broken: broken_answers.BrokenAnswer | None = None
        self._framing = orders.framing
        self._endless = 0
        self._orders: dict[int, str] = {}
        """Names of the orders that have no answer yet."""
        self._record = platform_record.Writer(pathlib.Path(orders.record))
        self.ran = _Ran(self._record)

    async def start(self) -> None:
        """Start to listen, and record it."""
        await super().start()
        self._record.record_start(time.monotonic(), self.software_version)

    async def _serve(self, request: http_server.Request, responder: http_server.Responder) -> None:
        path = request.head.target.decode()
        if path in ORDER_PATHS and self._must_break(broken_answers.Kind.ORDER):
            await self._break_answer("", 0, {}, b"{}", responder)
            return
        if not path.startswith("/kv-copy/"):
            await super()._serve(request, responder)
            return
        copy_report = msgspec.json.decode(request.body, type=_Copy)
        source = self.others.get(copy_report.source)
        copy = platform_runner.MemoryCopy(copy_report.request_id, copy_report.events, source)
        self.copies[path.rpartition("/")[2]] = copy
        await responder.send_response(http_head.ResponseHead(200, []), b"")

    def _must_break(self, kind: broken_answers.Kind) -> bool:
        if self.broken is None or self.broken.kind is not kind:
            return False
        is_endless = self.broken.ending is broken_answers.Ending.ENDLESS
        return not is_endless or self._endless < MAX_ENDLESS

    async def _send_broken(
        self, run: platform_runner.RanRequest, responder: http_server.Responder
    ) -> bool:
        if not self._must_break(broken_answers.Kind.RUN):
            return False
        body = b"answer to " + run.request_id.encode()
        if self.length:
            numbers = range(run.first_event, self.length + 1)
            body = b"".join(self._build_event(run, number) for number in numbers)
        fields = {"Request-Id": run.request_id, platform_runner.SEAL_HEADER.decode(): "s.1"}
        ending = self.broken.ending if self.broken is not None else ""
        try:
            milliseconds = int(run.headers.get("deadline-ms", "0"))
            await self._break_answer(run.request_id, milliseconds, fields, body, responder)
        finally:
            self._record_end(run, ending)
        return True

    async def _break_answer(
        self,
        request_id: str,
        deadline_ms: int,
        fields: dict[str, str],
        body: bytes,
        responder: http_server.Responder,
    ) -> None:
        """Send a broken answer, and record until when its connection was open."""
        assert self.broken is not None
        answer, framing = self.broken, self._framing
        if self.length and framing is broken_answers.Framing.USUAL and request_id:
            framing = broken_answers.Framing.CHUNKED
        is_endless = answer.ending is broken_answers.Ending.ENDLESS
        self._endless += is_endless
        text = f"{answer.kind} {answer.ending} {answer.place or f'{answer.share:.2f}'}"
        name = self._record.record_broken(time.monotonic(), request_id, deadline_ms, text)
        try:
            await broken_answers.send(answer, framing, fields, body, responder)
        finally:
            self._endless -= is_endless
            self._record.record_closed(time.monotonic(), name)

    def _grow_copy(self, run: platform_runner.RanRequest) -> None:
        self._record.record_event(run, time.monotonic())
        super()._grow_copy(run)

    def _record_rejection(self, arrival: platform_runner.Arrival) -> None:
        super()._record_rejection(arrival)
        self._record.record_rejection(arrival)

    async def _send_copy(
        self, destination: Any, handle: str, copy: platform_runner.MemoryCopy
    ) -> bool:
        if destination is self:
            return await super()._send_copy(destination, handle, copy)
        return await destination.copies.send(handle, copy)

    def _record_order(
        self, order: dict[str, object], status: int, lost: platform_runner.LostAnswer | None
    ) -> None:
        text = f"{'last ' if order.get('last') else ''}{status}{f', lost: {lost}' if lost else ''}"
        request_id = str(order["id"])
        self._record.record_answer(time.monotonic(), request_id, self._orders.pop(id(order)), text)

    async def _move(self, order: dict[str, object], responder: http_server.Responder) -> None:
        request_id = str(order["id"])
        name = self._record.record_order(time.monotonic(), request_id)
        self._orders[id(order)] = name
        try:
            await super()._move(order, responder)
        finally:
            if self._orders.pop(id(order), None) is not None:
                self._record.record_answer(time.monotonic(), request_id, name, "caller left")

    def _record_end(self, run: platform_runner.RanRequest, ended: str) -> None:
        had_ended = bool(run.ended)
        super()._record_end(run, ended)
        if not had_ended:
            self._record.record_end(run)

    def crash(self) -> None:
        """Exit at once, as under a poison request."""
        os._exit(1)

    def apply(self, switches: Switches) -> None:
        """Switch faults on or off."""
        for name, value in switches.fields.items():
            known = getattr(self, name)
            if name == "broken":
                value = msgspec.convert(value, broken_answers.BrokenAnswer | None)
            elif name == "lost_answer":
                value = platform_runner.LostAnswer(value)
            elif isinstance(known, bytes):
                value = value.encode()
            elif isinstance(known, frozenset):
                value = frozenset(value)
            setattr(self, name, value)
        if switches.resets:
            self.reset_connections()


async def _serve_until_closed(orders: Orders) -> None:
    runner = RecordingRunner(orders)
    await runner.start()
    reader = asyncio.StreamReader()
    protocol = asyncio.StreamReaderProtocol(reader)
    await asyncio.get_running_loop().connect_read_pipe(lambda: protocol, sys.stdin)
    while line := await reader.readline():
        runner.apply(msgspec.json.decode(line, type=Switches))


def main() -> None:
    """Run a target until its standard input ends."""
    asyncio.run(_serve_until_closed(msgspec.json.decode(sys.argv[1], type=Orders)))


if __name__ == "__main__":
    main()
