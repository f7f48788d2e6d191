"""HTTP server for callers: limits requests, and sends responses as the handler writes them.

One task per connection serves its requests in order.  `httptools` parses; an application server
would rewrite headers, decide by itself how a broken response ends, and need three times the memory
of an entry (docs/DEVELOPERS.md).
"""

import asyncio
import socket
from collections.abc import Callable

from tillerlane.gateway import memory
from tillerlane.gateway.http import http_connection, listeners
from tillerlane.peers import node as nodes

__all__ = ["Handler", "Request", "Responder", "Server", "ServerLimits"]

Handler = http_connection.Handler
Request = http_connection.Request
Responder = http_connection.Responder
ServerLimits = http_connection.ServerLimits


class Server:
    """A listening socket and its connections.

    Parameters
    ----------
    serve : callable
        Coroutine function called with (request, responder) for each request.
    limits : ServerLimits
        Limits on requests.
    on_error : callable
        Called with exceptions that the handler raised, and errors of accepting connections.
    budget : memory.Budget, optional
        Memory that connections, requests and answers may take; unbounded without one.
    bounds : listeners.ConnectionBounds
        Bounds on connections.
    """

    def __init__(
        self,
        serve: Handler,
        limits: ServerLimits,
        on_error: Callable[[Exception], None],
        budget: memory.Budget | None = None,
        bounds: listeners.ConnectionBounds = listeners.NO_BOUNDS,
    ) -> None:
        self.memory = budget
        self.registry = listeners.Registry(bounds, budget)
        self.serve = serve
        self.limits = limits
        self.on_error = on_error
        self.connections: set[http_connection.Connection] = self.registry.connections
        self.receiving: set[http_connection.Connection] = set()
        """Connections whose request is incomplete."""
        self.accepts_connection: Callable[[], bool] = lambda: True
        """Whether a new connection is served; otherwise it is closed unread."""
        self.is_stopping = False
        """Whether only connections that waited already are accepted; these are always served."""
        self.is_closing = False
        """Whether connections are closed as soon as they are idle."""
        self._server: asyncio.Server | None = None
        self._listener: socket.socket | None = None
        self._accepted: set[asyncio.Task[object]] = set()

    async def listen(self, address: str, listener: socket.socket | None = None) -> None:
        """Accept connections at ``IP:port``, or on a socket that already listens."""
        self._listener = listener
        target = nodes.split_address(address) if listener is None else ("", 0)
        self._server = await listeners.listen(
            lambda: http_connection.Connection(self), target, listener
        )
        self.registry.server = self._server
        self.registry.limit_receive_buffers()

    def admit_connection(self) -> bool:
        """Whether a new connection is served; otherwise it is closed unread."""
        return self.accepts_connection() and self.registry.admit()

    def stop_accepting(self) -> None:
        """Accept only the connections that already wait in the listener's queue."""
        self.is_stopping = True
        if self._listener is not None:
            self._accept_queued(self._listener)
        if self._server is not None:
            self._server.close()

    def _accept_queued(self, listener: socket.socket) -> None:
        """Accept queued connections, which closing the listener would reset."""
        loop = asyncio.get_running_loop()
        while True:
            try:
                caller_socket, _ = listener.accept()
            except BlockingIOError:
                return  # the queue is empty
            except OSError as error:
                self.on_error(error)
                return
            caller_socket.setblocking(False)
            connecting = loop.connect_accepted_socket(
                lambda: http_connection.Connection(self), caller_socket
            )
            task = loop.create_task(connecting)
            self._accepted.add(task)
            task.add_done_callback(self._accepted.discard)

    def close_idle(self) -> None:
        """Close every connection as soon as it is idle."""
        self.is_closing = True
        for connection in list(self.connections):
            connection.close_if_idle()

    def refuse_incomplete(self, retry_after: float) -> None:
        """Refuse the requests that are still being received, of which nothing was passed on."""
        for connection in list(self.receiving):
            connection.refuse_incomplete(retry_after)

    def count_busy(self) -> int:
        """Number of connections whose request is being received or served, or may be on its way."""
        busy_connections = sum(
            not item.is_idle or item.is_first_request_pending for item in self.connections
        )
        return busy_connections + len(self._accepted)

    def abort_all(self) -> None:
        """Abort all connections."""
        for connection in list(self.connections):
            connection.abort()
