"""Program of a fake runner: the engine of `tillerlane.testing.engine` behind HTTP and SSE.

It implements the protocol of `tillerlane.runners.sse_runner`.
"""

import argparse
import asyncio
import collections
import contextlib
import json
import random
from collections.abc import AsyncIterator
from typing import Any

import litestar
import uvicorn
from litestar import response

from tillerlane.testing import engine as engines
from tillerlane.testing import texts

LOAD_LAG_SECONDS = 0.25
CACHE_EVENT_LAG_SECONDS = 0.5
CACHE_EVENT_LOSS = 0.05
"""Share of cache events that are never published, which leaves gaps in their numbers."""


class RunnerState:
    """The engine, its delayed load report and the orders that it has executed."""

    def __init__(self, engine: engines.Engine, models: list[str], checks_fence: bool) -> None:
        self.engine = engine
        self.models = set(models)
        self.checks_fence = checks_fence
        self.fence: tuple[int, int] = (0, 0)
        self.orders: list[dict[str, Any]] = []
        self.started: collections.Counter[str] = collections.Counter()
        self.load: dict[str, Any] = self.read_load()

    def read_load(self) -> dict[str, Any]:
        """Return the current load."""
        engine = self.engine
        return {
            "memory_total": engine.spec.memory_tokens,
            "memory_used": engine.memory_used,
            "running": len(engine.running),
            "waiting": len(engine.waiting),
            "batch_limit": engine.spec.batch_limit,
            "step_ms": engine.last_step_seconds * 1000,
            "preemptions": engine.preemptions,
            "models": sorted(self.models),
        }

    async def publish_load(self) -> None:
        """Update the load report with a delay of `LOAD_LAG_SECONDS`."""
        while True:
            seen = self.read_load()
            await asyncio.sleep(LOAD_LAG_SECONDS)
            self.load = seen


async def _stream_sequence(sequence: engines.Sequence, offset: int) -> AsyncIterator[bytes]:
    while True:
        changed = sequence.changed
        if len(sequence.written) > offset:
            fresh = sequence.written[offset:]
            data = json.dumps({"offset": offset, "texts": fresh}, separators=(",", ":"))
            offset += len(fresh)
            yield f"data: {data}\n\n".encode()
        if sequence.phase is engines.Phase.ENDED and offset >= len(sequence.written):
            end = {"end": sequence.reason, "tokens": len(sequence.written)}
            yield f"data: {json.dumps(end)}\n\n".encode()
            return
        await changed.wait()


def _stream(sequence: engines.Sequence, offset: int) -> response.Stream:
    return response.Stream(
        _stream_sequence(sequence, offset),
        media_type="text/event-stream",
        headers={"x-owner": sequence.owner, "x-prompt-tokens": str(sequence.prompt_tokens)},
    )


def _answer(status: int, values: dict[str, Any]) -> litestar.Response[dict[str, Any]]:
    return litestar.Response(values, status_code=status)


def build_app(state: RunnerState) -> litestar.Litestar:
    """Build the runner's HTTP interface."""

    @litestar.post("/v1/generations", status_code=200)
    async def start(data: dict[str, Any]) -> response.Stream | litestar.Response[dict[str, Any]]:
        if data["model"] not in state.models:
            return _answer(404, {"error": "model not loaded"})
        state.started[data["id"]] += 1
        sequence = state.engine.start(
            data["id"],
            prompt_tokens=data["prompt_tokens"],
            max_tokens=data["max_tokens"],
            priority=data["priority"],
            owner=data["owner"],
            seed_text=data.get("prompt", "") or data["id"],
            prefix_hash=data.get("prefix_hash", 0),
            prefix_tokens=data.get("prefix_tokens", 0),
        )
        return _stream(sequence, 0)

    @litestar.get("/v1/generations/{generation_id:str}")
    async def resume(
        generation_id: str, offset: int = 0
    ) -> response.Stream | litestar.Response[dict[str, Any]]:
        sequence = state.engine.sequences.get(generation_id)
        if sequence is None:
            return _answer(404, {"error": "unknown generation"})
        return _stream(sequence, offset)

    @litestar.post("/v1/generations/{generation_id:str}/pause", status_code=200)
    async def pause(generation_id: str) -> dict[str, bool]:
        return {"done": state.engine.pause(generation_id)}

    @litestar.post("/v1/generations/{generation_id:str}/unpause", status_code=200)
    async def unpause(generation_id: str) -> dict[str, bool]:
        return {"done": state.engine.unpause(generation_id)}

    @litestar.delete("/v1/generations/{generation_id:str}", status_code=200)
    async def cancel(generation_id: str) -> litestar.Response[dict[str, Any]]:
        started = state.engine.cancel(generation_id)
        if started is None:
            return _answer(404, {"error": "unknown generation"})
        return _answer(200, {"started": started})

    @litestar.get("/v1/load")
    async def load() -> dict[str, Any]:
        return state.load

    @litestar.get("/v1/cache-events")
    async def cache_events(after: int = 0) -> response.Stream:
        return response.Stream(_publish_cache(state, after), media_type="text/event-stream")

    @litestar.post("/v1/orders", status_code=200)
    async def order(data: dict[str, Any]) -> litestar.Response[dict[str, Any]]:
        fence = tuple(data["fence"])
        if state.checks_fence and fence < state.fence:
            return _answer(409, {"error": "stale fence", "fence": list(state.fence)})
        state.fence = max(state.fence, fence)
        state.orders.append(data)
        change = state.models.add if data["action"] == "load" else state.models.discard
        change(data["model"])
        return _answer(200, {"models": sorted(state.models)})

    @litestar.get("/test/record")
    async def record() -> dict[str, Any]:
        sequences = {
            key: {"owner": item.owner, "tokens": len(item.written), "phase": item.phase.value}
            for key, item in state.engine.sequences.items()
        }
        return {"started": dict(state.started), "orders": state.orders, "sequences": sequences}

    @litestar.post("/test/stall", status_code=200)
    async def stall(data: dict[str, bool]) -> dict[str, bool]:
        state.engine.stalled = data["stalled"]
        return data

    @contextlib.asynccontextmanager
    async def lifespan(app: litestar.Litestar) -> AsyncIterator[None]:
        tasks = [
            asyncio.create_task(state.engine.run()),
            asyncio.create_task(state.publish_load()),
        ]
        yield
        for task in tasks:
            task.cancel()

    return litestar.Litestar(
        [start, resume, pause, unpause, cancel, load, cache_events, order, record, stall],
        lifespan=[lifespan],
        openapi_config=None,
    )


async def _publish_cache(state: RunnerState, after: int) -> AsyncIterator[bytes]:
    losses = random.Random(texts.compute_seed("cache events"))
    while True:
        await asyncio.sleep(CACHE_EVENT_LAG_SECONDS)
        for number, what, prefix_hash in state.engine.cache_events[after:]:
            after = number
            if losses.random() >= CACHE_EVENT_LOSS:
                data = json.dumps({"number": number, "what": what, "prefix": prefix_hash})
                yield f"data: {data}\n\n".encode()


def build_parser() -> argparse.ArgumentParser:
    """Build the parser of the program's arguments."""
    parser = argparse.ArgumentParser(description="Fake runner for tests and the demo.")
    parser.add_argument("--port", type=int, required=True)
    parser.add_argument("--models", default="skrivestue-1")
    parser.add_argument("--memory-tokens", type=int, default=16_000)
    parser.add_argument("--batch-limit", type=int, default=64)
    parser.add_argument("--step-ms", type=float, default=20.0)
    parser.add_argument("--median-tokens", type=float, default=120.0)
    parser.add_argument("--length-spread", type=float, default=0.9)
    parser.add_argument("--checks-fence", action="store_true")
    return parser


def main() -> None:
    """Run the fake runner until it is terminated."""
    arguments = build_parser().parse_args()
    spec = engines.EngineSpec(
        memory_tokens=arguments.memory_tokens,
        batch_limit=arguments.batch_limit,
        step_seconds=arguments.step_ms / 1000,
        median_tokens=arguments.median_tokens,
        length_spread=arguments.length_spread,
    )
    state = RunnerState(engines.Engine(spec), arguments.models.split(","), arguments.checks_fence)
    uvicorn.run(
        build_app(state),
        host="127.0.0.1",
        port=arguments.port,
        log_level="warning",
        http="httptools",
        timeout_graceful_shutdown=1,
    )


if __name__ == "__main__":
    main()
