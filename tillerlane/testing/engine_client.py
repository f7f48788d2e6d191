"""Client of a simulated engine in the same event loop, for tests in virtual time."""

import asyncio
from collections.abc import AsyncIterator, Callable

from tillerlane.runners import core
from tillerlane.testing import engine as engines

__all__ = ["connect"]

LOAD_LAG_SECONDS = 0.25


def connect(
    get_engine: Callable[[], engines.Engine | None],
    models: list[str],
    load_lag: float = LOAD_LAG_SECONDS,
    distort: Callable[[core.RunnerLoad], core.RunnerLoad] = lambda load: load,
) -> core.RunnerClient:
    """Build a client that calls the engine that `get_engine` returns at each call.

    Parameters
    ----------
    get_engine : callable
        Returns the current engine; None if the runner is dead.
    models : list of str
        Models that are loaded.
    load_lag : float
        Age of load reports in seconds.
    distort : callable
        Modifies load reports, to simulate runners that report wrong values.
    """

    def get_live_engine() -> engines.Engine:
        engine = get_engine()
        if engine is None or engine.dead:
            raise core.TargetError("connection refused", reached=False)
        return engine

    async def follow(
        engine: engines.Engine, sequence: engines.Sequence, offset: int
    ) -> AsyncIterator[core.Chunk | core.Finish]:
        while True:
            changed = sequence.changed
            if engine.dead:
                raise core.TargetError("connection reset", reached=True)
            if len(sequence.written) > offset:
                fresh = sequence.written[offset:]
                yield core.Chunk(offset, fresh)
                offset += len(fresh)
            if sequence.phase is engines.Phase.ENDED and offset >= len(sequence.written):
                yield core.Finish(sequence.reason, len(sequence.written))
                return
            await changed.wait()

    async def start(job: core.Job) -> AsyncIterator[core.Chunk | core.Finish]:
        engine = get_live_engine()
        sequence = engine.start(
            job.generation_id,
            prompt_tokens=job.prompt_tokens,
            max_tokens=job.max_tokens,
            priority=job.priority,
            owner=job.owner,
            seed_text=job.payload.decode(),
            prefix_hash=job.prefix_hash,
            prefix_tokens=job.prefix_tokens,
        )
        async for item in follow(engine, sequence, 0):
            yield item

    def find(engine: engines.Engine, generation_id: str) -> engines.Sequence:
        sequence = engine.sequences.get(generation_id)
        if sequence is None:
            raise core.UnknownGeneration(generation_id)
        return sequence

    async def resume(generation_id: str, offset: int) -> AsyncIterator[core.Chunk | core.Finish]:
        engine = get_live_engine()
        async for item in follow(engine, find(engine, generation_id), offset):
            yield item

    async def read_owner(generation_id: str) -> tuple[str, int]:
        sequence = find(get_live_engine(), generation_id)
        return sequence.owner, sequence.prompt_tokens

    async def pause(generation_id: str) -> bool:
        return get_live_engine().pause(generation_id)

    async def unpause(generation_id: str) -> bool:
        return get_live_engine().unpause(generation_id)

    async def cancel(generation_id: str) -> bool | None:
        return get_live_engine().cancel(generation_id)

    async def read_load() -> core.RunnerLoad:
        engine = get_live_engine()
        load = core.RunnerLoad(
            memory_total=engine.spec.memory_tokens,
            memory_used=engine.memory_used,
            running=len(engine.running),
            waiting=len(engine.waiting),
            batch_limit=engine.spec.batch_limit,
            step_ms=engine.last_step_seconds * 1000,
            preemptions=engine.preemptions,
            models=models,
        )
        await asyncio.sleep(load_lag)
        return distort(load)

    async def read_cache_events(after: int) -> AsyncIterator[core.CacheEvent]:
        while True:
            for number, what, prefix_hash in get_live_engine().cache_events[after:]:
                after = number
                yield core.CacheEvent(number, what == "stored", prefix_hash)
            await asyncio.sleep(0.5)

    async def give_order(order: core.Order) -> list[str]:
        get_live_engine()
        (models.append if order.action == "load" else models.remove)(order.model)
        return list(models)

    async def close() -> None:
        return None

    return core.RunnerClient(
        start=start,
        resume=resume,
        read_owner=read_owner,
        pause=pause,
        unpause=unpause,
        cancel=cancel,
        read_load=read_load,
        read_cache_events=read_cache_events,
        give_order=give_order,
        close=close,
    )
