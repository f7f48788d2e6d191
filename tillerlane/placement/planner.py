"""Plans the next order from demand; a pure function of what is known.

A model without a copy that somebody asks for comes first.  Otherwise a copy is added where demand
on each copy is above one threshold, and one is taken away where the remaining copies would still
be below another: the two are apart, so that the plan does not swing.  The last copy stays, and so
does what operators have pinned.
"""

import dataclasses
from collections.abc import Mapping

__all__ = ["Demand", "PlannedOrder", "RunnerState", "plan_next"]

HIGH_LOAD = 0.75
"""Load of each copy above which another one is added, as a share of a runner."""
LOW_LOAD = 0.35
"""Load that the remaining copies may reach for one to be taken away."""


@dataclasses.dataclass(frozen=True, slots=True)
class Demand:
    """Demand for a model of a pool: load in runners' worth, and requests that found no copy."""

    load: float = 0.0
    unserved: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class RunnerState:
    """A runner as its agent tells of it; `load` is the share of it in use."""

    name: str
    pool: str
    models: frozenset[str]
    load: float
    leaving: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class PlannedOrder:
    """The next order, and why."""

    target: str
    action: str
    model: str
    reason: str


def _count_copies(model: str, runners: list[RunnerState]) -> int:
    return sum(model in runner.models and not runner.leaving for runner in runners)


def _plan_load(
    model: str, runners: list[RunnerState], most: int, reason: str
) -> PlannedOrder | None:
    """Load at the least loaded runner that lacks the model and has room for one more."""
    able = [
        runner
        for runner in runners
        if not runner.leaving and model not in runner.models and len(runner.models) < most
    ]
    chosen = min(able, key=lambda runner: (runner.load, runner.name), default=None)
    return PlannedOrder(chosen.name, "load", model, reason) if chosen is not None else None


def plan_next(
    models: Mapping[str, list[str]],
    runners: list[RunnerState],
    demand: Mapping[tuple[str, str], Demand],
    pins: set[tuple[str, str]],
    max_models: int,
) -> PlannedOrder | None:
    """The one order to give next, or None.

    Parameters
    ----------
    models : mapping
        Pool to its models.
    runners : list of RunnerState
        All runners heard of.
    demand : mapping
        (pool, model) to its demand.
    pins : set
        (runner, model) that stay whatever demand says.
    most_models : int
        Models that one runner holds at most.
    """
    by_pool = {pool: [item for item in runners if item.pool == pool] for pool in models}
    for target, model in sorted(pins):
        order = _plan_pin(target, model, runners)
        if order is not None:
            return order
    pairs = [(pool, model) for pool, names in models.items() for model in names]
    pairs.sort(key=lambda pair: -demand.get(pair, Demand()).unserved)
    for plan in (_plan_first_copy, _plan_more, _plan_less):
        for pool, model in pairs:
            wanted = demand.get((pool, model), Demand())
            order = plan(model, by_pool[pool], wanted, pins, max_models)
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
    wanted: Demand,
    pins: set[tuple[str, str]],
    most: int,
) -> PlannedOrder | None:
    if wanted.unserved == 0 or _count_copies(model, runners) > 0:
        return None
    return _plan_load(model, runners, most, f"{wanted.unserved} asked, no copy")


def _plan_more(
    model: str,
    runners: list[RunnerState],
    wanted: Demand,
    pins: set[tuple[str, str]],
    most: int,
) -> PlannedOrder | None:
    copies = _count_copies(model, runners)
    if copies == 0 or wanted.load / copies <= HIGH_LOAD:
        return None
    return _plan_load(model, runners, most, f"load {wanted.load:.2f} on {copies} copies")


def _plan_less(
    model: str,
    runners: list[RunnerState],
    wanted: Demand,
    pins: set[tuple[str, str]],
    most: int,
) -> PlannedOrder | None:
    copies = _count_copies(model, runners)
    if copies < 2 or wanted.load / (copies - 1) >= LOW_LOAD:
        return None
    able = [
        runner
        for runner in runners
        if model in runner.models
        and not runner.leaving
        and len(runner.models) > 1
        and (runner.name, model) not in pins
    ]
    chosen = max(able, key=lambda runner: (runner.load, runner.name), default=None)
    if chosen is None:
        return None
    reason = f"load {wanted.load:.2f} on {copies} copies"
    return PlannedOrder(chosen.name, "unload", model, reason)
