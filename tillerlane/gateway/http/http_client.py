"""One HTTP exchange with a target on a connection of its own.

A connection serves one request and is then closed.  Targets may send a surplus response late, or
drop or reset idle connections: on a reused connection, these could reach another request or leave
it unknown whether one ran.  A new connection costs a target a millisecond.
"""

import asyncio
import collections
import enum
from collections.abc import Callable

import httptools

from tillerlane.decisions import pressure
from tillerlane.faults import core as faults
from tillerlane.gateway import memory
from tillerlane.gateway.http import http_head, http_limits
from tillerlane.gateway.load import aggregation as loads
from tillerlane.peers import node as nodes

__all__ = ["Exchange", "ExchangeError", "ProbeResult", "connect", "is_reachable", "probe"]

PROBE_TIMEOUT_SECONDS = 0.3
"""Time-out of a connection that only tests whether a target is reachable."""

READ_BUFFER_BYTES = 256 * 1024
"""Unread bytes of a response above which reading from the target is paused."""
_received = memoryview(bytearray(READ_BUFFER_BYTES))
"""Received bytes until they are parsed, which happens at once; shared by all exchanges."""
_STATUSES = range(100, 600)
"""Statuses of HTTP; a client takes any other for a server error (RFC 9110, 15)."""
_NO_BODY = frozenset({204, 304})
_BODILESS_METHODS = frozenset({b"GET", b"HEAD", b"DELETE", b"OPTIONS"})


class ExchangeError(faults.TillerlaneError):
    """The target could not be reached, broke off, or sent an invalid response.

    Attributes
    ----------
    sent : bool
        Whether any part of the request may have reached the target.
    """

    def __init__(self, message: str, *, sent: bool) -> None:
        super().__init__(message)
        self.sent = sent


class ProbeResult(enum.StrEnum):
    """Result of a new connection to an address."""

    OPEN = "open"
    REFUSED = "refused"
    """The host answers, but nothing listens there."""
    UNREACHABLE = "silent"
    """No answer: the host is down, partitioned off or overloaded."""


class Exchange(asyncio.BufferedProtocol):
    """A request to a target and its response.

    Attributes
    ----------
    sent : bool
        Whether any byte of the request was passed to the connection.
    sent_at : float
        Time of the event loop at which that happened; 0 before.
    received_at : float
        Time of the event loop at which anything last arrived; 0 before.
    is_invalid : bool
        Whether bytes arrived that form no response.
    """

    def __init__(self) -> None:
        self.is_invalid = False
        self.sent = False
        self.sent_at = 0.0
        self.received_at = 0.0
        self._loop = asyncio.get_running_loop()
        self._parser = httptools.HttpResponseParser(self)
        self._scanner = http_limits.HeadScanner()
        self._framing = http_limits.FramingCounter(http_limits.MAX_RESPONSE_HEAD_BYTES)
        self._body_bytes = 0
        self._transport: asyncio.Transport | None = None
        self._headers: http_head.Headers = []
        self._head: http_head.ResponseHead | None = None
        self._chunks: collections.deque[bytes] = collections.deque()
        self._buffered = 0
        self._paused = False
        self._account: memory.Account | None = None
        self._counted = 0
        """Bytes that the account holds for this exchange."""
        self._unsent = memoryview(b"")
        self._may_write = True
        self._is_complete = False
        self._error: str | None = None
        self.is_close_delimited = False
        """Whether the end of the connection marks the end of the response, which has no length."""
        self._method = b""
        self._is_interrupted = False
        self._changed = asyncio.Event()
        self._has_ended = False
        """Whether the target has closed its side of the connection."""
        self.connected_at = 0.0
        """Time of the event loop at which the connection was established."""
        self.on_lost: Callable[[], None] = lambda: None
        self.load_at_send: loads.TargetLoad | None = None
        """Load of the target when the request was sent, the request included, if known."""

    # Memory

    def set_account(self, account: memory.Account | None) -> None:
        """Count what is buffered to a request's account, and bound what waits in the kernel."""
        self._account = account
        if account is not None and account.budget.receive_buffer and self._transport is not None:
            connected = self._transport.get_extra_info("socket")
            http_limits.limit_receive_buffer(connected, account.budget.receive_buffer)

    def _get_held(self) -> int:
        """Bytes held here: read but not taken, and written but not sent."""
        held = self._buffered
        if self._transport is not None and not self._transport.is_closing():
            held += self._transport.get_write_buffer_size()
        return held

    def _count_held(self) -> None:
        """Count what is held now, if memory is counted."""
        if self._account is not None:
            self._count(self._account, self._get_held())

    def _count(self, account: memory.Account, held: int) -> None:
        """Count bytes beyond those that the request is counted with anyway."""
        counted = max(0, held - pressure.EXCHANGE_FLOOR_BYTES)
        account.change(counted - self._counted)
        self._counted = counted

    # Sending

    def send(self, head: http_head.RequestHead, body: bytes) -> None:
        """Send a request; its body is sent with a length, whatever its original framing."""
        assert self._transport is not None
        self._method = head.method
        self.sent = True
        self.sent_at = self._loop.time()
        headers = list(head.headers)
        if body or head.method not in _BODILESS_METHODS:
            headers.append((b"Content-Length", str(len(body)).encode()))
        framed = http_head.RequestHead(head.method, head.target, headers)
        if self._account is None or len(body) <= self._compute_part_size():
            self._transport.write(http_head.encode_request_head(framed) + body)
        else:
            self._transport.set_write_buffer_limits(high=0)
            self._transport.write(http_head.encode_request_head(framed))
            self._unsent = memoryview(body)
            self._send_parts()
        self._count_held()

    def _compute_part_size(self) -> int:
        assert self._account is not None
        return pressure.compute_write_buffer(self._account.budget.get_pressure())

    def _send_parts(self) -> None:
        """Pass parts of the body to the connection, as fast as the target reads.

        Passed as a whole, a body would be held twice while a runner reads it slowly.
        """
        assert self._transport is not None
        while self._unsent and self._may_write and not self._transport.is_closing():
            size = self._compute_part_size()
            part, self._unsent = self._unsent[:size], self._unsent[size:]
            self._transport.write(part)

    def pause_writing(self) -> None:
        """Pause sending the body: the target reads too slowly."""
        self._may_write = False

    def resume_writing(self) -> None:
        """Send more of the body, once the transport has returned from its own write.

        A write that fails within this callback would end the connection twice, the first time as if
        it had been closed regularly.
        """
        self._may_write = True
        self._loop.call_soon(self._continue_sending)

    def _continue_sending(self) -> None:
        if self._transport is None or self._transport.is_closing():
            return
        self._send_parts()
        self._count_held()

    def abort(self) -> None:
        """Abort the connection, by which the target learns that the request was abandoned."""
        self._unsent = memoryview(b"")
        if self._account is not None:
            self._count(self._account, 0)
        if self._transport is not None:
            self._transport.abort()

    def fail(self, reason: str) -> None:
        """Abort the connection, and report the reason to the reader of the response."""
        self._set_error(reason)
        self.abort()

    # Receiving

    @property
    def quiet_since(self) -> float:
        """Time of the event loop since which nothing was sent or has arrived."""
        return max(self.sent_at, self.received_at)

    @property
    def is_awaited(self) -> bool:
        """Whether a request was sent, and the connection is open without a complete response."""
        return self.sent and not self._is_complete and self._error is None

    @property
    def has_head(self) -> bool:
        """Whether the head of the final response has arrived."""
        return self._head is not None

    async def read_head(self) -> http_head.ResponseHead:
        """Wait for the head of the final response.

        Raises
        ------
        ExchangeError
            If the connection ended first, or the response is invalid.
        """
        while self._head is None:
            self._raise_error()
            await self._wait()
        return self._head

    async def read_chunk(self) -> bytes | None:
        """Wait for more of the body; None at its regular end, empty after `interrupt`.

        Raises
        ------
        ExchangeError
            If the response ended early.
        """
        while not self._chunks:
            if self._is_complete:
                return None
            self._raise_error()
            if self._is_interrupted:
                self._is_interrupted = False
                return b""
            await self._wait()
        data = b"".join(self._chunks)
        self._chunks.clear()
        self._buffered = 0
        self._count_held()
        if self._paused and self._transport is not None:
            self._paused = False
            self._transport.resume_reading()
        return data

    def interrupt(self) -> None:
        """Wake up the reader of the body without data."""
        self._is_interrupted = True
        self._changed.set()

    async def read_body(self, limit: int) -> bytes | bytearray:
        """Read the complete body; memory for one of known length is held before it is read.

        Held part by part, several bodies could wait for each other's memory.

        Raises
        ------
        ExchangeError
            If the response ended early or is larger than `limit` bytes.
        """
        size = kept = 0
        try:
            if (length := self._get_length()) > limit:
                raise ExchangeError(f"got over {limit} bytes of response", sent=True)
            if self._account is not None:
                await self._account.keep(length)
                kept = length
            # Parts that are joined, or a body that grows, leave a heap full of holes.
            body = bytearray(length)
            while (chunk := await self.read_chunk()) is not None:
                body[size : size + len(chunk)] = chunk
                size += len(chunk)
                if size > limit:
                    raise ExchangeError(f"got over {limit} bytes of response", sent=True)
                if self._account is not None and size > kept:
                    await self._account.keep(size - kept)
                    kept = size
        except BaseException:
            if self._account is not None:
                self._account.change(-kept)
            raise
        return body

    def _get_length(self) -> int:
        """Length of the body as its head names it; 0 if it does not."""
        if self._head is None or self._is_complete:
            return 0
        length = http_head.get_header(self._head.headers, b"content-length")
        return int(length) if length is not None and length.isdigit() else 0

    async def _wait(self) -> None:
        self._changed.clear()
        await self._changed.wait()

    def _raise_error(self) -> None:
        if self._error is not None:
            raise ExchangeError(self._error, sent=self.sent)

    def _set_error(self, reason: str) -> None:
        if self._error is None and not self._is_complete:
            self._error = reason
        self._changed.set()

    # Callbacks of asyncio

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Store the connection."""
        assert isinstance(transport, asyncio.Transport)
        self._transport = transport
        self.connected_at = asyncio.get_running_loop().time()

    def get_buffer(self, size_hint: int) -> memoryview:
        """Memory for the next read; smaller, the less of the budget is free."""
        if self._account is None or self._is_complete:
            return _received
        # Reading is paused where nothing may be read, but the rest may have been taken since.
        return _received[: max(1, self._compute_read_size())]

    def _compute_read_size(self) -> int:
        assert self._account is not None
        state = self._account.budget.get_pressure()
        return pressure.compute_read_buffer(state, self._buffered)

    def buffer_updated(self, size: int) -> None:
        """Parse received bytes; bytes after a complete response end the connection."""
        if self._is_complete and self._transport is not None:
            self._transport.abort()
        if self._is_complete or self._error is not None:
            return
        self.received_at = self._loop.time()
        try:
            self._parse(_received[:size])
        except (
            httptools.HttpParserError,
            httptools.HttpParserUpgrade,
            http_limits.InvalidMessage,
        ) as error:
            cause = error.__context__ if isinstance(error.__context__, ValueError) else error
            self.is_invalid = True
            self._set_error(f"invalid HTTP response: {cause}")
            self.abort()
        if self._error is None:
            self._count_held()
        if self._must_pause() and not self._paused and self._transport is not None:
            self._paused = True
            self._transport.pause_reading()
        self._changed.set()

    def _parse(self, data: memoryview) -> None:
        """Parse heads one by one, and then the body; limit the bytes of both but for the body."""
        start = 0
        if self._head is None:
            received = bytes(data)
            while start < len(data) and self._head is None:
                end = self._scanner.find_end(received, start)
                self._parser.feed_data(data[start:end])
                start = end
        if start == len(data) or self._is_complete:
            return
        body_bytes = self._body_bytes
        self._parser.feed_data(data[start:])
        if not self._is_complete:
            self._framing.add(len(data) - start - (self._body_bytes - body_bytes))

    def _must_pause(self) -> bool:
        """Whether reading from the target pauses until what was read is taken."""
        if self._buffered > READ_BUFFER_BYTES:
            return True
        return self._account is not None and self._buffered > 0 and not self._compute_read_size()

    def eof_received(self) -> bool:
        """Record that the target has closed its side; the transport closes then."""
        self._has_ended = True
        return False

    def connection_lost(self, error: Exception | None) -> None:
        """Handle the end; a response without a length is complete only after a regular close."""
        has_closed_regularly = self._has_ended and error is None and self._error is None
        if self.is_close_delimited and has_closed_regularly:
            self._is_complete = True
        self._set_error(f"connection ended: {error or 'closed'}")
        self._changed.set()
        self.on_lost()

    # Callbacks of the parser

    def on_message_begin(self) -> None:
        """Start a response, or an interim one."""
        if self._head is None:
            self._headers = []

    def on_header(self, name: bytes, value: bytes) -> None:
        """Add a header; trailers are dropped (RFC 9110, 6.5.1)."""
        if self._head is None:
            self._headers.append((name, value))

    def on_headers_complete(self) -> None:
        """Complete the head; interim responses are skipped."""
        if self._head is not None:
            raise ValueError("second response on the connection")
        if not self._scanner.is_at_end:
            raise ValueError("head ends without an empty line")
        status = self._parser.get_status_code()
        if status not in _STATUSES:
            raise ValueError(f"got status {status:03}")
        if status < 200:
            return
        self._head = http_head.ResponseHead(status, self._headers)
        has_length = http_head.get_header(self._headers, b"content-length") is not None
        is_chunked = http_head.get_header(self._headers, b"transfer-encoding") is not None
        if self._method == b"HEAD" or status in _NO_BODY:
            self._is_complete = True
        elif not has_length and not is_chunked:
            self.is_close_delimited = True

    def on_body(self, data: bytes) -> None:
        """Add a part of the body."""
        if self._head is None:
            raise ValueError("interim response has a body")
        self._body_bytes += len(data)
        if not self._is_complete:
            self._chunks.append(data)
            self._buffered += len(data)

    def on_chunk_header(self) -> None:
        """Count a chunk."""
        self._framing.record_chunk()

    def on_message_complete(self) -> None:
        """Complete the body."""
        if self._head is not None and not self.is_close_delimited:
            self._is_complete = True


async def connect(address: str, timeout: float) -> Exchange:
    """Open a connection to a target (``IP:port``).

    Raises
    ------
    ExchangeError
        If it is not established within `timeout` seconds; nothing was sent.
    """
    host, port = nodes.split_address(address)
    loop = asyncio.get_running_loop()
    try:
        async with asyncio.timeout(timeout):
            _, exchange = await loop.create_connection(Exchange, host, port)
    except (OSError, TimeoutError) as error:
        reason = f"no connection to {address}: {error or f'none within {timeout} s'}"
        raise ExchangeError(reason, sent=False) from error
    return exchange


async def probe(address: str, timeout: float = PROBE_TIMEOUT_SECONDS) -> ProbeResult:
    """Result of a new connection to a target's address within `timeout` seconds."""
    try:
        exchange = await connect(address, timeout)
    except ExchangeError as error:
        is_refused = isinstance(error.__cause__, ConnectionRefusedError)
        return ProbeResult.REFUSED if is_refused else ProbeResult.UNREACHABLE
    exchange.abort()
    return ProbeResult.OPEN


async def is_reachable(address: str) -> bool:
    """Whether a target accepts connections."""
    return await probe(address) is ProbeResult.OPEN
