"""The platform's list of hosts, which may be out of date, read from a file or over HTTP.

The list is JSON: ``{"hosts": {"NAME": "live" | "leaving"}}``, where a name is a daemon id.  A stale
or wrong list is harmless: a daemon listed as leaving gets no new work while it is listed, its runs
are finished, and a list that can't be read changes nothing.
"""

import asyncio
import json
import pathlib
from collections.abc import Callable

import httpx

from tillerlane.members import view as views

__all__ = ["parse_list", "poll_list"]

POLL_INTERVAL_SECONDS = 0.5
MAX_LIST_BYTES = 4 * 1024 * 1024
MAX_ERROR_CHARACTERS = 200


def parse_list(text: str) -> set[str]:
    """Return the names that the list marks as leaving.

    Raises
    ------
    ValueError
        If the text is not such a list.
    """
    values = json.loads(text)
    hosts = values.get("hosts") if isinstance(values, dict) else None
    if not isinstance(hosts, dict):
        raise ValueError('expected {"hosts": {NAME: "live" or "leaving"}}')
    return {name for name, state in hosts.items() if state == "leaving"}


async def _read(source: str, client: httpx.AsyncClient) -> str:
    if source.startswith(("http://", "https://")):
        return await _download(source, client)
    return await asyncio.to_thread(_read_file, pathlib.Path(source))


async def _download(url: str, client: httpx.AsyncClient) -> str:
    data = bytearray()
    async with client.stream("GET", url) as response:
        response.raise_for_status()
        async for part in response.aiter_bytes():
            data += part
            if len(data) > MAX_LIST_BYTES:
                raise ValueError(f"host list larger than {MAX_LIST_BYTES} bytes")
    return data.decode()


def _read_file(path: pathlib.Path) -> str:
    if path.stat().st_size > MAX_LIST_BYTES:
        raise ValueError(f"host list larger than {MAX_LIST_BYTES} bytes")
    return path.read_text()


async def poll_list(
    source: str,
    view: views.MemberView,
    on_list: Callable[[set[str]], None],
    on_error: Callable[[str], None] = lambda reason: None,
) -> None:
    """Poll the list until cancelled.

    `on_list` gets the leaving names whenever they change.  `on_error` gets the reason when the list
    can't be read, once for each reason in a row, and an empty text when it is readable again.
    """
    last: set[str] | None = None
    last_error = ""
    async with httpx.AsyncClient(timeout=2.0, trust_env=False) as client:
        while True:
            try:
                leaving = parse_list(await _read(source, client))
                if leaving != last:
                    last = leaving
                    view.set_platform_leaving(leaving)
                    on_list(leaving)
                error_text = ""
            except (OSError, ValueError, httpx.HTTPError) as error:
                error_text = f"{type(error).__name__}: {error}"[:MAX_ERROR_CHARACTERS]
            if error_text != last_error:
                last_error = error_text
                on_error(error_text)
            await asyncio.sleep(POLL_INTERVAL_SECONDS)
