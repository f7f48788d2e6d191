"""State of one target at its agent, and the figures derived from it."""

import collections
import dataclasses
import math

from tillerlane.agent import generation as generations
from tillerlane.agent import lengths
from tillerlane.config import settings
from tillerlane.policy import program as programs
from tillerlane.runners import core as runners

__all__ = ["TargetState", "WorkspaceUsage"]

USAGE_HALF_LIFE_SECONDS = 60.0
PROMPT_TOKEN_COST = 0.1
"""Cost of a prompt token relative to a generated one, in the usage of workspaces."""
RATE_SMOOTHING_SECONDS = 5.0
MIN_FOREIGN_SHARE = 0.1
"""Share of all memory above which reported memory not accounted for by this agent is deducted."""
DEFAULT_BATCH_LIMIT = 32
DEFAULT_MEMORY_TOKENS = 16_000
DEFAULT_STEP_SECONDS = 0.03
STALE_LOAD_SECONDS = 3.0
MAX_PREFIXES = 256
MAX_REPORTED_PREFIXES = 32
"""Prefixes in a load report, most recent ones."""


class WorkspaceUsage:
    """Exponentially decaying count of the tokens served to each workspace."""

    def __init__(self) -> None:
        self._served: dict[str, float] = {}
        self._at = 0.0

    def _decay(self, now: float) -> None:
        elapsed = now - self._at
        if elapsed < 1.0:
            return
        factor = 0.5 ** (elapsed / USAGE_HALF_LIFE_SECONDS)
        self._served = {
            workspace: served * factor
            for workspace, served in self._served.items()
            if served * factor > 1.0
        }
        self._at = now

    def charge(self, workspace: str, tokens: float, now: float) -> None:
        """Charge served tokens to a workspace."""
        self._decay(now)
        self._served[workspace] = self._served.get(workspace, 0.0) + tokens

    def get_served(self, workspace: str) -> float:
        """Decayed count of the tokens served."""
        return self._served.get(workspace, 0.0)


@dataclasses.dataclass(slots=True, eq=False)
class TargetState:
    """State of one target.

    Memory is in tokens, times are of the event loop in seconds.
    """

    name: str
    kind: settings.TargetKind
    client: runners.RunnerClient
    program: programs.Program
    weights: dict[str, float] = dataclasses.field(default_factory=dict)
    """Weight by workspace, from the configuration in force."""
    max_waiting: int = 1_000
    held: dict[str, generations.Generation] = dataclasses.field(default_factory=dict)
    waiting: list[generations.Generation] = dataclasses.field(default_factory=list)
    running: list[generations.Generation] = dataclasses.field(default_factory=list)
    paused: list[generations.Generation] = dataclasses.field(default_factory=list)
    length_models: lengths.LengthModels = dataclasses.field(default_factory=lengths.LengthModels)
    workspace_usage: WorkspaceUsage = dataclasses.field(default_factory=WorkspaceUsage)
    memory_total: int = DEFAULT_MEMORY_TOKENS
    batch_limit: int = DEFAULT_BATCH_LIMIT
    step_seconds: float = DEFAULT_STEP_SECONDS
    foreign_memory: int = 0
    models: set[str] = dataclasses.field(default_factory=set)
    load_at: float = -math.inf
    load_failures: int = 0
    healthy: bool = True
    leaving: bool = False
    fence: tuple[int, int] = (0, 0)
    waiting_by_workspace: collections.Counter[str] = dataclasses.field(
        default_factory=collections.Counter
    )
    """Number of waiting generations by workspace."""
    backlog: dict[bool, float] = dataclasses.field(default_factory=lambda: {True: 0.0, False: 0.0})
    """Expected tokens of the waiting generations, by urgency."""
    token_rate: float = 0.0
    urgent_share: float = 0.0
    preemptions: int = 0
    recomputed_tokens: int = 0
    prefixes: collections.OrderedDict[int, int] = dataclasses.field(
        default_factory=collections.OrderedDict
    )
    _rate_tokens: int = 0
    _rate_at: float = 0.0

    @property
    def is_runner(self) -> bool:
        """Whether it is a runner rather than a plain service."""
        return self.kind is settings.TargetKind.RUNNER

    @property
    def memory_used(self) -> int:
        """Memory of the running generations, counted locally and therefore without lag."""
        return sum(generation.memory for generation in self.running)

    @property
    def usable_memory(self) -> int:
        """Memory available to this agent's generations."""
        return max(0, self.memory_total - self.foreign_memory)

    def handle_load(self, load: runners.RunnerLoad, now: float) -> None:
        """Apply the target's own load report, which lags."""
        self.load_at = now
        self.load_failures = 0
        self.memory_total = load.memory_total
        self.batch_limit = load.batch_limit
        if load.step_ms > 0:
            self.step_seconds = load.step_ms / 1000
        self.models = set(load.models)
        unaccounted = load.memory_used - self.memory_used
        is_foreign = unaccounted > MIN_FOREIGN_SHARE * load.memory_total
        self.foreign_memory = min(unaccounted, load.memory_total) if is_foreign else 0

    def record_tokens(self, workspace: str, tokens: int, now: float) -> None:
        """Charge generated tokens and update the target's token rate."""
        self.workspace_usage.charge(workspace, tokens, now)
        self._rate_tokens += tokens
        elapsed = now - self._rate_at
        if elapsed >= 1.0:
            rate = self._rate_tokens / elapsed
            smoothing = min(1.0, elapsed / RATE_SMOOTHING_SECONDS)
            busy = bool(self.waiting)
            if rate > self.token_rate or busy:
                self.token_rate += smoothing * (rate - self.token_rate)
            self._rate_tokens = 0
            self._rate_at = now

    def estimate_token_rate(self) -> float:
        """Tokens per second that the target can generate, from the rate under load."""
        nominal = 0.25 * self.batch_limit / max(1e-3, self.step_seconds)
        return max(1.0, self.token_rate, nominal)

    def estimate_wait(self, urgent: bool) -> float:
        """Seconds until a request that arrives now would start."""
        ahead = self.backlog[True] + (0.0 if urgent else self.backlog[False])
        return ahead / self.estimate_token_rate()

    def enqueue(self, generation: generations.Generation) -> None:
        """Add a new generation to the queue."""
        self.held[generation.id] = generation
        self.waiting.append(generation)
        self.waiting_by_workspace[generation.start.workspace] += 1
        self.backlog[generation.urgent] += generation.predict_remaining().expected_remaining
        self.urgent_share += 0.05 * (float(generation.urgent) - self.urgent_share)

    def dequeue(self, generation: generations.Generation) -> None:
        """Remove a generation from the queue."""
        self.waiting.remove(generation)
        workspace = generation.start.workspace
        self.waiting_by_workspace[workspace] -= 1
        if not self.waiting_by_workspace[workspace]:
            del self.waiting_by_workspace[workspace]
        remaining = (
            self.backlog[generation.urgent] - generation.predict_remaining().expected_remaining
        )
        self.backlog[generation.urgent] = max(0.0, remaining) if self.waiting else 0.0

    def release(self, generation: generations.Generation) -> None:
        """Remove a generation from the list that holds it."""
        if generation in self.running:
            self.running.remove(generation)
        elif generation in self.paused:
            self.paused.remove(generation)
        elif generation in self.waiting:
            self.dequeue(generation)

    def compute_leads(self) -> dict[str, float]:
        """Weighted tokens of each workspace with work here, relative to the least served one.

        Running generations count with their expected remaining tokens, so that a workspace gains
        no advantage from many concurrent requests.
        """
        served = {
            workspace: self.workspace_usage.get_served(workspace)
            for workspace in self.waiting_by_workspace
        }
        for generation in (*self.running, *self.paused):
            workspace = generation.start.workspace
            if workspace not in served:
                served[workspace] = self.workspace_usage.get_served(workspace)
            served[workspace] += generation.predict_remaining().expected_remaining
        weighted = {key: value / self.weights.get(key, 1.0) for key, value in served.items()}
        lowest = min(weighted.values(), default=0.0)
        return {key: value - lowest for key, value in weighted.items()}

    def compute_loads_by_model(self) -> dict[str, float]:
        """Memory used and requested by each model, as a share of the target's; may exceed 1."""
        loads: dict[str, float] = {}
        for generation in (*self.running, *self.paused, *self.waiting):
            held = generation.memory + generation.predict_remaining().expected_remaining
            model = generation.start.model
            loads[model] = loads.get(model, 0.0) + held / max(1, self.memory_total)
        return loads

    def handle_cache_event(self, event: runners.CacheEvent, expected: int) -> None:
        """Update the index of the target's prefix cache.

        After a gap in the events the index is cleared, since evictions may have been missed: it
        may lack entries, but holds no stale ones permanently.
        """
        if event.number != expected:
            self.prefixes.clear()
        if event.stored:
            self.prefixes[event.prefix_hash] = event.number
            while len(self.prefixes) > MAX_PREFIXES:
                self.prefixes.popitem(last=False)
        else:
            self.prefixes.pop(event.prefix_hash, None)
