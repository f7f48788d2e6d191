"""Responses with neither a length nor chunks, which end with their connection."""

from tillerlane.gateway import http_head, http_server

__all__ = ["CloseDelimitedResponder"]


class CloseDelimitedResponder:
    """Sends the response to one request without framing, as HTTP allows.

    Parameters
    ----------
    responder : http_server.Responder
        The responder whose connection is used.
    """

    def __init__(self, responder: http_server.Responder) -> None:
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
        """Close the connection regularly."""
        self._connection._transport.close()  # type: ignore[attr-defined]
