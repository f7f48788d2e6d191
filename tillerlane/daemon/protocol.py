"""HTTP connections whose heads, bodies and number are bounded.

The application server bounds idle connections and the body of one request, but neither heads, nor
how long they take, nor what all connections hold together.
"""

import asyncio
import math
from typing import Any

import httptools
from uvicorn.protocols.http import httptools_impl

from tillerlane.decisions import eviction
from tillerlane.faults import core as faults
from tillerlane.faults import kinds
from tillerlane.gateway import memory
from tillerlane.gateway.http import http_limits, listeners

__all__ = ["HEAD_TIMEOUT_SECONDS", "MAX_HEADER_BYTES", "BoundedProtocol"]

HEAD_TIMEOUT_SECONDS = 10.0
"""Timeout of a request's head, from the connection or from the head's first byte."""
MAX_HEADER_BYTES = 32 * 1024
MAX_PIPELINED = 8
HEAD_PART_BYTES = 4 * 1024
"""Received bytes of a head that are parsed at a time; they take up to 50 times as much then."""
BODY_COPIES = 2
"""Times that a body is held at once: the application joins its parts."""
_received = memoryview(bytearray(eviction.MAX_READ_BYTES))
"""Received bytes until they are parsed, which happens at once; shared by all connections."""


class _Rejected(Exception):
    """A request that exceeds a bound."""

    def __init__(self, kind: kinds.ErrorKind, message: str, retry_after: float | None = None):
        super().__init__(message)
        self.fault = faults.new_fault(kind, message, retry_after=retry_after)


class BoundedProtocol(httptools_impl.HttpToolsProtocol, asyncio.BufferedProtocol):
    """A connection to the daemon.

    Parameters
    ----------
    registry : listeners.Registry, optional
        The connections of the listener; unbounded without one.
    budget : memory.Budget, optional
        Memory that the clients of the process may take; unbounded without one.
    """

    def __init__(
        self,
        *arguments: Any,
        registry: listeners.Registry | None = None,
        budget: memory.Budget | None = None,
        **keywords: Any,
    ) -> None:
        super().__init__(*arguments, **keywords)
        self._registry = registry or listeners.Registry(listeners.NO_BOUNDS, budget)
        self._budget = budget
        self._account: memory.Account | None = None
        """What the connection holds: itself, and the head and body of its requests."""
        self._request_bytes = 0
        """Bytes of requests that the account holds."""
        self._head_timer: asyncio.TimerHandle | None = None
        self._head_bytes = 0
        """Bytes of the current head, which are at least those that were sent."""
        self._body_bytes = 0
        self._is_head = False
        """Whether the head of a request is incomplete."""
        self._unparsed_bytes = 0
        """Bytes received since an incomplete head began, without those that came with its begin."""
        self._framing: http_limits.FramingCounter | None = None
        self._blank_bytes = 0
        self._is_rejected = False
        self._waits_since = self.loop.time()
        self._paused_at: float | None = None

    # Lifetime

    def connection_made(self, transport: asyncio.Transport) -> None:  # type: ignore[override]
        """Register the connection, and start the timer of the first head."""
        self.transport = transport
        if not self._registry.admit():
            self._is_rejected = True
            transport.abort()
            return
        super().connection_made(transport)
        self._registry.add(self)
        if self._budget is not None:
            self._account = self._budget.open_connection(self)
        self._start_timer()

    def connection_lost(self, exc: Exception | None) -> None:
        """Stop the timer, and release what the connection holds."""
        self._stop_timer()
        self._registry.discard(self)
        if self._account is not None:
            self._account.close()
        super().connection_lost(exc)

    def pause_writing(self) -> None:
        """Record that the client reads too slowly."""
        super().pause_writing()
        self._paused_at = self.loop.time()

    def resume_writing(self) -> None:
        """Record that the client reads on."""
        super().resume_writing()
        self._paused_at = None

    def _start_timer(self) -> None:
        if self._head_timer is None:
            self._head_timer = self.loop.call_later(HEAD_TIMEOUT_SECONDS, self._close_connection)

    def _stop_timer(self) -> None:
        if self._head_timer is not None:
            self._head_timer.cancel()
            self._head_timer = None

    def _close_connection(self) -> None:
        self._head_timer = None
        if not self.transport.is_closing():
            self.transport.close()

    # Giving way

    def describe_wait(self) -> memory.Holding | None:
        """What it holds while it waits for its client; None while a request is served."""
        if self._account is not None and not self._account.is_open:
            return None  # it has given way
        held = self._account.held if self._account is not None else eviction.CONNECTION_BYTES
        now = self.loop.time()
        is_served = self.cycle is not None and not self.cycle.response_complete
        if self._paused_at is not None:
            stage, since = eviction.Stage.UNREAD, self._paused_at
        elif self._is_head or (is_served and self.cycle.more_body):
            stage, since = eviction.Stage.RECEIVING, self._waits_since
        elif is_served:
            return None
        else:
            stage, since = eviction.Stage.IDLE, self._waits_since
        return memory.Holding(None, eviction.Waiting(stage, now - since, held))

    def give_way(self, retry_after: float) -> None:
        """Close the connection; an incomplete request is refused before."""
        if self._is_head or (self.cycle is not None and self.cycle.more_body):
            message = "the connection was needed before the request was complete"
            self._reject(_Rejected(kinds.ErrorKind.NO_CAPACITY, message, retry_after))
        self.transport.abort() if self._paused_at is not None else self.transport.close()
        if self._account is not None:
            self._account.close()

    def limit_receive_buffer(self, size: int) -> None:
        """Limit the bytes that the kernel holds for it unread."""
        http_limits.limit_receive_buffer(self.transport.get_extra_info("socket"), size)

    # Receiving

    def get_buffer(self, size_hint: int) -> memoryview:
        """Memory for the next read."""
        return _received[: eviction.compute_read_size(len(self._registry.connections))]

    def buffer_updated(self, size: int) -> None:
        """Parse received bytes in parts, and check the bounds after each part."""
        start = 0
        while start < size and not self._is_rejected and not self.transport.is_closing():
            is_body = self.cycle is not None and self.cycle.more_body and not self._is_head
            end = size if is_body else min(size, start + HEAD_PART_BYTES)
            self._receive_part(bytes(_received[start:end]))
            start = end

    def _receive_part(self, data: bytes) -> None:
        framing, body_bytes = self._framing, self._body_bytes
        if self._is_head:
            self._unparsed_bytes += len(data)
        self._blank_bytes += len(data)  # reset by the begin of a request
        try:
            self.data_received(data)
            if framing is not None and framing is self._framing:
                framing.add(len(data) - (self._body_bytes - body_bytes))
            if self._blank_bytes > MAX_HEADER_BYTES and not self._is_head and framing is None:
                raise _Rejected(kinds.ErrorKind.BAD_REQUEST, "got no request but empty lines")
            if self._is_head and self._unparsed_bytes > MAX_HEADER_BYTES:
                self._count_head(self._unparsed_bytes)
            self._count()
        except _Rejected as error:
            self._reject(error)
        except http_limits.InvalidMessage as error:
            self._reject(_Rejected(kinds.ErrorKind.TOO_LARGE, str(error)))

    def data_received(self, data: bytes) -> None:
        """Parse received bytes."""
        self._unset_keepalive_if_required()
        rejected = None
        try:
            self.parser.feed_data(data)
        except httptools.HttpParserUpgrade:
            self._unsupported_upgrade_warning()
        except httptools.HttpParserError as error:
            rejected = error.__context__
            if not isinstance(rejected, _Rejected):
                rejected = _Rejected(kinds.ErrorKind.BAD_REQUEST, f"invalid HTTP request: {error}")
        if rejected is not None:
            raise rejected  # within the handler, the two errors would keep each other in memory

    def _count(self) -> None:
        """Count the memory of what has arrived."""
        if self._account is None:
            return
        sent = max(self._head_bytes, self._unparsed_bytes)
        head = eviction.compute_head_bytes(sent, len(self.headers or ()))
        wanted = head + self._body_bytes * BODY_COPIES - self._request_bytes
        if wanted <= 0:
            return
        try:
            self._account.admit(wanted)
        except memory.Refused as error:
            raise _Rejected(
                kinds.ErrorKind.NO_CAPACITY, "no memory left", error.retry_after
            ) from error
        self._request_bytes += wanted

    def _reject(self, error: _Rejected) -> None:
        """Refuse an incomplete request, and close the connection."""
        self._is_rejected = True
        self._stop_timer()
        if self._is_head:
            self.headers, self.scope = [], None  # type: ignore[assignment]
        cycle = self.cycle
        is_earlier = cycle is not None and not cycle.response_complete and not cycle.more_body
        if self.transport.is_closing() or is_earlier:
            self.transport.close()
            return
        if cycle is not None and not cycle.response_complete:
            if cycle.response_started:
                self.transport.abort()
                return
            # The application sees that its client has left.
            cycle.disconnected = True
            cycle.message_event.set()
        self.transport.write(_encode_refusal(error.fault))
        self.transport.close()

    # Callbacks of the parser

    def on_message_begin(self) -> None:
        """Start the timer of a further head."""
        super().on_message_begin()
        self._start_timer()
        if len(self.pipeline) >= MAX_PIPELINED:
            raise _Rejected(kinds.ErrorKind.BAD_REQUEST, "too many requests at once")
        self._is_head = True
        self._framing = None
        self._head_bytes = self._blank_bytes = self._unparsed_bytes = 0
        self._waits_since = self.loop.time()

    def on_url(self, url: bytes) -> None:
        """Add a part of the target."""
        super().on_url(url)
        self._count_head(len(url))

    def on_header(self, name: bytes, value: bytes) -> None:
        """Add a header; trailers are dropped (RFC 9110, 6.5.1)."""
        if self._framing is None:
            super().on_header(name, value)
            self._count_head(http_limits.count_line_bytes(name, value))

    def _count_head(self, size: int) -> None:
        self._head_bytes += size
        if self._head_bytes > MAX_HEADER_BYTES:
            raise _Rejected(kinds.ErrorKind.TOO_LARGE, f"a head of over {MAX_HEADER_BYTES} bytes")

    def on_headers_complete(self) -> None:
        """Stop the timer."""
        self._stop_timer()
        self._is_head = False
        self._framing = http_limits.FramingCounter(MAX_HEADER_BYTES)
        super().on_headers_complete()

    def on_body(self, body: bytes) -> None:
        """Count a part of the body."""
        self._body_bytes += len(body)
        super().on_body(body)

    def on_chunk_header(self) -> None:
        """Count a chunk."""
        if self._framing is not None:
            self._framing.record_chunk()

    def on_message_complete(self) -> None:
        """Complete the body."""
        self._framing = None
        self._blank_bytes = 0
        super().on_message_complete()

    def on_response_complete(self) -> None:
        """Release what the request held."""
        if not self.pipeline and not self._is_head and self._account is not None:
            self._account.change(-self._request_bytes)
            self._request_bytes = self._body_bytes = self._head_bytes = 0
        self._waits_since = self.loop.time()
        super().on_response_complete()


def _encode_refusal(fault: faults.Fault) -> bytes:
    """Response to a request that is refused before the application has it; nothing ran."""
    retry_after = fault.retry_after
    lines = [
        f"HTTP/1.1 {fault.response.status} {fault.kind}",
        "content-length: 0",
        "connection: close",
        f"x-tillerlane-ran: {fault.ran.value}",
    ]
    if retry_after is not None:
        lines.append(f"retry-after: {max(1, math.ceil(retry_after))}")
    return ("\r\n".join(lines) + "\r\n\r\n").encode()
