"""Responses with neither a length nor chunks, which end with their connection."""

import asyncio

from tillerlane.gateway.http import http_head, http_server
from tillerlane.testing import resets

__all__ = ["CloseDelimitedResponder", "close", "reset"]


def _get_transport(responder: http_server.Responder) -> asyncio.Transport | None:
    return responder._connection.transport  # type: ignore[attr-defined]


def reset(responder: http_server.Responder) -> None:
    """Reset the connection of a response."""
    resets.reset(_get_transport(responder))


def close(responder: http_server.Responder) -> None:
    """Close the connection of a response regularly, whether or not the response is complete."""
    responder.is_finished = True  # else the server aborts the connection
    transport = _get_transport(responder)
    if transport is not None:
        transport.close()


class CloseDelimitedResponder:
    """Sends the response to one request without framing, as HTTP allows.

    Parameters
    ----------
    responder : http_server.Responder
        The responder whose connection is used.
    """

    def __init__(self, responder: http_server.Responder) -> None:
        self._responder = responder
        self._connection = responder._connection

    async def start_response(self, head: http_head.ResponseHead) -> None:
        """Start a response."""
        headers = [*head.headers, (b"Connection", b"close")]
        data = http_head.encode_response_head(http_head.ResponseHead(head.status, headers))
        await self._connection.write(data)

    async def write(self, part: bytes) -> None:
        """Send a part of the body."""
        await self._connection.write(part)

    async def send_response(self, head: http_head.ResponseHead, body: bytes) -> None:
        """Send a complete response."""
        await self.start_response(head)
        await self.write(body)
        self.abort()

    async def finish(self) -> None:
        """End the response, complete or not: nothing tells the two apart."""
        self.abort()

    def abort(self) -> None:
        """Close the connection regularly, after what was written before."""
        close(self._responder)
