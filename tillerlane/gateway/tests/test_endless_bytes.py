"""Bytes from targets and callers that are no HTTP message, or belong to none, without end."""

import asyncio
import tracemalloc
import unittest

from tillerlane.gateway import http_client, http_head
from tillerlane.testing import lab, raw_runner

ADDRESS = "10.0.0.1:80"
BODY_BYTES = 100_000
"""Limit on the body of a plain response."""
TIMEOUT_SECONDS = 2.0
"""Time for which a reader without bounds would go on."""
MAX_WRITTEN_BYTES = 1024 * 1024
"""Bytes that a target can write, buffers of the connection included, until it is closed."""
MAX_MEMORY_BYTES = 2 * 1024 * 1024
HEAD = b"HTTP/1.1 200 OK\r\nRequest-Id: r1\r\n"
CHUNKED = HEAD + b"Transfer-Encoding: chunked\r\n\r\n"
COUNTED = HEAD + b"Content-Length: 999999999999\r\n\r\n"
ENDLESS_HEADS = {
    "status line": (b"HTTP/1.1 200 ", b"x"),
    "header name": (HEAD, b"x"),
    "header value": (HEAD + b"X: ", b"x"),
    "headers": (HEAD, b"X: y\r\n"),
    "interim heads": (b"", b"HTTP/1.1 100 Continue\r\n\r\n"),
    "interim heads with headers": (b"", b"HTTP/1.1 103 Hints\r\nX: y\r\nZ: y\r\n\r\n"),
    "header of an interim head": (b"HTTP/1.1 103 Hints\r\nX: ", b"x"),
    "empty lines": (b"", b"\r\n"),
}
"""Bytes at the begin, and those that follow over and over."""
ENDLESS_FRAMING = {
    "chunk extension": (CHUNKED + b"5;", b"x"),
    "chunk size": (CHUNKED, b"0"),
    "chunk extensions": (CHUNKED, b"1;" + b"x" * 2_000 + b"\r\na\r\n"),
    "trailer name": (CHUNKED + b"1\r\na\r\n0\r\n", b"x"),
    "trailer value": (CHUNKED + b"1\r\na\r\n0\r\nX: ", b"x"),
    "trailers": (CHUNKED + b"1\r\na\r\n0\r\n", b"X: y\r\n"),
}
ENDLESS_BODIES = {
    "body with a length": (COUNTED, b"x"),
    "chunked body": (CHUNKED, b"1\r\nx\r\n"),
    "body without framing": (HEAD + b"\r\n", b"x"),
}


async def fetch_endless(prefix: bytes, unit: bytes) -> tuple[str, int, float, int]:
    """Read a response without end; returns error, bytes written, seconds and memory."""
    requests: list[raw_runner.RawRequest] = []
    server = await raw_runner.serve_raw(
        ADDRESS, lambda request: raw_runner.repeat_forever(prefix, unit), requests
    )
    loop = asyncio.get_running_loop()
    began = loop.time()
    exchange = await http_client.connect(ADDRESS, 1.0)
    exchange.send(http_head.RequestHead(b"GET", b"/", [(b"Host", b"h")]), b"")
    error = ""
    tracemalloc.start()
    try:
        async with asyncio.timeout(TIMEOUT_SECONDS):
            await exchange.read_head()
            await exchange.read_body(BODY_BYTES)
    except http_client.ExchangeError as reason:
        error = str(reason)
    except TimeoutError:
        error = "read until the deadline"
    finally:
        _, peak = tracemalloc.get_traced_memory()
        tracemalloc.stop()
        seconds = loop.time() - began
        exchange.abort()
        await asyncio.sleep(0.1)
        server.close()
    return error, requests[0].written_bytes, seconds, peak


class EndlessResponseTest(unittest.TestCase):
    """What one exchange reads of a response without end, and what memory that takes."""

    def check_bounded(self, cases: dict[str, tuple[bytes, bytes]], reason: str) -> None:
        for name, (prefix, unit) in cases.items():
            with self.subTest(name):
                error, written, seconds, memory = lab.run_virtual(fetch_endless(prefix, unit))
                self.assertIn(reason, error)
                self.assertLess(written, MAX_WRITTEN_BYTES)
                self.assertLess(seconds, TIMEOUT_SECONDS)
                self.assertLess(memory, MAX_MEMORY_BYTES)

    def test_head_without_end_is_cut(self) -> None:
        self.check_bounded(ENDLESS_HEADS, "over 65536 bytes before the body")

    def test_framing_without_end_is_cut(self) -> None:
        self.check_bounded(ENDLESS_FRAMING, "of chunk framing")

    def test_body_without_end_is_cut(self) -> None:
        self.check_bounded(ENDLESS_BODIES, f"over {BODY_BYTES} bytes of response")

    def test_surplus_without_end_closes_the_connection(self) -> None:
        """Guards against reading on for as long as the response is being passed on."""

        async def read_slowly() -> int:
            requests: list[raw_runner.RawRequest] = []
            prefix = HEAD + b"Content-Length: 1\r\n\r\na"
            await raw_runner.serve_raw(
                ADDRESS, lambda request: raw_runner.repeat_forever(prefix, b"x"), requests
            )
            exchange = await http_client.connect(ADDRESS, 1.0)
            exchange.send(http_head.RequestHead(b"GET", b"/", [(b"Host", b"h")]), b"")
            await exchange.read_head()
            await asyncio.sleep(TIMEOUT_SECONDS)
            self.assertEqual(await exchange.read_body(10), b"a")
            exchange.abort()
            await asyncio.sleep(0.1)
            return requests[0].written_bytes

        self.assertLess(lab.run_virtual(read_slowly()), MAX_WRITTEN_BYTES)


async def fetch(response: bytes, size: int = 0) -> tuple[http_head.ResponseHead, bytes] | str:
    """Response that a client reads from given bytes, sent in parts of a size; or its error."""
    size = size or len(response)
    parts = [response[at : at + size] for at in range(0, len(response), size)]
    server = await raw_runner.serve_raw(ADDRESS, lambda request: parts, [])
    exchange = await http_client.connect(ADDRESS, 1.0)
    exchange.send(http_head.RequestHead(b"GET", b"/", [(b"Host", b"h")]), b"")
    try:
        async with asyncio.timeout(30.0):
            return await exchange.read_head(), await exchange.read_body(BODY_BYTES)
    except http_client.ExchangeError as error:
        return str(error)
    finally:
        exchange.abort()
        server.close()
        await asyncio.sleep(0.1)  # the server's end of the connection closes


class OddResponseTest(unittest.TestCase):
    """Responses that a lenient parser takes for valid ones."""

    def fetch(self, response: bytes, size: int = 0) -> tuple[http_head.ResponseHead, bytes] | str:
        return lab.run_virtual(fetch(response, size))

    def check_invalid(self, response: bytes) -> None:
        for size in (0, 1):
            with self.subTest(response=response, size=size):
                received = self.fetch(response, size)
                self.assertIsInstance(received, str)
                self.assertIn("invalid HTTP response", str(received))

    def test_many_chunks_and_interim_heads_are_read(self) -> None:
        """Guards against bounds on framing that cut long streams of small chunks."""
        chunks = b"1\r\na\r\n" * 50_000
        interim = b"HTTP/1.1 103 Hints\r\nX: y\r\n\r\n" * 3
        received = self.fetch(b"\r\n" + interim + CHUNKED + chunks + b"0\r\n\r\n")
        self.assertNotIsInstance(received, str)
        self.assertEqual(received[1], b"a" * 50_000)

    def test_response_is_the_same_in_parts_of_any_size(self) -> None:
        interim = b"\r\nHTTP/1.1 100 Continue\r\n\r\n"
        response = interim + CHUNKED + b"2;x\r\nab\r\n0\r\nX: y\r\n\r\n"
        whole = self.fetch(response)
        self.assertNotIsInstance(whole, str)
        for size in range(1, len(response)):
            self.assertEqual(self.fetch(response, size), whole, size)

    def test_trailers_are_no_headers(self) -> None:
        """Guards against headers that reach callers although they arrived after the body."""
        received = self.fetch(CHUNKED + b"1\r\na\r\n0\r\nResponse-Seal: x\r\n\r\n")
        assert not isinstance(received, str)
        head, body = received
        self.assertEqual(body, b"a")
        self.assertIsNone(http_head.get_header(head.headers, b"response-seal"))

    def test_body_of_an_interim_response_is_no_part_of_the_final_body(self) -> None:
        final = b"HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\nb"
        self.check_invalid(b"HTTP/1.1 199 Odd\r\nContent-Length: 1\r\n\r\na" + final)
        self.check_invalid(
            b"HTTP/1.1 103 Odd\r\nTransfer-Encoding: chunked\r\n\r\n1\r\na\r\n0\r\n\r\n" + final
        )

    def test_other_protocols_and_versions_are_invalid(self) -> None:
        rest = b" 200 OK\r\nContent-Length: 1\r\n\r\na"
        for version in (b"HTTP/0.9", b"HTTP/2.0", b"RTSP/1.0", b"ICE/1.0"):
            self.check_invalid(version + rest)
            self.check_invalid(b"HTTP/1.1 100 Continue\r\n\r\n" + version + rest)

    def test_status_below_100_is_no_interim_response(self) -> None:
        final = b"HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\nb"
        for status in (b"000", b"099"):
            odd = b"HTTP/1.1 " + status + b" Odd\r\nContent-Length: 0\r\n\r\n"
            self.check_invalid(odd + final)


if __name__ == "__main__":
    unittest.main()
