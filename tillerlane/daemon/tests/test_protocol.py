"""A request head that times out closes its own connection only."""

import asyncio
import unittest
from unittest import mock

import uvicorn

from tillerlane.daemon import protocol


async def respond(scope: dict[str, object], receive: object, send: object) -> None:
    """Respond with an empty body."""
    await send({"type": "http.response.start", "status": 200, "headers": []})
    await send({"type": "http.response.body", "body": b""})


class ProtocolTest(unittest.IsolatedAsyncioTestCase):
    """Connections of a server with a short head timeout."""

    async def asyncSetUp(self) -> None:
        timeout = mock.patch.object(protocol, "HEAD_TIMEOUT_SECONDS", 0.2)
        timeout.start()
        self.addCleanup(timeout.stop)
        config = uvicorn.Config(
            respond, http=protocol.BoundedProtocol, port=0, lifespan="off", log_config=None
        )
        self.server = uvicorn.Server(config)
        config.load()
        self.server.lifespan = config.lifespan_class(config)
        await self.server.startup()
        self.port = self.server.servers[0].sockets[0].getsockname()[1]
        self.addAsyncCleanup(self.server.shutdown)

    async def test_missing_and_slow_heads_time_out(self) -> None:
        for part in (b"", b"GET / HTTP/1.1\r\nHost: x\r\nX-Slow: "):
            reader, writer = await asyncio.open_connection("127.0.0.1", self.port)
            writer.write(part)
            self.assertEqual(await reader.read(), b"")
            writer.close()

    async def test_complete_heads_get_responses_repeatedly(self) -> None:
        reader, writer = await asyncio.open_connection("127.0.0.1", self.port)
        for _ in range(3):
            writer.write(b"GET / HTTP/1.1\r\nHost: x\r\n\r\n")
            head = await reader.readuntil(b"\r\n\r\n")
            self.assertIn(b"200 OK", head)
            await reader.readuntil(b"0\r\n\r\n")
            await asyncio.sleep(0.3)
        writer.close()


if __name__ == "__main__":
    unittest.main()
