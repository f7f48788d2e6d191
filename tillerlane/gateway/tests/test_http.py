"""The HTTP border on loopback connections in virtual time: bounds, framing, early ends."""

import asyncio
import unittest

from hypothesis import given, strategies

from tillerlane.gateway import http_client, http_head, http_server
from tillerlane.testing import lab, profiles

ADDRESS = "10.0.0.1:80"
LIMITS = http_server.ServerLimits(
    header_bytes=1_000, body_bytes=2_000, header_seconds=1.0, idle_seconds=3.0
)


async def echo(request: http_server.Request, responder: http_server.Responder) -> None:
    """Answer with the target and the body."""
    head = http_head.ResponseHead(200, [(b"X", request.head.target)])
    await responder.send_response(head, request.body)


async def talk(
    data: bytes,
    serve: http_server.Handler = echo,
    wait: float = 0.5,
    later: tuple[bytes, ...] = (),
    pause: float = 0.0,
) -> bytes:
    """Send bytes to a server and give all that it answers until it closes or time is up.

    `later` are further bytes, each sent after a pause in seconds.
    """
    server = http_server.Server(serve, LIMITS, lambda error: None)
    await server.listen(ADDRESS)
    host, port = ADDRESS.split(":")
    reader, writer = await asyncio.open_connection(host, int(port))
    writer.write(data)
    for part in later:
        await asyncio.sleep(pause)
        writer.write(part)
    got = b""
    try:
        async with asyncio.timeout(wait):
            while part := await reader.read(4096):
                got += part
    except (TimeoutError, ConnectionError):
        pass
    writer.close()
    server.stop_accepting()
    return got


class ServerTest(unittest.TestCase):
    """What callers may send."""

    def talk(self, data: bytes, **more: object) -> bytes:
        """Play one connection in virtual time."""
        return lab.run_virtual(talk(data, **more))  # type: ignore[arg-type]

    def test_chunked_and_counted_bodies_are_the_same(self) -> None:
        chunked = b"POST /a HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n"
        counted = b"POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 5\r\n\r\nhello"
        first = self.talk(chunked + b"2\r\nhe\r\n3\r\nllo\r\n0\r\n\r\n")
        self.assertEqual(first, self.talk(counted))
        self.assertTrue(first.endswith(b"hello"))

    def test_several_requests_on_one_connection_are_answered_in_order(self) -> None:
        one = b"GET /%d HTTP/1.1\r\nHost: h\r\n\r\n"
        got = self.talk(b"".join(one % number for number in range(5)))
        places = [got.index(b"X: /%d" % number) for number in range(5)]
        self.assertEqual(places, sorted(places))

    def test_bounds(self) -> None:
        large_head = b"GET / HTTP/1.1\r\nX: " + b"x" * 2_000 + b"\r\n\r\n"
        self.assertIn(b" 431 ", self.talk(large_head))
        large_body = b"POST / HTTP/1.1\r\nContent-Length: 3000\r\n\r\n" + b"x" * 3_000
        self.assertIn(b" 413 ", self.talk(large_body))
        self.assertIn(b" 408 ", self.talk(b"GET / HTTP/1.1\r\nX:", wait=2.0))
        self.assertEqual(self.talk(b"", wait=4.0), b"")

    def test_body_that_stops_ends_with_408_and_a_slow_one_is_read(self) -> None:
        head = b"POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\n\r\n"
        served = []

        async def serve(request: http_server.Request, responder: http_server.Responder) -> None:
            served.append(request)
            await echo(request, responder)

        got = self.talk(head + b"x", serve=serve, wait=4.0)
        self.assertIn(b" 408 ", got)
        self.assertEqual(served, [])
        slow = self.talk(head, serve=serve, wait=1.0, later=(b"x", b"y", b"z"), pause=2.0)
        self.assertTrue(slow.endswith(b"xyz"))

    def test_request_within_a_request_is_refused(self) -> None:
        smuggled = (
            b"POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 4\r\nTransfer-Encoding: chunked\r\n\r\n"
            b"0\r\n\r\nGET /inner HTTP/1.1\r\nHost: h\r\n\r\n"
        )
        got = self.talk(smuggled)
        self.assertIn(b" 400 ", got)
        self.assertNotIn(b"/inner", got)

    def test_aborted_stream_does_not_look_whole(self) -> None:
        async def break_off(request: http_server.Request, responder: http_server.Responder) -> None:
            await responder.start_response(http_head.ResponseHead(200, []))
            await responder.write(b"part")
            await asyncio.sleep(0.1)
            raise RuntimeError("fails")

        got = self.talk(b"GET / HTTP/1.1\r\nHost: h\r\n\r\n", serve=break_off)
        self.assertIn(b"part", got)
        self.assertFalse(got.endswith(b"0\r\n\r\n"))

    @profiles.choose(60)
    @given(strategies.binary(max_size=300))
    def test_any_bytes_are_answered_or_closed(self, data: bytes) -> None:
        got = self.talk(data, wait=5.0)
        self.assertTrue(got == b"" or got.startswith(b"HTTP/1.1 "))


async def ask(answer: bytes, end: str) -> tuple[int, bytes, str]:
    """Ask a server that writes fixed bytes; gives status, body, and why it is not whole."""

    async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        await reader.readuntil(b"\r\n\r\n")
        writer.write(answer)
        await asyncio.sleep(0.1)
        if end == "close":
            writer.close()
        elif end == "hang":
            await asyncio.sleep(60)

    host, port = ADDRESS.split(":")
    server = await asyncio.start_server(serve, host, int(port))
    exchange = await http_client.connect(ADDRESS, 1.0)
    exchange.send(http_head.RequestHead(b"GET", b"/", [(b"Host", b"h")]), b"")
    status, body = 0, b""
    try:
        async with asyncio.timeout(1.0):
            status = (await exchange.read_head()).status
            body = await exchange.read_body(10_000)
            return status, body, ""
    except http_client.ExchangeError as error:
        return status, body, str(error)
    except TimeoutError:
        return status, body, "hangs"
    finally:
        exchange.abort()
        server.close()


class ClientTest(unittest.TestCase):
    """What targets may answer."""

    def ask(self, answer: bytes, end: str = "close") -> tuple[int, bytes, str]:
        """Play one exchange in virtual time."""
        return lab.run_virtual(ask(answer, end))

    def test_whole_answers(self) -> None:
        counted = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nab"
        chunked = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nab\r\n0\r\n\r\n"
        by_close = b"HTTP/1.1 200 OK\r\n\r\nab"
        interim = b"HTTP/1.1 100 Continue\r\n\r\n" + counted
        for answer in (counted, chunked, by_close, interim):
            self.assertEqual(self.ask(answer), (200, b"ab", ""), answer)
        self.assertEqual(self.ask(counted, "hang"), (200, b"ab", ""))

    def test_surplus_behind_an_answer_belongs_to_nobody(self) -> None:
        counted = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nab"
        self.assertEqual(self.ask(counted * 2), (200, b"ab", ""))

    def test_broken_answers_are_seen(self) -> None:
        broken = {
            b"": 0,
            b"no answer at all\r\n\r\n": 0,
            b"HTTP/1.1 200 OK\r\nContent-Len": 0,
            b"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nab": 200,
            b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nab\r\n": 200,
        }
        for answer, status in broken.items():
            got = self.ask(answer)
            self.assertEqual(got[0], status, answer)
            self.assertTrue(got[2], answer)

    def test_nothing_was_sent_where_nobody_listens(self) -> None:
        async def connect() -> None:
            await http_client.connect("10.0.0.9:1", 1.0)

        with self.assertRaises(http_client.ExchangeError) as caught:
            lab.run_virtual(connect())
        self.assertFalse(caught.exception.sent)


if __name__ == "__main__":
    unittest.main()
