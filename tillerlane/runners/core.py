"""Interface between an agent and a target: a set of functions that each adapter provides."""

import dataclasses
from collections.abc import AsyncIterator, Awaitable, Callable

from tillerlane.faults import core as faults

__all__ = [
    "CacheEvent",
    "Chunk",
    "Finish",
    "Job",
    "Order",
    "RunnerClient",
    "RunnerLoad",
    "TargetError",
    "UnknownGeneration",
]


class TargetError(faults.TillerlaneError):
    """The target didn't respond, disconnected or responded with an error.

    Attributes
    ----------
    reached : bool
        Whether the request may have reached the target.
    """

    def __init__(self, message: str, *, reached: bool) -> None:
        super().__init__(message)
        self.reached = reached


class UnknownGeneration(faults.TillerlaneError):
    """The target holds no generation with this id."""


@dataclasses.dataclass(frozen=True, slots=True)
class Job:
    """A generation for a runner, or a call for a plain service."""

    generation_id: str
    owner: str
    model: str
    payload: bytes
    prompt_tokens: int
    max_tokens: int
    priority: int
    prefix_hash: int = 0
    prefix_tokens: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class Chunk:
    """Consecutive tokens sent by the target, the first at `offset`."""

    offset: int
    texts: list[str]


@dataclasses.dataclass(frozen=True, slots=True)
class Finish:
    """End of a generation: ``stop``, ``length`` or ``cancelled``."""

    reason: str
    tokens: int


@dataclasses.dataclass(frozen=True, slots=True)
class RunnerLoad:
    """A target's load report; memory in tokens, times in milliseconds."""

    memory_total: int
    memory_used: int
    running: int
    waiting: int
    batch_limit: int
    step_ms: float
    preemptions: int
    models: list[str]


@dataclasses.dataclass(frozen=True, slots=True)
class CacheEvent:
    """A prefix was stored or evicted; `number` increases by one unless events were lost."""

    number: int
    stored: bool
    prefix_hash: int


@dataclasses.dataclass(frozen=True, slots=True)
class Order:
    """A fenced order: `fence` is (leader's term, index in the log)."""

    fence: tuple[int, int]
    action: str
    model: str


Stream = AsyncIterator[Chunk | Finish]


@dataclasses.dataclass(frozen=True, slots=True)
class RunnerClient:
    """Client functions for one target.

    Attributes
    ----------
    start : callable
        (job) returns the stream of a new generation.
    resume : callable
        (generation id, offset) returns the rest of the stream of a generation that the target
        already holds together with its owner; otherwise raises `UnknownGeneration`.
    read_owner : callable
        (generation id) returns owner and prompt tokens, or raises `UnknownGeneration`.
    pause, unpause : callable
        (generation id) returns whether the target did it.
    cancel : callable
        (generation id) returns whether it had started; None if the target does not know it.
    read_load : callable
        () returns a `RunnerLoad`.
    read_cache_events : callable
        (number of the last event received) returns a stream of `CacheEvent`.
    give_order : callable
        (order) returns the models loaded after the order.
    close : callable
        () closes the connections.
    """

    start: Callable[[Job], Stream]
    resume: Callable[[str, int], Stream]
    read_owner: Callable[[str], Awaitable[tuple[str, int]]]
    pause: Callable[[str], Awaitable[bool]]
    unpause: Callable[[str], Awaitable[bool]]
    cancel: Callable[[str], Awaitable[bool | None]]
    read_load: Callable[[], Awaitable[RunnerLoad]]
    read_cache_events: Callable[[int], AsyncIterator[CacheEvent]]
    give_order: Callable[[Order], Awaitable[list[str]]]
    close: Callable[[], Awaitable[None]]
