"""Relays one generation from its agent: each token once, in order, over any number of links.

A lost link is not the end: the relay attaches again from the next offset, to the same agent or
its successor.  It never starts anything twice; that is `tillerlane.entry.dispatch`'s decision.
"""

import asyncio
import dataclasses
from collections.abc import AsyncIterator

from tillerlane.entry import fleet, requests
from tillerlane.faults import core as faults
from tillerlane.faults import kinds
from tillerlane.peers import link as links
from tillerlane.peers import messages
from tillerlane.timeline import core as timelines

__all__ = ["Ending", "Piece", "Relay"]

WINDOW_TOKENS = 512
"""Tokens that an agent may send before the caller has taken them."""
DIAL_WAIT_SECONDS = 0.5
FIRST_WORD_SECONDS = 1.0
"""How long a repeatable request of which nothing came is looked for at a lost agent."""
OVERTIME_SECONDS = 2.0
"""How long after the deadline the agent's own word on it is waited for."""
_OF_THE_ASKER = frozenset({kinds.ErrorKind.NOT_FOUND, kinds.ErrorKind.INTERNAL})
"""Kinds of refusals to attach that say something of who asks, or of a fault of our own."""


@dataclasses.dataclass(frozen=True, slots=True)
class Piece:
    """Consecutive tokens of a generation, the first at `offset`."""

    generation_id: str
    offset: int
    texts: list[str]


@dataclasses.dataclass(frozen=True, slots=True)
class Ending:
    """The generation is whole."""

    generation_id: str
    reason: str
    tokens: int
    prompt_tokens: int


class _Gap(Exception):
    """Tokens are missing: they are asked for again."""


@dataclasses.dataclass(slots=True)
class Relay:
    """One generation as the entry reads it.

    Attributes
    ----------
    request : requests.Request
        The caller's request.
    record : fleet.TargetRecord
        Its target.
    generation_id : str
        The generation.
    offset : int
        Next token wanted.
    attach : bool
        Whether the generation must exist already.
    patience : float
        Seconds to look for a lost agent once tokens have come.
    timeline : timelines.Timeline
        Takes the events.
    """

    request: requests.Request
    record: fleet.TargetRecord
    generation_id: str
    offset: int
    attach: bool
    patience: float
    timeline: timelines.Timeline
    sent: bool = False
    _taken: int = 0

    async def read(self) -> AsyncIterator[Piece | Ending]:
        """Tokens in order, then the end.

        Raises
        ------
        faults.FaultError
            If the generation was refused, failed or got lost; ``ran`` says what is true of it.
        """
        loop = asyncio.get_running_loop()
        lost_at: float | None = None
        while True:
            try:
                async for item in self._read_link():
                    lost_at = None
                    yield item
                    if isinstance(item, Ending):
                        return
            except _Gap:
                self.attach = True
                continue
            except links.LinkLost as error:
                now = loop.time()
                lost_at = now if lost_at is None else lost_at
                self._check_patience(lost_at, now, error)
                if self.sent:
                    self.attach = True
                await asyncio.sleep(0.02)

    def _check_patience(self, lost_at: float, now: float, error: links.LinkLost) -> None:
        is_fresh = self.offset == 0 and not self.attach
        if not self.sent and is_fresh:
            message = f"no link to the agent of {self.record.name}: {error}"
            raise faults.FaultError(
                faults.new_fault(kinds.ErrorKind.UNREACHABLE, message, ran=kinds.Ran.NO)
            )
        may_restart = self.offset == 0 and self.request.repeatable
        patience = FIRST_WORD_SECONDS if may_restart else self.patience
        if now - lost_at > patience or now > self.request.deadline:
            raise faults.FaultError(self._describe_loss(str(error)))

    def _describe_loss(self, reason: str) -> faults.Fault:
        if self.offset > 0:
            message = f"lost after {self.offset} tokens: {reason}"
            return faults.new_fault(kinds.ErrorKind.GENERATION_LOST, message)
        if not self.request.repeatable:
            return faults.new_fault(kinds.ErrorKind.OUTCOME_UNKNOWN, reason)
        return faults.new_fault(kinds.ErrorKind.TARGET_FAILED, reason)

    async def _read_link(self) -> AsyncIterator[Piece | Ending]:
        link = await self.record.peer.wait_link(DIAL_WAIT_SECONDS)
        self._check_time()
        exchange = link.open(self._build_start())
        exchange.expire_at(self.request.deadline + OVERTIME_SECONDS)
        self.sent = True
        done = False
        try:
            while True:
                body = await self._receive(exchange)
                if isinstance(body, messages.Run):
                    texts = self._take(body)
                    if texts:
                        piece = Piece(self.generation_id, self.offset - len(texts), texts)
                        yield piece
                        self._grant(exchange, len(texts))
                elif isinstance(body, messages.End):
                    ending = self._take_end(body)
                    done = True
                    yield ending
                    return
                elif isinstance(body, messages.Refusal):
                    done = True
                    raise faults.FaultError(self._read_refusal(body))
        except faults.FaultError:
            done = True
            raise
        finally:
            if not done:
                _cancel(exchange)
            exchange.close()

    def _check_time(self) -> None:
        """Begin nothing after the deadline, as an entry would that stood still meanwhile.

        By then the request's claim may be gone, and the request run elsewhere.
        """
        if not self.attach and asyncio.get_running_loop().time() >= self.request.deadline:
            message = "the deadline passed before it was sent"
            fault = faults.new_fault(kinds.ErrorKind.DEADLINE_EXPIRED, message, ran=kinds.Ran.NO)
            raise faults.FaultError(fault)

    async def _receive(self, exchange: links.Exchange) -> messages.Body | messages.Run:
        try:
            return await exchange.receive()
        except TimeoutError as error:
            ran = kinds.Ran.YES if self.offset else kinds.Ran.UNKNOWN
            fault = faults.new_fault(kinds.ErrorKind.DEADLINE_EXPIRED, "deadline passed", ran=ran)
            _cancel(exchange)
            raise faults.FaultError(fault) from error

    def _build_start(self) -> messages.Start:
        request = self.request
        now = asyncio.get_running_loop().time()
        return messages.Start(
            generation_id=self.generation_id,
            request_id=request.request_id,
            workspace=request.workspace,
            class_name=request.class_name,
            model=request.model,
            target=self.record.name,
            payload=b"" if self.attach else request.payload,
            prompt_tokens=request.prompt_tokens,
            max_tokens=request.max_tokens,
            prefix_hash=request.prefix_hash,
            deadline_ms=max(0, int((request.deadline - now) * 1000)),
            offset=self.offset,
            credit=WINDOW_TOKENS,
            attach=self.attach,
            waited_ms=max(0, int((now - request.arrived) * 1000)),
        )

    def _take(self, run: messages.Run) -> list[str]:
        """New tokens of a run; repeated ones are dropped, a gap is asked for again."""
        if run.offset > self.offset:
            self.timeline.record(
                "relay.gap",
                request_id=self.request.request_id,
                generation_id=self.generation_id,
                got=run.offset,
                expected=self.offset,
            )
            raise _Gap
        texts = run.texts[self.offset - run.offset :]
        self.offset += len(texts)
        return texts

    def _grant(self, exchange: links.Exchange, count: int) -> None:
        self._taken += count
        if self._taken >= WINDOW_TOKENS // 2:
            try:
                exchange.send(messages.Credit(self._taken))
            except links.LinkLost:
                pass
            self._taken = 0

    def _take_end(self, end: messages.End) -> Ending:
        if end.fault:
            raise faults.FaultError(links.parse_fault(end.fault))
        if end.tokens != self.offset:
            raise _Gap
        return Ending(self.generation_id, end.reason, end.tokens, end.prompt_tokens)

    def _read_refusal(self, refusal: messages.Refusal) -> faults.Fault:
        """The fault of a refusal, as far as it is the word of somebody who can know.

        An agent refuses to attach because it does not find the generation or does not know its
        terms: that says nothing of what the target, or a former process of the agent, did with it.
        """
        fault = links.parse_fault(refusal.fault)
        if not self.attach:
            return fault
        if fault.kind in _OF_THE_ASKER:
            ran = kinds.Ran.YES if self.offset else kinds.Ran.UNKNOWN
            return dataclasses.replace(fault, ran=ran)
        return self._describe_loss(fault.message)


def _cancel(exchange: links.Exchange) -> None:
    try:
        exchange.send(messages.Cancel("the caller has gone"))
    except links.LinkLost:
        return
