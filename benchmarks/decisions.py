"""Processor time of one scheduling decision at an agent, by number of waiting requests."""

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

__all__ = ["measure_decisions"]

WAITING_COUNTS = (10, 100, 1_000, 10_000)
RUNNING_COUNT = 100
DECISIONS_PER_SIZE = 40
POLICY = documents.Policy(
    rank="priority + 0.2 * waited_s - 0.01 * workspace_lead",
    sacrifice="urgent ? -1.0 : memory_tokens + expected_left_tokens",
    admit_risk="urgent ? 0.2 : 0.02",
    headroom="urgent_share > 0.2 ? 0.2 : 0.1",
)


def build_state(waiting: int, running: int) -> targets.TargetState:
    """Build a target with requests of 20 workspaces, half of them urgent."""
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
        length_model = state.length_models.get(workspace, "c", "m")
        urgent = number % 2 == 0
        generation = generations.Generation(
            start, number / 1e4, 1e9, 50, urgent, True, length_model
        )
        if number < running:
            generation.state = generations.State.RUNNING
            generation.texts = ["x"] * (number * 7 % 400)
            state.running.append(generation)
            state.held[generation.id] = generation
        else:
            state.enqueue(generation)
    return state


def measure_decisions() -> list[dict[str, float]]:
    """Measure the median seconds of a decision for each number of waiting requests."""
    rows = []
    for waiting in WAITING_COUNTS:
        state = build_state(waiting, RUNNING_COUNT)
        scheduling.decide(state, 2.0)
        times = []
        for number in range(DECISIONS_PER_SIZE):
            started_at = time.process_time()
            scheduling.decide(state, 3.0 + number)
            times.append(time.process_time() - started_at)
        times.sort()
        rows.append(
            {"waiting": waiting, "running": RUNNING_COUNT, "decision_s": times[len(times) // 2]}
        )
        print(json.dumps(rows[-1]), flush=True)
    return rows


if __name__ == "__main__":
    asyncio.set_event_loop(asyncio.new_event_loop())
    measure_decisions()
