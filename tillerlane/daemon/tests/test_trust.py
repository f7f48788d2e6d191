"""Peers are admitted by certificate and by name, and refusals are recorded on the time line."""

import asyncio
import logging
import pathlib
import ssl
import tempfile
import unittest
from typing import Any

import structlog

from tillerlane.config import settings
from tillerlane.daemon import core, tls
from tillerlane.peers import messages
from tillerlane.peers import node as nodes
from tillerlane.testing import certificates, deployment


def read_file(path: str) -> bytes:
    """Read the bytes of a file."""
    return pathlib.Path(path).read_bytes()


class TrustTest(unittest.IsolatedAsyncioTestCase):
    """A keeper with TLS, and peers that try to link to it."""

    async def asyncSetUp(self) -> None:
        structlog.configure(wrapper_class=structlog.make_filtering_bound_logger(logging.CRITICAL))
        self.folder = tempfile.TemporaryDirectory()
        self.addCleanup(self.folder.cleanup)
        path = pathlib.Path(self.folder.name)
        self.authority = certificates.Authority(path, "fleet-authority")
        self.other_authority = certificates.Authority(path, "other-authority")
        port, http_port = deployment.find_free_ports(2)
        self.address = f"127.0.0.1:{port}"
        values: dict[str, Any] = {
            "daemon": "keeper-1",
            "data_hall": "a",
            "roles": ["keeper"],
            "peer_address": self.address,
            "http_address": f"127.0.0.1:{http_port}",
            "keepers": {"keeper-1": self.address},
            "data_folder": str(path / "data"),
            "tls": self.authority.issue("keeper-1").model_dump(),
            "peers": ["keeper-1", "entry-1", "agent-1"],
        }
        self.keeper = core.Daemon(settings.Settings.model_validate(values))
        await self.keeper.start()
        # A write in progress continues in its thread, so the folder is removed after it.
        loop = asyncio.get_running_loop()
        self.addAsyncCleanup(loop.shutdown_default_executor)
        self.addAsyncCleanup(self.keeper.stop)

    async def try_link(
        self,
        daemon: str,
        own_tls: settings.Tls | None,
        open_connection: nodes.Open = asyncio.open_connection,
    ) -> bool:
        """Dial the keeper until it accepts or refuses the link; return whether it accepted."""
        local = self.keeper.node.local
        _, client = tls.build_contexts(own_tls)
        changed_local = type(local)(
            **{
                name: getattr(local, name)
                for name in type(local).__slots__
                if name not in ("daemon_id", "on_down", "admit")
            },
            daemon_id=daemon,
        )
        node = nodes.Node(changed_local, None, client, open_connection)
        node.dial(self.address)
        while not (self.has_link(daemon) or self.get_refusals()):
            await asyncio.sleep(0.02)
        linked = self.has_link(daemon)
        await node.close()
        return linked

    def has_link(self, daemon: str) -> bool:
        """Return whether the keeper has a link to a daemon."""
        return any(link.peer_id == daemon for link in self.keeper.node.get_links())

    def get_refusals(self) -> list[str]:
        return [
            event.fields["reason"]
            for event in self.keeper.timeline.read()
            if event.name == "peer.refused"
        ]

    async def test_named_peer_with_the_fleets_certificate(self) -> None:
        self.assertTrue(await self.try_link("entry-1", self.authority.issue("entry-1")))
        self.assertEqual(self.get_refusals(), [])

    async def test_link_is_established_after_the_first_dial_times_out(self) -> None:
        dials = 0

        async def open_late(*arguments: Any, **options: Any) -> Any:
            nonlocal dials
            dials += 1
            if dials == 1:
                raise TimeoutError("no connection in time")
            return await asyncio.open_connection(*arguments, **options)

        linked = await self.try_link("entry-1", self.authority.issue("entry-1"), open_late)
        self.assertTrue(linked)
        self.assertEqual((dials, self.get_refusals()), (2, []))

    async def test_peer_without_certificate(self) -> None:
        context = ssl.create_default_context(cafile=str(self.authority.path))
        context.check_hostname = False
        host, port = nodes.split_address(self.address)
        reader, writer = await asyncio.open_connection(host, port, ssl=context)
        with self.assertRaises((ssl.SSLError, ConnectionError, asyncio.IncompleteReadError)):
            writer.write(b"\0\0\0\0")
            await reader.readexactly(1)
        writer.close()
        while not self.get_refusals():
            await asyncio.sleep(0.02)
        self.assertIn("certificate", self.get_refusals()[0])

    async def test_peer_without_tls(self) -> None:
        self.assertFalse(await self.try_link("entry-1", None))
        self.assertTrue(any("certificate" in item for item in self.get_refusals()))

    async def test_peer_of_another_fleet(self) -> None:
        foreign = self.other_authority.issue("entry-1")
        other_tls = foreign.model_copy(update={"peer_authority": str(self.authority.path)})
        self.assertFalse(await self.try_link("entry-1", other_tls))
        self.assertTrue(any("certificate" in item for item in self.get_refusals()))

    async def test_peer_with_the_certificate_of_another_daemon(self) -> None:
        self.assertFalse(await self.try_link("entry-1", self.authority.issue("agent-1")))
        self.assertTrue(any("'agent-1'" in item for item in self.get_refusals()))

    async def test_peer_not_named_in_the_settings(self) -> None:
        self.assertFalse(await self.try_link("stranger", self.authority.issue("stranger")))
        self.assertTrue(any("do not name" in item for item in self.get_refusals()))

    async def test_certificate_is_replaced_without_restart(self) -> None:
        own_tls = self.keeper.settings.tls
        before = read_file(own_tls.certificate)
        self.authority.issue("keeper-1")
        self.assertNotEqual(before, read_file(own_tls.certificate))
        tls.reload_contexts(own_tls, *self.keeper.node.tls_contexts)
        self.assertTrue(await self.try_link("agent-1", self.authority.issue("agent-1")))


class HelloTest(unittest.TestCase):
    """Contents of a ``Hello``."""

    def test_protocol_version(self) -> None:
        hello = messages.Hello("a", 1, "fleet", "127.0.0.1:1")
        self.assertEqual(hello.protocol, messages.PROTOCOL)


if __name__ == "__main__":
    unittest.main()
