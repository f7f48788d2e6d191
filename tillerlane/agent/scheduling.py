"""Scheduling decisions at a target: which generations start, resume or are paused.

`decide` reads the state and returns actions; it changes nothing but cached ranks.  The memory of
generations is counted by the agent itself, since a runner's reports may be late or wrong.
"""

import dataclasses
import heapq
import itertools
from collections.abc import Callable

from tillerlane.agent import forecast
from tillerlane.agent import generation as generations
from tillerlane.agent import target as targets
from tillerlane.faults import core as faults
from tillerlane.faults import kinds
from tillerlane.policy import builtin, facts

__all__ = ["Admit", "Pause", "Unpause", "check_arrival", "decide"]

LOOKAHEAD_STEPS = 8
"""Tokens that each generation may produce before the next decision takes effect."""
MAX_RANKS_PER_DECISION = 48
"""Ranks evaluated in one decision; the others keep their last value."""
RANK_TTL_SECONDS = 0.5
"""Age below which a rank is not evaluated again."""
MAX_CANDIDATES_PER_DECISION = 32
"""Waiting requests considered in one decision, of the urgent ones and of the others each."""
PREEMPTION_DELAY_SECONDS = 0.5
"""Wait of an urgent request after which another generation is preempted for it."""
MAX_MISS_PROBABILITY = 0.95
"""Probability of missing its deadline above which a waiting request is cancelled."""
RESUME_RISK_SHARE = 0.5
"""Share of the accepted risk at which a paused generation resumes, so that it is not paused again
immediately."""
TOP_RANKS = 16


@dataclasses.dataclass(frozen=True, slots=True)
class Admit:
    """Start a waiting generation."""

    generation: generations.Generation


@dataclasses.dataclass(frozen=True, slots=True)
class Unpause:
    """Resume a paused generation."""

    generation: generations.Generation


@dataclasses.dataclass(frozen=True, slots=True)
class Pause:
    """Pause a running generation to free its memory."""

    generation: generations.Generation


Action = Admit | Unpause | Pause
Readers = dict[str, Callable[[], facts.Value]]


def build_fixed_facts(
    generation: generations.Generation, state: targets.TargetState
) -> dict[str, facts.Value]:
    """Facts of a request that are constant over its life."""
    start = generation.start
    return {
        "workspace": start.workspace,
        "class_name": start.class_name,
        "model": start.model,
        "priority": float(generation.priority),
        "urgent": generation.urgent,
        "repeatable": generation.repeatable,
        "prompt_tokens": float(start.prompt_tokens),
        "max_tokens": float(start.max_tokens),
        "workspace_weight": state.weights.get(start.workspace, 1.0),
    }


def bind_readers(
    generation: generations.Generation,
    state: targets.TargetState,
    leads: dict[str, float],
    now: float,
) -> Readers:
    """Functions that return the current facts of a generation."""
    waited_before = generation.start.waited_ms / 1000
    return {
        "expected_tokens": lambda: (
            len(generation.texts) + generation.predict_remaining().expected_remaining
        ),
        "waited_s": lambda: now - generation.arrived + waited_before,
        "deadline_left_s": lambda: max(0.0, generation.deadline - now),
        "workspace_lead": lambda: leads.get(generation.start.workspace, 0.0),
        "times_paused": lambda: float(generation.times_paused),
        "written_tokens": lambda: float(len(generation.texts)),
        "delivered_tokens": lambda: float(generation.delivered),
        "expected_left_tokens": lambda: generation.predict_remaining().expected_remaining,
        "memory_tokens": lambda: float(generation.memory),
        "runs_s": lambda: now - generation.running_since,
        "waiting": lambda: float(len(state.waiting)),
        "running": lambda: float(len(state.running)),
        "memory_share": lambda: state.memory_used / max(1, state.memory_total),
        "memory_total": lambda: float(state.memory_total),
        "urgent_share": lambda: state.urgent_share,
        "estimated_wait_s": lambda: state.estimate_wait(generation.urgent),
    }


def rank_generation(
    generation: generations.Generation,
    state: targets.TargetState,
    leads: dict[str, float],
    now: float,
) -> float:
    """Rank by the policy, cached on the generation."""
    if generation.ranker is None:
        generation.ranker = state.program.bind("rank", build_fixed_facts(generation, state))
    default = builtin.rank(
        priority=float(generation.priority),
        waited_s=now - generation.arrived + generation.start.waited_ms / 1000,
        workspace_lead=leads.get(generation.start.workspace, 0.0),
        times_paused=float(generation.times_paused),
    )
    if generation.ranker.is_builtin:
        generation.rank = default
    else:
        readers = bind_readers(generation, state, leads, now)
        generation.rank = float(generation.ranker.evaluate(readers, default))
    generation.rank_at = now
    return generation.rank


def _get_rank_at(generation: generations.Generation) -> float:
    return generation.rank_at


def _get_negative_rank(generation: generations.Generation) -> float:
    return -generation.rank


def order_waiting(
    state: targets.TargetState, leads: dict[str, float], now: float
) -> list[generations.Generation]:
    """Waiting generations, highest rank first; evaluates a bounded number of ranks.

    New arrivals, the highest ranked and the least recently evaluated are updated; the order of the
    others is at most a few decisions old.
    """
    waiting = state.waiting
    if state.program.expressions.get("rank") is None or len(waiting) <= MAX_RANKS_PER_DECISION:
        stale = [item for item in waiting if now - item.rank_at > 0]
    else:
        stalest = heapq.nsmallest(MAX_RANKS_PER_DECISION - TOP_RANKS, waiting, key=_get_rank_at)
        stale = [
            item
            for item in [*waiting[:TOP_RANKS], *stalest]
            if now - item.rank_at > RANK_TTL_SECONDS
        ]
    for generation in stale:
        rank_generation(generation, state, leads, now)
    waiting.sort(key=_get_negative_rank)
    return waiting


def evaluate(
    name: str,
    default: facts.Value,
    generation: generations.Generation,
    state: targets.TargetState,
    leads: dict[str, float],
    now: float,
) -> facts.Value:
    """Value of a policy expression for a generation."""
    if name not in state.program.expressions:
        return default
    evaluator = state.program.bind(name, build_fixed_facts(generation, state))
    value = evaluator.evaluate(bind_readers(generation, state, leads, now), default)
    generation.explained[name] = {"value": value, "facts": dict(evaluator.facts)}
    return value


def compute_headroom(state: targets.TargetState) -> float:
    """Share of memory and batch slots reserved for urgent requests."""
    if "headroom" not in state.program.expressions:
        return builtin.HEADROOM
    evaluator = state.program.bind("headroom", {})
    readers: Readers = {
        "waiting": lambda: float(len(state.waiting)),
        "running": lambda: float(len(state.running)),
        "memory_share": lambda: state.memory_used / max(1, state.memory_total),
        "memory_total": lambda: float(state.memory_total),
        "urgent_share": lambda: state.urgent_share,
    }
    return float(evaluator.evaluate(readers, builtin.HEADROOM))


def choose_victim(
    running: list[generations.Generation],
    state: targets.TargetState,
    leads: dict[str, float],
    now: float,
) -> generations.Generation | None:
    """Generation to preempt: the least often paused, among those the highest ``sacrifice``."""
    scores: dict[generations.Generation, float] = {}
    for generation in running:
        default = builtin.sacrifice(
            priority=float(generation.priority),
            written_tokens=float(len(generation.texts)),
            expected_left_tokens=generation.predict_remaining().expected_remaining,
            memory_tokens=float(generation.memory),
        )
        score = float(evaluate("sacrifice", default, generation, state, leads, now))
        if score >= 0:
            scores[generation] = score
    if not scores:
        return None
    return min(scores, key=lambda item: (item.times_paused, -scores[item]))


def _pause_for_memory(
    state: targets.TargetState, leads: dict[str, float], now: float
) -> list[Action]:
    """Pause generations until the next steps of the others fit into memory."""
    remaining = list(state.running)
    actions: list[Action] = []
    used = state.memory_used
    while len(remaining) > 1 and used + LOOKAHEAD_STEPS * len(remaining) > state.usable_memory:
        victim = choose_victim(remaining, state, leads, now)
        if victim is None:
            break
        remaining.remove(victim)
        used -= victim.memory
        actions.append(Pause(victim))
    return actions


@dataclasses.dataclass(slots=True)
class _Batch:
    """The batch including the generations admitted so far in this decision."""

    forecast: forecast.BatchForecast
    used: int
    count: int

    def add(self, generation: generations.Generation) -> None:
        self.forecast.add(generation)
        self.used += generation.memory
        self.count += 1


def _fits(
    generation: generations.Generation,
    batch: _Batch,
    state: targets.TargetState,
    headroom: float,
    leads: dict[str, float],
    now: float,
) -> bool:
    reserved = 0.0 if generation.urgent else headroom
    if batch.count >= max(1, round(state.batch_limit * (1.0 - reserved))):
        return False
    capacity = state.usable_memory * (1.0 - reserved)
    needed = batch.used + generation.memory + LOOKAHEAD_STEPS * (batch.count + 1)
    if batch.count == 0:
        return generation.memory <= state.usable_memory
    if needed > capacity:
        return False
    limit = float(evaluate("admit_risk", builtin.ADMIT_RISK, generation, state, leads, now))
    if generation.state is generations.State.PAUSED:
        limit *= RESUME_RISK_SHARE
    extended = forecast.BatchForecast()
    extended.copy(batch.forecast)
    extended.add(generation)
    return extended.risk(capacity) <= limit


def _order_candidates(
    state: targets.TargetState, leads: dict[str, float], now: float
) -> list[generations.Generation]:
    """Urgent requests, then paused generations, then other requests, each by rank."""
    waiting = order_waiting(state, leads, now)
    for generation in state.paused:
        rank_generation(generation, state, leads, now)
    paused = sorted(state.paused, key=lambda item: -item.rank)
    urgent = itertools.islice(
        (item for item in waiting if item.urgent), MAX_CANDIDATES_PER_DECISION
    )
    others = itertools.islice(
        (item for item in waiting if not item.urgent), MAX_CANDIDATES_PER_DECISION
    )
    return [*urgent, *paused, *others]


def _preempt_for_urgent(
    state: targets.TargetState, leads: dict[str, float], now: float
) -> list[Action]:
    """Pause one generation for an urgent request that has waited too long.

    Generations that were paused before are exempt, as are those with a negative ``sacrifice``.
    """
    waits = [now - item.arrived for item in state.waiting if item.urgent]
    if not waits or max(waits) < PREEMPTION_DELAY_SECONDS:
        return []
    eligible = [item for item in state.running if not item.urgent and not item.times_paused]
    if len(state.running) < 2:
        return []
    victim = choose_victim(eligible, state, leads, now)
    return [Pause(victim)] if victim is not None else []


def _admit(state: targets.TargetState, leads: dict[str, float], now: float) -> list[Action]:
    headroom = compute_headroom(state)
    batch = _Batch(forecast.BatchForecast(state.running), state.memory_used, len(state.running))
    actions: list[Action] = []
    blocked: set[bool] = set()
    for generation in _order_candidates(state, leads, now):
        if generation.urgent in blocked:
            continue
        if not _fits(generation, batch, state, headroom, leads, now):
            blocked.add(generation.urgent)
            if len(blocked) == 2:
                break
            continue
        batch.add(generation)
        is_paused = generation.state is generations.State.PAUSED
        actions.append(Unpause(generation) if is_paused else Admit(generation))
    return actions


def _admit_calls(state: targets.TargetState) -> list[Action]:
    """Admit calls of a plain service, which are bounded by their concurrency only."""
    free = max(0, state.batch_limit - len(state.running))
    return [Admit(generation) for generation in state.waiting[:free]]


def decide(state: targets.TargetState, now: float) -> list[Action]:
    """Actions to take now.

    Parameters
    ----------
    state : targets.TargetState
        The target.
    now : float
        Time of the event loop, in seconds.
    """
    if not state.is_runner:
        return _admit_calls(state)
    if not state.waiting and not state.paused and not state.running:
        return []
    leads = state.compute_leads()
    actions = _pause_for_memory(state, leads, now)
    if actions or not state.healthy or not (state.waiting or state.paused):
        return actions
    actions = _admit(state, leads, now)
    return actions or _preempt_for_urgent(state, leads, now)


def cannot_meet_deadline(
    generation: generations.Generation, state: targets.TargetState, now: float
) -> bool:
    """Whether a waiting request would most likely miss its deadline even if it started now.

    Such a request fails early rather than at its deadline.
    """
    available_tokens = max(0.0, generation.deadline - now) / max(1e-4, state.step_seconds)
    if available_tokens >= generation.start.max_tokens:
        return False
    return generation.length_model.compute_survival(available_tokens) > MAX_MISS_PROBABILITY


def check_arrival(
    generation: generations.Generation, state: targets.TargetState, now: float
) -> faults.Fault | None:
    """Fault with which a new request is refused on arrival; none of it has run."""
    if state.leaving:
        return faults.new_fault(kinds.ErrorKind.LEAVING, f"{state.name} is leaving")
    if not state.healthy:
        return faults.new_fault(kinds.ErrorKind.NO_CAPACITY, f"{state.name} is unhealthy")
    wait = state.estimate_wait(generation.urgent)
    if len(state.waiting) >= state.max_waiting:
        message = f"{state.name}: queue full, {len(state.waiting)} of {state.max_waiting} waiting"
        return faults.new_fault(
            kinds.ErrorKind.NO_CAPACITY, message, retry_after=max(1.0, wait / 2)
        )
    if generation.memory > state.memory_total > 0 and state.is_runner:
        message = f"got prompt of {generation.memory} tokens, expected at most {state.memory_total}"
        return faults.new_fault(kinds.ErrorKind.BAD_REQUEST, message)
    if not state.waiting and not state.paused:
        return None
    service_time = generation.predict_remaining().expected_remaining * state.step_seconds
    default = builtin.may_wait(
        estimated_wait_s=wait + service_time, deadline_left_s=generation.deadline - now
    )
    if evaluate("may_wait", default, generation, state, {}, now):
        return None
    message = f"{state.name}: estimated wait of {wait:.1f} s exceeds the limit of the policy"
    return faults.new_fault(kinds.ErrorKind.NO_CAPACITY, message, retry_after=max(1.0, wait))
