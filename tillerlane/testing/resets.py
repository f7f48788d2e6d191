"""Connections that end with a reset instead of a regular close."""

import asyncio
import socket
import struct

__all__ = ["reset"]

_NO_LINGER = struct.pack("ii", 1, 0)


def reset(transport: asyncio.WriteTransport | None) -> None:
    """Abort a connection such that the other end sees a reset.

    A connection that is merely aborted ends regularly, unless it has unread data.
    """
    if transport is None:
        return
    connection = transport.get_extra_info("socket")
    if connection is not None and connection.fileno() >= 0:
        connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _NO_LINGER)
    transport.abort()
