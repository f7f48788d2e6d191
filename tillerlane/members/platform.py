"""The platform's lagging list of hosts, read from a file or over HTTP.

The list is JSON: ``{"hosts": {"NAME": "live" | "leaving"}}``, where a name is a daemon id.  Old
or wrong lists do no harm: a listed daemon gets no new work while it is listed as leaving, what
runs is finished, and a list that cannot be read changes nothing.
"""

import asyncio
import json
import pathlib
from collections.abc import Callable

import httpx

from tillerlane.members import view as views

__all__ = ["parse_list", "poll_list"]

READ_SECONDS = 0.5
MAX_LIST_BYTES = 4 * 1024 * 1024


def parse_list(text: str) -> set[str]:
    """Names that the list calls leaving.

    Raises
    ------
    ValueError
        If it is no such list.
    """
    values = json.loads(text)
    hosts = values.get("hosts") if isinstance(values, dict) else None
    if not isinstance(hosts, dict):
        raise ValueError('expected {"hosts": {NAME: "live" or "leaving"}}')
    return {name for name, state in hosts.items() if state == "leaving"}


async def _read(source: str, client: httpx.AsyncClient) -> str:
    if source.startswith(("http://", "https://")):
        answer = await client.get(source)
        answer.raise_for_status()
        return answer.text
    return await asyncio.to_thread(_read_file, pathlib.Path(source))


def _read_file(path: pathlib.Path) -> str:
    if path.stat().st_size > MAX_LIST_BYTES:
        raise ValueError(f"list of more than {MAX_LIST_BYTES} bytes")
    return path.read_text()


async def poll_list(
    source: str, view: views.MemberView, on_list: Callable[[set[str]], None]
) -> None:
    """Read the list for ever; `on_list` gets the leaving names each time they change."""
    last: set[str] | None = None
    async with httpx.AsyncClient(timeout=2.0, trust_env=False) as client:
        while True:
            try:
                leaving = parse_list(await _read(source, client))
                if leaving != last:
                    last = leaving
                    view.set_platform_leaving(leaving)
                    on_list(leaving)
            except (OSError, ValueError, httpx.HTTPError):
                pass
            await asyncio.sleep(READ_SECONDS)
