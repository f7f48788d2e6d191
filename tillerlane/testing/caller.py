"""A caller of the gateway, as the platform's callers speak."""

import asyncio
import dataclasses

from tillerlane.gateway import fingerprints, http_client, http_head

__all__ = ["HOST", "KEY", "WORKSPACE", "CallerResponse", "call", "compute_fingerprint"]

KEY = "key-of-workspace-a"
WORKSPACE = "workspace-a"
"""The one that has the key."""
HOST = "shop.example"
CONNECT_SECONDS = 5.0


@dataclasses.dataclass(slots=True)
class CallerResponse:
    """What a caller got.

    Attributes
    ----------
    status : int
        0 without an answer.
    is_whole : bool
        Whether the answer ended as one that is.
    seconds : float
        From before the connection to the end.
    """

    status: int = 0
    headers: dict[str, str] = dataclasses.field(default_factory=dict)
    body: bytes = b""
    is_whole: bool = False
    seconds: float = 0.0


async def call(
    address: str,
    route: str,
    request_id: str,
    *,
    method: bytes = b"POST",
    body: bytes = b"body",
    wait_ms: int = 10_000,
    leave_after: float | None = None,
    **headers: str,
) -> CallerResponse:
    """Send a request to an entry and read its answer to the end."""
    found = {
        "Host": HOST,
        "Request-Id": request_id,
        "Deadline-Ms": str(wait_ms),
        "Credential": KEY,
        **{name.replace("_", "-"): value for name, value in headers.items()},
    }
    head = http_head.RequestHead(
        method,
        _write_target(route),
        [(name.encode(), value.encode()) for name, value in found.items()],
    )
    loop = asyncio.get_running_loop()
    began = loop.time()
    answer = CallerResponse()
    exchange = await http_client.connect(address, CONNECT_SECONDS)
    exchange.send(head, body)
    try:
        async with asyncio.timeout(leave_after):
            got = await exchange.read_head()
            answer.status = got.status
            answer.headers = {name.decode().lower(): value.decode() for name, value in got.headers}
            while (chunk := await exchange.read_chunk()) is not None:
                answer.body += chunk
            answer.is_whole = True
    except (http_client.ExchangeError, TimeoutError):
        pass
    finally:
        exchange.abort()
    answer.seconds = loop.time() - began
    return answer


def _write_target(route: str) -> bytes:
    return f"/{route}/x?q=1".encode()


def compute_fingerprint(route: str, body: bytes) -> str:
    """The fingerprint that entries give a request of `call`."""
    head = http_head.RequestHead(b"POST", _write_target(route), [(b"Host", HOST.encode())])
    return fingerprints.compute(head, body, WORKSPACE)
