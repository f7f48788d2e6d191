"""Adapter for plain services: an HTTP call is a stream of the response head and body chunks.

The first token is the head (status and headers) as JSON, the others are chunks of the body in
base64.  A started call cannot be resumed, since services have no generation ids.
"""

import asyncio
import base64
import contextlib
import json
from collections.abc import AsyncIterator

import httpx

from tillerlane.runners import core

__all__ = ["connect", "decode_call", "encode_call"]

CONNECT_TIMEOUT_SECONDS = 2.0
_STATUSES = range(100, 600)
"""Statuses of HTTP; a client takes any other for a server error (RFC 9110, 15)."""
_NO_BODY_STATUSES = frozenset({204, 304})
_FORWARDED_HEADERS = ("content-type", "accept", "accept-language", "idempotency-key")
_RETURNED_HEADERS = ("content-type", "location", "cache-control", "etag", "retry-after")


def encode_call(method: str, path: str, headers: dict[str, str], body: bytes) -> bytes:
    """Encode a call as the payload of a job; only headers that are safe to forward are kept."""
    forwarded = {name: headers[name] for name in _FORWARDED_HEADERS if name in headers}
    call = {
        "method": method,
        "path": path,
        "headers": forwarded,
        "body": base64.b64encode(body).decode(),
    }
    return json.dumps(call).encode()


def decode_call(payload: bytes) -> tuple[str, str, dict[str, str], bytes]:
    """Decode method, path, headers and body from a payload."""
    call = json.loads(payload)
    return call["method"], call["path"], call["headers"], base64.b64decode(call["body"])


def _ends_with_connection(method: str, response: httpx.Response) -> bool:
    """Whether a response has neither a length nor chunks."""
    if method == "HEAD" or response.status_code in _NO_BODY_STATUSES:
        return False
    headers = response.headers
    return "content-length" not in headers and "transfer-encoding" not in headers


async def _check_service(url: httpx.URL) -> None:
    """Check that a service accepts connections after it has closed one to end its response.

    The operating system closes the connections of a process that is killed, which would make a
    response that it cuts look complete.

    Raises
    ------
    core.TargetError
        If it does not.
    """
    port = url.port or {"http": 80, "https": 443}[url.scheme]
    try:
        async with asyncio.timeout(CONNECT_TIMEOUT_SECONDS):
            _, writer = await asyncio.open_connection(url.host, port)
    except (OSError, TimeoutError) as error:
        message = f"{url}: connection closed, and no new one is accepted: {error!r}"
        raise core.TargetError(message, reached=True) from error
    writer.close()
    with contextlib.suppress(OSError):
        await writer.wait_closed()  # its end says nothing more about the service


def connect(base_url: str) -> core.RunnerClient:
    """Build the client for the plain service at `base_url`."""
    timeout = httpx.Timeout(None, connect=CONNECT_TIMEOUT_SECONDS)
    client = httpx.AsyncClient(base_url=base_url, timeout=timeout, trust_env=False)

    async def start(job: core.Job) -> AsyncIterator[core.Chunk | core.Finish]:
        method, path, headers, body = decode_call(job.payload)
        count = 0
        try:
            async with client.stream(method, path, headers=headers, content=body) as response:
                if response.status_code not in _STATUSES:
                    message = f"{method} {path}: got status {response.status_code}"
                    raise core.TargetError(message, reached=True)
                returned = {
                    name: response.headers[name]
                    for name in _RETURNED_HEADERS
                    if name in response.headers
                }
                head = json.dumps({"status": response.status_code, "headers": returned})
                yield core.Chunk(0, [head])
                count = 1
                async for piece in response.aiter_raw():
                    yield core.Chunk(count, [base64.b64encode(piece).decode()])
                    count += 1
                if _ends_with_connection(method, response):
                    await _check_service(client.base_url)
        except (httpx.ConnectError, httpx.ConnectTimeout) as error:
            raise core.TargetError(f"cannot connect: {error!r}", reached=False) from error
        except httpx.HTTPError as error:
            raise core.TargetError(f"{method} {path}: {error!r}", reached=True) from error
        yield core.Finish("stop", count)

    async def resume(generation_id: str, offset: int) -> AsyncIterator[core.Chunk | core.Finish]:
        raise core.UnknownGeneration(generation_id)
        yield core.Finish("stop", offset)

    async def read_owner(generation_id: str) -> tuple[str, int]:
        raise core.UnknownGeneration(generation_id)

    async def refuse_change(generation_id: str) -> bool:
        return False

    async def cancel(generation_id: str) -> bool | None:
        return None

    async def read_load() -> core.RunnerLoad:
        raise core.TargetError("plain services report no load", reached=False)

    async def read_cache_events(after: int) -> AsyncIterator[core.CacheEvent]:
        raise core.TargetError("plain services have no prefix cache", reached=False)
        yield core.CacheEvent(0, False, 0)

    async def give_order(order: core.Order) -> list[str]:
        raise core.TargetError("plain services accept no orders", reached=False)

    return core.RunnerClient(
        start=start,
        resume=resume,
        read_owner=read_owner,
        pause=refuse_change,
        unpause=refuse_change,
        cancel=cancel,
        read_load=read_load,
        read_cache_events=read_cache_events,
        give_order=give_order,
        close=client.aclose,
    )
