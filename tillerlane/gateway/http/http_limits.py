"""Bounds on the bytes of HTTP messages that the parser does not bound itself.

A target or caller can send bytes without end in any part of a message.  The parser keeps what it
has of a header's name or value, and skips empty lines, interim responses and chunk extensions.
"""

import contextlib
import re
import socket

__all__ = [
    "FramingCounter",
    "HeadScanner",
    "InvalidMessage",
    "count_line_bytes",
    "limit_receive_buffer",
]

MAX_RESPONSE_HEAD_BYTES = 64 * 1024
"""Bytes of a response before its body: empty lines, interim responses, status line and headers."""
FRAMING_BYTES_PER_CHUNK = 256
"""Bytes of framing that each chunk may bring on average; without extensions it has 12 at most."""

_VERSION = b"HTTP/1."
_HEAD_END = b"\r\n\r\n"
_EMPTY_LINES = re.compile(rb"[\r\n]*")


_LINE_BYTES = len(b":\r\n")
"""Bytes of a header line besides its name and value; blanks around the value are optional."""


def count_line_bytes(name: bytes, value: bytes) -> int:
    """Bytes that a header line has at least as it is sent.

    >>> count_line_bytes(b"a", b"")
    4
    """
    return len(name) + len(value) + _LINE_BYTES


def limit_receive_buffer(connected: socket.socket, size: int) -> None:
    """Limit the bytes that the kernel holds unread for a connection, or those of a listener."""
    with contextlib.suppress(OSError, NotImplementedError, AttributeError):
        # The kernel doubles the value, to allow for its own overhead.
        connected.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, size // 2)


class InvalidMessage(ValueError):
    """Bytes that are no HTTP/1 message, or more of them than one may have."""


class HeadScanner:
    """Finds where the heads of responses end, before they are parsed.

    Parsed one by one, each can be checked to be of HTTP/1: the parser also accepts other protocols
    and versions.

    Parameters
    ----------
    limit : int
        Bytes that all heads and the empty lines before them may have.

    Attributes
    ----------
    is_at_end : bool
        Whether what was scanned ends with a head.
    """

    def __init__(self, limit: int = MAX_RESPONSE_HEAD_BYTES) -> None:
        self.is_at_end = False
        self._limit = limit
        self._scanned = 0
        self._begin = b""
        self._tail = b""
        """Last bytes scanned, which may hold a part of the head's end."""

    def find_end(self, data: bytes, start: int) -> int:
        """Offset up to which data from `start` on belongs to one head.

        Raises
        ------
        InvalidMessage
            If the heads have more bytes than the limit, or are of another protocol.
        """
        if self.is_at_end:
            self.is_at_end = False
            self._begin = self._tail = b""
        begin = start
        if not self._begin:
            blank = _EMPTY_LINES.match(data, start)
            begin = blank.end() if blank is not None else start
        self._begin += data[begin : begin + len(_VERSION) - len(self._begin)]
        if not _VERSION.startswith(self._begin):
            raise InvalidMessage("response is not of HTTP/1")
        end = self._find_head_end(data, begin)
        self._tail = (self._tail + data[max(begin, end - 3) : end])[-3:]
        self._scanned += end - start
        if self._scanned > self._limit:
            raise InvalidMessage(f"got over {self._limit} bytes before the body")
        return end

    def _find_head_end(self, data: bytes, begin: int) -> int:
        across = (self._tail + data[begin : begin + 3]).find(_HEAD_END)
        if across >= 0:
            self.is_at_end = True
            return begin + across + len(_HEAD_END) - len(self._tail)
        found = data.find(_HEAD_END, begin)
        self.is_at_end = found >= 0
        return found + len(_HEAD_END) if self.is_at_end else len(data)


class FramingCounter:
    """Counts bytes of chunk sizes, chunk extensions and trailers of one message.

    Parameters
    ----------
    limit : int
        Bytes that may arrive beyond `FRAMING_BYTES_PER_CHUNK` for each chunk.
    """

    def __init__(self, limit: int) -> None:
        self._limit = limit
        self._bytes = 0
        self._chunks = 0

    def record_chunk(self) -> None:
        """Record the head of a chunk."""
        self._chunks += 1

    def add(self, size: int) -> None:
        """Count bytes of framing.

        Raises
        ------
        InvalidMessage
            If they are too many for the chunks that have arrived.
        """
        self._bytes += size
        if self._bytes > self._limit + self._chunks * FRAMING_BYTES_PER_CHUNK:
            raise InvalidMessage(f"got {self._bytes} bytes of chunk framing")
