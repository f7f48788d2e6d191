"""A simulated model engine: continuous batching, limited KV memory, prefix cache and priorities.

Each step produces one token for every running sequence. When memory is full, the engine preempts
sequences: the lowest priority first, and the newest among equals. A sequence that was preempted or
paused loses its memory, and its whole text is prefilled again when it is resumed.
"""

import asyncio
import collections
import dataclasses
import enum
from collections.abc import Callable

from tillerlane.testing import texts

__all__ = ["Engine", "EngineSpec", "Phase", "Sequence"]


@dataclasses.dataclass(frozen=True, slots=True)
class EngineSpec:
    """Capacity and speed of an engine; memory in tokens, times in seconds."""

    memory_tokens: int = 16_000
    batch_limit: int = 64
    step_seconds: float = 0.020
    step_seconds_per_sequence: float = 0.0002
    prefill_seconds_per_token: float = 0.00004
    prefill_chunk_tokens: int = 2_048
    median_tokens: float = 120.0
    length_spread: float = 0.9
    prefix_cache_tokens: int = 4_000
    retention_seconds: float = 120.0


class Phase(enum.Enum):
    """State of a sequence."""

    WAITING = "waiting"
    RUNNING = "running"
    PAUSED = "paused"
    ENDED = "ended"


@dataclasses.dataclass(slots=True, eq=False)
class Sequence:
    """One generation in the engine."""

    id: str
    prompt_tokens: int
    length: int
    priority: int
    owner: str
    arrived: float
    prefix_hash: int = 0
    prefix_tokens: int = 0
    phase: Phase = Phase.WAITING
    written: list[str] = dataclasses.field(default_factory=list)
    prefill_left: int = 0
    reason: str = ""
    ended_at: float = 0.0
    started: bool = False
    preemptions: int = 0
    changed: asyncio.Event = dataclasses.field(default_factory=asyncio.Event)

    @property
    def memory(self) -> int:
        """Memory in tokens that it occupies while it is running."""
        return self.prompt_tokens + len(self.written) if self.phase is Phase.RUNNING else 0

    def wake(self) -> None:
        """Wake all readers of the sequence."""
        self.changed.set()
        self.changed = asyncio.Event()


class Engine:
    """The simulated engine.

    Parameters
    ----------
    spec : EngineSpec
        Capacity and speed.
    get_length : callable or None
        Called with (generation id, seed text, maximum tokens); returns the length of the
        generation's output. The default samples the spec's long-tailed distribution.
    """

    def __init__(
        self, spec: EngineSpec, get_length: Callable[[str, str, int], int] | None = None
    ) -> None:
        self.spec = spec
        self._get_length = get_length or self._sample_length
        self.sequences: dict[str, Sequence] = {}
        self.waiting: list[Sequence] = []
        self.running: list[Sequence] = []
        self.preemptions = 0
        self.tokens_recomputed = 0
        self.cache: collections.OrderedDict[int, int] = collections.OrderedDict()
        self.cache_events: list[tuple[int, str, int]] = []
        self.last_step_seconds = spec.step_seconds
        self.stalled = False
        self.dead = False
        self._work = asyncio.Event()

    def _sample_length(self, generation_id: str, seed_text: str, max_tokens: int) -> int:
        spec = self.spec
        seed = texts.compute_seed(seed_text)
        return texts.sample_length(seed, spec.median_tokens, spec.length_spread, max_tokens)

    @property
    def memory_used(self) -> int:
        """Memory in tokens that running sequences occupy."""
        return sum(sequence.memory for sequence in self.running)

    # Interface of a runner
    def start(
        self,
        generation_id: str,
        *,
        prompt_tokens: int,
        max_tokens: int,
        priority: int,
        owner: str,
        seed_text: str,
        prefix_hash: int = 0,
        prefix_tokens: int = 0,
    ) -> Sequence:
        """Start a generation, or return the existing one with this id."""
        known = self.sequences.get(generation_id)
        if known is not None:
            return known
        sequence = Sequence(
            id=generation_id,
            prompt_tokens=prompt_tokens,
            length=min(max_tokens, self._get_length(generation_id, seed_text, max_tokens)),
            priority=priority,
            owner=owner,
            arrived=asyncio.get_running_loop().time(),
            prefix_hash=prefix_hash,
            prefix_tokens=min(prefix_tokens, prompt_tokens),
            prefill_left=prompt_tokens,
        )
        self.sequences[generation_id] = sequence
        self.waiting.append(sequence)
        self._work.set()
        return sequence

    def pause(self, generation_id: str) -> bool:
        """Pause a generation and free its memory; False if it is not running or waiting."""
        sequence = self.sequences.get(generation_id)
        if sequence is None or sequence.phase not in (Phase.RUNNING, Phase.WAITING):
            return False
        self._evict(sequence)
        sequence.phase = Phase.PAUSED
        return True

    def unpause(self, generation_id: str) -> bool:
        """Resume a paused generation; False if it is not paused."""
        sequence = self.sequences.get(generation_id)
        if sequence is None or sequence.phase is not Phase.PAUSED:
            return False
        sequence.phase = Phase.WAITING
        self.waiting.append(sequence)
        self._work.set()
        return True

    def cancel(self, generation_id: str) -> bool | None:
        """Cancel a generation; return whether it had started, None if it is unknown."""
        sequence = self.sequences.get(generation_id)
        if sequence is None:
            return None
        if sequence.phase is not Phase.ENDED:
            self._end(sequence, "cancelled")
        return sequence.started

    # Scheduling
    def _evict(self, sequence: Sequence) -> None:
        if sequence in self.running:
            self.running.remove(sequence)
            sequence.prefill_left = sequence.prompt_tokens + len(sequence.written)
        elif sequence in self.waiting:
            self.waiting.remove(sequence)
        sequence.phase = Phase.WAITING

    def _end(self, sequence: Sequence, reason: str) -> None:
        self._evict(sequence)
        sequence.phase = Phase.ENDED
        sequence.reason = reason
        sequence.ended_at = asyncio.get_running_loop().time()
        sequence.wake()

    def _free_for(self, needed: int) -> bool:
        """Drop cached prefixes as necessary; return whether `needed` more tokens fit."""
        spare = self.spec.memory_tokens - self.memory_used
        if needed > spare:
            return False
        while self.cache and needed > spare - sum(self.cache.values()):
            dropped, _ = self.cache.popitem(last=False)
            self._record_cache_event("dropped", dropped)
        return True

    def _record_cache_event(self, what: str, prefix_hash: int) -> None:
        self.cache_events.append((len(self.cache_events) + 1, what, prefix_hash))

    def _admit(self) -> None:
        self.waiting.sort(key=lambda item: (-item.priority, item.arrived))
        while self.waiting and len(self.running) < self.spec.batch_limit:
            sequence = self.waiting[0]
            needed = sequence.prompt_tokens + len(sequence.written) + 1
            if not self._free_for(needed):
                return
            self.waiting.pop(0)
            sequence.phase = Phase.RUNNING
            self.running.append(sequence)
            self._use_cache(sequence)
            if sequence.started:
                self.tokens_recomputed += sequence.prefill_left
            sequence.started = True

    def _use_cache(self, sequence: Sequence) -> None:
        if not sequence.prefix_hash:
            return
        if sequence.prefix_hash in self.cache:
            self.cache.move_to_end(sequence.prefix_hash)
            sequence.prefill_left = max(0, sequence.prefill_left - sequence.prefix_tokens)
            return
        self.cache[sequence.prefix_hash] = sequence.prefix_tokens
        self._record_cache_event("stored", sequence.prefix_hash)
        while sum(self.cache.values()) > self.spec.prefix_cache_tokens:
            dropped, _ = self.cache.popitem(last=False)
            self._record_cache_event("dropped", dropped)

    def _preempt(self) -> None:
        """Preempt sequences until there is memory for one step."""
        while self.running and not self._free_for(len(self.running)):
            victim = min(self.running, key=lambda item: (item.priority, -item.arrived))
            self._evict(victim)
            self.waiting.append(victim)
            victim.preemptions += 1
            self.preemptions += 1

    def step(self) -> float:
        """Execute one step and return its simulated duration in seconds."""
        self._admit()
        self._preempt()
        budget = self.spec.prefill_chunk_tokens
        prefilled = 0
        ended = []
        for sequence in self.running:
            if sequence.prefill_left > 0:
                part = min(sequence.prefill_left, budget)
                sequence.prefill_left -= part
                budget -= part
                prefilled += part
                if sequence.prefill_left > 0:
                    continue
            sequence.written.append(texts.make_token(sequence.id, len(sequence.written)))
            if len(sequence.written) >= sequence.length:
                ended.append(sequence)
            else:
                sequence.wake()
        spec = self.spec
        self.last_step_seconds = (
            spec.step_seconds
            + spec.step_seconds_per_sequence * len(self.running)
            + spec.prefill_seconds_per_token * prefilled
        )
        for sequence in ended:
            self._end(sequence, "stop")
        return self.last_step_seconds

    def _expire_old(self) -> None:
        horizon = asyncio.get_running_loop().time() - self.spec.retention_seconds
        old = [
            key
            for key, item in self.sequences.items()
            if item.phase is Phase.ENDED and item.ended_at < horizon
        ]
        for key in old:
            del self.sequences[key]

    async def run(self) -> None:
        """Execute steps while there is work, until the engine is killed."""
        loop = asyncio.get_running_loop()
        next_sweep = loop.time()
        while not self.dead:
            if self.stalled or not (self.running or self.waiting):
                self._work.clear()
                try:
                    await asyncio.wait_for(self._work.wait(), 0.1 if self.stalled else 5.0)
                except TimeoutError:
                    pass
                continue
            began = loop.time()
            took = self.step()
            if loop.time() > next_sweep:
                self._expire_old()
                next_sweep = loop.time() + 10.0
            await asyncio.sleep(max(0.0, took - (loop.time() - began)))
