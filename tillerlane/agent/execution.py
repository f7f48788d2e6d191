"""Runs generations on a target, one task for each from its start to its end.

An interrupted stream is resumed at the next offset under the same generation id.  The generation
counts as lost only when the target no longer knows it or remains unreachable.
"""

import asyncio
from collections.abc import AsyncIterator, Callable

from tillerlane.agent import generation as generations
from tillerlane.agent import scheduling
from tillerlane.agent import target as targets
from tillerlane.faults import core as faults
from tillerlane.faults import kinds
from tillerlane.peers import messages
from tillerlane.runners import core as runners
from tillerlane.timeline import core as timelines

__all__ = ["Executor"]

Decide = Callable[[targets.TargetState, float], list[scheduling.Action]]

DECISION_INTERVAL_SECONDS = 0.05
SWEEP_INTERVAL_SECONDS = 0.2
"""Minimum time between two checks of all deadlines, each of which takes some us per request."""
LOAD_POLL_INTERVAL_SECONDS = 0.25
MAX_LOAD_FAILURES = 4
STALL_TIMEOUT_SECONDS = 5.0
"""Time without a token of any running generation after which a target is unhealthy."""
RESUME_DELAYS = (0.0, 0.1, 0.2, 0.4, 0.8, 1.0)
"""Seconds before each attempt to resume an interrupted stream."""
CANCEL_DELAYS = (0.1, 0.2, 0.4, 0.8, 1.6, 3.2, 6.4, 12.8)
"""Seconds before each repeated request to a target to cancel a run; then no more are sent."""
MAX_HELD_GENERATIONS = 2_000
MAX_ERROR_CHARACTERS = 200


class Executor:
    """Runs one target's generations as `scheduling.decide` says.

    Parameters
    ----------
    state : targets.TargetState
        The target.
    timeline : timelines.Timeline
        Records the events.
    get_fleet : callable
        Returns (resume seconds, detached seconds) of the configuration in force.
    count : callable
        Called with (metric name, number).
    decide : callable
        Returns the actions to take; replaced by baselines in benchmarks.
    """

    def __init__(
        self,
        state: targets.TargetState,
        timeline: timelines.Timeline,
        get_fleet: Callable[[], tuple[float, float]],
        count: Callable[[str, float], None],
        decide: Decide = scheduling.decide,
    ) -> None:
        self.state = state
        self._decide = decide
        self._timeline = timeline
        self._get_fleet = get_fleet
        self._count = count
        self._wake = asyncio.Event()
        self._swept_at = -1e9
        self._tasks: set[asyncio.Task[None]] = set()
        self._loops: list[asyncio.Task[None]] = []

    def start(self) -> None:
        """Start the tasks of the target."""
        self._loops = [asyncio.create_task(self._run_decisions())]
        if self.state.is_runner:
            self._loops.append(asyncio.create_task(self._poll_load()))
            self._loops.append(asyncio.create_task(self._follow_cache_events()))

    async def stop(self) -> None:
        """Cancel all tasks; generations on the target keep running."""
        for task in [*self._loops, *self._tasks]:
            task.cancel()
        tasks = [*self._loops, *self._tasks]
        for task, outcome in zip(
            tasks, await asyncio.gather(*tasks, return_exceptions=True), strict=True
        ):
            if isinstance(outcome, Exception):
                name = getattr(task.get_coro(), "__qualname__", "")
                error = f"{name}: {outcome!r}"[:MAX_ERROR_CHARACTERS]
                self._timeline.record("internal.error", target=self.state.name, error=error)
        await self.state.client.close()

    def wake(self) -> None:
        """Trigger a scheduling decision."""
        self._wake.set()

    def _spawn(self, work: "asyncio._CoroutineLike[None]") -> None:
        task = asyncio.create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    # Decisions

    async def _run_decisions(self) -> None:
        loop = asyncio.get_running_loop()
        while True:
            try:
                await asyncio.wait_for(self._wake.wait(), DECISION_INTERVAL_SECONDS)
            except TimeoutError:
                pass
            self._wake.clear()
            now = loop.time()
            self._check_stall(now)
            self._sweep(now)
            for action in self._decide(self.state, now):
                self._apply(action, now)

    def _apply(self, action: scheduling.Action, now: float) -> None:
        state = self.state
        generation = action.generation
        if isinstance(action, scheduling.Admit):
            state.dequeue(generation)
            state.running.append(generation)
            generation.state = generations.State.RUNNING
            generation.running_since = now
            cost = targets.PROMPT_TOKEN_COST * generation.start.prompt_tokens
            state.workspace_usage.charge(generation.start.workspace, cost, now)
            self._record(
                "generation.admit",
                generation,
                rank=round(generation.rank, 3),
                waited_s=round(now - generation.arrived, 4),
                **generation.explained,
            )
            self._spawn(self._run(generation))
        elif isinstance(action, scheduling.Pause):
            state.running.remove(generation)
            state.paused.append(generation)
            generation.state = generations.State.PAUSED
            generation.times_paused += 1
            state.preemptions += 1
            self._count("preemptions", 1)
            self._record(
                "generation.pause",
                generation,
                written=len(generation.texts),
                **generation.explained,
            )
            self._spawn(self._pause(generation))
        else:
            state.paused.remove(generation)
            state.running.append(generation)
            generation.state = generations.State.RUNNING
            generation.running_since = now
            state.recomputed_tokens += generation.memory
            self._record("generation.unpause", generation, written=len(generation.texts))
            self._spawn(self._unpause(generation))

    async def _pause(self, generation: generations.Generation) -> None:
        try:
            await self.state.client.pause(generation.id)
        except runners.TargetError:
            return
        if generation.state is generations.State.RUNNING:
            await self._unpause(generation)

    async def _unpause(self, generation: generations.Generation) -> None:
        try:
            await self.state.client.unpause(generation.id)
        except runners.TargetError:
            return

    def _check_stall(self, now: float) -> None:
        state = self.state
        if not state.is_runner:
            return
        latest = max(
            (max(item.last_token_at, item.running_since) for item in state.running), default=now
        )
        is_unhealthy = (
            now - latest > STALL_TIMEOUT_SECONDS or state.load_failures >= MAX_LOAD_FAILURES
        )
        if is_unhealthy == state.healthy:
            state.healthy = not is_unhealthy
            name = "target.sick" if is_unhealthy else "target.well"
            self._timeline.record(name, target=state.name)

    def _sweep(self, now: float) -> None:
        """Cancel expired and detached generations; discard ended ones."""
        if now - self._swept_at < SWEEP_INTERVAL_SECONDS:
            return
        self._swept_at = now
        state = self.state
        resume_seconds, detached_seconds = self._get_fleet()
        ended = []
        if state.is_runner:
            for generation in [
                item for item in state.waiting if scheduling.cannot_meet_deadline(item, state, now)
            ]:
                reason = "the deadline can no longer be met"
                self.cancel(generation, kinds.ErrorKind.DEADLINE_EXPIRED, reason)
        for generation in state.held.values():
            if generation.end is not None:
                if now - generation.ended_at > resume_seconds and not generation.feeds:
                    ended.append(generation.id)
            elif now > generation.deadline:
                self.cancel(generation, kinds.ErrorKind.DEADLINE_EXPIRED, "deadline passed")
            elif (
                generation.detached_at is not None
                and now - generation.detached_at > detached_seconds
            ):
                self.cancel(
                    generation, kinds.ErrorKind.CANCELLED, "no entry attached to it again in time"
                )
        for generation_id in ended:
            del state.held[generation_id]
        if len(state.held) > MAX_HELD_GENERATIONS:
            self._discard_oldest()

    def _discard_oldest(self) -> None:
        state = self.state
        ended = [item for item in state.held.values() if item.end and not item.feeds]
        ended.sort(key=lambda item: item.ended_at)
        for generation in ended[: len(state.held) - MAX_HELD_GENERATIONS]:
            del state.held[generation.id]

    # Running

    def cancel(
        self, generation: generations.Generation, kind: kinds.ErrorKind, reason: str
    ) -> None:
        """Cancel a generation; its reader is told whether it ran."""
        if generation.end is not None or generation.cancel_reason:
            return
        generation.cancel_reason = reason
        if generation.started:
            self._spawn(self._cancel_started(generation, kind, reason))
        else:
            self._finish_cancelled(generation, kind, reason, kinds.Ran.NO)

    async def _cancel_started(
        self, generation: generations.Generation, kind: kinds.ErrorKind, reason: str
    ) -> None:
        """Notify the reader at once; repeat the cancel until the target confirms it."""
        replied, started = await self._request_cancel(generation)
        if started is None:
            ran = kinds.Ran.YES if generation.texts else kinds.Ran.UNKNOWN
        else:
            ran = kinds.Ran.YES if started or generation.texts else kinds.Ran.NO
        self._finish_cancelled(generation, kind, reason, ran)
        for delay in CANCEL_DELAYS:
            if started is not None or (replied and not generation.is_streaming):
                return
            await asyncio.sleep(delay)
            replied, started = await self._request_cancel(generation)

    async def _request_cancel(self, generation: generations.Generation) -> tuple[bool, bool | None]:
        """Whether the target replied, and whether the cancelled run had started.

        The latter is None if the target does not know the run: its start may still be in transit.
        """
        try:
            return True, await self.state.client.cancel(generation.id)
        except runners.TargetError:
            return False, None

    def _finish_cancelled(
        self,
        generation: generations.Generation,
        kind: kinds.ErrorKind,
        reason: str,
        ran: kinds.Ran,
    ) -> None:
        if generation.end is None:
            fault = faults.new_fault(kind, reason, ran=ran)
            generation.fail(fault, asyncio.get_running_loop().time())
            self._record("generation.cancel", generation, kind=kind.value, ran=ran.value)
        self.state.release(generation)
        self.wake()

    def adopt(self, generation: generations.Generation) -> None:
        """Resume a generation that a previous process of this agent started."""
        state = self.state
        state.held[generation.id] = generation
        state.running.append(generation)
        generation.state = generations.State.RUNNING
        generation.started = True
        generation.running_since = asyncio.get_running_loop().time()
        self._record("generation.adopt", generation)
        self._spawn(self._run(generation))

    async def _run(self, generation: generations.Generation) -> None:
        if generation.end is not None and not generation.started:
            return  # ended after its admission; its reader was told that it did not run
        generation.is_streaming = True
        try:
            fault = await self._read_to_end(generation)
        finally:
            generation.is_streaming = False
            self.state.release(generation)
            self.wake()
        now = asyncio.get_running_loop().time()
        if fault is not None and generation.end is None and not generation.cancel_reason:
            self._record("generation.fail", generation, kind=fault.kind, ran=fault.ran)
            generation.fail(fault, now)

    async def _read_to_end(self, generation: generations.Generation) -> faults.Fault | None:
        """Read the stream, resuming it after interruptions; returns a fault if it is lost."""
        is_first = not generation.started
        generation.started = True
        attempts = 0
        while True:
            stream = self._open_stream(generation, is_first)
            tokens_before = len(generation.texts)
            try:
                await self._read_stream(generation, stream)
                return None
            except runners.UnknownGeneration:
                return self._describe_loss(generation, "the target no longer knows the generation")
            except runners.TargetError as error:
                if is_first and not error.reached:
                    generation.started = False
                    return faults.new_fault(
                        kinds.ErrorKind.TARGET_FAILED, str(error), ran=kinds.Ran.NO
                    )
                reason = str(error)
            except faults.FaultError as error:
                reason = error.fault.message
            is_first = False
            attempts = 0 if len(generation.texts) > tokens_before else attempts + 1
            if attempts >= len(RESUME_DELAYS) or not self.state.is_runner:
                return self._describe_loss(generation, reason)
            await asyncio.sleep(RESUME_DELAYS[attempts])
            self._record("generation.resume", generation, offset=len(generation.texts))

    def _open_stream(
        self, generation: generations.Generation, is_first: bool
    ) -> AsyncIterator[runners.Chunk | runners.Finish]:
        start = generation.start
        if not is_first:
            return self.state.client.resume(start.generation_id, len(generation.texts))
        job = runners.Job(
            generation_id=start.generation_id,
            owner=start.workspace,
            model=start.model,
            payload=start.payload,
            prompt_tokens=start.prompt_tokens,
            max_tokens=start.max_tokens,
            priority=generation.priority,
            prefix_hash=start.prefix_hash,
            prefix_tokens=start.prompt_tokens // 2 if start.prefix_hash else 0,
        )
        return self.state.client.start(job)

    async def _read_stream(
        self,
        generation: generations.Generation,
        stream: AsyncIterator[runners.Chunk | runners.Finish],
    ) -> None:
        loop = asyncio.get_running_loop()
        state = self.state
        workspace = generation.start.workspace
        async for item in stream:
            now = loop.time()
            if isinstance(item, runners.Finish):
                self._finish(generation, item, now)
                return
            added = generation.add(item.offset, item.texts, now)
            state.record_tokens(workspace, added, now)

    def _finish(
        self, generation: generations.Generation, finish: runners.Finish, now: float
    ) -> None:
        if finish.tokens != len(generation.texts):
            message = f"the target reports {finish.tokens} tokens, received {len(generation.texts)}"
            raise faults.FaultError(faults.new_fault(kinds.ErrorKind.TARGET_FAILED, message))
        if finish.reason == "cancelled":
            if not generation.cancel_reason:
                fault = faults.new_fault(
                    kinds.ErrorKind.CANCELLED, "cancelled by the target", ran=kinds.Ran.YES
                )
                generation.fail(fault, now)
            return
        start = generation.start
        if finish.reason == "stop" and self.state.is_runner:
            self.state.length_models.add(
                start.workspace, start.class_name, start.model, len(generation.texts)
            )
        generation.finish(
            messages.End(finish.reason, len(generation.texts), start.prompt_tokens), now
        )
        self._record("generation.end", generation, tokens=len(generation.texts))

    def _describe_loss(self, generation: generations.Generation, reason: str) -> faults.Fault:
        if generation.texts:
            message = f"lost after {len(generation.texts)} tokens: {reason}"
            return faults.new_fault(kinds.ErrorKind.GENERATION_LOST, message)
        return faults.new_fault(kinds.ErrorKind.TARGET_FAILED, reason)

    # Reports

    async def _poll_load(self) -> None:
        loop = asyncio.get_running_loop()
        while True:
            try:
                load = await self.state.client.read_load()
                self.state.handle_load(load, loop.time())
            except (runners.TargetError, OSError):
                self.state.load_failures += 1
            self.wake()
            await asyncio.sleep(LOAD_POLL_INTERVAL_SECONDS)

    async def _follow_cache_events(self) -> None:
        """Read cache events continuously; they arrive late and with gaps."""
        last_number = 0
        while True:
            try:
                async for event in self.state.client.read_cache_events(last_number):
                    self.state.handle_cache_event(event, last_number + 1)
                    last_number = event.number
            except (runners.TargetError, runners.UnknownGeneration, OSError, ValueError):
                last_number = 0
                self.state.prefixes.clear()
            await asyncio.sleep(1.0)

    def _record(self, name: str, generation: generations.Generation, **fields: object) -> None:
        self._timeline.record(
            name,
            request_id=generation.start.request_id,
            generation_id=generation.id,
            target=self.state.name,
            **fields,
        )
