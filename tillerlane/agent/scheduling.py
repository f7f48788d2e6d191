"""Decisions at a target: who starts, who goes on, who is set aside.

`decide` reads the state and gives actions; it changes nothing but cached ranks.  Memory is
counted by the agent itself, so that a runner that reports late or wrongly misleads nobody.
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
"""Tokens that each generation may write before the next decision takes effect."""
MAX_RANKS_PER_DECISION = 48
"""Ranks evaluated anew in one decision; the others keep their last value."""
RANK_AGE_SECONDS = 0.5
"""A rank younger than this is not evaluated anew."""
MAX_CANDIDATES_PER_DECISION = 32
DISPLACE_AFTER_SECONDS = 0.5
"""Wait of urgent work after which another generation yields to it."""
HOPELESS_CHANCE = 0.95
"""Chance of missing its deadline at which a waiting request is given up."""
RESUME_RISK_SHARE = 0.5
"""A generation that was set aside goes on at this share of the accepted risk, so that it is not
set aside again at once."""
TOP_RANKS = 16


@dataclasses.dataclass(frozen=True, slots=True)
class Admit:
    """Start a waiting generation."""

    generation: generations.Generation


@dataclasses.dataclass(frozen=True, slots=True)
class Unpause:
    """Let a generation that was set aside go on."""

    generation: generations.Generation


@dataclasses.dataclass(frozen=True, slots=True)
class Pause:
    """Set a running generation aside to free its memory."""

    generation: generations.Generation


Action = Admit | Unpause | Pause
Readers = dict[str, Callable[[], facts.Value]]


def build_fixed_facts(
    generation: generations.Generation, state: targets.TargetState
) -> dict[str, facts.Value]:
    """Facts of a request that do not change."""
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
    """Functions that read the facts of a generation as they are now."""
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
    """Rank by the policy; the value is kept on the generation."""
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


def _read_rank_at(generation: generations.Generation) -> float:
    return generation.rank_at


def _read_reverse_rank(generation: generations.Generation) -> float:
    return -generation.rank


def order_waiting(
    state: targets.TargetState, leads: dict[str, float], now: float
) -> list[generations.Generation]:
    """Waiting generations, highest rank first; evaluates a bounded number of ranks.

    New arrivals, the foremost and then the stalest are evaluated; the order of the others is at
    most a few decisions old.
    """
    waiting = state.waiting
    if state.program.expressions.get("rank") is None or len(waiting) <= MAX_RANKS_PER_DECISION:
        stale = [item for item in waiting if now - item.rank_at > 0]
    else:
        stalest = heapq.nsmallest(MAX_RANKS_PER_DECISION - TOP_RANKS, waiting, key=_read_rank_at)
        stale = [
            item
            for item in [*waiting[:TOP_RANKS], *stalest]
            if now - item.rank_at > RANK_AGE_SECONDS
        ]
    for generation in stale:
        rank_generation(generation, state, leads, now)
    waiting.sort(key=_read_reverse_rank)
    return waiting


def evaluate(
    name: str,
    default: facts.Value,
    generation: generations.Generation,
    state: targets.TargetState,
    leads: dict[str, float],
    now: float,
) -> facts.Value:
    """Value of one of the policy's expressions for a generation."""
    if name not in state.program.expressions:
        return default
    evaluator = state.program.bind(name, build_fixed_facts(generation, state))
    value = evaluator.evaluate(bind_readers(generation, state, leads, now), default)
    generation.explained[name] = {"value": value, "facts": dict(evaluator.facts)}
    return value


def compute_headroom(state: targets.TargetState) -> float:
    """Share of memory and batch that is kept for urgent work."""
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
    """Who yields: the highest ``sacrifice``, but nobody twice while another can."""
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
    """Set generations aside until the next steps of the others fit."""
    staying = list(state.running)
    actions: list[Action] = []
    used = state.memory_used
    while len(staying) > 1 and used + LOOKAHEAD_STEPS * len(staying) > state.usable_memory:
        victim = choose_victim(staying, state, leads, now)
        if victim is None:
            break
        staying.remove(victim)
        used -= victim.memory
        actions.append(Pause(victim))
    return actions


@dataclasses.dataclass(slots=True)
class _Batch:
    """The batch as it will be with what has been admitted so far."""

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
    kept = 0.0 if generation.urgent else headroom
    if batch.count >= max(1, round(state.batch_limit * (1.0 - kept))):
        return False
    room = state.usable_memory * (1.0 - kept)
    needed = batch.used + generation.memory + LOOKAHEAD_STEPS * (batch.count + 1)
    if batch.count == 0:
        return generation.memory <= state.usable_memory
    if needed > room:
        return False
    limit = float(evaluate("admit_risk", builtin.ADMIT_RISK, generation, state, leads, now))
    if generation.state is generations.State.PAUSED:
        limit *= RESUME_RISK_SHARE
    with_it = forecast.BatchForecast()
    with_it.copy(batch.forecast)
    with_it.add(generation)
    return with_it.risk(room) <= limit


def _order_candidates(
    state: targets.TargetState, leads: dict[str, float], now: float
) -> list[generations.Generation]:
    """Urgent ones, then what was set aside, then the others, each by rank."""
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


def _displace(state: targets.TargetState, leads: dict[str, float], now: float) -> list[Action]:
    """Set one generation aside for urgent work that has waited for memory too long.

    Nobody who was set aside before is taken, and nobody whom the policy spares.
    """
    waits = [now - item.arrived for item in state.waiting if item.urgent]
    if not waits or max(waits) < DISPLACE_AFTER_SECONDS:
        return []
    able = [item for item in state.running if not item.urgent and not item.times_paused]
    if len(state.running) < 2:
        return []
    victim = choose_victim(able, state, leads, now)
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
    """Plain services have no memory to run short of: a bound on calls at once is all."""
    free = max(0, state.batch_limit - len(state.running))
    return [Admit(generation) for generation in state.waiting[:free]]


def decide(state: targets.TargetState, now: float) -> list[Action]:
    """What to do now.

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
    return actions or _displace(state, leads, now)


def cannot_meet_deadline(
    generation: generations.Generation, state: targets.TargetState, now: float
) -> bool:
    """Whether a waiting request could hardly be whole by its deadline if it started now.

    It is then told at once, not at its deadline.
    """
    left = max(0.0, generation.deadline - now) / max(1e-4, state.step_seconds)
    if left >= generation.start.max_tokens:
        return False
    return generation.length_model.compute_survival(left) > HOPELESS_CHANCE


def check_arrival(
    generation: generations.Generation, state: targets.TargetState, now: float
) -> faults.Fault | None:
    """Whether a new request must be refused at once; nothing of it has run."""
    if state.leaving:
        return faults.new_fault(kinds.ErrorKind.LEAVING, f"{state.name} is leaving")
    if not state.healthy:
        return faults.new_fault(kinds.ErrorKind.NO_CAPACITY, f"{state.name} does not answer")
    wait = state.estimate_wait(generation.urgent)
    if len(state.waiting) >= state.max_waiting:
        message = f"{state.name}: {len(state.waiting)} wait already, of {state.max_waiting}"
        return faults.new_fault(
            kinds.ErrorKind.NO_CAPACITY, message, retry_after=max(1.0, wait / 2)
        )
    if generation.memory > state.memory_total > 0 and state.is_runner:
        message = f"prompt of {generation.memory} tokens, memory of {state.memory_total}"
        return faults.new_fault(kinds.ErrorKind.BAD_REQUEST, message)
    if not state.waiting and not state.paused:
        return None
    service_time = generation.predict_remaining().expected_remaining * state.step_seconds
    default = builtin.may_wait(
        estimated_wait_s=wait + service_time, deadline_left_s=generation.deadline - now
    )
    if evaluate("may_wait", default, generation, state, {}, now):
        return None
    message = f"{state.name}: estimated wait {wait:.1f} s is too long"
    return faults.new_fault(kinds.ErrorKind.NO_CAPACITY, message, retry_after=max(1.0, wait))
