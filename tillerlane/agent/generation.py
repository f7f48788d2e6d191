"""A generation held by an agent: its tokens, its readers and its state."""

import dataclasses
import enum

from tillerlane.agent import lengths
from tillerlane.faults import core as faults
from tillerlane.faults import kinds
from tillerlane.peers import link as links
from tillerlane.peers import messages
from tillerlane.policy import program as programs

__all__ = ["Feed", "Generation", "State"]


class State(enum.Enum):
    """Lifecycle state of a generation."""

    WAITING = "waiting"
    RUNNING = "running"
    PAUSED = "paused"
    ENDED = "ended"


@dataclasses.dataclass(slots=True, eq=False)
class Generation:
    """A generation or service call that an agent holds.

    Times are those of the event loop, in seconds.  ``started`` is set once the start was sent to
    the target; before that, ``ran: no`` is certain.
    """

    start: messages.Start
    arrived: float
    deadline: float
    priority: int
    urgent: bool
    repeatable: bool
    length_model: lengths.LengthModel
    state: State = State.WAITING
    started: bool = False
    is_streaming: bool = False
    """Whether its stream is being read from the target, or requested."""
    texts: list[str] = dataclasses.field(default_factory=list)
    end: messages.End | None = None
    ended_at: float = 0.0
    running_since: float = 0.0
    last_token_at: float = 0.0
    times_paused: int = 0
    delivered: int = 0
    feeds: list["Feed"] = dataclasses.field(default_factory=list)
    detached_at: float | None = None
    cancel_reason: str = ""
    rank: float = 0.0
    rank_at: float = -1.0
    ranker: programs.Evaluator | None = None
    survival: lengths.Survival | None = None
    survival_at: int = -1
    explained: dict[str, object] = dataclasses.field(default_factory=dict)

    @property
    def id(self) -> str:
        """Generation id."""
        return self.start.generation_id

    @property
    def memory(self) -> int:
        """Tokens of the target's memory that it holds, or will hold once resumed."""
        return self.start.prompt_tokens + len(self.texts)

    def predict_remaining(self) -> lengths.Survival:
        """Remaining length; updated when the text has grown by a sixteenth."""
        written = len(self.texts)
        if self.survival is None or written - self.survival_at > max(8, written // 16):
            self.survival = self.length_model.predict_remaining(
                written, max(1, self.start.max_tokens)
            )
            self.survival_at = written
        return self.survival

    def add(self, offset: int, texts: list[str], now: float) -> int:
        """Append tokens sent by the target, dropping duplicates.

        Returns
        -------
        int
            Number of new tokens.

        Raises
        ------
        faults.FaultError
            If there is a gap; the caller requests the missing tokens again.
        """
        known = len(self.texts)
        if offset > known:
            message = f"{self.id}: got token offset {offset}, expected {known}"
            raise faults.FaultError(faults.new_fault(kinds.ErrorKind.TARGET_FAILED, message))
        new_texts = texts[known - offset :] if offset < known else texts
        if new_texts:
            self.texts.extend(new_texts)
            self.last_token_at = now
            for feed in self.feeds:
                feed.push()
        return len(new_texts)

    def finish(self, end: messages.End, now: float) -> None:
        """Set the end; later calls have no effect."""
        if self.end is not None:
            return
        self.end = end
        self.state = State.ENDED
        self.ended_at = now
        self.ranker = None
        for feed in list(self.feeds):
            feed.push()

    def fail(self, fault: faults.Fault, now: float) -> None:
        """End with a fault."""
        end = messages.End(
            "fault", len(self.texts), self.start.prompt_tokens, links.format_fault(fault)
        )
        self.finish(end, now)


class Feed:
    """One reader of a generation: an exchange with an entry, under credit-based flow control.

    Parameters
    ----------
    generation : Generation
        Generation being read.
    exchange : links.Exchange
        Receives the tokens.
    offset : int
        Offset of the first token to send.
    credit : int
        Tokens that may be sent.
    """

    __slots__ = ("_generation", "_offset", "credit", "done", "exchange")

    def __init__(
        self, generation: Generation, exchange: links.Exchange, offset: int, credit: int
    ) -> None:
        self._generation = generation
        self.exchange = exchange
        self._offset = offset
        self.credit = credit
        self.done = False

    def push(self) -> None:
        """Send the available tokens within the credit, and the end after the last one."""
        generation = self._generation
        count = min(len(generation.texts) - self._offset, self.credit)
        try:
            if count > 0:
                texts = generation.texts[self._offset : self._offset + count]
                self.exchange.send_run(self._offset, texts)
                self._offset += count
                self.credit -= count
                generation.delivered = max(generation.delivered, self._offset)
            if generation.end is not None and self._offset >= len(generation.texts):
                self._send_end(generation.end)
        except links.LinkLost:
            return

    def _send_end(self, end: messages.End) -> None:
        if self.done:
            return
        self.done = True
        self.exchange.send(end)
        self.exchange.put(end)
