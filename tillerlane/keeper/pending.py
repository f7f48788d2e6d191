"""Commands that wait to be appended to the log, or to be committed."""

import asyncio
import dataclasses
from typing import Any

from tillerlane.faults import core as faults
from tillerlane.faults import kinds
from tillerlane.keeper import proposals

__all__ = ["PendingProposals", "Proposal", "build_outcome_unknown"]


@dataclasses.dataclass(slots=True)
class Proposal:
    """A command and who waits for its answer."""

    command: bytes
    answer: "asyncio.Future[dict[str, Any]]"


class PendingProposals:
    """A leader's proposals, in their order.

    Attributes
    ----------
    queued : asyncio.Event
        Set while some may wait to be appended.
    """

    def __init__(self) -> None:
        self._queue: list[Proposal] = []
        self._appended: dict[int, Proposal] = {}
        self.queued = asyncio.Event()

    @property
    def has_queued(self) -> bool:
        """Whether some wait to be appended."""
        return bool(self._queue)

    def add(self, command: bytes, *, first: bool = False) -> Proposal:
        """Queue a command, last or before all others."""
        answer = asyncio.get_running_loop().create_future()
        answer.add_done_callback(lambda future: future.cancelled() or future.exception())
        proposal = Proposal(command, answer)
        self._queue.insert(0 if first else len(self._queue), proposal)
        self.queued.set()
        return proposal

    def pop_batch(self, most: int) -> list[Proposal]:
        """Take the first ones of the queue."""
        batch, self._queue = self._queue[:most], self._queue[most:]
        if self._queue:
            self.queued.set()
        return batch

    def record_appended(self, index: int, proposal: Proposal) -> None:
        """Take note of the index that a proposal is appended at."""
        self._appended[index] = proposal

    def resolve(self, index: int, answer: dict[str, Any]) -> None:
        """Answer whoever waits for the entry at an index."""
        proposal = self._appended.pop(index, None)
        if proposal is not None and not proposal.answer.done():
            proposal.answer.set_result(answer)

    def fail_all(self, reason: str) -> None:
        """Nobody will tell these proposals' fate any more; they may still be committed."""
        for proposal in [*self._queue, *self._appended.values()]:
            if not proposal.answer.done():
                proposal.answer.set_exception(build_outcome_unknown(reason))
        self._queue = []
        self._appended = {}


def build_outcome_unknown(reason: str) -> faults.FaultError:
    """A fault that says that a command may or may not be committed later."""
    message = f"{reason}; the outcome is not known, ask again with the same change id"
    return proposals.build_no_quorum(message, kinds.Ran.UNKNOWN)
