"""Baseline rules for comparison: scheduling at the agent and routing at the entry."""

import itertools

from tillerlane.agent import scheduling
from tillerlane.agent import target as targets
from tillerlane.entry import fleet, requests

__all__ = ["decide_arrival_order", "decide_fixed_share", "make_least_reported", "make_round_robin"]

FIXED_SHARE = 0.25
"""Share of ``max_tokens`` that `decide_fixed_share` reserves for each request."""


def decide_arrival_order(state: targets.TargetState, now: float) -> list[scheduling.Action]:
    """Admit in arrival order while the prompt fits; the engine preempts the newest."""
    actions: list[scheduling.Action] = []
    used = state.memory_used
    count = len(state.running)
    for generation in state.waiting:
        if count >= state.batch_limit or used + generation.memory > state.usable_memory:
            break
        used += generation.memory
        count += 1
        actions.append(scheduling.Admit(generation))
    return actions


def decide_fixed_share(state: targets.TargetState, now: float) -> list[scheduling.Action]:
    """Admit in arrival order, reserving a fixed share of each request's ``max_tokens``."""

    def reserve(generation: object) -> float:
        start = generation.start  # type: ignore[attr-defined]
        return max(
            generation.memory,  # type: ignore[attr-defined]
            start.prompt_tokens + FIXED_SHARE * start.max_tokens,
        )

    actions: list[scheduling.Action] = []
    used = sum(reserve(generation) for generation in state.running)
    count = len(state.running)
    for generation in state.waiting:
        if count and (
            count >= state.batch_limit or used + reserve(generation) > state.usable_memory
        ):
            break
        used += reserve(generation)
        count += 1
        actions.append(scheduling.Admit(generation))
    return actions


def make_round_robin() -> object:
    """Build a rule that picks the targets in turn."""
    counter = itertools.count()

    def choose(request: requests.Request, records: list[fleet.TargetRecord]) -> fleet.TargetRecord:
        return records[next(counter) % len(records)]

    return choose


def make_least_reported() -> object:
    """Build a rule that picks the target with the fewest requests in its last report.

    Requests sent since that report are not counted.
    """

    def choose(request: requests.Request, records: list[fleet.TargetRecord]) -> fleet.TargetRecord:
        return min(
            records,
            key=lambda item: (item.load.waiting + item.load.running) if item.load else 0,
        )

    return choose
