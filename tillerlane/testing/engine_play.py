"""A pool of model runners played step by step, for decisions on where requests go.

Each runner reads prompts one after another, a piece in each step, and writes a token of each run in
each step; a step takes longer the more runs there are, and while a prompt is read.  A prompt waits
until there is memory for it, and where runs outgrow memory the newest is pushed aside and read
anew.  What the chooser sees of the runners is some tenths of a second old.  Times are those of the
play.
"""

import collections
import dataclasses
import math
import random
import statistics
from collections.abc import Callable

from tillerlane.decisions import placing

__all__ = [
    "Arrival",
    "Choose",
    "Outcome",
    "Pool",
    "RunnerSpec",
    "compute_mean_event_seconds",
    "compute_on_time_share",
    "compute_uninterrupted_share",
    "play",
    "sample_arrivals",
]

STEP_SECONDS = 0.007
STEP_SECONDS_A_RUN = 0.000_12
PIECE_TOKENS = 112
"""Prompt tokens read in a step at most."""
TOKENS_A_SECOND = 14_000
"""Prompt tokens that are read in a second of reading."""
EVENT_TOKENS = 4
REPORT_AGE_SECONDS = 0.2
"""Age of what the chooser sees, unless a play says otherwise."""
TICK_SECONDS = 0.05
"""Pause between two looks at the runners; with fresher word, as long as that is old."""
PACE_SECONDS = 20.0
"""Time over which the events seen are smoothed."""


@dataclasses.dataclass(frozen=True, slots=True)
class RunnerSpec:
    """A runner: how many times as long its steps take, and its memory in tokens."""

    slowness: float
    memory_tokens: int = 34_340
    slots: int = 24


@dataclasses.dataclass(frozen=True, slots=True)
class Arrival:
    """A request: when it comes, what it reads, how many events it writes, and its rank at runners.

    Rank 0 is read first, and runs of a later rank are pushed aside for it.
    """

    at: float
    kind: str
    prompt_tokens: int
    events: int
    rank: int = 0


@dataclasses.dataclass(slots=True)
class Outcome:
    """What a request's caller got, in seconds from its arrival."""

    arrival: Arrival
    first_seconds: float = float("inf")
    total_seconds: float = float("inf")
    longest_pause: float = 0.0


@dataclasses.dataclass(eq=False, slots=True)
class _Run:
    outcome: Outcome
    unread: int
    tokens_left: int
    wrote_at: float = 0.0

    def count_memory(self) -> int:
        """Tokens of its prompt and of what it has written."""
        arrival = self.outcome.arrival
        return arrival.prompt_tokens + arrival.events * EVENT_TOKENS - self.tokens_left


def _read_order(run: _Run) -> tuple[int, float]:
    """By rank, and within one by age; the last is pushed aside first."""
    arrival = run.outcome.arrival
    return arrival.rank, arrival.at


class _Runner:
    def __init__(self, spec: RunnerSpec) -> None:
        self.spec = spec
        self.reading: collections.deque[_Run] = collections.deque()
        self.writing: list[_Run] = []
        self.now = 0.0
        self.preemptions = 0
        self.events = 0.0
        self.event_seconds = 0.0

    def run_until(self, until: float) -> None:
        """Make steps until a time."""
        while self.now < until:
            if not self.reading and not self.writing:
                self.now = until
                return
            self._step()

    def _count_memory(self) -> int:
        return sum(run.count_memory() for run in self.writing)

    def _preempt_excess(self) -> None:
        """Push the newest runs of the last rank aside while there is too little memory."""
        while len(self.writing) > 1 and self._count_memory() > self.spec.memory_tokens:
            self._preempt(max(self.writing, key=_read_order))

    def _preempt(self, run: _Run) -> None:
        self.writing.remove(run)
        run.unread = run.count_memory()
        self.preemptions += 1
        self.take(run, is_first=True)

    def take(self, run: _Run, *, is_first: bool = False) -> None:
        """Queue a run for reading, behind those of its rank, or before them."""
        rank = run.outcome.arrival.rank
        before = sum(item.outcome.arrival.rank < rank + (not is_first) for item in self.reading)
        self.reading.insert(before, run)

    def _may_read(self) -> bool:
        if not self.reading:
            return False
        first = self.reading[0]
        while self.writing and not self._has_room(first):
            last = max(self.writing, key=_read_order)
            if last.outcome.arrival.rank <= first.outcome.arrival.rank:
                return False
            self._preempt(last)
        return True

    def _has_room(self, run: _Run) -> bool:
        return self._count_memory() + run.count_memory() <= self.spec.memory_tokens

    def _step(self) -> None:
        self._preempt_excess()
        seconds = STEP_SECONDS + STEP_SECONDS_A_RUN * (len(self.writing) + len(self.reading))
        may_read = self._may_read()
        if may_read:
            piece = min(PIECE_TOKENS, self.reading[0].unread)
            self.reading[0].unread -= piece
            seconds += piece / TOKENS_A_SECOND
        seconds *= self.spec.slowness
        self.now += seconds
        for run in list(self.writing):
            run.tokens_left -= 1
            self._note(run, seconds)
        if may_read and self.reading[0].unread <= 0:
            self.writing.append(self.reading.popleft())

    def _note(self, run: _Run, seconds: float) -> None:
        self.events += 1 / EVENT_TOKENS
        self.event_seconds += seconds
        passed = self.now - run.outcome.arrival.at
        written = run.outcome.arrival.events * EVENT_TOKENS - run.tokens_left
        if written == EVENT_TOKENS:
            run.outcome.first_seconds = passed
        elif written > EVENT_TOKENS:
            pause = self.now - run.wrote_at
            run.outcome.longest_pause = max(run.outcome.longest_pause, pause)
        run.wrote_at = self.now
        if run.tokens_left <= 0:
            run.outcome.total_seconds = passed
            self.writing.remove(run)

    def compute_load(self) -> tuple[int, int, int, int, int]:
        """Requests, tokens, unread tokens, events seen lately and their milliseconds."""
        runs = [*self.reading, *self.writing]
        tokens = sum(run.count_memory() + min(300, run.tokens_left // 2) for run in runs)
        unread = sum(run.unread for run in self.reading)
        return len(runs), tokens, unread, int(self.events), int(self.event_seconds * 1000)


Pool = list[RunnerSpec]
Choose = Callable[[placing.Work, list[placing.CandidateLoad], float], int | None]


def play(
    pool: Pool,
    arrivals: list[Arrival],
    choose: Choose,
    *,
    knows_event_seconds: bool = True,
    report_age_seconds: float = REPORT_AGE_SECONDS,
) -> list[Outcome]:
    """Play a load to its end.

    Parameters
    ----------
    pool : list of RunnerSpec
        The runners.
    arrivals : list of Arrival
        Requests by time.
    choose : callable
        (work, standing of each runner, pace of the pool) gives the position of one; None has the
        request wait where it came in, and asks again with the next word.
    knows_pace : bool
        Whether runners' events are seen; without, all seem to run alike.
    word_seconds : float
        Age of what the chooser sees.
    """
    runners = [_Runner(spec) for spec in pool]
    outcomes = []
    seen = collections.deque([[runner.compute_load() for runner in runners]])
    now = 0.0
    tick = min(TICK_SECONDS, report_age_seconds)
    kept = math.exp(-tick / PACE_SECONDS)
    waiting = collections.deque(arrivals)
    held: list[Arrival] = []
    last = arrivals[-1].at + 60.0
    while now < last:
        now += tick
        for runner in runners:
            runner.run_until(now)
            runner.events *= kept
            runner.event_seconds *= kept
        seen.append([runner.compute_load() for runner in runners])
        if len(seen) > round(report_age_seconds / tick):
            seen.popleft()
        while waiting and waiting[0].at <= now:
            held.append(waiting.popleft())
        came, held = held, []
        for arrival in came:
            position = _choose(pool, seen[0], arrival, choose, knows_event_seconds)
            if position is None:
                held.append(arrival)
                continue
            outcome = Outcome(arrival)
            outcomes.append(outcome)
            run = _Run(outcome, arrival.prompt_tokens, arrival.events * EVENT_TOKENS)
            runners[position].take(run)
        if (
            not waiting
            and not held
            and not any(runner.reading or runner.writing for runner in runners)
        ):
            break
    return outcomes


def _choose(
    pool: Pool,
    seen: list[tuple[int, int, int, int, int]],
    arrival: Arrival,
    choose: Choose,
    knows_event_seconds: bool,
) -> int | None:
    paces = [(events, event_ms) if knows_event_seconds else (0, 0) for *_, events, event_ms in seen]
    pool_pace = placing.compute_pool_event_seconds(paces)
    standings = [
        placing.CandidateLoad(
            requests,
            spec.slots,
            tokens,
            spec.memory_tokens,
            unread,
            placing.estimate_event_seconds(*pace, pool_pace),
        )
        for spec, (requests, tokens, unread, *_), pace in zip(pool, seen, paces, strict=True)
    ]
    growth = min(300, arrival.events * EVENT_TOKENS // 2)
    work = placing.Work(arrival.prompt_tokens + growth, arrival.prompt_tokens, arrival.events)
    return choose(work, standings, pool_pace)


def sample_arrivals(
    rng: random.Random, seconds: float, kinds: dict[str, tuple[float, int, float]]
) -> list[Arrival]:
    """Requests by chance: for each kind how many a second, prompt tokens, mean of its events."""
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
    """Share of a kind's requests whose first piece came in time."""
    of_kind = [item for item in outcomes if item.arrival.kind == kind]
    return sum(item.first_seconds <= objective_seconds for item in of_kind) / len(of_kind)


def compute_uninterrupted_share(
    outcomes: list[Outcome], kind: str, aim: float, pause: float
) -> float:
    """Share of a kind's requests that came in time and without a pause that is too long."""
    of_kind = [item for item in outcomes if item.arrival.kind == kind]
    good = [item.first_seconds <= aim and item.longest_pause <= pause for item in of_kind]
    return sum(good) / len(of_kind)


def compute_mean_event_seconds(outcomes: list[Outcome], kind: str) -> float:
    """Mean time of an event of a kind's runs, in seconds."""
    spans = [
        (item.total_seconds - item.first_seconds) / max(1, item.arrival.events - 1)
        for item in outcomes
        if item.arrival.kind == kind and item.arrival.events > 1
    ]
    return statistics.mean(spans)
