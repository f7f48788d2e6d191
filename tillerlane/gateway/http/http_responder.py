"""Response to one request of a caller: framing, complete or in parts."""

from typing import Protocol

from tillerlane.gateway.http import http_head

__all__ = ["Connection", "Responder"]

JOINED_BYTES = 16 * 1024
"""Body up to which it is sent together with its head; joining copies it."""


class Connection(Protocol):
    """What a response needs of a caller's connection."""

    has_slow_reader: bool
    has_announced_close: bool

    @property
    def ends_now(self) -> bool:
        """Whether no response follows the present one."""

    async def write(self, data: bytes) -> None:
        """Write bytes, and wait while the caller is far behind."""

    async def write_whole(self, data: bytes | bytearray) -> None:
        """The same for bytes of any size."""

    def abort(self) -> None:
        """Abort the connection."""


class Responder:
    """Response to one request: sent complete, or as a head followed by parts."""

    def __init__(self, connection: Connection, keep_alive: bool, method: bytes) -> None:
        self._connection = connection
        self._keep_alive = keep_alive
        self._method = method
        self._chunked = False
        self.has_started = False
        self.is_finished = False

    @property
    def keeps_connection(self) -> bool:
        """Whether another request may follow on the connection."""
        return self._keep_alive and not self._connection.ends_now

    @property
    def has_slow_reader(self) -> bool:
        """Whether the caller was ended since it read nothing."""
        return self._connection.has_slow_reader

    def _build_framing(self, length: int | None) -> http_head.Headers:
        framing: http_head.Headers = []
        if length is None:
            framing.append((b"Transfer-Encoding", b"chunked"))
        else:
            framing.append((b"Content-Length", str(length).encode()))
        if not self.keeps_connection:
            self._keep_alive = False
            self._connection.has_announced_close = True
            framing.append((b"Connection", b"close"))
        return framing

    async def send_response(self, head: http_head.ResponseHead, body: bytes | bytearray) -> None:
        """Send a complete response; `head` has no framing headers."""
        self.has_started = True
        headers = [*head.headers, *self._build_framing(len(body))]
        data = http_head.encode_response_head(http_head.ResponseHead(head.status, headers))
        if self._method == b"HEAD":
            body = b""
        if len(body) <= JOINED_BYTES:
            await self._connection.write_whole(data + body)
        else:
            await self._connection.write(data)
            await self._connection.write_whole(body)
        self.is_finished = True

    async def start_response(self, head: http_head.ResponseHead) -> None:
        """Start a response of unknown length."""
        self.has_started = True
        self._chunked = True
        headers = [*head.headers, *self._build_framing(None)]
        data = http_head.encode_response_head(http_head.ResponseHead(head.status, headers))
        await self._connection.write(data)

    async def write(self, part: bytes) -> None:
        """Send a part of a started response."""
        if part:
            await self._connection.write(f"{len(part):x}\r\n".encode() + part + b"\r\n")

    async def finish(self) -> None:
        """Complete a started response."""
        await self._connection.write(b"0\r\n\r\n")
        self.is_finished = True

    def abort(self) -> None:
        """Abort the connection; a started response does not look complete."""
        if not self.is_finished:
            self._keep_alive = False
            self._connection.abort()
