"""What an agent needs of a target, as a set of functions that an adapter fills in."""

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
    """The target did not answer, broke off or answered with an error.

    Attributes
    ----------
    reached : bool
        Whether the request may have reached the target.
    """

    def __init__(self, message: str, *, reached: bool) -> None:
        super().__init__(message)
        self.reached = reached


class UnknownGeneration(faults.TillerlaneError):
    """The target holds no generation of this id."""


@dataclasses.dataclass(frozen=True, slots=True)
class Job:
    """A generation, or with `service_call` a call of a plain service, for a target."""

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
    """Tokens as the target sent them, the first at `offset`."""

    offset: int
    texts: list[str]


@dataclasses.dataclass(frozen=True, slots=True)
class Finish:
    """End of a generation: ``stop``, ``length`` or ``cancelled``."""

    reason: str
    tokens: int


@dataclasses.dataclass(frozen=True, slots=True)
class RunnerLoad:
    """A target's own report; memory in tokens, times in milliseconds."""

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
    """A prefix was stored or dropped; `number` rises by one, unless events were lost."""

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
    """Functions of one target.

    Attributes
    ----------
    start : callable
        (job) gives the stream of a new generation.
    resume : callable
        (generation id, offset) gives the rest of a stream, the prompt's owner first known to the
        target; raises `UnknownGeneration`.
    read_owner : callable
        (generation id) gives owner and prompt tokens, or raises `UnknownGeneration`.
    pause, unpause : callable
        (generation id) gives whether it was done.
    cancel : callable
        (generation id) gives whether it had started; None if the target does not know it.
    read_load : callable
        () gives a `RunnerLoad`.
    read_cache_events : callable
        (number of the last event seen) gives a stream of `CacheEvent`.
    give_order : callable
        (order) gives the models that are loaded afterwards.
    close : callable
        () frees the connections.
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
