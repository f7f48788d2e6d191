"""A server that closes its listener, on the real loopback: connections that cross that."""

import asyncio
import socket
import unittest

from tillerlane.gateway import http_head, http_server

REQUEST = b"GET /a HTTP/1.1\r\nHost: h\r\n\r\n"
ANSWER_SECONDS = 2.0


async def answer(request: http_server.Request, responder: http_server.Responder) -> None:
    """Answer every request with 200."""
    await responder.send_response(http_head.ResponseHead(200, []), b"ok")


async def ask(*, is_accepted: bool) -> bytes:
    """Connect, have the server stop accepting and close idle connections, and send a request."""
    listener = socket.create_server(("127.0.0.1", 0))
    address = listener.getsockname()
    server = http_server.Server(answer, http_server.ServerLimits(), lambda error: None)
    await server.listen("", listener)
    caller = socket.create_connection(address)  # blocks: the loop has not accepted it yet
    caller.setblocking(False)
    if is_accepted:
        await asyncio.sleep(0.05)
    server.stop_accepting()
    server.close_idle()
    loop = asyncio.get_running_loop()
    try:
        await loop.sock_sendall(caller, REQUEST)
        async with asyncio.timeout(ANSWER_SECONDS):
            return await loop.sock_recv(caller, 1_000)
    except OSError:
        return b""
    finally:
        caller.close()
        server.abort_all()


class PlannedCloseTest(unittest.TestCase):
    """Callers connect at the moment at which an entry that stops closes its listener."""

    def test_connection_that_waits_to_be_accepted_is_reset(self) -> None:
        data = asyncio.run(ask(is_accepted=False))
        self.assertTrue(data.startswith(b"HTTP/1.1 200"), data)

    def test_connection_that_has_just_come_is_closed_before_its_request_is_read(self) -> None:
        data = asyncio.run(ask(is_accepted=True))
        self.assertTrue(data.startswith(b"HTTP/1.1 200"), data)


if __name__ == "__main__":
    unittest.main()
