"""Asks other daemons for the origin of a stream."""

import asyncio

from tillerlane.faults import core as faults
from tillerlane.gateway.origins import table
from tillerlane.peers import link as links
from tillerlane.peers import messages

__all__ = ["ask"]


async def ask(
    peers: list[links.Link], query: messages.OriginQuery, timeout: float
) -> tuple[table.Origin | None, int]:
    """Ask several daemons for a stream's origin; the first that knows it is enough.

    Returns
    -------
    origin : table.Origin or None
        None if none of those that answered within `timeout` (seconds) knows it.
    answers : int
        Number of answers, without those of keepers that reach no majority of the keepers.
    """
    now = asyncio.get_running_loop().time()
    calls = [asyncio.ensure_future(link.call(query, timeout)) for link in peers]
    answers = 0
    try:
        for call in asyncio.as_completed(calls):
            try:
                reply = await call
            except (links.LinkLost, faults.FaultError):
                continue  # the number of answers is logged with the result
            if not isinstance(reply, messages.OriginReply):
                continue
            answers += not reply.is_alone
            if reply.known:
                origin = table.build_origin(
                    reply.pool, reply.software_version, reply.attempt, reply.left_ms, now
                )
                return origin, answers
        return None, answers
    finally:
        for pending in calls:
            pending.cancel()
        await asyncio.gather(*calls, return_exceptions=True)
