"""Discrete simulation of a pool of model runners, for testing the placement of requests.

Each runner prefills prompts one after another, one chunk per step, and decodes one token of every
running request per step. A step takes longer the more runs there are, and while a prompt is
prefilled. A prompt waits until there is memory for it. Where runs outgrow the memory, the newest is
preempted and has to be prefilled again. The placement function sees load reports that are some
tenths of a second old. All times are simulated.
"""

import collections
import dataclasses
import math
import random
import statistics
from collections.abc import Callable
from typing import Protocol

from tillerlane.decisions import placing

__all__ = [
    "Arrival",
    "Choose",
    "Entries",
    "Outcome",
    "Pool",
    "RunnerSpec",
    "compute_mean_event_seconds",
    "compute_on_time_share",
    "compute_uninterrupted_share",
    "compute_work",
    "play",
    "sample_arrivals",
]

STEP_SECONDS = 0.007
STEP_SECONDS_PER_RUN = 0.000_12
PREFILL_CHUNK_TOKENS = 112
"""Maximum number of prompt tokens that are prefilled in a step."""
PREFILL_TOKENS_PER_SECOND = 14_000
EVENT_TOKENS = 4
REPORT_AGE_SECONDS = 0.2
"""Default age of the load reports that the placement function sees."""
TICK_SECONDS = 0.05
"""Interval between load reports; shorter where reports have to be fresher than this."""
SMOOTHING_SECONDS = 20.0
"""Time constant over which reported events are smoothed."""


@dataclasses.dataclass(frozen=True, slots=True)
class RunnerSpec:
    """A runner: the factor by which its steps are slower, its memory in tokens and its slots."""

    slowdown: float
    memory_tokens: int = 34_340
    slots: int = 24


@dataclasses.dataclass(frozen=True, slots=True)
class Arrival:
    """A request: its arrival time, prompt length, number of events, and priority on runners.

    Rank 0 is prefilled first, and runs of a higher rank are preempted for it.
    """

    at: float
    kind: str
    prompt_tokens: int
    events: int
    rank: int = 0


@dataclasses.dataclass(slots=True)
class Outcome:
    """Latencies that a request's caller observed, in seconds since its arrival."""

    arrival: Arrival
    first_seconds: float = float("inf")
    total_seconds: float = float("inf")
    max_pause: float = 0.0


@dataclasses.dataclass(eq=False, slots=True)
class _Run:
    outcome: Outcome
    unprefilled: int
    tokens_left: int
    last_token_at: float = 0.0

    def count_memory(self) -> int:
        """Number of tokens in memory: the prompt and the output so far."""
        arrival = self.outcome.arrival
        return arrival.prompt_tokens + arrival.events * EVENT_TOKENS - self.tokens_left


def _priority_key(run: _Run) -> tuple[int, float]:
    """Sort by rank, then by arrival time; the last one is preempted first."""
    arrival = run.outcome.arrival
    return arrival.rank, arrival.at


class _Runner:
    def __init__(self, spec: RunnerSpec) -> None:
        self.spec = spec
        self.prefilling: collections.deque[_Run] = collections.deque()
        self.decoding: list[_Run] = []
        self.now = 0.0
        self.preemptions = 0
        self.events = 0.0
        self.event_seconds = 0.0

    def run_until(self, until: float) -> None:
        """Execute steps until the given time."""
        while self.now < until:
            if not self.prefilling and not self.decoding:
                self.now = until
                return
            self._step()

    def _count_memory(self) -> int:
        return sum(run.count_memory() for run in self.decoding)

    def _preempt_excess(self) -> None:
        """Preempt the newest runs of the highest rank while memory is exceeded."""
        while len(self.decoding) > 1 and self._count_memory() > self.spec.memory_tokens:
            self._preempt(max(self.decoding, key=_priority_key))

    def _preempt(self, run: _Run) -> None:
        self.decoding.remove(run)
        run.unprefilled = run.count_memory()
        self.preemptions += 1
        self.enqueue(run, is_first=True)

    def enqueue(self, run: _Run, *, is_first: bool = False) -> None:
        """Queue a run for prefill after the runs of its rank, or before them with `is_first`."""
        rank = run.outcome.arrival.rank
        before = sum(item.outcome.arrival.rank < rank + (not is_first) for item in self.prefilling)
        self.prefilling.insert(before, run)

    def _make_room_to_prefill(self) -> bool:
        if not self.prefilling:
            return False
        first = self.prefilling[0]
        while self.decoding and not self._has_room(first):
            last = max(self.decoding, key=_priority_key)
            if last.outcome.arrival.rank <= first.outcome.arrival.rank:
                return False
            self._preempt(last)
        return True

    def _has_room(self, run: _Run) -> bool:
        return self._count_memory() + run.count_memory() <= self.spec.memory_tokens

    def _step(self) -> None:
        self._preempt_excess()
        seconds = STEP_SECONDS + STEP_SECONDS_PER_RUN * (len(self.decoding) + len(self.prefilling))
        can_prefill = self._make_room_to_prefill()
        if can_prefill:
            chunk = min(PREFILL_CHUNK_TOKENS, self.prefilling[0].unprefilled)
            self.prefilling[0].unprefilled -= chunk
            seconds += chunk / PREFILL_TOKENS_PER_SECOND
        seconds *= self.spec.slowdown
        self.now += seconds
        for run in list(self.decoding):
            run.tokens_left -= 1
            self._record_token(run, seconds)
        if can_prefill and self.prefilling[0].unprefilled <= 0:
            self.decoding.append(self.prefilling.popleft())

    def _record_token(self, run: _Run, seconds: float) -> None:
        self.events += 1 / EVENT_TOKENS
        self.event_seconds += seconds
        passed = self.now - run.outcome.arrival.at
        written = run.outcome.arrival.events * EVENT_TOKENS - run.tokens_left
        if written == EVENT_TOKENS:
            run.outcome.first_seconds = passed
        elif written > EVENT_TOKENS:
            pause = self.now - run.last_token_at
            run.outcome.max_pause = max(run.outcome.max_pause, pause)
        run.last_token_at = self.now
        if run.tokens_left <= 0:
            run.outcome.total_seconds = passed
            self.decoding.remove(run)

    def compute_load(self) -> tuple[int, int, int, int, int]:
        """Return (requests, tokens, unprefilled tokens, recent events, their milliseconds)."""
        runs = [*self.prefilling, *self.decoding]
        tokens = sum(run.count_memory() + min(300, run.tokens_left // 2) for run in runs)
        unprefilled = sum(run.unprefilled for run in self.prefilling)
        return len(runs), tokens, unprefilled, int(self.events), int(self.event_seconds * 1000)


Pool = list[RunnerSpec]
Choose = Callable[[placing.Work, list[placing.CandidateLoad], float], int | None]


class Entries(Protocol):
    """Entries at which requests wait, see `tillerlane.testing.queue_play`.

    Attributes
    ----------
    refused : list of Arrival
        Requests that were refused.
    """

    refused: list[Arrival]

    def add(self, arrival: Arrival) -> None:
        """Let a request arrive at one of the entries."""

    def count_waiting(self) -> int:
        """Number of requests that wait."""

    def place(
        self, reported: list[placing.CandidateLoad], event_seconds: float, now: float, tick: float
    ) -> list[tuple[Arrival, int]]:
        """Choose runners for waiting requests, from reported loads; `tick` since the last call."""


def play(
    pool: Pool,
    arrivals: list[Arrival],
    choose: Choose,
    *,
    knows_event_seconds: bool = True,
    report_age_seconds: float = REPORT_AGE_SECONDS,
    entries: Entries | None = None,
) -> list[Outcome]:
    """Simulate a load until all requests have finished.

    Parameters
    ----------
    pool : list of RunnerSpec
        The runners.
    arrivals : list of Arrival
        Requests, sorted by arrival time.
    choose : callable
        Called with (work, load of each runner, seconds per event of the pool); returns the position
        of a runner, or None to keep the request waiting until the next load report.
    knows_event_seconds : bool
        Whether load reports include events; if not, all runners appear equally fast.
    report_age_seconds : float
        Age of the load reports.
    entries : Entries, optional
        Have the requests wait and choose runners; a refused request has an outcome without times.
    """
    runners = [_Runner(spec) for spec in pool]
    outcomes = []
    reported = collections.deque([[runner.compute_load() for runner in runners]])
    now = 0.0
    tick = min(TICK_SECONDS, report_age_seconds)
    decay = math.exp(-tick / SMOOTHING_SECONDS)
    waiting = collections.deque(arrivals)
    deferred: list[Arrival] = []
    last = arrivals[-1].at + 60.0
    while now < last:
        now += tick
        for runner in runners:
            runner.run_until(now)
            runner.events *= decay
            runner.event_seconds *= decay
        reported.append([runner.compute_load() for runner in runners])
        if len(reported) > round(report_age_seconds / tick):
            reported.popleft()
        while waiting and waiting[0].at <= now:
            (deferred.append if entries is None else entries.add)(waiting.popleft())
        if entries is not None:
            loads, event_seconds = _build_loads(pool, reported[0], knows_event_seconds)
            for arrival, chosen in entries.place(loads, event_seconds, now, tick):
                outcomes.append(_start(runners[chosen], arrival))
        arrived, deferred = deferred, []
        for arrival in arrived:
            position = _choose(pool, reported[0], arrival, choose, knows_event_seconds)
            if position is None:
                deferred.append(arrival)
                continue
            outcomes.append(_start(runners[position], arrival))
        if (
            not waiting
            and not deferred
            and not (entries is not None and entries.count_waiting())
            and not any(runner.prefilling or runner.decoding for runner in runners)
        ):
            break
    return outcomes + [Outcome(item) for item in (entries.refused if entries is not None else ())]


def _start(runner: _Runner, arrival: Arrival) -> Outcome:
    outcome = Outcome(arrival)
    runner.enqueue(_Run(outcome, arrival.prompt_tokens, arrival.events * EVENT_TOKENS))
    return outcome


def _choose(
    pool: Pool,
    reported: list[tuple[int, int, int, int, int]],
    arrival: Arrival,
    choose: Choose,
    knows_event_seconds: bool,
) -> int | None:
    loads, pool_event_seconds = _build_loads(pool, reported, knows_event_seconds)
    return choose(compute_work(arrival), loads, pool_event_seconds)


def compute_work(arrival: Arrival) -> placing.Work:
    """Work of a request at a runner."""
    growth = min(300, arrival.events * EVENT_TOKENS // 2)
    return placing.Work(arrival.prompt_tokens + growth, arrival.prompt_tokens, arrival.events)


def _build_loads(
    pool: Pool, reported: list[tuple[int, int, int, int, int]], knows_event_seconds: bool
) -> tuple[list[placing.CandidateLoad], float]:
    event_times = [
        (events, event_ms) if knows_event_seconds else (0, 0) for *_, events, event_ms in reported
    ]
    pool_event_seconds = placing.compute_pool_event_seconds(event_times)
    loads = [
        placing.CandidateLoad(
            requests,
            spec.slots,
            tokens,
            spec.memory_tokens,
            unprefilled,
            placing.estimate_event_seconds(*event_time, pool_event_seconds),
        )
        for spec, (requests, tokens, unprefilled, *_), event_time in zip(
            pool, reported, event_times, strict=True
        )
    ]
    return loads, pool_event_seconds


def sample_arrivals(
    rng: random.Random, seconds: float, kinds: dict[str, tuple[float, int, float]]
) -> list[Arrival]:
    """Sample random arrivals; `kinds` maps a kind to (rate per second, prompt tokens, events).

    Prompt tokens and events are means.
    """
    arrivals = []
    for kind, (rate, prompt_tokens, events) in kinds.items():
        at = rng.expovariate(rate)
        while at < seconds:
            prompt = max(1, int(rng.gauss(prompt_tokens, prompt_tokens / 3)))
            length = max(1, min(int(2.4 * events), int(rng.lognormvariate(0, 0.7) * events * 0.8)))
            arrivals.append(Arrival(at, kind, prompt, length))
            at += rng.expovariate(rate)
    return sorted(arrivals, key=lambda item: item.at)


def compute_on_time_share(outcomes: list[Outcome], kind: str, objective_seconds: float) -> float:
    """Share of a kind's requests whose first event arrived within the objective."""
    of_kind = [item for item in outcomes if item.arrival.kind == kind]
    return sum(item.first_seconds <= objective_seconds for item in of_kind) / len(of_kind)


def compute_uninterrupted_share(
    outcomes: list[Outcome], kind: str, objective_seconds: float, max_pause_seconds: float
) -> float:
    """Share of a kind's requests that met the objective and had no pause above the limit."""
    of_kind = [item for item in outcomes if item.arrival.kind == kind]
    good = [
        item.first_seconds <= objective_seconds and item.max_pause <= max_pause_seconds
        for item in of_kind
    ]
    return sum(good) / len(of_kind)


def compute_mean_event_seconds(outcomes: list[Outcome], kind: str) -> float:
    """Mean time per event of a kind's runs, in seconds."""
    spans = [
        (item.total_seconds - item.first_seconds) / max(1, item.arrival.events - 1)
        for item in outcomes
        if item.arrival.kind == kind and item.arrival.events > 1
    ]
    return statistics.mean(spans)
