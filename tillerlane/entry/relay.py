"""Relay of one generation from its agent: each token once, in order, across link failures.

After a lost link the relay attaches again at the next offset, to the same agent or to its next
process.  It never starts a generation twice; retries are decided by `tillerlane.entry.dispatch`.
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
"""Tokens that an agent may send ahead of the caller's reading."""
DIAL_TIMEOUT_SECONDS = 0.5
FIRST_TOKEN_RECONNECT_SECONDS = 1.0
"""Reconnect timeout of a repeatable request without tokens, which can be retried elsewhere."""
DEADLINE_GRACE_SECONDS = 2.0
"""How long after the deadline the agent's own report of the outcome is awaited."""
_REQUESTER_FAULTS = frozenset({kinds.ErrorKind.NOT_FOUND, kinds.ErrorKind.INTERNAL})
"""Refusals to attach that concern the requester, or an internal error, not the generation."""


@dataclasses.dataclass(frozen=True, slots=True)
class Piece:
    """Consecutive tokens of a generation, the first at `offset`."""

    generation_id: str
    offset: int
    texts: list[str]


@dataclasses.dataclass(frozen=True, slots=True)
class Ending:
    """End of a complete generation."""

    generation_id: str
    reason: str
    tokens: int
    prompt_tokens: int


class _Gap(Exception):
    """Tokens are missing and must be requested again."""


@dataclasses.dataclass(slots=True)
class Relay:
    """Reader of one generation.

    Attributes
    ----------
    request : requests.Request
        The caller's request.
    record : fleet.TargetRecord
        Target that runs it.
    generation_id : str
        Id of the generation.
    offset : int
        Offset of the next token.
    attach : bool
        Whether to attach to an existing generation instead of starting it.
    reconnect_timeout : float
        Seconds to try to reach a lost agent.
    timeline : timelines.Timeline
        Records the events.
    """

    request: requests.Request
    record: fleet.TargetRecord
    generation_id: str
    offset: int
    attach: bool
    reconnect_timeout: float
    timeline: timelines.Timeline
    sent: bool = False
    _consumed: int = 0

    async def read(self) -> AsyncIterator[Piece | Ending]:
        """Yield the tokens in order, then the end.

        Raises
        ------
        faults.FaultError
            If the generation was refused, failed or lost; ``ran`` tells whether it ran.
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
                self._check_reconnect_timeout(lost_at, now, error)
                if self.sent:
                    self.attach = True
                await asyncio.sleep(0.02)

    def _check_reconnect_timeout(self, lost_at: float, now: float, error: links.LinkLost) -> None:
        is_first_start = self.offset == 0 and not self.attach
        if not self.sent and is_first_start:
            message = f"no link to the agent of {self.record.name}: {error}"
            raise faults.FaultError(
                faults.new_fault(kinds.ErrorKind.UNREACHABLE, message, ran=kinds.Ran.NO)
            )
        can_restart = self.offset == 0 and self.request.repeatable
        timeout = FIRST_TOKEN_RECONNECT_SECONDS if can_restart else self.reconnect_timeout
        if now - lost_at > timeout or now > self.request.deadline:
            raise faults.FaultError(self._describe_loss(str(error)))

    def _describe_loss(self, reason: str) -> faults.Fault:
        if self.offset > 0:
            message = f"lost after {self.offset} tokens: {reason}"
            return faults.new_fault(kinds.ErrorKind.GENERATION_LOST, message)
        if not self.request.repeatable:
            return faults.new_fault(kinds.ErrorKind.OUTCOME_UNKNOWN, reason)
        return faults.new_fault(kinds.ErrorKind.TARGET_FAILED, reason)

    async def _read_link(self) -> AsyncIterator[Piece | Ending]:
        link = await self.record.peer.wait_link(DIAL_TIMEOUT_SECONDS)
        self._check_deadline()
        exchange = link.open(self._build_start())
        exchange.expire_at(self.request.deadline + DEADLINE_GRACE_SECONDS)
        self.sent = True
        is_finished = False
        try:
            while True:
                body = await self._receive(exchange)
                if isinstance(body, messages.Run):
                    texts = self._handle_run(body)
                    if texts:
                        piece = Piece(self.generation_id, self.offset - len(texts), texts)
                        yield piece
                        self._return_credit(exchange, len(texts))
                elif isinstance(body, messages.End):
                    ending = self._handle_end(body)
                    is_finished = True
                    yield ending
                    return
                elif isinstance(body, messages.Refusal):
                    is_finished = True
                    raise faults.FaultError(self._interpret_refusal(body))
        except faults.FaultError:
            is_finished = True
            raise
        finally:
            if not is_finished:
                _cancel(exchange)
            exchange.close()

    def _check_deadline(self) -> None:
        """Refuse to start after the deadline, for example after this process was suspended.

        By then the request's claim may have expired, and the request may have run elsewhere.
        """
        if not self.attach and asyncio.get_running_loop().time() >= self.request.deadline:
            message = "the deadline passed before the request was sent"
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

    def _handle_run(self, run: messages.Run) -> list[str]:
        """New tokens of a run, without duplicates; raises `_Gap` if tokens are missing."""
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

    def _return_credit(self, exchange: links.Exchange, count: int) -> None:
        self._consumed += count
        if self._consumed >= WINDOW_TOKENS // 2:
            try:
                exchange.send(messages.Credit(self._consumed))
            except links.LinkLost:
                pass
            self._consumed = 0

    def _handle_end(self, end: messages.End) -> Ending:
        if end.fault:
            raise faults.FaultError(links.parse_fault(end.fault))
        if end.tokens < self.offset:
            raise faults.FaultError(self._describe_loss(f"the generation has {end.tokens} tokens"))
        if end.tokens > self.offset:
            raise _Gap
        return Ending(self.generation_id, end.reason, end.tokens, end.prompt_tokens)

    def _interpret_refusal(self, refusal: messages.Refusal) -> faults.Fault:
        """Fault of a refusal, with ``ran`` limited to what the agent can know.

        An agent refuses to attach because it does not find the generation or does not know its
        class: that is no evidence of what the target, or a previous process of the agent, did
        with it.
        """
        fault = links.parse_fault(refusal.fault)
        if not self.attach:
            return fault
        if fault.kind in _REQUESTER_FAULTS:
            ran = kinds.Ran.YES if self.offset else kinds.Ran.UNKNOWN
            return dataclasses.replace(fault, ran=ran)
        return self._describe_loss(fault.message)


def _cancel(exchange: links.Exchange) -> None:
    try:
        exchange.send(messages.Cancel("the caller disconnected"))
    except links.LinkLost:
        return
