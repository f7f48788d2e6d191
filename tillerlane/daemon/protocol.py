"""HTTP connections with a timeout for request heads.

The application server bounds idle connections and bodies but not slow heads: clients that send one
byte a minute could each hold a connection indefinitely.
"""

import asyncio
from typing import Any

from uvicorn.protocols.http import httptools_impl

__all__ = ["HEAD_TIMEOUT_SECONDS", "BoundedProtocol"]

HEAD_TIMEOUT_SECONDS = 10.0
"""Timeout of a request's head, from the connection or from the head's first byte."""


class BoundedProtocol(httptools_impl.HttpToolsProtocol):
    """A connection that is closed when a request head times out."""

    _head_timer: asyncio.TimerHandle | None = None

    def connection_made(self, transport: asyncio.Transport) -> None:
        """Start the timer of the first head."""
        super().connection_made(transport)
        self._start_timer()

    def on_message_begin(self) -> None:
        """Start the timer of a further head."""
        super().on_message_begin()
        self._start_timer()

    def on_headers_complete(self) -> None:
        """Stop the timer."""
        self._stop_timer()
        super().on_headers_complete()

    def connection_lost(self, exc: Exception | None) -> None:
        """Stop the timer."""
        self._stop_timer()
        super().connection_lost(exc)

    def _start_timer(self) -> None:
        if self._head_timer is None:
            self._head_timer = self.loop.call_later(HEAD_TIMEOUT_SECONDS, self._close_connection)

    def _stop_timer(self) -> None:
        if self._head_timer is not None:
            self._head_timer.cancel()
            self._head_timer = None

    def _close_connection(self) -> None:
        self._head_timer = None
        transport: Any = self.transport
        if not transport.is_closing():
            transport.close()
