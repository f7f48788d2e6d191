"""Asking voters for their votes."""

import asyncio
import dataclasses
import enum
from collections.abc import Callable

from tillerlane.faults import core as faults
from tillerlane.keeper import commands
from tillerlane.peers import link as links
from tillerlane.peers import messages

__all__ = [
    "CALL_TIMEOUT_SECONDS",
    "GetLink",
    "VoteOutcome",
    "VoteRefusal",
    "VoteResult",
    "collect_votes",
    "request_vote",
]

CALL_TIMEOUT_SECONDS = 0.6
"""Longest wait for a keeper's answer: below the shortest election timeout (1 s)."""

GetLink = Callable[[str], links.Link | None]


class VoteRefusal(enum.StrEnum):
    """Why a voter refuses its vote."""

    LEADER_LIVES = "it hears a leader, or one may still hold a lease"
    SHORTER_LOG = "the candidate's log is shorter"
    OTHER_TERM = "it is in the term asked for, or a later one"
    VOTE_GIVEN = "it gave its vote of this term to another"


class VoteOutcome(enum.StrEnum):
    """What became of the question to one voter; a refusal's reason stands behind it."""

    GRANTED = "granted"
    REFUSED = "refused"
    OTHER_DISK = "granted by a disk that is not on record"
    NO_ANSWER = "no link or no answer"
    OPEN = "not awaited, the vote was decided"


@dataclasses.dataclass(frozen=True, slots=True)
class VoteResult:
    """How a vote ended; `later_term` is that of a voter in a later one, 0 without.

    Attributes
    ----------
    verdicts : dict
        Voter's name to its `VoteOutcome`, for the log.
    """

    is_won: bool
    later_term: int = 0
    verdicts: dict[str, str] = dataclasses.field(default_factory=dict, compare=False)


async def request_vote(
    get_link: GetLink, address: str, request: messages.VoteRequest
) -> messages.VoteReply | None:
    """Ask one keeper; None if it did not answer."""
    link = get_link(address)
    if link is None:
        return None
    try:
        reply = await link.call(request, CALL_TIMEOUT_SECONDS)
    except (links.LinkLost, faults.FaultError):
        return None
    return reply if isinstance(reply, messages.VoteReply) else None


async def collect_votes(
    get_link: GetLink,
    request: messages.VoteRequest,
    others: dict[str, commands.Voter],
    needed: int,
) -> VoteResult:
    """Ask all other voters until `needed` votes, the own one included, are granted.

    Only the vote of the disk that the log has on record for a voter counts.  A later term ends
    the vote.  A pre-vote goes on, since others may grant it; one that is not won tells the later
    term too.  A voter that once stood in vain keeps its later term for good; if its log is the
    shorter one it can't lead, and it refuses all who ask in earlier terms: where its vote is
    needed, nobody would ever lead unless they learn that term.
    """
    calls = {
        asyncio.create_task(request_vote(get_link, voter.address, request)): name
        for name, voter in others.items()
    }
    verdicts: dict[str, str] = dict.fromkeys(others, VoteOutcome.OPEN.value)
    latest_term = 0
    granted = 1
    pending = set(calls)
    try:
        while granted < needed and pending:
            done, pending = await asyncio.wait(pending, return_when=asyncio.FIRST_COMPLETED)
            for call in done:
                reply = call.result()
                name = calls[call]
                verdicts[name] = _classify_reply(reply, others[name])
                if reply is None:
                    continue
                if reply.term > request.term and not request.pre:
                    return VoteResult(False, reply.term, verdicts)
                latest_term = max(latest_term, reply.term)
                granted += verdicts[name] == VoteOutcome.GRANTED
    finally:
        for call in pending:
            call.cancel()
    is_won = granted >= needed
    return VoteResult(is_won, 0 if is_won else latest_term, verdicts)


def _classify_reply(reply: messages.VoteReply | None, voter: commands.Voter) -> str:
    """What a voter's answer is worth, in words."""
    if reply is None:
        return VoteOutcome.NO_ANSWER.value
    if not reply.granted:
        return f"{VoteOutcome.REFUSED}: {reply.reason}, term {reply.term}"
    if reply.disk_id != voter.disk_id:
        return VoteOutcome.OTHER_DISK.value
    return VoteOutcome.GRANTED.value
