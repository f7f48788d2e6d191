"""Proposals over a link, either from a daemon to its keeper or from a keeper to the leader."""

from typing import Any

from tillerlane.faults import core as faults
from tillerlane.faults import kinds
from tillerlane.peers import codec, messages
from tillerlane.peers import link as links

__all__ = ["build_no_quorum", "send"]

RETRY_AFTER_SECONDS = 1.0


def build_no_quorum(
    message: str, ran: kinds.Ran = kinds.Ran.NO, detail: dict[str, Any] | None = None
) -> faults.FaultError:
    """Build the fault of a proposal that was not accepted, or whose outcome is unknown."""
    fault = faults.new_fault(
        kinds.ErrorKind.NO_QUORUM, message, ran=ran, retry_after=RETRY_AFTER_SECONDS, detail=detail
    )
    return faults.FaultError(fault)


async def send(link: links.Link, command: bytes, hops: int, timeout: float) -> dict[str, Any]:
    """Propose a command over a link and return its reply.

    Raises
    ------
    faults.FaultError
        The keeper's own fault, or ``no_quorum`` with ``ran: unknown`` if its reply was lost.
    """
    try:
        reply = await link.call(messages.Propose(command, hops), timeout)
    except links.LinkLost as error:
        message = f"the reply of {link.peer_id} was lost: {error}"
        raise build_no_quorum(message, kinds.Ran.UNKNOWN) from error
    assert isinstance(reply, messages.ProposeReply)
    return codec.decode_json(reply.result)
