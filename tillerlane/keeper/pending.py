"""Proposals that wait to be appended to the log or committed."""

import asyncio
import dataclasses
from typing import Any

from tillerlane.faults import core as faults
from tillerlane.faults import kinds
from tillerlane.keeper import proposals

__all__ = ["PendingProposals", "Proposal", "build_outcome_unknown"]


@dataclasses.dataclass(slots=True)
class Proposal:
    """A command, and the future of its reply."""

    command: bytes
    reply: "asyncio.Future[dict[str, Any]]"


class PendingProposals:
    """Pending proposals of a leader, in order.

    Attributes
    ----------
    queued : asyncio.Event
        Set while proposals may be waiting to be appended.
    """

    def __init__(self) -> None:
        self._queue: list[Proposal] = []
        self._appended: dict[int, Proposal] = {}
        self.queued = asyncio.Event()

    @property
    def has_queued(self) -> bool:
        """Whether any proposals wait to be appended."""
        return bool(self._queue)

    def add(self, command: bytes, *, first: bool = False) -> Proposal:
        """Queue a command, last or before all others."""
        reply = asyncio.get_running_loop().create_future()
        reply.add_done_callback(lambda future: future.cancelled() or future.exception())
        proposal = Proposal(command, reply)
        self._queue.insert(0 if first else len(self._queue), proposal)
        self.queued.set()
        return proposal

    def pop_batch(self, limit: int) -> list[Proposal]:
        """Remove and return the first proposals of the queue."""
        batch, self._queue = self._queue[:limit], self._queue[limit:]
        if self._queue:
            self.queued.set()
        return batch

    def record_appended(self, index: int, proposal: Proposal) -> None:
        """Record the index at which a proposal was appended."""
        self._appended[index] = proposal

    def resolve(self, index: int, reply: dict[str, Any]) -> None:
        """Resolve the proposal of the entry at an index, if there is one."""
        proposal = self._appended.pop(index, None)
        if proposal is not None and not proposal.reply.done():
            proposal.reply.set_result(reply)

    def fail_all(self, reason: str) -> None:
        """Fail all proposals with an unknown outcome; they may still be committed."""
        for proposal in [*self._queue, *self._appended.values()]:
            if not proposal.reply.done():
                proposal.reply.set_exception(build_outcome_unknown(reason))
        self._queue = []
        self._appended = {}


def build_outcome_unknown(reason: str) -> faults.FaultError:
    """Build the fault of a command that may or may not be committed later."""
    message = f"{reason}; the outcome is unknown, retry with the same change id"
    return proposals.build_no_quorum(message, kinds.Ran.UNKNOWN)
