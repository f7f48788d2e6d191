"""A server's connections that fall silent: they carry nothing more, and neither end is told."""

import asyncio

from tillerlane.gateway.http import http_connection

__all__ = ["detach"]


class _SilentTransport(asyncio.Transport):
    """Drops what is written, like a network path that loses all packets."""

    def write(self, data: bytes | bytearray | memoryview) -> None:
        """Drop data."""

    def get_write_buffer_size(self) -> int:
        """Nothing is buffered."""
        return 0

    def set_write_buffer_limits(self, high: int | None = None, low: int | None = None) -> None:
        """Nothing is buffered."""

    def is_closing(self) -> bool:
        """The connection looks open."""
        return False

    def pause_reading(self) -> None:
        """Nothing is read."""

    def resume_reading(self) -> None:
        """Nothing is read."""

    def close(self) -> None:
        """The peer does not learn of the end."""

    def abort(self) -> None:
        """The peer does not learn of the end."""


def detach(connection: http_connection.Connection) -> None:
    """Have a connection carry nothing more, in either direction, while it stays open."""
    transport = connection.transport
    if transport is not None and not isinstance(transport, _SilentTransport):
        transport.set_protocol(asyncio.Protocol())
        connection.transport = _SilentTransport()
