"""Asking voters for their votes."""

import asyncio
import dataclasses
from collections.abc import Callable

from tillerlane.faults import core as faults
from tillerlane.keeper import commands
from tillerlane.peers import link as links
from tillerlane.peers import messages

__all__ = ["CALL_SECONDS", "Ballot", "GetLink", "ask", "collect"]

CALL_SECONDS = 0.6
"""Longest wait for a keeper's answer: below the shortest election timeout (1 s)."""

GetLink = Callable[[str], links.Link | None]


@dataclasses.dataclass(frozen=True, slots=True)
class Ballot:
    """How a vote ended; `later_term` is that of a voter in a later one, 0 without."""

    is_won: bool
    later_term: int = 0


async def ask(
    get_link: GetLink, address: str, request: messages.VoteRequest
) -> messages.VoteReply | None:
    """Ask one keeper; None if it did not answer."""
    link = get_link(address)
    if link is None:
        return None
    try:
        reply = await link.call(request, CALL_SECONDS)
    except (links.LinkLost, faults.FaultError):
        return None
    return reply if isinstance(reply, messages.VoteReply) else None


async def collect(
    get_link: GetLink, request: messages.VoteRequest, others: list[commands.Voter], needed: int
) -> Ballot:
    """Ask all other voters until `needed` votes, the own one included, are granted.

    Only the vote of the disk that the log has on record for a voter counts.  A later term ends
    the vote, but for a pre-vote, which changes nothing.
    """
    calls = {asyncio.create_task(ask(get_link, voter.address, request)): voter for voter in others}
    granted = 1
    pending = set(calls)
    try:
        while granted < needed and pending:
            done, pending = await asyncio.wait(pending, return_when=asyncio.FIRST_COMPLETED)
            for call in done:
                reply = call.result()
                if reply is None:
                    continue
                if reply.term > request.term and not request.pre:
                    return Ballot(False, reply.term)
                if reply.granted and reply.disk_id == calls[call].disk_id:
                    granted += 1
    finally:
        for call in pending:
            call.cancel()
    return Ballot(granted >= needed)
