"""Adapter for runners that speak HTTP with server-sent events.

Every function opens its own request; streams end with `core.Finish` or raise.
"""

import contextlib
import json
from collections.abc import AsyncIterator
from typing import Any

import httpx
import msgspec

from tillerlane.runners import core

__all__ = ["connect"]

CONNECT_SECONDS = 2.0
CALL_SECONDS = 5.0
MAX_EVENT_BYTES = 1024 * 1024


class _Event(msgspec.Struct):
    """One event of a generation's stream: tokens, or its end."""

    offset: int = 0
    texts: list[str] = []
    end: str = ""
    tokens: int = 0


_decode_event = msgspec.json.Decoder(_Event).decode


async def read_events(chunks: AsyncIterator[bytes]) -> AsyncIterator[bytes]:
    """Split a server-sent event stream into the data of its events."""
    rest = b""
    async for chunk in chunks:
        rest += chunk
        *events, rest = rest.split(b"\n\n")
        if len(rest) > MAX_EVENT_BYTES:
            raise core.TargetBroken(f"event of more than {MAX_EVENT_BYTES} bytes", reached=True)
        for event in events:
            if event.startswith(b"data: "):
                yield event[6:]


async def _read_stream(answer: httpx.Response) -> AsyncIterator[core.Chunk | core.Finish]:
    async for data in read_events(answer.aiter_raw()):
        event = _decode_event(data)
        if event.end:
            yield core.Finish(event.end, event.tokens)
            return
        yield core.Chunk(event.offset, event.texts)
    raise core.TargetBroken("stream broke off without an end", reached=True)


def connect(base_url: str) -> core.RunnerClient:
    """Functions of the runner at `base_url`."""
    timeout = httpx.Timeout(CALL_SECONDS, connect=CONNECT_SECONDS)
    limits = httpx.Limits(max_connections=None, max_keepalive_connections=64)
    client = httpx.AsyncClient(base_url=base_url, timeout=timeout, limits=limits, trust_env=False)
    no_read_limit = httpx.Timeout(CALL_SECONDS, connect=CONNECT_SECONDS, read=None)

    @contextlib.asynccontextmanager
    async def open_stream(method: str, path: str, **extra: Any) -> AsyncIterator[httpx.Response]:
        try:
            async with client.stream(method, path, timeout=no_read_limit, **extra) as answer:
                if answer.status_code == 404:
                    raise core.UnknownGeneration(path)
                if answer.status_code != 200:
                    message = f"{method} {path}: got status {answer.status_code}, expected 200"
                    raise core.TargetBroken(message, reached=True)
                yield answer
        except (httpx.ConnectError, httpx.ConnectTimeout, httpx.PoolTimeout) as error:
            raise core.TargetBroken(f"cannot connect: {error!r}", reached=False) from error
        except (httpx.HTTPError, msgspec.MsgspecError) as error:
            raise core.TargetBroken(f"broke off: {error!r}", reached=True) from error

    async def call(method: str, path: str, **extra: Any) -> httpx.Response:
        try:
            return await client.request(method, path, **extra)
        except (httpx.ConnectError, httpx.ConnectTimeout) as error:
            raise core.TargetBroken(f"cannot connect: {error!r}", reached=False) from error
        except httpx.HTTPError as error:
            raise core.TargetBroken(f"{method} {path}: {error!r}", reached=True) from error

    async def start(job: core.Job) -> AsyncIterator[core.Chunk | core.Finish]:
        body = {
            "id": job.generation_id,
            "owner": job.owner,
            "model": job.model,
            "prompt": job.payload.decode(),
            "prompt_tokens": job.prompt_tokens,
            "max_tokens": job.max_tokens,
            "priority": job.priority,
            "prefix_hash": job.prefix_hash,
            "prefix_tokens": job.prefix_tokens,
        }
        async with open_stream("POST", "/v1/generations", json=body) as answer:
            async for item in _read_stream(answer):
                yield item

    async def resume(generation_id: str, offset: int) -> AsyncIterator[core.Chunk | core.Finish]:
        path = f"/v1/generations/{generation_id}"
        async with open_stream("GET", path, params={"offset": offset}) as answer:
            async for item in _read_stream(answer):
                yield item

    async def read_owner(generation_id: str) -> tuple[str, int]:
        async with open_stream("GET", f"/v1/generations/{generation_id}") as answer:
            headers = answer.headers
            return headers.get("x-owner", ""), int(headers.get("x-prompt-tokens", "0"))

    async def change(generation_id: str, verb: str) -> bool:
        answer = await call("POST", f"/v1/generations/{generation_id}/{verb}")
        return answer.status_code == 200 and bool(answer.json().get("done"))

    async def pause(generation_id: str) -> bool:
        return await change(generation_id, "pause")

    async def unpause(generation_id: str) -> bool:
        return await change(generation_id, "unpause")

    async def cancel(generation_id: str) -> bool | None:
        answer = await call("DELETE", f"/v1/generations/{generation_id}")
        return bool(answer.json()["started"]) if answer.status_code == 200 else None

    async def read_load() -> core.RunnerLoad:
        answer = await call("GET", "/v1/load")
        try:
            return msgspec.json.decode(answer.content, type=core.RunnerLoad)
        except msgspec.MsgspecError as error:
            raise core.TargetBroken(f"load report: {error}", reached=True) from error

    async def read_cache_events(after: int) -> AsyncIterator[core.CacheEvent]:
        async with open_stream("GET", "/v1/cache-events", params={"after": after}) as answer:
            async for data in read_events(answer.aiter_raw()):
                event = json.loads(data)
                yield core.CacheEvent(event["number"], event["what"] == "stored", event["prefix"])

    async def give_order(order: core.Order) -> list[str]:
        body = {"fence": list(order.fence), "action": order.action, "model": order.model}
        answer = await call("POST", "/v1/orders", json=body)
        if answer.status_code != 200:
            message = f"order refused with status {answer.status_code}"
            raise core.TargetBroken(message, reached=True)
        return list(answer.json()["models"])

    return core.RunnerClient(
        start=start,
        resume=resume,
        read_owner=read_owner,
        pause=pause,
        unpause=unpause,
        cancel=cancel,
        read_load=read_load,
        read_cache_events=read_cache_events,
        give_order=give_order,
        close=client.aclose,
    )
