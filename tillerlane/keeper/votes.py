"""Requests for votes, and the result of an election."""

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
"""Kept below the shortest election timeout (1 s)."""

GetLink = Callable[[str], links.Link | None]


class VoteRefusal(enum.StrEnum):
    """Reasons for which a voter refuses its vote."""

    LEADER_ALIVE = "it hears a leader, or one may still hold a lease"
    SHORTER_LOG = "the candidate's log is shorter"
    OTHER_TERM = "it is in the term asked for, or a later one"
    VOTE_GIVEN = "it gave its vote of this term to another"


class VoteOutcome(enum.StrEnum):
    """Outcome of the request to one voter; the reason is appended to a refusal."""

    GRANTED = "granted"
    REFUSED = "refused"
    OTHER_DISK = "granted by a disk that is not on record"
    NO_REPLY = "no link or no answer"
    NOT_AWAITED = "not awaited, the vote was decided"


@dataclasses.dataclass(frozen=True, slots=True)
class VoteResult:
    """Result of an election or a pre-vote.

    Attributes
    ----------
    is_won : bool
        Whether a quorum granted its votes.
    later_term : int
        Latest term that a voter replied with; 0 if the vote was won.
    verdicts : dict
        Voter name to `VoteOutcome`, for the log.
    """

    is_won: bool
    later_term: int = 0
    verdicts: dict[str, str] = dataclasses.field(default_factory=dict, compare=False)


async def request_vote(
    get_link: GetLink, address: str, request: messages.VoteRequest
) -> messages.VoteReply | None:
    """Request the vote of one keeper; None if it does not reply."""
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
    """Request the votes of `others` until `needed` votes are granted, including the candidate's.

    Only the vote of the disk that the log has on record for a voter counts.

    A reply with a later term ends an election.  A pre-vote continues, since other voters may still
    grant it, but a lost one reports the later term as well.  A voter that lost an election keeps
    its later term permanently and refuses candidates of earlier terms; if its log is shorter, it
    can't lead either.  Where its vote is needed, no leader could be elected unless the candidates
    adopt that term.
    """
    requests = {
        asyncio.create_task(request_vote(get_link, voter.address, request)): name
        for name, voter in others.items()
    }
    verdicts: dict[str, str] = dict.fromkeys(others, VoteOutcome.NOT_AWAITED.value)
    latest_term = 0
    granted = 1
    pending = set(requests)
    try:
        while granted < needed and pending:
            done, pending = await asyncio.wait(pending, return_when=asyncio.FIRST_COMPLETED)
            for task in done:
                reply = task.result()
                name = requests[task]
                verdicts[name] = _classify_reply(reply, others[name])
                if reply is None:
                    continue
                if reply.term > request.term and not request.pre:
                    return VoteResult(False, reply.term, verdicts)
                latest_term = max(latest_term, reply.term)
                granted += verdicts[name] == VoteOutcome.GRANTED
    finally:
        for task in pending:
            task.cancel()
    is_won = granted >= needed
    return VoteResult(is_won, 0 if is_won else latest_term, verdicts)


def _classify_reply(reply: messages.VoteReply | None, voter: commands.Voter) -> str:
    """Classify a voter's reply as a `VoteOutcome`, with the reason of a refusal."""
    if reply is None:
        return VoteOutcome.NO_REPLY.value
    if not reply.granted:
        return f"{VoteOutcome.REFUSED}: {reply.reason}, term {reply.term}"
    if reply.disk_id != voter.disk_id:
        return VoteOutcome.OTHER_DISK.value
    return VoteOutcome.GRANTED.value
