"""Clients that send legal, endless or unfinished bytes and keep their connections open.

Each kind of client is an iterable of the parts that one connection sends.  All are bounded.
"""

import asyncio
import contextlib
import itertools
import socket
from collections.abc import Callable, Iterable, Iterator

from tillerlane.peers import node as nodes
from tillerlane.testing import caller

__all__ = ["HEADER_BYTES", "Crowd", "Kind", "build_head", "build_short_lines", "build_start"]

HEADER_BYTES = 16_384
"""Largest head of a request, by the configuration of the tests."""
SHORT_LINE = b"a:\r\n"
CHUNK_BYTES = 64 * 1024
ENDLESS_BYTES = 1024 * 1024
"""Bytes that a client sends where it would send without end."""
PART_BYTES = 64 * 1024
CONNECTORS = 64
"""Connections that are being opened at a time."""

Kind = Callable[[], Iterable[bytes]]


def build_start(path: bytes = b"/call/", method: bytes = b"POST") -> bytes:
    """Begin of a head: request line and the headers that each request needs."""
    lines = (
        b"%s %s HTTP/1.1" % (method, path),
        b"Host: " + caller.HOST.encode(),
        b"Request-Id: crowd",
        b"Deadline-Ms: 10000",
        b"Credential: " + caller.KEY.encode(),
    )
    return b"\r\n".join(lines) + b"\r\n"


def build_head(*headers: bytes, path: bytes = b"/call/", method: bytes = b"POST") -> bytes:
    """A complete head with further header lines."""
    return build_start(path, method) + b"".join(item + b"\r\n" for item in headers) + b"\r\n"


def build_short_lines(path: bytes = b"/call/", method: bytes = b"GET") -> bytes:
    """A complete head of the largest legal size, which consists of very short lines."""
    start = build_start(path, method)
    return start + SHORT_LINE * ((HEADER_BYTES - len(start) - 2) // len(SHORT_LINE)) + b"\r\n"


def _split(data: bytes) -> Iterator[bytes]:
    for at in range(0, len(data), PART_BYTES):
        yield data[at : at + PART_BYTES]


def _repeat(data: bytes, size: int = ENDLESS_BYTES) -> Iterator[bytes]:
    """Repeat bytes, in parts, up to a total size."""
    part = data * max(1, PART_BYTES // len(data))
    return itertools.repeat(part, -(-size // len(part)))


# Heads


def send_short_lines() -> Iterable[bytes]:
    """A complete request of very many short header lines."""
    return [build_short_lines()]


def send_open_head() -> Iterable[bytes]:
    """A head of very many short lines that lacks its last line."""
    return [build_short_lines()[:-2]]


def send_odd_lines() -> Iterable[bytes]:
    """A legal head of lines with no value, blanks or lists of empty items."""
    start = build_start(method=b"GET")
    lines = itertools.cycle((b"!:\r\n", b"x:\t\r\n", b"Connection:,,,,\r\n", b"_: ,\r\n"))
    head = start
    for line in lines:
        if len(head) + len(line) > HEADER_BYTES - 2:
            return [head]
        head += line
    return []


def send_large_head() -> Iterable[bytes]:
    """A head of several times the limit, sent at once, after which nothing follows."""
    return [build_start() + SHORT_LINE * 64 * 1024]


def send_endless_head() -> Iterable[bytes]:
    """Header lines without end."""
    return itertools.chain([build_start()], _repeat(SHORT_LINE))


def send_endless_line() -> Iterable[bytes]:
    """A header whose value has no end."""
    return itertools.chain([build_start(), b"x:"], _repeat(b"y"))


def send_empty_lines() -> Iterable[bytes]:
    """Empty lines without end before a request."""
    return _repeat(b"\r\n")


# Bodies


def _send_chunks(path: bytes, chunk: bytes, size: int) -> Iterator[bytes]:
    """A chunked body of at least `size` bytes on the wire that lacks its end."""
    yield build_head(b"Transfer-Encoding: chunked", path=path)
    framed = b"%x\r\n" % len(chunk) + chunk + b"\r\n"
    yield from _repeat(framed, size)
    yield b"0\r\n"


def send_large_chunks(path: bytes = b"/call/") -> Iterable[bytes]:
    """A body of large chunks that stops short of its end."""
    return _send_chunks(path, bytes(CHUNK_BYTES), 2 * 1024 * 1024)


def send_open_chunks(path: bytes) -> Iterable[bytes]:
    """A chunked body to which chunks can be added."""
    head = build_head(b"Transfer-Encoding: chunked", path=path)
    size = 256 * 1024
    return [head + b"%x\r\n" % size + bytes(size) + b"\r\n"]


def send_small_chunks(path: bytes = b"/call/") -> Iterable[bytes]:
    """A body of chunks of one byte that stops short of its end."""
    return _send_chunks(path, b"x", 512 * 1024)


def send_unfinished_length(path: bytes = b"/call/") -> Iterable[bytes]:
    """A body with a length that lacks its last byte."""
    size = 1024 * 1024
    head = build_head(b"Content-Length: %d" % size, path=path)
    return itertools.chain([head], _split(bytes(size - 1)))


def send_trailers() -> Iterable[bytes]:
    """A chunked body with trailers without end."""
    head = build_head(b"Transfer-Encoding: chunked")
    return itertools.chain([head, b"1\r\nx\r\n0\r\n"], _repeat(SHORT_LINE))


def send_open_trailers() -> Iterable[bytes]:
    """A chunked body with as many trailers as are legal, which lack their end."""
    head = build_head(b"Transfer-Encoding: chunked")
    return [head + b"1\r\nx\r\n0\r\n" + SHORT_LINE * 4_000]


def send_chunk_extensions() -> Iterable[bytes]:
    """A chunked body whose chunks have long extensions."""
    head = build_head(b"Transfer-Encoding: chunked")
    return itertools.chain([head], _repeat(b"1;" + b"x=y;" * 60 + b"\r\nx\r\n"))


# Connections


def send_nothing() -> Iterable[bytes]:
    """Nothing: the connection is only opened."""
    return []


def send_pipelined(path: bytes = b"/slow/") -> Iterable[bytes]:
    """Complete requests of very many short header lines, one right after the other."""
    return [build_short_lines(path) * 8]


def send_pipelined_bodies() -> Iterable[bytes]:
    """Complete requests with large bodies, and one that lacks its end, right after each other."""
    size = 512 * 1024
    one = build_head(b"Content-Length: %d" % size, path=b"/slow/") + bytes(size)
    return _split((one * 5)[:-1])


def send_unread(path: bytes) -> Iterable[bytes]:
    """Requests whose responses are not read."""
    return [build_head(path=path, method=b"GET") * 8]


class Crowd:
    """Connections that one kind of client opens, and keeps open until it is closed.

    Parameters
    ----------
    address : str
        Address of the listener (``IP:port``).
    size : int
        Number of connections.
    """

    def __init__(self, address: str, size: int) -> None:
        self._address = address
        self._size = size
        self._loop = asyncio.get_running_loop()
        self._sockets: list[socket.socket] = []
        self._dripping: list[asyncio.Task[None]] = []

    async def send(self, kind: Kind, seconds: float) -> None:
        """Open all connections, and send what each sends; those that are refused stop earlier.

        Parts that the listener has not taken after `seconds` are not sent.
        """
        connecting = asyncio.Semaphore(CONNECTORS)

        async def run() -> None:
            async with connecting:
                connected = await self._connect()
            if connected is None:
                return
            with contextlib.suppress(OSError):
                for part in kind():
                    await self._loop.sock_sendall(connected, part)

        tasks = [asyncio.create_task(run()) for _ in range(self._size)]
        _, pending = await asyncio.wait(tasks, timeout=seconds)
        for task in pending:
            task.cancel()
        if pending:
            await asyncio.wait(pending)
        for task in tasks:
            if not task.cancelled():
                task.result()

    async def _connect(self) -> socket.socket | None:
        connected = socket.socket()
        connected.setblocking(False)
        self._sockets.append(connected)
        try:
            await self._loop.sock_connect(connected, nodes.split_address(self._address))
        except OSError:
            return None
        return connected

    def drip(self, part: bytes, pause: float) -> None:
        """Send one more part on each connection, over and over, until the crowd is closed."""

        async def run(connected: socket.socket) -> None:
            with contextlib.suppress(OSError):
                while True:
                    await self._loop.sock_sendall(connected, part)
                    await asyncio.sleep(pause)

        self._dripping = [asyncio.create_task(run(item)) for item in self._sockets]

    async def close(self) -> None:
        """Close all connections."""
        for task in self._dripping:
            task.cancel()
        await asyncio.gather(*self._dripping, return_exceptions=True)
        for connected in self._sockets:
            connected.close()
