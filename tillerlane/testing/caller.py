"""A caller of the gateway that uses the platform's protocol."""

import asyncio
import dataclasses

from tillerlane.gateway.http import http_client, http_head
from tillerlane.gateway.quarantine import fingerprints

__all__ = ["HOST", "KEY", "WORKSPACE", "CallerResponse", "call", "compute_fingerprint"]

KEY = "key-of-workspace-a"
WORKSPACE = "workspace-a"
"""Workspace that the key belongs to."""
HOST = "shop.example"
CONNECT_TIMEOUT_SECONDS = 5.0
MAX_KEPT_BYTES = 1024 * 1024
"""Number of bytes of a body beyond which further ones are read and not kept."""
_kept_open: set[asyncio.Task[None]] = set()
"""Tasks that read on from connections that their callers have given up."""


@dataclasses.dataclass(slots=True)
class CallerResponse:
    """The response that a caller received.

    Attributes
    ----------
    status : int
        HTTP status; 0 without a response.
    is_whole : bool
        Whether the response was complete.
    seconds : float
        Time from the start of the connection to the end of the response.
    connected_at : float
        Event-loop time at which the connection was established.
    is_invalid : bool
        Whether the caller received bytes that form no response, such as a status of 000.
    """

    status: int = 0
    headers: dict[str, str] = dataclasses.field(default_factory=dict)
    body: bytes = b""
    is_whole: bool = False
    seconds: float = 0.0
    connected_at: float = 0.0
    is_invalid: bool = False


async def call(
    address: str,
    route: str,
    request_id: str,
    *,
    method: bytes = b"POST",
    body: bytes = b"body",
    wait_ms: int = 10_000,
    leave_after: float | None = None,
    keeps_connection: bool = False,
    **headers: str,
) -> CallerResponse:
    """Send a request to an entry and read the response to its end.

    With `leave_after`, the caller disconnects after that many seconds; with `keeps_connection`, it
    leaves the connection open and ignores what still arrives there.
    """
    fields = {
        "Host": HOST,
        "Request-Id": request_id,
        "Deadline-Ms": str(wait_ms),
        "Credential": KEY,
        **{name.replace("_", "-"): value for name, value in headers.items()},
    }
    head = http_head.RequestHead(
        method,
        _format_path(route),
        [(name.encode(), value.encode()) for name, value in fields.items()],
    )
    loop = asyncio.get_running_loop()
    began = loop.time()
    response = CallerResponse()
    exchange = await http_client.connect(address, CONNECT_TIMEOUT_SECONDS)
    response.connected_at = loop.time()
    exchange.send(head, body)
    is_kept = False
    try:
        async with asyncio.timeout(leave_after):
            received = await exchange.read_head()
            response.status = received.status
            response.headers = {
                name.decode().lower(): value.decode() for name, value in received.headers
            }
            while (chunk := await exchange.read_chunk()) is not None:
                if len(response.body) < MAX_KEPT_BYTES:
                    response.body += chunk
            response.is_whole = True
    except http_client.ExchangeError:
        response.is_invalid = exchange.is_invalid
    except TimeoutError:
        is_kept = keeps_connection
    finally:
        if is_kept:
            task = loop.create_task(_ignore(exchange))
            _kept_open.add(task)
            task.add_done_callback(_kept_open.discard)
        else:
            exchange.abort()
    response.seconds = loop.time() - began
    return response


async def _ignore(exchange: http_client.Exchange) -> None:
    """Read and ignore the rest of a response."""
    try:
        await exchange.read_head()
        while await exchange.read_chunk() is not None:
            pass
    except http_client.ExchangeError:
        pass
    finally:
        exchange.abort()


def _format_path(route: str) -> bytes:
    return f"/{route}/x?q=1".encode()


def compute_fingerprint(route: str, body: bytes) -> str:
    """Compute the fingerprint that entries assign to a request sent by `call`."""
    head = http_head.RequestHead(b"POST", _format_path(route), [(b"Host", HOST.encode())])
    return fingerprints.compute(head, body, WORKSPACE)
