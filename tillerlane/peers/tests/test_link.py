"""Links whose peer reads too slowly, falls silent or sends what can't be decoded."""

import asyncio
import types
import unittest
from typing import Any

from structlog import testing

from tillerlane.peers import codec, messages
from tillerlane.peers import link as links
from tillerlane.peers import node as nodes
from tillerlane.testing import lab
from tillerlane.timeline import clock as clocks


class FullWriter:
    """A writer whose peer reads nothing, with `unsent` bytes buffered."""

    def __init__(self, unsent: int) -> None:
        self.unsent = unsent
        self.written = b""
        self.transport = types.SimpleNamespace(
            get_write_buffer_size=lambda: self.unsent, abort=lambda: None
        )

    def write(self, data: bytes) -> None:
        """Buffer bytes; they are sent even if the connection is closed afterwards."""
        self.written += data
        self.unsent += len(data)

    def get_extra_info(self, name: str) -> None:
        """Nothing is known about the connection."""

    def close(self) -> None:
        """Close after the buffered bytes are sent, as transports do."""


def build_link(writer: Any) -> links.Link:
    """Build a link that uses `writer`."""

    async def serve(exchange: links.Exchange, body: messages.Body) -> None:
        raise AssertionError(body)

    local = links.Local(
        daemon_id="entry-1",
        fleet="f",
        address="10.0.1.1:7000",
        incarnation=1,
        clock=clocks.HybridClock(lambda: 1.0),
        get_config_version=lambda: 1,
        on_peer_version=lambda link, version: None,
        serve=serve,
        notify=lambda link, body: None,
    )
    return links.Link(asyncio.StreamReader(), writer, local, dialed=True)


class FullLinkTest(unittest.TestCase):
    """The peer reads too slowly and the send buffer is full."""

    def test_message_that_ends_the_link_is_not_written(self) -> None:
        """Entries rely on `LinkLost` from `open` as proof that the request can't have run."""
        writer = FullWriter(links.MAX_UNSENT_BYTES)

        async def run() -> None:
            link = build_link(writer)
            with self.assertRaises(links.LinkLost):
                link.open(messages.Query("subject", "{}"))
            self.assertFalse(link.is_open)

        lab.run_virtual(run())
        self.assertEqual(writer.written, b"")

    def test_message_that_fits_is_written(self) -> None:
        writer = FullWriter(links.MAX_UNSENT_BYTES // 2)

        async def run() -> None:
            link = build_link(writer)
            link.open(messages.Query("subject", "{}"))
            self.assertTrue(link.is_open)

        lab.run_virtual(run())
        self.assertIn(b"subject", writer.written)


class SilentPeerTest(unittest.IsolatedAsyncioTestCase):
    """A peer says hello and then neither reads nor sends anything, without closing."""

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Say hello, and fall silent."""
        self.connections.append(writer)
        hello = messages.Hello("keeper-1", 1, "f", "10.0.0.1:7000", pace_ms=50)
        frame = codec.encode(messages.Envelope(1, 1, 0, hello))
        writer.write(len(frame).to_bytes(4) + frame)
        reader._transport.pause_reading()  # type: ignore[attr-defined]

    async def test_link_with_unsent_bytes_is_dialed_again_when_its_peer_falls_silent(self) -> None:
        """Guards against waiting for ever to send what the peer does not read."""
        self.connections: list[asyncio.StreamWriter] = []
        server = await asyncio.start_server(self.serve, "127.0.0.1", 0)
        address = f"127.0.0.1:{server.sockets[0].getsockname()[1]}"
        local = build_link(FullWriter(0))._local
        ended: list[links.Link] = []
        local.on_down = ended.append
        node = nodes.Node(local)
        peer = node.dial(address)
        link = await peer.wait_link(1.0)
        link.send(messages.Query("subject", "x" * (links.MAX_FRAME_BYTES - 1000)))
        link.send(messages.Query("subject", "x" * (links.MAX_FRAME_BYTES - 1000)))
        self.assertGreater(link._writer.transport.get_write_buffer_size(), 0)
        async with asyncio.timeout(3.0):
            while len(self.connections) < 2:
                await asyncio.sleep(0.02)
        self.assertIn(link, ended)
        await node.close()
        for writer in self.connections:
            writer.transport.abort()
        server.close()

    async def test_closed_link_ends_though_its_peer_reads_nothing(self) -> None:
        """Guards against links that were closed for another reason and never end."""
        self.connections = []
        server = await asyncio.start_server(self.serve, "127.0.0.1", 0)
        local = build_link(FullWriter(0))._local
        ended: list[links.Link] = []
        local.on_down = ended.append
        node = nodes.Node(local)
        port = server.sockets[0].getsockname()[1]
        link = await node.dial(f"127.0.0.1:{port}").wait_link(1.0)
        for _ in range(2):
            link.send(messages.Query("subject", "x" * (links.MAX_FRAME_BYTES - 1000)))
        link.close()
        async with asyncio.timeout(links.CLOSE_SECONDS + 1.0):
            while link not in ended:
                await asyncio.sleep(0.02)
        await node.close()
        for writer in self.connections:
            writer.transport.abort()
        server.close()


class MalformedMessageTest(unittest.TestCase):
    """A peer sends a message that can't be decoded."""

    def test_reason_is_logged(self) -> None:
        """Guards against links that end again and again without a log line."""

        async def run() -> None:
            link = build_link(FullWriter(0))
            hello = messages.Hello("keeper-1", 1, "f", "10.0.0.1:7000")
            frames = [codec.encode(messages.Envelope(1, 1, 0, hello)), b"no message"]
            for frame in frames:
                link._reader.feed_data(len(frame).to_bytes(4) + frame)
            await link.run()
            self.assertFalse(link.is_open)

        with testing.capture_logs() as logs:
            lab.run_virtual(run())
        [line] = [item for item in logs if item["event"] == "peer.malformed"]
        self.assertEqual(line["peer"], "keeper-1")
        self.assertIn("cannot decode", line["reason"])


if __name__ == "__main__":
    unittest.main()
