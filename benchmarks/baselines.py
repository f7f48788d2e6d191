"""Fixed rules to compare with: at the agent and at the entry."""

import itertools

from tillerlane.agent import scheduling
from tillerlane.agent import target as targets
from tillerlane.entry import fleet, requests

__all__ = ["decide_arrival_order", "decide_fixed_share", "make_least_reported", "make_round_robin"]

FIXED_SHARE = 0.25
"""Share of ``max_tokens`` that the rule of fixed shares reserves for each request."""


def decide_arrival_order(state: targets.TargetState, now: float) -> list[scheduling.Action]:
    """Start in the order of arrival while the prompt fits; the engine pushes the newest aside."""
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
    """Start in the order of arrival while a fixed share of each one's bound is reserved."""

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
    """Targets in turn."""
    turn = itertools.count()

    def choose(request: requests.Request, records: list[fleet.TargetRecord]) -> fleet.TargetRecord:
        return records[next(turn) % len(records)]

    return choose


def make_least_reported() -> object:
    """The target with the least in its last report, whatever was sent since."""

    def choose(request: requests.Request, records: list[fleet.TargetRecord]) -> fleet.TargetRecord:
        return min(
            records,
            key=lambda item: (item.load.waiting + item.load.running) if item.load else 0,
        )

    return choose
