"""The daemon's HTTP listener: one application for callers and operators, one error format."""

import asyncio
import contextlib
import functools
from collections.abc import Iterator
from typing import Any

import litestar
import uvicorn
from litestar import exceptions

from tillerlane.daemon import core as daemons
from tillerlane.daemon import protocol, tls
from tillerlane.decisions import eviction
from tillerlane.entry import api as entry_api
from tillerlane.faults import core as faults
from tillerlane.faults import kinds
from tillerlane.gateway import memory
from tillerlane.gateway.http import listeners
from tillerlane.operators import api as operators_api
from tillerlane.peers import node as nodes

__all__ = ["Listener", "build_app"]

_KIND_BY_STATUS = {
    401: kinds.ErrorKind.UNAUTHENTICATED,
    403: kinds.ErrorKind.FORBIDDEN,
    404: kinds.ErrorKind.NOT_FOUND,
    413: kinds.ErrorKind.TOO_LARGE,
}
KEEP_ALIVE_SECONDS = 30
MEMORY_SHARE = 1 / 3
"""Part of the daemon's memory for what clients send."""
OWN_DESCRIPTORS = eviction.FILE_DESCRIPTORS + eviction.RESERVED_DESCRIPTORS
MIN_RETRY_AFTER_SECONDS = 1
MAX_BODY_BYTES = 32 * 1024 * 1024


def build_fault_response(fault: faults.Fault) -> litestar.Response[dict[str, Any]]:
    """Build the response for a fault."""
    headers = {"x-tillerlane-ran": fault.ran.value}
    if fault.retry_after is not None:
        headers["retry-after"] = str(max(MIN_RETRY_AFTER_SECONDS, round(fault.retry_after)))
    return litestar.Response(fault.to_json(), status_code=fault.response.status, headers=headers)


def build_app(daemon: daemons.Daemon) -> litestar.Litestar:
    """Build the application of one daemon."""
    handlers = operators_api.build_handlers(daemon)
    if daemon.callers is not None:
        handlers += entry_api.build_handlers(daemon.callers)

    def handle_fault(request: Any, error: faults.FaultError) -> litestar.Response[Any]:
        return build_fault_response(error.fault)

    def handle_http_error(request: Any, error: exceptions.HTTPException) -> litestar.Response[Any]:
        kind = _KIND_BY_STATUS.get(error.status_code, kinds.ErrorKind.BAD_REQUEST)
        if error.status_code >= 500:
            return build_fault_response(daemon.record_internal_error(error))
        return build_fault_response(faults.new_fault(kind, f"{error.status_code}: {error.detail}"))

    def handle_other_error(request: Any, error: Exception) -> litestar.Response[Any]:
        return build_fault_response(daemon.record_internal_error(error))

    return litestar.Litestar(
        handlers,
        exception_handlers={
            faults.FaultError: handle_fault,
            exceptions.HTTPException: handle_http_error,
            Exception: handle_other_error,
        },
        openapi_config=None,
        logging_config=None,
        request_max_body_size=MAX_BODY_BYTES,
    )


def _build_bounds(daemon: daemons.Daemon) -> tuple[listeners.Registry, memory.Budget]:
    """Bounds on connections and on what they hold, from the daemon's settings."""
    own = daemon.settings
    budget = memory.Budget(int(own.memory_bytes * MEMORY_SHARE), lambda head: ("", ""))

    def record_event(name: str, **fields: Any) -> None:
        daemon.timeline.record(name, **fields)
        daemon.metrics.gauge("refused_requests", budget.refused)
        daemon.metrics.gauge("evicted_connections", budget.evicted)

    budget.record_event = record_event
    connections = own.max_connections
    descriptors = listeners.find_descriptor_limit(setting=0)
    if descriptors:
        available = max(eviction.MIN_CONNECTIONS, descriptors - OWN_DESCRIPTORS)
        connections = min(connections, available)
    daemon.timeline.record("connections.bound", descriptors=descriptors, connections=connections)
    unread_bytes = int(budget.limit * listeners.UNREAD_SHARE)
    bounds = listeners.ConnectionBounds(connections, unread_bytes)
    return listeners.Registry(bounds, budget), budget


class _Server(uvicorn.Server):
    """A uvicorn server that leaves signals to the daemon."""

    @contextlib.contextmanager
    def capture_signals(self) -> Iterator[None]:
        yield


class Listener:
    """The HTTP listener of a daemon.

    Parameters
    ----------
    daemon : daemons.Daemon
        The daemon that it serves.
    """

    def __init__(self, daemon: daemons.Daemon) -> None:
        own = daemon.settings
        host, port = nodes.split_address(own.http_address)
        extra: dict[str, Any] = {}
        if own.tls is not None and own.tls.for_callers:
            extra = {"ssl_certfile": own.tls.certificate, "ssl_keyfile": own.tls.private_key}
        self._registry, budget = _build_bounds(daemon)
        config = uvicorn.Config(
            build_app(daemon),
            host=host,
            port=port,
            http=functools.partial(  # type: ignore[arg-type]
                protocol.BoundedProtocol, registry=self._registry, budget=budget
            ),
            ws="none",
            lifespan="off",
            log_config=None,
            access_log=False,
            server_header=False,
            backlog=listeners.ACCEPT_BATCH,
            timeout_keep_alive=KEEP_ALIVE_SECONDS,
            timeout_graceful_shutdown=2,
            **extra,
        )
        self._server = _Server(config)
        self._tls = own.tls
        self._config = config
        self._task: asyncio.Task[None] | None = None

    async def start(self) -> None:
        """Start listening.

        Raises
        ------
        OSError
            If it cannot listen at the address.
        """
        self._task = asyncio.create_task(self._server.serve())
        while not self._server.started:
            if self._task.done():
                await self._task
                raise OSError("the HTTP listener did not start")
            await asyncio.sleep(0.01)
        for server in self._server.servers:
            listeners.extend_queue(server)
            self._registry.server = server
        self._registry.limit_receive_buffers()

    def reload_tls(self) -> None:
        """Reload the certificate."""
        if self._config.ssl is not None:
            tls.reload_contexts(self._tls, self._config.ssl)

    async def stop(self) -> None:
        """Stop listening and close the remaining connections."""
        self._server.should_exit = True
        if self._task is not None:
            await self._task
