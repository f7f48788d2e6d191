"""The platform's calls to a keeper: heartbeats of targets, and the operator's documents."""

import asyncio
import urllib.parse

from tillerlane.faults import core as faults
from tillerlane.gateway import control
from tillerlane.gateway import directory as directories
from tillerlane.gateway.http import http_head, http_server
from tillerlane.gateway.incarnation import ids as incarnations
from tillerlane.platform import wire

__all__ = ["build_server"]

COMMIT_TIMEOUT_SECONDS = 0.9
"""Callers try another keeper after a second without an answer."""
MAX_BODY_BYTES = 32 * 1024 * 1024
BODY_COPIES = 3
"""A configuration is held as received, as parsed and as published."""
IDLE_TIMEOUT_SECONDS = 30.0
_PHASES = {"ready": directories.Phase.READY, "draining": directories.Phase.DRAINING}
_JSON = [(b"Content-Type", b"application/json")]


def build_server(keeper: control.Control) -> http_server.Server:
    """The server for heartbeats and operators."""

    async def serve(request: http_server.Request, responder: http_server.Responder) -> None:
        started_at = asyncio.get_running_loop().time()
        try:
            status, body = await _answer(keeper, request)
        except faults.FaultError as error:
            fault = error.fault
            status, body = fault.response.status, b""
            keeper.timeline.record(
                "control.refuse",
                path=request.head.path.decode("latin-1"),
                status=status,
                reason=fault.message[:300],
            )
        call = request.head.path.decode("latin-1").split("/")[1][:40]
        if status != 404:
            seconds = asyncio.get_running_loop().time() - started_at
            keeper.metrics.seconds.labels(call).observe(seconds)
            keeper.metrics.calls.labels(call, str(status)).inc()
        headers = list(_JSON) if body else []
        await responder.send_response(http_head.ResponseHead(status, headers), body)

    max_body = MAX_BODY_BYTES
    if keeper.memory is not None:
        # A larger one would be refused for lack of memory each time.
        max_body = min(max_body, keeper.memory.compute_max_body(BODY_COPIES))
    limits = http_server.ServerLimits(
        body_bytes=max_body, idle_seconds=IDLE_TIMEOUT_SECONDS, body_copies=BODY_COPIES
    )

    def log_error(error: Exception) -> None:
        keeper.timeline.record("internal.error", error=repr(error)[:200])

    server = http_server.Server(serve, limits, log_error, keeper.memory, keeper.connection_bounds)
    keeper.metrics.refused_connections.set_function(lambda: server.registry.refused)
    return server


async def _answer(keeper: control.Control, request: http_server.Request) -> tuple[int, bytes]:
    path = request.head.path.decode("latin-1")
    name, _, argument = path.removeprefix("/").partition("/")
    argument = urllib.parse.unquote(argument)
    match request.head.method, name:
        case b"POST", "Instances.Heartbeat" if argument:
            heartbeat = wire.decode_heartbeat(request.body)
            _handle_heartbeat(keeper, wire.check_target_name(argument), heartbeat)
            return 200, b"{}"
        case b"POST", "Instances.Leave" if argument:
            keeper.handle_leave(argument, wire.decode_leave(request.body).born)
            return 200, b"{}"
        case b"POST", "Config.Put":
            return await _publish(keeper, request.body)
        case b"POST", "Evacuate.Start" | "Evacuate.End" if argument:
            return await _evacuate(keeper, argument, name == "Evacuate.Start")
        case b"GET", "Config.Get":
            return 200, keeper.operators.get_publication()
    return 404, b""


def _handle_heartbeat(keeper: control.Control, name: str, heartbeat: wire.Heartbeat) -> None:
    now = asyncio.get_running_loop().time()
    target = directories.Target(
        target_id=incarnations.build_id(name, heartbeat.born),
        pool=heartbeat.service,
        address=heartbeat.addr,
        data_hall=heartbeat.zone,
        slots=heartbeat.slots,
        phase=_PHASES[heartbeat.state],
        sequence=heartbeat.seq,
        heard_at=now,
        warm_at=now + heartbeat.cold_left_ms / 1000 if heartbeat.cold_left_ms > 0 else 0.0,
        software_version=heartbeat.version,
    )
    keeper.handle_heartbeat(target)


async def _evacuate(keeper: control.Control, data_hall: str, evacuated: bool) -> tuple[int, bytes]:
    try:
        async with asyncio.timeout(COMMIT_TIMEOUT_SECONDS):
            await keeper.operators.evacuate(data_hall, evacuated)
    except TimeoutError:
        keeper.timeline.record("evacuation.undecided", data_hall=data_hall, evacuated=evacuated)
        return 503, b""
    return 200, b""


async def _publish(keeper: control.Control, document: bytes) -> tuple[int, bytes]:
    try:
        table = wire.check_document(document)
    except faults.FaultError as error:
        keeper.timeline.record("config.refused", reason=error.fault.message[:300])
        return 400, b""
    try:
        async with asyncio.timeout(COMMIT_TIMEOUT_SECONDS):
            await keeper.operators.publish(table.version, document)
    except TimeoutError:
        keeper.timeline.record("config.undecided", version=table.version)
        return 503, b""
    return 200, b"{}"
