"""Answers that stop at some byte, never end or have an odd status, written as raw bytes.

An answer without framing is never ended regularly inside its body by a target that goes on working:
nothing on the connection tells such an end from a complete answer.
"""

import asyncio
import enum
from collections.abc import Iterator

import msgspec

from tillerlane.gateway.http import http_server

__all__ = [
    "ENDLESS_PLACES",
    "ODD_STATUSES",
    "BrokenAnswer",
    "Ending",
    "Framing",
    "Kind",
    "send",
]

WRITE_BYTES = 64 * 1024
BYTES_PER_SECOND = 16 * 1024 * 1024
"""Rate of an endless answer: within a caller's 10 s it exceeds an entry's memory, and a process
that discards it still has time for other work."""
HANG_SECONDS = 3600.0


class Framing(enum.StrEnum):
    """How the end of an answer's body is known."""

    USUAL = "usual"
    """A length for plain answers, chunks for streams."""
    CHUNKED = "chunked"
    CLOSE = "close"
    """By the end of the connection."""


class Kind(enum.StrEnum):
    """Which calls of a target are answered so."""

    RUN = "run"
    ORDER = "order"
    """Reports, and orders about copies of a run's memory."""


class Ending(enum.StrEnum):
    """What happens after the written part of an answer."""

    CLOSE = "close"
    """The connection is closed regularly."""
    HANG = "hang"
    """The connection stays open."""
    ENDLESS = "endless"
    """More of the same follows until the other end closes the connection."""
    ODD_STATUS = "odd status"
    """The answer is complete, but its status is none of HTTP."""


class BrokenAnswer(msgspec.Struct, frozen=True):
    """One way to break answers.

    Attributes
    ----------
    share : float
        Share of the bytes that are written of the head or, with `is_inside_body`, of the body.
    place : str
        What is endless: a key of `ENDLESS_PLACES`; or the odd status, one of `ODD_STATUSES`.
    """

    kind: Kind
    ending: Ending
    share: float = 0.0
    is_inside_body: bool = False
    place: str = ""


ODD_STATUSES = ("000", "099", "600", "999", "1000", "")
ENDLESS_PLACES: dict[str, tuple[bytes, bytes]] = {
    "status line": (b"HTTP/1.1 200 O", b"K"),
    "header name": (b"HTTP/1.1 200 OK\r\n", b"x"),
    "header value": (b"HTTP/1.1 200 OK\r\nX-Endless: ", b"x"),
    "headers": (b"HTTP/1.1 200 OK\r\n", b"X-Endless: x\r\n"),
    "interim heads": (b"", b"HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n"),
    "empty lines": (b"", b"\r\n"),
    "chunk extension": (b"HEAD1;", b"x"),
    "chunk size": (b"HEAD", b"0"),
    "trailers": (b"HEADBODY0\r\n", b"X-Endless: x\r\n"),
    "trailer value": (b"HEADBODY0\r\nX-Endless: ", b"x"),
    "body": (b"HEAD", b"1000\r\n" + b"x" * 0x1000 + b"\r\n"),
    "unframed body": (b"OPEN", b"x"),
}
"""Start of an endless answer and what is repeated; `HEAD` and `BODY` stand for those of the chunked
answer, `OPEN` for a head without framing.  An endless body of a stream is an endless event: an
entry cannot know how many events there are."""


def _encode_head(fields: dict[str, str], framing: str) -> bytes:
    lines = [f"{name}: {value}" for name, value in fields.items()]
    return "\r\n".join(["HTTP/1.1 200 OK", *lines, framing, "\r\n"]).encode()


def _encode_chunk(body: bytes) -> bytes:
    return f"{len(body):x}\r\n".encode() + body + b"\r\n"


def _cut(answer: BrokenAnswer, framing: Framing, fields: dict[str, str], body: bytes) -> bytes:
    """Return the written part of an answer."""
    if framing is Framing.CLOSE:
        head = _encode_head(fields, "Connection: close")
    elif framing is Framing.CHUNKED:
        head = _encode_head(fields, "Transfer-Encoding: chunked")
        body = _encode_chunk(body) + b"0\r\n\r\n"
    else:
        head = _encode_head(fields, f"Content-Length: {len(body)}")
    if answer.is_inside_body:
        return head + body[: int(answer.share * len(body))]
    return head[: int(answer.share * len(head))]


def _encode_odd(
    answer: BrokenAnswer, framing: Framing, fields: dict[str, str], body: bytes
) -> bytes:
    """Return a complete answer with an odd status."""
    whole = _cut(
        BrokenAnswer(answer.kind, answer.ending, 1.0, is_inside_body=True), framing, fields, body
    )
    return whole.replace(b" 200 ", b" %b " % answer.place.encode(), 1)


def _list_endless(answer: BrokenAnswer, fields: dict[str, str], body: bytes) -> Iterator[bytes]:
    """Yield the start of an endless answer, then the repeated part."""
    start, repeated = ENDLESS_PLACES[answer.place]
    start = start.replace(b"HEAD", _encode_head(fields, "Transfer-Encoding: chunked"), 1)
    start = start.replace(b"OPEN", _encode_head(fields, "Connection: close"), 1)
    yield start.replace(b"BODY", _encode_chunk(body), 1)
    while True:
        yield repeated * max(1, WRITE_BYTES // len(repeated))


async def send(
    answer: BrokenAnswer,
    framing: Framing,
    fields: dict[str, str],
    body: bytes,
    responder: http_server.Responder,
) -> None:
    """Send a broken answer; returns once it was closed here, else is cancelled by the other end.

    Parameters
    ----------
    framing : Framing
        Framing of the intact answer.
    fields : dict
        Its headers.
    body : bytes
        Its body.
    """
    connection = responder._connection
    if answer.ending is not Ending.ENDLESS:
        is_odd = answer.ending is Ending.ODD_STATUS
        encode = _encode_odd if is_odd else _cut
        await connection.write(encode(answer, framing, fields, body))
        if answer.ending is Ending.HANG:
            await asyncio.sleep(HANG_SECONDS)
        responder.is_finished = True  # else the server aborts the connection
        connection.transport.close()  # type: ignore[attr-defined]
        return
    for data in _list_endless(answer, fields, body):
        await connection.write(data)
        await asyncio.sleep(len(data) / BYTES_PER_SECOND)
