"""Heads of HTTP/1.1 messages as data, and the rules on which headers one hop keeps to itself."""

import dataclasses
import http
from collections.abc import Iterable

__all__ = [
    "Headers",
    "encode_request_head",
    "encode_response_head",
    "get_header",
    "list_end_to_end",
]

Headers = list[tuple[bytes, bytes]]
"""Names as they came and values, in order."""

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
"""Headers that concern one connection (RFC 9110, 7.6.1), and the length, which is written anew."""


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
    """Head of an answer."""

    status: int
    headers: Headers


def get_header(headers: Headers, name: bytes) -> bytes | None:
    """First value of a header; `name` in lower case.

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
    """Headers to pass on: not those of one connection, and none of `dropped` (lower case)."""
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
    """The bytes of a request's head."""
    first = head.method + b" " + head.target + b" HTTP/1.1\r\n"
    return first + _write_headers(head.headers) + b"\r\n"


def encode_response_head(head: ResponseHead) -> bytes:
    """The bytes of an answer's head."""
    try:
        reason = http.HTTPStatus(head.status).phrase
    except ValueError:
        reason = "Status"
    first = f"HTTP/1.1 {head.status} {reason}\r\n".encode()
    return first + _write_headers(head.headers) + b"\r\n"
