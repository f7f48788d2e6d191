"""A target that writes bytes of a test's choosing in place of responses."""

import asyncio
import dataclasses
import itertools
from collections.abc import Callable, Iterable
from typing import Any

from tillerlane.peers import node as nodes
from tillerlane.testing import platform_runner

__all__ = ["RawRequest", "RawRunner", "repeat_forever", "serve_raw"]

PART_BYTES = 16 * 1024
PART_SECONDS = 0.001
"""Pause after each part, so that a reader without bounds still ends at its deadline."""


@dataclasses.dataclass(slots=True)
class RawRequest:
    """A request that arrived.

    Attributes
    ----------
    written_bytes : int
        Bytes written in response.
    ended_at : float
        Event-loop time at which the connection had ended; 0 while it is open.
    """

    request_id: str
    path: str
    written_bytes: int = 0
    ended_at: float = 0.0


Respond = Callable[[RawRequest], Iterable[bytes]]


def repeat_forever(prefix: bytes, unit: bytes) -> Iterable[bytes]:
    """Build parts: the prefix, then the unit over and over without end."""
    part = unit * max(1, PART_BYTES // len(unit))
    return itertools.chain([prefix], itertools.repeat(part))


async def serve_raw(
    address: str, respond: Respond, requests: list[RawRequest], *, keeps_open: bool = False
) -> asyncio.Server:
    """Serve each connection with the parts that `respond` gives, and then close it.

    With `keeps_open`, the connection stays open after the last part until the client closes it.
    """

    async def handle(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        loop = asyncio.get_running_loop()
        request: RawRequest | None = None
        try:
            request = _parse_request(await reader.readuntil(b"\r\n\r\n"))
            requests.append(request)
            for part in respond(request):
                writer.write(part)
                request.written_bytes += len(part)
                await writer.drain()
                await asyncio.sleep(PART_SECONDS)
            while keeps_open and await reader.read(PART_BYTES):
                pass
        except (ConnectionError, asyncio.IncompleteReadError):
            pass
        finally:
            if request is not None:
                request.ended_at = loop.time()
            writer.close()

    host, port = nodes.split_address(address)
    return await asyncio.start_server(handle, host, port)


def _parse_request(head: bytes) -> RawRequest:
    first_line, *lines = head.decode("latin-1").split("\r\n")
    headers = dict(line.lower().split(": ", 1) for line in lines if ": " in line)
    return RawRequest(headers.get("request-id", ""), first_line.split(" ")[1])


class RawRunner(platform_runner.PlatformRunner):
    """A target that writes bytes in place of responses, also to calls of the system.

    Parameters
    ----------
    respond : callable
        Called with each request; returns the parts to write.
    keeps_open : bool
        Whether connections stay open after the last part.
    """

    def __init__(
        self, *arguments: Any, respond: Respond, keeps_open: bool = False, **more: Any
    ) -> None:
        super().__init__(*arguments, **more)
        self.respond = respond
        self.requests: list[RawRequest] = []
        self._keeps_open = keeps_open

    async def start(self) -> None:
        """Start to listen."""
        await serve_raw(
            self.address,
            lambda request: self.respond(request),
            self.requests,
            keeps_open=self._keeps_open,
        )
