"""Functions of a fake engine in the same event loop, for tests and benchmarks in virtual time."""

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
    """Functions of whatever engine stands there at the moment; None is a dead runner.

    Parameters
    ----------
    get_engine : callable
        Gives the engine.
    models : list of str
        Models that it has loaded.
    load_lag : float
        Age of load reports in seconds.
    distort : callable
        Changes reports, for runners that report wrongly.
    """

    def reach() -> engines.Engine:
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
        engine = reach()
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
        engine = reach()
        async for item in follow(engine, find(engine, generation_id), offset):
            yield item

    async def read_owner(generation_id: str) -> tuple[str, int]:
        sequence = find(reach(), generation_id)
        return sequence.owner, sequence.prompt_tokens

    async def pause(generation_id: str) -> bool:
        return reach().pause(generation_id)

    async def unpause(generation_id: str) -> bool:
        return reach().unpause(generation_id)

    async def cancel(generation_id: str) -> bool | None:
        return reach().cancel(generation_id)

    async def read_load() -> core.RunnerLoad:
        engine = reach()
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
            for number, what, prefix_hash in reach().cache_events[after:]:
                after = number
                yield core.CacheEvent(number, what == "stored", prefix_hash)
            await asyncio.sleep(0.5)

    async def give_order(order: core.Order) -> list[str]:
        reach()
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
