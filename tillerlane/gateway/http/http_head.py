"""Heads of HTTP/1.1 messages, and which of their headers are forwarded."""

import dataclasses
import http
from collections.abc import Iterable

__all__ = [
    "Headers",
    "encode_head",
    "encode_request_head",
    "encode_response_head",
    "get_header",
    "list_end_to_end",
]

Headers = list[tuple[bytes, bytes]]
"""Names as received and values, in order."""

_CONNECTION_ONLY = frozenset(
    {
        b"connection",
        b"keep-alive",
        b"proxy-connection",
        b"proxy-authenticate",
        b"proxy-authorization",
        b"te",
        b"trailer",
        b"transfer-encoding",
        b"upgrade",
        b"expect",
        b"content-length",
    }
)
"""Hop-by-hop headers (RFC 9110, 7.6.1), and the length, which is set again for each hop."""


@dataclasses.dataclass(frozen=True, slots=True)
class RequestHead:
    """Head of a request; `target` is the path with its query, byte for byte."""

    method: bytes
    target: bytes
    headers: Headers

    @property
    def path(self) -> bytes:
        """The target without its query."""
        return self.target.split(b"?", 1)[0]


@dataclasses.dataclass(frozen=True, slots=True)
class ResponseHead:
    """Head of a response."""

    status: int
    headers: Headers


def get_header(headers: Headers, name: bytes) -> bytes | None:
    """First value of a header; `name` is in lower case.

    Examples
    --------
    >>> get_header([(b"Host", b"a.example")], b"host")
    b'a.example'
    """
    for known, value in headers:
        if known.lower() == name:
            return value
    return None


def list_end_to_end(headers: Headers, dropped: frozenset[bytes] = frozenset()) -> Headers:
    """Headers to forward: no hop-by-hop headers, and none of `dropped` (lower case)."""
    named: set[bytes] = set()
    for name, value in headers:
        if name.lower() == b"connection":
            named.update(item.strip().lower() for item in value.split(b","))
    return [
        (name, value)
        for name, value in headers
        if name.lower() not in _CONNECTION_ONLY
        and name.lower() not in named
        and name.lower() not in dropped
    ]


def _write_headers(headers: Iterable[tuple[bytes, bytes]]) -> bytes:
    return b"".join(name + b": " + value + b"\r\n" for name, value in headers)


def encode_request_head(head: RequestHead) -> bytes:
    """Encode the head of a request."""
    return encode_head(head.method + b" " + head.target + b" HTTP/1.1", head.headers)


def encode_head(first_line: bytes, headers: Headers) -> bytes:
    """Encode a head from its first line and its headers."""
    return first_line + b"\r\n" + _write_headers(headers) + b"\r\n"


def encode_response_head(head: ResponseHead) -> bytes:
    """Encode the head of a response."""
    try:
        reason = http.HTTPStatus(head.status).phrase
    except ValueError:
        reason = "Status"
    first = f"HTTP/1.1 {head.status} {reason}\r\n".encode()
    return first + _write_headers(head.headers) + b"\r\n"
