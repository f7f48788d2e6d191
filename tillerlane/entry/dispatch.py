"""Dispatch of callers' requests: choice of the target, retries and idempotency claims.

Once a token has been delivered to the caller, the generation is not replaced by another one.  A
request that may not be repeated is claimed in the replicated log before it is sent.
"""

import asyncio
import collections
import contextlib
import dataclasses
import time
from collections.abc import AsyncIterator, Awaitable, Callable
from typing import Any

import result

from tillerlane.config import documents
from tillerlane.config import store as stores
from tillerlane.entry import fleet, limits, relay, requests, routing
from tillerlane.faults import core as faults
from tillerlane.faults import kinds
from tillerlane.keeper import commands
from tillerlane.policy import program as programs
from tillerlane.timeline import core as timelines

__all__ = ["Dispatcher"]

MAX_STORED_CHARACTERS = 16_384
"""Largest response that is stored when its claim is settled."""
MAX_ATTEMPTS = 6
JOIN_TIMEOUT_SECONDS = 2.0
"""How long a duplicate request tries to attach to the generation of the first."""
JOIN_RETRY_DELAY_SECONDS = 0.1
RELEASE_DELAYS = (0.5, 1.0, 2.0, 5.0, 10.0, 30.0)
"""Seconds before each attempt to release a claim whose opening got no reply."""
_RETRYABLE_FAULTS = frozenset(
    {
        kinds.ErrorKind.LEAVING,
        kinds.ErrorKind.NO_CAPACITY,
        kinds.ErrorKind.TARGET_FAILED,
        kinds.ErrorKind.GENERATION_LOST,
        kinds.ErrorKind.UNREACHABLE,
    }
)
"""Faults after which another target may succeed."""
_TARGET_FAULTS = frozenset({kinds.ErrorKind.TARGET_FAILED, kinds.ErrorKind.GENERATION_LOST})

Propose = Callable[[commands.Command], Awaitable[dict[str, Any]]]
Item = relay.Piece | relay.Ending


@dataclasses.dataclass(slots=True)
class _Claim:
    """Claim held by this request; `attempt` numbers the generations under the claim."""

    key: str
    attempt: int = 0
    generation_id: str = ""
    texts: list[str] = dataclasses.field(default_factory=list)
    characters: int = 0

    def store(self, piece: relay.Piece) -> None:
        """Store the response up to `MAX_STORED_CHARACTERS`."""
        self.characters += sum(len(text) for text in piece.texts)
        if self.characters <= MAX_STORED_CHARACTERS:
            self.texts.extend(piece.texts)


class Dispatcher:
    """Runs requests at one entry.

    Parameters
    ----------
    view : fleet.FleetView
        Targets known to the entry.
    router : routing.Router
        State for choosing among them.
    store : stores.Store
        Configuration in force.
    timeline : timelines.Timeline
        Records the events.
    propose : callable
        Proposes a command to the replicated log and returns its result.
    count : callable
        Called with (metric name, number).
    """

    def __init__(
        self,
        view: fleet.FleetView,
        router: routing.Router,
        store: stores.Store,
        timeline: timelines.Timeline,
        propose: Propose,
        count: Callable[[str, float], None],
    ) -> None:
        self._view = view
        self._router = router
        self._store = store
        self._timeline = timeline
        self._propose = propose
        self._count = count
        self._budget = limits.RetryBudget()
        self._programs: dict[str, programs.Program] = {}
        self._background: set[asyncio.Task[None]] = set()
        self.active = 0
        self.unserved: collections.Counter[tuple[str, str]] = collections.Counter()
        """Requests without an available target since the last report, by (pool, model)."""
        store.add_listener(lambda changed: self._programs.clear())

    def _get_program(self, group: str) -> programs.Program:
        """Compiled policy of a pool; services use the built-in rules."""
        program = self._programs.get(group)
        if program is None:
            configuration = self._store.current
            pool = configuration.pools.get(group)
            name = (pool.policy if pool else None) or "builtin"
            policy = configuration.policies.get(name, documents.Policy())
            compiled = programs.compile_program(name, policy)
            program = compiled.unwrap_or(programs.Program("builtin", {}))
            program.on_fault = self._record_policy_fault
            self._programs[group] = program
        return program

    def _record_policy_fault(self, policy: str, expression: str, reason: str) -> None:
        self._count("policy_faults", 1)
        self._timeline.record("policy.fault", policy=policy, expression=expression, reason=reason)

    def pop_unserved(self) -> list[list[Any]]:
        """Return the requests without an available target by pool and model; resets the counts."""
        counted, self.unserved = self.unserved, collections.Counter()
        return [[pool, model, count] for (pool, model), count in counted.items() if model]

    # Running

    async def run(self, request: requests.Request) -> AsyncIterator[Item]:
        """Yield the tokens of the response in order, then its end.

        Raises
        ------
        faults.FaultError
            With its kind and whether the request ran.
        """
        self.active += 1
        self._budget.record_request(request.group, request.retry_share)
        try:
            if request.repeatable or not request.idempotency_key:
                attempts = self._run_with_retries(request, None)
            else:
                attempts = self._run_claimed(request)
            async with contextlib.aclosing(attempts) as items:
                async for item in items:
                    yield item
        finally:
            self.active -= 1

    async def resume(
        self, request: requests.Request, generation_id: str, offset: int
    ) -> AsyncIterator[Item]:
        """Yield the rest of a generation that this or another entry has been reading."""
        target, _ = requests.parse_generation_id(generation_id)
        record = self._view.find(target)
        if record is None:
            loop = asyncio.get_running_loop()
            await self._view.connect_far([target], self._router.rng, loop.time())
            record = self._view.find(target)
        if record is None:
            message = f"the target of generation {generation_id!r} is no longer known"
            raise faults.FaultError(faults.new_fault(kinds.ErrorKind.GENERATION_LOST, message))
        self.active += 1
        try:
            reader = self._build_relay(request, record, generation_id, offset, attach=True)
            async with contextlib.aclosing(reader.read()) as items:
                async for item in items:
                    yield item
        finally:
            self.active -= 1

    def _build_relay(
        self,
        request: requests.Request,
        record: fleet.TargetRecord,
        generation_id: str,
        offset: int,
        *,
        attach: bool,
    ) -> relay.Relay:
        reconnect_timeout = self._store.current.fleet.detached_seconds
        return relay.Relay(
            request, record, generation_id, offset, attach, reconnect_timeout, self._timeline
        )

    async def _run_with_retries(
        self, request: requests.Request, claim: _Claim | None
    ) -> AsyncIterator[Item]:
        """Try targets until one completes the response or no further attempt is allowed."""
        tried: set[str] = set()
        last: faults.Fault | None = None
        for _ in range(MAX_ATTEMPTS):
            record = await self._choose(request, tried, last)
            generation_id = requests.new_generation_id(record.name, request.class_name)
            if claim is not None:
                await self._acquire_claim(request, claim, generation_id)
            delivered = False
            try:
                attempt = self._run_attempt(request, record, generation_id, claim)
                async with contextlib.aclosing(attempt) as items:
                    async for item in items:
                        delivered = True
                        yield item
                return
            except faults.FaultError as error:
                last = error.fault
                if delivered or not self._can_retry(request, last):
                    await self._close_claim(request, claim, last)
                    raise
            tried.add(record.name)
            self._count("retries", 1)
            self._record("request.retry", request, generation_id, kind=last.kind, ran=last.ran)
        await self._close_claim(request, claim, last)
        raise faults.FaultError(last)

    async def _choose(
        self, request: requests.Request, tried: set[str], last: faults.Fault | None
    ) -> fleet.TargetRecord:
        """Choose a near target, or one of a far data hall if no near one can accept the request."""
        loop = asyncio.get_running_loop()
        program = self._get_program(request.group)
        chosen = routing.choose_target(request, self._router, program, tried, loop.time())
        if isinstance(chosen, result.Err):
            far = set(request.targets) - tried
            if await self._view.connect_far(far, self._router.rng, loop.time()):
                chosen = routing.choose_target(request, self._router, program, tried, loop.time())
        if isinstance(chosen, result.Err):
            if last is None:
                self.unserved[request.group, request.model] += 1
            raise faults.FaultError(last or chosen.err_value)
        return chosen.ok_value

    def _can_retry(self, request: requests.Request, fault: faults.Fault) -> bool:
        if fault.kind not in _RETRYABLE_FAULTS:
            return False
        if fault.ran is not kinds.Ran.NO and not request.repeatable:
            return False
        if asyncio.get_running_loop().time() >= request.deadline:
            return False
        if fault.kind is kinds.ErrorKind.LEAVING:
            return True
        return self._budget.try_acquire(request.group)

    async def _run_attempt(
        self,
        request: requests.Request,
        record: fleet.TargetRecord,
        generation_id: str,
        claim: _Claim | None,
    ) -> AsyncIterator[Item]:
        """Run one generation; with delivery ``whole`` its tokens are withheld until its end."""
        self._record("request.send", request, generation_id, target=record.name)
        record.record_send(request.prompt_tokens)
        withheld: list[Item] = []
        failed = False
        reader = self._build_relay(request, record, generation_id, 0, attach=False)
        try:
            async with contextlib.aclosing(reader.read()) as items:
                async for item in items:
                    if claim is not None:
                        await self._record_claimed(request, claim, item)
                    if request.delivery is documents.Delivery.WHOLE:
                        withheld.append(item)
                    else:
                        yield item
        except faults.FaultError as error:
            failed = error.fault.kind in _TARGET_FAULTS
            raise
        finally:
            record.record_end(failed, asyncio.get_running_loop().time())
        for item in withheld:
            yield item

    def _record(
        self, name: str, request: requests.Request, generation_id: str, **fields: Any
    ) -> None:
        self._timeline.record(
            name, request_id=request.request_id, generation_id=generation_id, **fields
        )

    # Claims

    async def _run_claimed(self, request: requests.Request) -> AsyncIterator[Item]:
        """Run a request that may not be repeated, or join the generation of a duplicate."""
        claim = _Claim(request.idempotency_key)
        try:
            async with contextlib.aclosing(self._run_with_retries(request, claim)) as items:
                async for item in items:
                    yield item
        except _ClaimHeld as error:
            async with contextlib.aclosing(self._join(request, error.claim)) as items:
                async for item in items:
                    yield item

    async def _acquire_claim(
        self, request: requests.Request, claim: _Claim, generation_id: str
    ) -> None:
        """Claim the request for a generation before anything is sent."""
        now_ms = int(time.time() * 1000)
        if claim.attempt == 0:
            # The retention period starts at the request's deadline, so that a claim cannot expire
            # while its run may still be in progress.
            remaining = max(0.0, request.deadline - asyncio.get_running_loop().time())
            retention_ms = int((self._store.current.fleet.claim_seconds + remaining) * 1000)
            command: commands.Command = commands.ClaimOpen(
                workspace=request.workspace,
                key=claim.key,
                digest=request.digest,
                generation_id=generation_id,
                at_ms=now_ms,
                expires_ms=now_ms + retention_ms,
            )
        else:
            command = commands.ClaimMove(request.workspace, claim.key, claim.attempt, generation_id)
        try:
            reply = await self._propose(command)
        except faults.FaultError as error:
            self._release_later(request, claim.key, generation_id)
            fault = dataclasses.replace(error.fault, ran=kinds.Ran.NO)
            raise faults.FaultError(fault) from error
        if not reply["granted"]:
            raise _ClaimHeld(reply["claim"])
        claim.attempt = reply["claim"]["attempt"]
        claim.generation_id = generation_id
        claim.texts = []
        claim.characters = 0

    def _release_later(self, request: requests.Request, key: str, generation_id: str) -> None:
        """Release a claim that may have been granted although no reply came; nothing was sent."""
        command = commands.ClaimRelease(request.workspace, key, generation_id)
        task = asyncio.create_task(self._release_with_retries(command))
        self._background.add(task)
        task.add_done_callback(self._background.discard)

    async def _release_with_retries(self, command: commands.ClaimRelease) -> None:
        for delay in RELEASE_DELAYS:
            await asyncio.sleep(delay)
            with contextlib.suppress(faults.FaultError):
                await self._propose(command)
                return

    async def _record_claimed(self, request: requests.Request, claim: _Claim, item: Item) -> None:
        """Store the response, and settle the claim before its end is delivered to the caller."""
        if isinstance(item, relay.Piece):
            claim.store(item)
            return
        is_small = claim.characters <= MAX_STORED_CHARACTERS
        command = commands.ClaimSettle(
            workspace=request.workspace,
            key=claim.key,
            attempt=claim.attempt,
            outcome="ended",
            tokens=item.tokens,
            texts=claim.texts if is_small else None,
        )
        await self._settle(command)

    async def _settle(self, command: commands.Command) -> None:
        """Store an outcome; without a quorum the claim stays open, which is safe."""
        try:
            await self._propose(command)
        except faults.FaultError as error:
            self._timeline.record("claim.unsettled", reason=error.fault.message)

    async def _close_claim(
        self, request: requests.Request, claim: _Claim | None, fault: faults.Fault
    ) -> None:
        """Release the claim of a request that certainly did not run; otherwise store its fault."""
        if claim is None or claim.attempt == 0:
            return
        if fault.ran is kinds.Ran.NO:
            command: commands.Command = commands.ClaimRelease(
                request.workspace, claim.key, claim.generation_id
            )
        else:
            command = commands.ClaimSettle(
                workspace=request.workspace,
                key=claim.key,
                attempt=claim.attempt,
                outcome="fault",
                fault=fault.message,
            )
        await self._settle(command)

    async def _join(self, request: requests.Request, claim: dict[str, Any]) -> AsyncIterator[Item]:
        """Serve a duplicate from the claim: its stored response, its generation, or ``unknown``."""
        if claim["digest"] != request.digest:
            message = "this Idempotency-Key was already used for a different request"
            raise faults.FaultError(faults.new_fault(kinds.ErrorKind.KEY_REUSED, message))
        generation_id = claim["generation_id"]
        self._record("claim.join", request, generation_id, state=claim["state"])
        if claim["state"] == "ended" and claim["texts"] is not None:
            texts = list(claim["texts"])
            if texts:
                yield relay.Piece(generation_id, 0, texts)
            yield relay.Ending(generation_id, "stop", len(texts), request.prompt_tokens)
            return
        if claim["state"] == "fault":
            message = f"the original request failed and may have run: {claim['fault']}"
            raise faults.FaultError(faults.new_fault(kinds.ErrorKind.OUTCOME_UNKNOWN, message))
        loop = asyncio.get_running_loop()
        deadline = loop.time() + JOIN_TIMEOUT_SECONDS
        delivered = False
        while True:
            try:
                async with contextlib.aclosing(self.resume(request, generation_id, 0)) as items:
                    async for item in items:
                        delivered = True
                        yield item
                return
            except faults.FaultError as error:
                # The original request may still be in transit between its claim and its agent.
                if delivered or loop.time() >= deadline:
                    message = f"the original request's generation is lost: {error.fault.message}"
                    fault = faults.new_fault(kinds.ErrorKind.OUTCOME_UNKNOWN, message)
                    raise faults.FaultError(fault) from error
            await asyncio.sleep(JOIN_RETRY_DELAY_SECONDS)


class _ClaimHeld(faults.TillerlaneError):
    """A duplicate of the request holds the claim."""

    def __init__(self, claim: dict[str, Any]) -> None:
        super().__init__("claim held")
        self.claim = claim
