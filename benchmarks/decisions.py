"""Processor time of one decision at an agent, by how many wait and run."""

import asyncio
import json
import time

from tillerlane.agent import generation as generations
from tillerlane.agent import scheduling
from tillerlane.agent import target as targets
from tillerlane.config import documents, settings
from tillerlane.peers import messages
from tillerlane.policy import program as programs
from tillerlane.testing import engine, engine_client

__all__ = ["measure_slopes"]

WAITING = (10, 100, 1_000, 10_000)
RUNNING = 100
REPEATS = 40
POLICY = documents.Policy(
    rank="priority + 0.2 * waited_s - 0.01 * workspace_lead",
    sacrifice="urgent ? -1.0 : memory_tokens + expected_left_tokens",
    admit_risk="urgent ? 0.2 : 0.02",
    headroom="urgent_share > 0.2 ? 0.2 : 0.1",
)


def build_state(waiting: int, running: int) -> targets.TargetState:
    """A target with so many requests, of 20 workspaces and two classes."""
    client = engine_client.connect(lambda: engine.Engine(engine.EngineSpec()), ["m"])
    program = programs.compile_program("policy", POLICY).unwrap()
    state = targets.TargetState("t", settings.TargetKind.RUNNER, client, program)
    state.memory_total = 80_000
    state.batch_limit = running + 4
    for number in range(waiting + running):
        workspace = f"workspace-{number % 20}"
        start = messages.Start(
            f"t~c~{number}", f"r-{number}", workspace, "c", "m", "t", b"", 200, 2_000
        )
        book = state.length_models.get(workspace, "c", "m")
        urgent = number % 2 == 0
        item = generations.Generation(start, number / 1e4, 1e9, 50, urgent, True, book)
        if number < running:
            item.state = generations.State.RUNNING
            item.texts = ["x"] * (number * 7 % 400)
            state.running.append(item)
            state.held[item.id] = item
        else:
            state.enqueue(item)
    return state


def measure_slopes() -> list[dict[str, float]]:
    """Seconds of a decision for each number of waiting requests; the median of some."""
    rows = []
    for waiting in WAITING:
        state = build_state(waiting, RUNNING)
        scheduling.decide(state, 2.0)
        times = []
        for number in range(REPEATS):
            began = time.process_time()
            scheduling.decide(state, 3.0 + number)
            times.append(time.process_time() - began)
        times.sort()
        rows.append({"waiting": waiting, "running": RUNNING, "decision_s": times[len(times) // 2]})
        print(json.dumps(rows[-1]), flush=True)
    return rows


if __name__ == "__main__":
    asyncio.set_event_loop(asyncio.new_event_loop())
    measure_slopes()
