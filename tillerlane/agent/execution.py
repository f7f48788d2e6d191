"""Runs generations on a target: one task for each, from its start to its end.

A stream that breaks off is resumed at the next offset with the same generation id; only when the
target no longer knows the generation, or stays away, is it lost.
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

TICK_SECONDS = 0.05
SWEEP_SECONDS = 0.2
"""Least time between two looks at all deadlines: a look costs some us for each request held."""
LOAD_SECONDS = 0.25
LOAD_FAILURES_UNTIL_SICK = 4
STALL_SECONDS = 5.0
"""A target that writes nothing for this long while it should is not healthy."""
RESUME_DELAYS = (0.0, 0.1, 0.2, 0.4, 0.8, 1.0)
"""Seconds before each try to resume a stream that broke off."""
CANCEL_DELAYS = (0.1, 0.2, 0.4, 0.8, 1.6, 3.2, 6.4, 12.8)
"""Seconds before each time that a target is asked again to end a run; then it is left alone."""
MAX_ENDED_KEPT = 2_000


class Executor:
    """Runs one target's generations as `scheduling.decide` says.

    Parameters
    ----------
    state : targets.TargetState
        The target.
    timeline : timelines.Timeline
        Takes the events.
    get_fleet : callable
        Gives (resume seconds, detached seconds) of the configuration in force.
    count : callable
        Called with (metric name, number).
    decide : callable
        Gives the actions to take; benchmarks put baselines here.
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

    def begin(self) -> None:
        """Start the tasks of the target."""
        self._loops = [asyncio.create_task(self._decide_for_ever())]
        if self.state.is_runner:
            self._loops.append(asyncio.create_task(self._poll_load()))
            self._loops.append(asyncio.create_task(self._follow_cache()))

    async def stop(self) -> None:
        """End all tasks; what runs on the target is left to run."""
        for task in [*self._loops, *self._tasks]:
            task.cancel()
        await asyncio.gather(*self._loops, *self._tasks, return_exceptions=True)
        await self.state.client.close()

    def wake(self) -> None:
        """Have a decision taken soon."""
        self._wake.set()

    def _spawn(self, work: "asyncio._CoroutineLike[None]") -> None:
        task = asyncio.create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    # Decisions

    async def _decide_for_ever(self) -> None:
        loop = asyncio.get_running_loop()
        while True:
            try:
                await asyncio.wait_for(self._wake.wait(), TICK_SECONDS)
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
            generation.ran_since = now
            cost = targets.PROMPT_TOKEN_COST * generation.start.prompt_tokens
            state.ledger.charge(generation.start.workspace, cost, now)
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
            generation.ran_since = now
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
        last = max((max(item.last_token_at, item.ran_since) for item in state.running), default=now)
        sick = now - last > STALL_SECONDS or state.load_failures >= LOAD_FAILURES_UNTIL_SICK
        if sick == state.healthy:
            state.healthy = not sick
            name = "target.sick" if sick else "target.well"
            self._timeline.record(name, target=state.name)

    def _sweep(self, now: float) -> None:
        """Expire deadlines and detached generations; forget ended ones."""
        if now - self._swept_at < SWEEP_SECONDS:
            return
        self._swept_at = now
        state = self.state
        resume_seconds, detached_seconds = self._get_fleet()
        ended = []
        if state.is_runner:
            for generation in [
                item for item in state.waiting if scheduling.is_hopeless(item, state, now)
            ]:
                reason = "the deadline cannot be met any more"
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
                self.cancel(generation, kinds.ErrorKind.CANCELLED, "no entry came back for it")
        for generation_id in ended:
            del state.held[generation_id]
        if len(state.held) > MAX_ENDED_KEPT:
            self._forget_oldest()

    def _forget_oldest(self) -> None:
        state = self.state
        ended = [item for item in state.held.values() if item.end and not item.feeds]
        ended.sort(key=lambda item: item.ended_at)
        for generation in ended[: len(state.held) - MAX_ENDED_KEPT]:
            del state.held[generation.id]

    # Running

    def cancel(
        self, generation: generations.Generation, kind: kinds.ErrorKind, reason: str
    ) -> None:
        """End a generation early; its reader learns whether it ran."""
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
        """Tell the reader at once, and ask the target until it has said that it ended the run."""
        word, started = await self._ask_to_end(generation)
        if started is None:
            ran = kinds.Ran.YES if generation.texts else kinds.Ran.UNKNOWN
        else:
            ran = kinds.Ran.YES if started or generation.texts else kinds.Ran.NO
        self._finish_cancelled(generation, kind, reason, ran)
        for delay in CANCEL_DELAYS:
            if started is not None or (word and not generation.is_read):
                return
            await asyncio.sleep(delay)
            word, started = await self._ask_to_end(generation)

    async def _ask_to_end(self, generation: generations.Generation) -> tuple[bool, bool | None]:
        """Whether the target answered, and whether it had begun the run that it ended.

        None where it does not know the run: its start may still be on its way.
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
        """Go on with a generation that a former process of this agent had started."""
        state = self.state
        state.held[generation.id] = generation
        state.running.append(generation)
        generation.state = generations.State.RUNNING
        generation.started = True
        generation.ran_since = asyncio.get_running_loop().time()
        self._record("generation.adopt", generation)
        self._spawn(self._run(generation))

    async def _run(self, generation: generations.Generation) -> None:
        if generation.end is not None and not generation.started:
            return  # ended between its admission and now; its reader was told that it did not run
        generation.is_read = True
        try:
            fault = await self._read_to_end(generation)
        finally:
            generation.is_read = False
            self.state.release(generation)
            self.wake()
        now = asyncio.get_running_loop().time()
        if fault is not None and generation.end is None and not generation.cancel_reason:
            self._record("generation.fail", generation, kind=fault.kind, ran=fault.ran)
            generation.fail(fault, now)

    async def _read_to_end(self, generation: generations.Generation) -> faults.Fault | None:
        """Read the stream, resuming as often as needed; a fault if it is lost."""
        fresh = not generation.started
        generation.started = True
        tries = 0
        while True:
            stream = self._open(generation, fresh)
            before = len(generation.texts)
            try:
                await self._read_stream(generation, stream)
                return None
            except runners.UnknownGeneration:
                return self._describe_loss(generation, "the target no longer knows it")
            except runners.TargetError as error:
                if fresh and not error.reached:
                    generation.started = False
                    return faults.new_fault(
                        kinds.ErrorKind.TARGET_FAILED, str(error), ran=kinds.Ran.NO
                    )
                reason = str(error)
            except faults.FaultError as error:
                reason = error.fault.message
            fresh = False
            tries = 0 if len(generation.texts) > before else tries + 1
            if tries >= len(RESUME_DELAYS) or not self.state.is_runner:
                return self._describe_loss(generation, reason)
            await asyncio.sleep(RESUME_DELAYS[tries])
            self._record("generation.resume", generation, offset=len(generation.texts))

    def _open(
        self, generation: generations.Generation, fresh: bool
    ) -> AsyncIterator[runners.Chunk | runners.Finish]:
        start = generation.start
        if not fresh:
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
            fresh = generation.add(item.offset, item.texts, now)
            state.count_tokens(workspace, fresh, now)

    def _finish(
        self, generation: generations.Generation, finish: runners.Finish, now: float
    ) -> None:
        if finish.tokens != len(generation.texts):
            message = f"the target says {finish.tokens} tokens, {len(generation.texts)} came"
            raise faults.FaultError(faults.new_fault(kinds.ErrorKind.TARGET_FAILED, message))
        if finish.reason == "cancelled":
            if not generation.cancel_reason:
                fault = faults.new_fault(
                    kinds.ErrorKind.CANCELLED, "the target cancelled it", ran=kinds.Ran.YES
                )
                generation.fail(fault, now)
            return
        start = generation.start
        if finish.reason == "stop" and self.state.is_runner:
            self.state.length_book.add(
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
                self.state.take_load(load, loop.time())
            except (runners.TargetError, OSError):
                self.state.load_failures += 1
            self.wake()
            await asyncio.sleep(LOAD_SECONDS)

    async def _follow_cache(self) -> None:
        """Read cache events for ever; they come late and with gaps."""
        seen = 0
        while True:
            try:
                async for event in self.state.client.read_cache_events(seen):
                    self.state.take_cache_event(event, seen + 1)
                    seen = event.number
            except (runners.TargetError, runners.UnknownGeneration, OSError, ValueError):
                seen = 0
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
