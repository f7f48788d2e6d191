"""HTTP connections whose request heads must come in time.

The application server bounds idle connections and bodies, not slow heads: a thousand peers that
send a byte a minute would each hold a connection for ever.
"""

import asyncio
from typing import Any

from uvicorn.protocols.http import httptools_impl

__all__ = ["HEAD_SECONDS", "BoundedProtocol"]

HEAD_SECONDS = 10.0
"""How long a request's head may take, from the connection or from its first byte."""


class BoundedProtocol(httptools_impl.HttpToolsProtocol):
    """A connection that is closed when a head does not come in time."""

    _head_timer: asyncio.TimerHandle | None = None

    def connection_made(self, transport: asyncio.Transport) -> None:
        """Start the clock of the first head."""
        super().connection_made(transport)
        self._start_clock()

    def on_message_begin(self) -> None:
        """Start the clock of a further head."""
        super().on_message_begin()
        self._start_clock()

    def on_headers_complete(self) -> None:
        """Stop the clock."""
        self._stop_clock()
        super().on_headers_complete()

    def connection_lost(self, exc: Exception | None) -> None:
        """Stop the clock."""
        self._stop_clock()
        super().connection_lost(exc)

    def _start_clock(self) -> None:
        if self._head_timer is None:
            self._head_timer = self.loop.call_later(HEAD_SECONDS, self._give_up)

    def _stop_clock(self) -> None:
        if self._head_timer is not None:
            self._head_timer.cancel()
            self._head_timer = None

    def _give_up(self) -> None:
        self._head_timer = None
        transport: Any = self.transport
        if not transport.is_closing():
            transport.close()
