"""All peer links of one daemon: one listener, and one task for each peer that it dials."""

import asyncio
import dataclasses
import random
import ssl
from collections.abc import Awaitable, Callable

from tillerlane.faults import core as faults
from tillerlane.peers import link as links

__all__ = ["Dialing", "Node", "Open", "Peer", "split_address"]

Open = Callable[..., Awaitable[tuple[asyncio.StreamReader, asyncio.StreamWriter]]]

MAX_ACCEPTED_LINKS = 4_096


@dataclasses.dataclass(frozen=True, slots=True)
class Dialing:
    """Timeouts and retry delays for dialing peers.

    Attributes
    ----------
    first_retry_seconds, last_retry_seconds : float
        Delay after the first failure; it doubles with each further one up to the last.
    connect_seconds : float
        Timeout of one connection attempt.  The operating system repeats a lost SYN only after a
        second, so with a longer timeout a host that returns is found a second later.
    """

    first_retry_seconds: float = 0.05
    last_retry_seconds: float = 1.0
    connect_seconds: float = 2.0


def split_address(address: str) -> tuple[str, int]:
    """Split ``IP:port``.

    Examples
    --------
    >>> split_address("127.0.0.1:7000")
    ('127.0.0.1', 7000)
    """
    host, _, port = address.rpartition(":")
    return host.strip("[]"), int(port)


class Peer:
    """A peer to which this daemon keeps a link, reconnecting until `Node.disconnect`.

    Attributes
    ----------
    address : str
        ``IP:port``.
    link : links.Link or None
        The current link; None while disconnected.
    failures : int
        Connection attempts that failed since the last link.
    """

    def __init__(
        self,
        address: str,
        heartbeat_seconds: float = links.HEARTBEAT_INTERVAL_SECONDS,
    ) -> None:
        self.address = address
        self.heartbeat_seconds = heartbeat_seconds
        self.link: links.Link | None = None
        self.failures = 0
        self._up = asyncio.Event()

    def set_link(self, link: links.Link) -> None:
        """Record that the link is ready."""
        self.link = link
        self.failures = 0
        self._up.set()

    def clear_link(self) -> None:
        """Record that the link has ended."""
        self.link = None
        self._up.clear()

    async def wait_link(self, timeout: float) -> links.Link:
        """Wait until the peer is connected.

        Raises
        ------
        links.LinkLost
            If there is no link after `timeout` seconds.
        """
        if self.link is None:
            try:
                await asyncio.wait_for(self._up.wait(), timeout)
            except TimeoutError:
                pass
        if self.link is None:
            raise links.LinkLost(f"no link to {self.address} after {timeout} s")
        return self.link


class Node:
    """All links of one daemon.

    Parameters
    ----------
    local : links.Local
        What the links share.
    server_tls, client_tls : ssl.SSLContext or None
        Contexts for accepted and dialed connections; None for plain TCP.
    open_connection : callable
        Opens a connection, as `asyncio.open_connection`.
    dialing : Dialing
        Timeouts and retry delays for dialing peers.
    """

    def __init__(
        self,
        local: links.Local,
        server_tls: ssl.SSLContext | None = None,
        client_tls: ssl.SSLContext | None = None,
        open_connection: Open = asyncio.open_connection,
        dialing: Dialing = Dialing(),
    ) -> None:
        self.local = local
        self._dialing = dialing
        self._open_connection = open_connection
        self._server_tls = server_tls
        self._client_tls = client_tls
        self._server: asyncio.Server | None = None
        self._peers: dict[str, tuple[Peer, asyncio.Task[None]]] = {}
        self.accepted: dict[links.Link, None] = {}
        """Links dialed by peers, in order of arrival."""
        self._accepting = 0
        self._closing = False

    @property
    def tls_contexts(self) -> tuple[ssl.SSLContext | None, ssl.SSLContext | None]:
        """Contexts for accepted and for dialed connections."""
        return self._server_tls, self._client_tls

    async def listen(self, address: str) -> None:
        """Accept links at `address` (``IP:port``)."""
        host, port = split_address(address)
        self._server = await asyncio.start_server(self._accept, host, port)

    async def _accept(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        if self._closing or self._accepting >= MAX_ACCEPTED_LINKS:
            writer.close()
            return
        self._accepting += 1
        if not await self._secure(writer):
            self._accepting -= 1
            return
        link = links.Link(reader, writer, self.local, dialed=False)
        self.accepted[link] = None
        try:
            await link.run()
        except (OSError, EOFError, TimeoutError, faults.TillerlaneError):
            pass
        finally:
            self.accepted.pop(link, None)
            self._accepting -= 1

    async def _secure(self, writer: asyncio.StreamWriter) -> bool:
        """Upgrade to TLS if configured; return False if the handshake fails."""
        if self._server_tls is None:
            return True
        try:
            await writer.start_tls(
                self._server_tls, ssl_handshake_timeout=links.HELLO_TIMEOUT_SECONDS
            )
        except (OSError, EOFError, TimeoutError) as error:
            self.local.on_refused(f"no valid certificate: {error}"[:200])
            writer.close()
            return False
        return True

    def dial(
        self,
        address: str,
        heartbeat_seconds: float = links.HEARTBEAT_INTERVAL_SECONDS,
    ) -> Peer:
        """Keep a link to `address`; repeated calls return the same peer."""
        entry = self._peers.get(address)
        if entry is not None:
            return entry[0]
        peer = Peer(address, heartbeat_seconds)
        task = asyncio.create_task(self._keep_link(peer), name=f"dial {address}")
        self._peers[address] = (peer, task)
        return peer

    def disconnect(self, address: str) -> None:
        """Stop dialing `address` and end its link."""
        entry = self._peers.pop(address, None)
        if entry is None:
            return
        peer, task = entry
        if peer.link is not None:
            peer.link.close()
        task.cancel()

    async def _keep_link(self, peer: Peer) -> None:
        delay = self._dialing.first_retry_seconds
        # A cancellation may be lost (see `keeper.replica.Replica.stop`), so the table is checked.
        while self._peers.get(peer.address, (None,))[0] is peer:
            try:
                await self._run_link(peer)
                delay = self._dialing.first_retry_seconds
            except (OSError, EOFError, TimeoutError, faults.TillerlaneError):
                peer.failures += 1
                delay = min(delay * 2, self._dialing.last_retry_seconds)
            await asyncio.sleep(delay * random.uniform(0.5, 1.0))

    async def _run_link(self, peer: Peer) -> None:
        host, port = split_address(peer.address)
        tls_options = {"ssl": self._client_tls, "server_hostname": host} if self._client_tls else {}
        connecting = self._open_connection(host, port, **tls_options)
        reader, writer = await asyncio.wait_for(connecting, self._dialing.connect_seconds)
        link = links.Link(
            reader,
            writer,
            self.local,
            dialed=True,
            on_ready=peer.set_link,
            heartbeat_seconds=peer.heartbeat_seconds,
        )
        try:
            await link.run()
        finally:
            if peer.link is link:
                peer.clear_link()

    def get_dialed(self) -> set[str]:
        """Return the addresses that are dialed."""
        return set(self._peers)

    def get_links(self) -> list[links.Link]:
        """Return every link that is ready, dialed or accepted."""
        dialed = [peer.link for peer, _ in self._peers.values() if peer.link is not None]
        return dialed + [link for link in self.accepted if link.hello is not None and link.is_open]

    async def close(self) -> None:
        """End all links and stop listening; connections still being accepted are closed too."""
        self._closing = True
        if self._server is not None:
            self._server.close()
        for address in list(self._peers):
            self.disconnect(address)
        for link in list(self.accepted):
            link.close()
        await asyncio.sleep(0)
