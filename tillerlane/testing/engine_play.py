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

from tillerlane.decisions import placing, speeds

__all__ = [
    "Arrival",
    "Choose",
    "Entries",
    "Outcome",
    "Pool",
    "Report",
    "Run",
    "Runner",
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
SLOW_FACTOR = 2.5
SLOW_SECONDS = 0.6
"""How much slower a runner's steps are in a transient slowdown, and how long one lasts."""
SMOOTHING_SECONDS = 20.0
"""Time constant over which reported events are smoothed."""


@dataclasses.dataclass(frozen=True, slots=True)
class RunnerSpec:
    """A runner: the factor by which its steps are slower, its memory in tokens and its slots."""

    slowdown: float
    memory_tokens: int = 34_340
    slots: int = 24
    slow_share: float = 0.0
    """Share of the time in which it is slower still, for `SLOW_SECONDS` at a time."""


@dataclasses.dataclass(frozen=True, slots=True)
class Arrival:
    """A request: its arrival time, prompt length, number of events, and priority on runners.

    Rank 0 is prefilled first, and runs of a higher rank are preempted for it.  A run that
    `is_copied` arrives with its memory and needs no prefill.
    """

    at: float
    kind: str
    prompt_tokens: int
    events: int
    rank: int = 0
    is_copied: bool = False


@dataclasses.dataclass(slots=True)
class Outcome:
    """Latencies that a request's caller observed, in seconds since its arrival.

    `preempted_tokens` is the memory that its run lost, and that was prefilled again.
    """

    arrival: Arrival
    first_seconds: float = float("inf")
    total_seconds: float = float("inf")
    max_pause: float = 0.0
    preemptions: int = 0
    preempted_tokens: int = 0
    max_gap: float = 0.0
    """Longest time between two events; `max_pause` is between two tokens."""


@dataclasses.dataclass(eq=False, slots=True)
class Run:
    """A request at a runner."""

    outcome: Outcome
    unprefilled: int
    tokens_left: int
    last_token_at: float = 0.0
    last_event_at: float = 0.0
    sent_at: float = 0.0
    tokens_ahead: int = 0

    def count_memory(self) -> int:
        """Number of tokens in memory: the prompt and the output so far."""
        arrival = self.outcome.arrival
        return arrival.prompt_tokens + arrival.events * EVENT_TOKENS - self.tokens_left


def _priority_key(run: Run) -> tuple[int, float]:
    """Sort by rank, then by arrival time; the last one is preempted first."""
    arrival = run.outcome.arrival
    return arrival.rank, arrival.at


@dataclasses.dataclass(frozen=True, slots=True)
class Report:
    """A runner's requests, tokens, unprefilled tokens, and recent observations of its speed."""

    requests: int
    tokens: int
    unprefilled: int
    seen: speeds.Seen


class Runner:
    """A model runner."""

    def __init__(self, spec: RunnerSpec, rng: random.Random) -> None:
        self.spec = spec
        self.on_event: Callable[[Arrival, float, float], None] = lambda arrival, gap, now: None
        self.read_tokens = 0.0
        self.read_seconds = 0.0
        self._rng = rng
        self.slow_from = self._sample_slow(0.0)
        self.prefilling: collections.deque[Run] = collections.deque()
        self.decoding: list[Run] = []
        self.now = 0.0
        self.preemptions = 0
        self.events = 0.0
        self.event_seconds = 0.0

    def _sample_slow(self, now: float) -> float:
        """Sample when the next transient slowdown starts."""
        share = self.spec.slow_share
        if share <= 0:
            return math.inf
        return now + self._rng.expovariate(share / (1 - share) / SLOW_SECONDS)

    def compute_slowdown(self) -> float:
        """Factor by which a step takes longer now."""
        while self.now >= self.slow_from + SLOW_SECONDS:
            self.slow_from = self._sample_slow(self.slow_from + SLOW_SECONDS)
        return self.spec.slowdown * (SLOW_FACTOR if self.is_slow else 1.0)

    @property
    def is_slow(self) -> bool:
        """Whether it is in a transient slowdown."""
        return self.slow_from <= self.now < self.slow_from + SLOW_SECONDS

    def decay(self, kept: float) -> None:
        """Reduce the observations to a part of them."""
        self.events *= kept
        self.event_seconds *= kept
        self.read_tokens *= kept
        self.read_seconds *= kept

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

    def _preempt(self, run: Run) -> None:
        self.decoding.remove(run)
        run.unprefilled = run.count_memory()
        self.preemptions += 1
        run.outcome.preemptions += 1
        run.outcome.preempted_tokens += run.unprefilled
        self.enqueue(run, is_first=True)

    def enqueue(self, run: Run, *, is_first: bool = False) -> None:
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

    def _has_room(self, run: Run) -> bool:
        return self._count_memory() + run.count_memory() <= self.spec.memory_tokens

    def _step(self) -> None:
        self._preempt_excess()
        seconds = STEP_SECONDS + STEP_SECONDS_PER_RUN * (len(self.decoding) + len(self.prefilling))
        can_prefill = self._make_room_to_prefill()
        if can_prefill:
            chunk = min(PREFILL_CHUNK_TOKENS, self.prefilling[0].unprefilled)
            self.prefilling[0].unprefilled -= chunk
            seconds += chunk / PREFILL_TOKENS_PER_SECOND
        seconds *= self.compute_slowdown()
        self.now += seconds
        for run in list(self.decoding):
            run.tokens_left -= 1
            self._record_token(run, seconds)
        if can_prefill and self.prefilling[0].unprefilled <= 0:
            self.decoding.append(self.prefilling.popleft())

    def _record_token(self, run: Run, seconds: float) -> None:
        self.events += 1 / EVENT_TOKENS
        self.event_seconds += seconds
        passed = self.now - run.outcome.arrival.at
        written = run.outcome.arrival.events * EVENT_TOKENS - run.tokens_left
        if written == EVENT_TOKENS:
            run.outcome.first_seconds = passed
            self._record_first_event(run)
        elif written > EVENT_TOKENS:
            pause = self.now - run.last_token_at
            run.outcome.max_pause = max(run.outcome.max_pause, pause)
            if written % EVENT_TOKENS == 0:
                gap = self.now - run.last_event_at
                run.outcome.max_gap = max(run.outcome.max_gap, gap)
                run.last_event_at = self.now
                self.on_event(run.outcome.arrival, gap, self.now)
        run.last_token_at = self.now
        if run.tokens_left <= 0:
            run.outcome.total_seconds = passed
            self.decoding.remove(run)

    def _record_first_event(self, run: Run) -> None:
        run.last_event_at = self.now
        if run.tokens_ahead:
            self.read_tokens += run.tokens_ahead
            self.read_seconds += self.now - run.sent_at

    def compute_load(self) -> Report:
        """Return the load, and the recent observations."""
        runs = [*self.prefilling, *self.decoding]
        tokens = sum(run.count_memory() + min(300, run.tokens_left // 2) for run in runs)
        unprefilled = sum(run.unprefilled for run in self.prefilling)
        seen = speeds.Seen(
            int(self.events),
            int(self.event_seconds * 1000),
            int(self.read_tokens),
            int(self.read_seconds * 1000),
        )
        return Report(len(runs), tokens, unprefilled, seen)


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
    runners = [Runner(spec, random.Random(number)) for number, spec in enumerate(pool)]
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
            runner.decay(decay)
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


def _start(runner: Runner, arrival: Arrival) -> Outcome:
    outcome = Outcome(arrival)
    unprefilled = 0 if arrival.is_copied else arrival.prompt_tokens
    run = Run(outcome, unprefilled, arrival.events * EVENT_TOKENS)
    runner.enqueue(run, is_first=arrival.is_copied)
    return outcome


def _choose(
    pool: Pool,
    reported: list[Report],
    arrival: Arrival,
    choose: Choose,
    knows_event_seconds: bool,
) -> int | None:
    loads, pool_event_seconds = _build_loads(pool, reported, knows_event_seconds)
    return choose(compute_work(arrival), loads, pool_event_seconds)


def compute_work(arrival: Arrival) -> placing.Work:
    """Work of a request at a runner."""
    growth = min(300, arrival.events * EVENT_TOKENS // 2)
    prompt_tokens = 0 if arrival.is_copied else arrival.prompt_tokens
    return placing.Work(arrival.prompt_tokens + growth, prompt_tokens, arrival.events)


def _build_loads(
    pool: Pool, reported: list[Report], knows_event_seconds: bool
) -> tuple[list[placing.CandidateLoad], float]:
    event_times = [
        (report.seen.events, report.seen.event_ms) if knows_event_seconds else (0, 0)
        for report in reported
    ]
    pool_event_seconds = placing.compute_pool_event_seconds(event_times)
    loads = [
        placing.CandidateLoad(
            report.requests,
            spec.slots,
            report.tokens,
            spec.memory_tokens,
            report.unprefilled,
            placing.estimate_event_seconds(*event_time, pool_event_seconds),
        )
        for spec, report, event_time in zip(pool, reported, event_times, strict=True)
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
