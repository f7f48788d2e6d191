"""Plans the next placement order from demand; pure functions.

A requested model without a copy comes first.  Otherwise a copy is added where the load per copy is
above one threshold, and one is removed where the remaining copies would stay below another.  The
thresholds are apart so that the plan does not oscillate.  The last copy of a model and copies
pinned by operators are kept.
"""

import dataclasses
from collections.abc import Mapping

__all__ = ["Demand", "PlannedOrder", "RunnerState", "plan_next"]

HIGH_LOAD = 0.75
"""Load per copy above which another copy is added, as a share of a runner."""
LOW_LOAD = 0.35
"""Load per copy below which the remaining copies must stay for one to be removed."""


@dataclasses.dataclass(frozen=True, slots=True)
class Demand:
    """Demand for a model of a pool: load in runners, and requests that no copy could serve."""

    load: float = 0.0
    unserved: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class RunnerState:
    """A runner as reported by its agent; `load` is the share of it in use."""

    name: str
    pool: str
    models: frozenset[str]
    load: float
    leaving: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class PlannedOrder:
    """The next order, and its reason."""

    target: str
    action: str
    model: str
    reason: str


def _count_copies(model: str, runners: list[RunnerState]) -> int:
    return sum(model in runner.models and not runner.leaving for runner in runners)


def _plan_load(
    model: str, runners: list[RunnerState], max_models: int, reason: str
) -> PlannedOrder | None:
    """Load at the least loaded runner that lacks the model and has room for it."""
    eligible = [
        runner
        for runner in runners
        if not runner.leaving and model not in runner.models and len(runner.models) < max_models
    ]
    chosen = min(eligible, key=lambda runner: (runner.load, runner.name), default=None)
    return PlannedOrder(chosen.name, "load", model, reason) if chosen is not None else None


def plan_next(
    models: Mapping[str, list[str]],
    runners: list[RunnerState],
    demand: Mapping[tuple[str, str], Demand],
    pins: set[tuple[str, str]],
    max_models: int,
) -> PlannedOrder | None:
    """Return the next order, or None if the placement fits the demand.

    Parameters
    ----------
    models : mapping
        Pool to its models.
    runners : list of RunnerState
        All known runners.
    demand : mapping
        (pool, model) to its demand.
    pins : set
        (runner, model) pairs that are kept whatever the demand.
    max_models : int
        Maximum number of models on one runner.
    """
    by_pool = {pool: [item for item in runners if item.pool == pool] for pool in models}
    for target, model in sorted(pins):
        order = _plan_pin(target, model, runners)
        if order is not None:
            return order
    pairs = [(pool, model) for pool, names in models.items() for model in names]
    pairs.sort(key=lambda pair: -demand.get(pair, Demand()).unserved)
    for plan in (_plan_first_copy, _plan_scale_up, _plan_scale_down):
        for pool, model in pairs:
            model_demand = demand.get((pool, model), Demand())
            order = plan(model, by_pool[pool], model_demand, pins, max_models)
            if order is not None:
                return order
    return None


def _plan_pin(target: str, model: str, runners: list[RunnerState]) -> PlannedOrder | None:
    for runner in runners:
        if runner.name == target and model not in runner.models and not runner.leaving:
            return PlannedOrder(target, "load", model, "pinned")
    return None


def _plan_first_copy(
    model: str,
    runners: list[RunnerState],
    demand: Demand,
    pins: set[tuple[str, str]],
    max_models: int,
) -> PlannedOrder | None:
    if demand.unserved == 0 or _count_copies(model, runners) > 0:
        return None
    return _plan_load(model, runners, max_models, f"{demand.unserved} requests, no copy")


def _plan_scale_up(
    model: str,
    runners: list[RunnerState],
    demand: Demand,
    pins: set[tuple[str, str]],
    max_models: int,
) -> PlannedOrder | None:
    copies = _count_copies(model, runners)
    if copies == 0 or demand.load / copies <= HIGH_LOAD:
        return None
    return _plan_load(model, runners, max_models, f"load {demand.load:.2f} on {copies} copies")


def _plan_scale_down(
    model: str,
    runners: list[RunnerState],
    demand: Demand,
    pins: set[tuple[str, str]],
    max_models: int,
) -> PlannedOrder | None:
    copies = _count_copies(model, runners)
    if copies < 2 or demand.load / (copies - 1) >= LOW_LOAD:
        return None
    eligible = [
        runner
        for runner in runners
        if model in runner.models
        and not runner.leaving
        and len(runner.models) > 1
        and (runner.name, model) not in pins
    ]
    chosen = max(eligible, key=lambda runner: (runner.load, runner.name), default=None)
    if chosen is None:
        return None
    reason = f"load {demand.load:.2f} on {copies} copies"
    return PlannedOrder(chosen.name, "unload", model, reason)
