"""Simulation of a pool of unequal runners that leave and turn slow, for testing their estimates.

It plays the runners of `engine_play`.  Entries see reports that are some tenths of a second old,
and gaps between events only of the streams that they relay.  Runners leave and come back with
another speed, and their runs go on elsewhere.
"""

import collections
import dataclasses
import math
import random
import statistics
from collections.abc import Callable

from tillerlane.decisions import placing, queueing, speeds
from tillerlane.gateway.speeds import gaps
from tillerlane.testing import engine_play

__all__ = ["EQUAL", "FACTORS", "Figures", "Scene", "Variant", "play"]

FACTORS = (0.6, 1.0, 1.6)
EQUAL = (1.0,)
TICK_SECONDS = 0.03
REPORT_AGE_SECONDS = 0.15
POOL_INTERVAL_SECONDS = 1.0
PAUSE_OBJECTIVE_SECONDS = 0.18
LONG_OBJECTIVE_SECONDS = 1.8
SHORT_OBJECTIVE_SECONDS = 1.5
WARM_UP_SECONDS = 8.0
LONG_EVENTS = 20
MEMORY_TOKENS = 26_888
LEAVE_INTERVAL_SECONDS = 3.3
LEAVE_SHARE = 0.17
AWAY_SECONDS = 4.0
ENTRIES = 27
SLOWDOWN_HEARD_SECONDS = 0.25
"""Time until all entries know of a transient slowdown: late gaps, and messages by keepers."""

Estimate = Callable[[speeds.Seen, speeds.PoolSpeeds], speeds.Speeds]


def estimate_with_fixed_weight(seen: speeds.Seen, pool: speeds.PoolSpeeds) -> speeds.Speeds:
    """Estimate with the weight of 20 events for the pool's mean, for decoding alone."""
    if pool.event_seconds <= 0:
        return speeds.NEUTRAL
    event_seconds = placing.estimate_event_seconds(seen.events, seen.event_ms, pool.event_seconds)
    slowness = speeds.Slowness(event_seconds / pool.event_seconds)
    return speeds.Speeds(slowness, slowness)


def estimate_from_events(seen: speeds.Seen, pool: speeds.PoolSpeeds) -> speeds.Speeds:
    """Estimate from events alone, with the pool's spread."""
    decode = speeds.estimate_slowness(speeds.Seen(seen.events, seen.event_ms), pool)
    return speeds.Speeds(decode, decode)


@dataclasses.dataclass(frozen=True, slots=True)
class Variant:
    """How entries choose.

    Attributes
    ----------
    estimate : callable
        Estimates a runner's speeds.
    pause_cost : float
        Cost of a certain pause; 0 if the risk isn't counted.
    knows_prefill : bool
        Whether the prefill speed counts in the waiting term and in the bound on queued prefill,
        with the prompts that are not reported yet.
    hears_slowdowns : bool
        Whether runners in a transient slowdown are avoided.
    """

    estimate: Estimate = estimate_with_fixed_weight
    pause_cost: float = 0.0
    knows_prefill: bool = False
    hears_slowdowns: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class Scene:
    """Runners and load: requests per second of both kinds, and the speeds of runners."""

    long_rate: float
    short_rate: float
    factors: tuple[float, ...] = FACTORS
    slow_share: float = 0.15
    runners: int = 25
    seconds: float = 38.0


@dataclasses.dataclass(frozen=True, slots=True)
class Figures:
    """Shares of late requests, and the mean time per event of long runs in milliseconds.

    Attributes
    ----------
    paused : float
        Share of long runs with a pause above the objective.
    late_long, late_short : float
        Shares of first events after their objective.
    by_factor : dict
        Share of long runs that started on runners of each factor.
    """

    paused: float
    late_long: float
    late_short: float
    event_ms: float
    by_factor: dict[float, float]
    error: float = 0.0
    """Mean error of the logarithm of decode factors."""


class _Fleet:
    def __init__(self, scene: Scene, variant: Variant, seed: int) -> None:
        self.scene = scene
        self.variant = variant
        self.rng = random.Random(seed)
        self.world = random.Random(seed + 1_000)
        """Decides what happens to runners, so that all variants meet the same."""
        self.bag: list[float] = []
        self.weights = [self.rng.uniform(1, 22) for _ in range(ENTRIES)]
        self.tails = [gaps.GapRecorder(0.0) for _ in range(ENTRIES)]
        self.known_tails: list[speeds.Tail | None] = [None] * ENTRIES
        self.entry_of: dict[int, int] = {}
        self.now = 0.0
        self.pool = speeds.PoolSpeeds()
        self.pool_at = -1.0
        self.estimates: list[speeds.Speeds] = []
        self.back_at = [0.0] * scene.runners
        self.leave_at = LEAVE_INTERVAL_SECONDS
        self.runners = [self._start_runner(number) for number in range(scene.runners)]
        self.reports: collections.deque[list[engine_play.Report]] = collections.deque()
        self.outcomes: list[engine_play.Outcome] = []
        self.placed: dict[int, float] = {}
        self.slow_heard = [0.0] * scene.runners
        self.errors: list[float] = []

    def _start_runner(self, number: int) -> engine_play.Runner:
        factor = self.scene.factors[number % len(self.scene.factors)]
        if self.now > 0:
            if not self.bag:
                self.bag = self.world.sample(self.scene.factors, len(self.scene.factors))
            factor = self.bag.pop()
        spec = engine_play.RunnerSpec(factor, MEMORY_TOKENS, 24, self.scene.slow_share)
        runner = engine_play.Runner(spec, random.Random(self.world.random()))
        runner.now = self.now
        runner.on_event = lambda arrival, gap, now: self._record_gap(number, arrival, gap)
        return runner

    def _record_gap(self, number: int, arrival: engine_play.Arrival, gap: float) -> None:
        if not self.estimates or self.pool.event_seconds <= 0:
            return
        mean = self.estimates[number].decode.factor * self.pool.event_seconds
        self.tails[self.entry_of[id(arrival)]].record(gap / mean, 1)

    def run(self, arrivals: list[engine_play.Arrival]) -> None:
        """Play all arrivals to their end."""
        waiting = collections.deque(arrivals)
        deferred: list[engine_play.Run] = []
        while waiting or deferred or any(item.prefilling or item.decoding for item in self.runners):
            self.now += TICK_SECONDS
            if self.now > self.scene.seconds + 60:
                break
            self._step_runners()
            while waiting and waiting[0].at <= self.now:
                arrival = waiting.popleft()
                self.entry_of[id(arrival)] = self.rng.choices(range(ENTRIES), self.weights)[0]
                outcome = engine_play.Outcome(arrival)
                self.outcomes.append(outcome)
                tokens = arrival.events * engine_play.EVENT_TOKENS
                deferred.append(engine_play.Run(outcome, arrival.prompt_tokens, tokens))
            deferred = [run for run in deferred if not self._place(run)]
            if self.now >= self.leave_at:
                self.leave_at += LEAVE_INTERVAL_SECONDS
                deferred += self._leave()

    def _step_runners(self) -> None:
        kept = math.exp(-TICK_SECONDS / engine_play.SMOOTHING_SECONDS)
        for number, runner in enumerate(self.runners):
            runner.run_until(self.now)
            runner.decay(kept)
            if runner.is_slow:
                self.slow_heard[number] = max(
                    self.slow_heard[number], runner.slow_from + SLOWDOWN_HEARD_SECONDS
                )
        self.reports.append([runner.compute_load() for runner in self.runners])
        if len(self.reports) > round(REPORT_AGE_SECONDS / TICK_SECONDS):
            self.reports.popleft()
        seen = [report.seen for report in self.reports[0]]
        if self.now - self.pool_at > POOL_INTERVAL_SECONDS:
            self.pool_at = self.now
            self.pool = speeds.estimate_pool([seen[number] for number in self._list_present()])
            self.known_tails = [tail.build_tail(self.now) for tail in self.tails]
        self.estimates = [self.variant.estimate(item, self.pool) for item in seen]
        if self.now > WARM_UP_SECONDS:
            errors = [
                math.log(self.estimates[number].decode.factor / self.runners[number].spec.slowdown)
                for number in self._list_present()
            ]
            centre = statistics.fmean(errors)
            self.errors.append(statistics.fmean(abs(error - centre) for error in errors))

    def _list_present(self) -> list[int]:
        return [number for number, at in enumerate(self.back_at) if at <= self.now]

    def _leave(self) -> list[engine_play.Run]:
        """Stop some runners; return their runs, those without events to be prefilled again."""
        moved: list[engine_play.Run] = []
        for number, back_at in enumerate(self.back_at):
            if self.world.random() >= LEAVE_SHARE or back_at > self.now:
                continue
            runner = self.runners[number]
            moved += [*runner.prefilling, *runner.decoding]
            self.back_at[number] = self.now + AWAY_SECONDS
            self.runners[number] = self._start_runner(number)
        return moved

    def _place(self, run: engine_play.Run) -> bool:
        """Place a run; False if it has to wait."""
        arrival = run.outcome.arrival
        remaining = run.tokens_left / engine_play.EVENT_TOKENS
        tokens = run.count_memory() + min(300, run.tokens_left // 2)
        is_long = arrival.events >= LONG_EVENTS
        pause = PAUSE_OBJECTIVE_SECONDS if is_long else 0.0
        work = placing.Work(tokens, run.unprefilled, remaining, pause_objective_seconds=pause)
        number = self._choose(work, self.entry_of[id(arrival)])
        report, runner = self.reports[0][number], self.runners[number]
        objective = LONG_OBJECTIVE_SECONDS if is_long else SHORT_OBJECTIVE_SECONDS
        # Reservations: a runner refuses what its memory doesn't hold at that moment.
        used = max(report.tokens, runner.compute_load().tokens)
        if used + tokens > MEMORY_TOKENS * (0.95 if is_long else 1.0):
            return False
        rate: float = placing.PREFILL_TOKENS_PER_SECOND
        if self.variant.knows_prefill:
            rate /= self.estimates[number].prefill.factor
        is_late = self.now - arrival.at > 0.7 * objective
        if not is_late and not queueing.can_start(
            report.unprefilled,
            run.unprefilled,
            objective,
            is_long=is_long,
            rate=rate,
        ):
            return False
        if is_long:
            self.placed.setdefault(id(arrival), runner.spec.slowdown)
        if run.unprefilled <= 0:
            run.last_event_at = self.now  # the pause of a move itself is not counted
            runner.decoding.append(run)
        else:
            run.sent_at = self.now
            run.tokens_ahead = report.unprefilled + run.unprefilled
            runner.enqueue(run)
        return True

    def _choose(self, work: placing.Work, entry: int) -> int:
        variant = self.variant
        present = self._list_present()
        unreported = (self.scene.long_rate + self.scene.short_rate) * REPORT_AGE_SECONDS
        sample_size = placing.count_candidates(len(present), unreported)
        event_seconds = self.pool.event_seconds or placing.DEFAULT_EVENT_SECONDS
        hidden = 0
        if variant.knows_prefill:
            hidden = placing.estimate_hidden_tokens(
                work.prompt_tokens, sample_size, len(present), unreported
            )
        best, best_cost, sampled = present[0], (True, math.inf), 0
        counts_risk = variant.pause_cost > 0 and work.pause_objective_seconds > 0
        for number in self.rng.sample(present, len(present)):
            if sampled >= sample_size and not best_cost[0]:
                break
            report, estimated = self.reports[0][number], self.estimates[number]
            own_seconds = event_seconds * estimated.decode.factor
            risk = read_seconds = 0.0
            if variant.knows_prefill:
                read_seconds = estimated.prefill.factor / placing.PREFILL_TOKENS_PER_SECOND
            if counts_risk:
                risk = speeds.estimate_pause_risk(
                    own_seconds,
                    work.events,
                    work.pause_objective_seconds,
                    self.known_tails[entry],
                    estimated.decode.variance,
                )
            load = placing.CandidateLoad(
                report.requests,
                24,
                report.tokens,
                MEMORY_TOKENS,
                report.unprefilled + hidden,
                own_seconds,
                read_seconds_per_token=read_seconds,
                pause_risk=risk * variant.pause_cost / placing.PAUSE_COST_SECONDS,
            )
            is_full = report.tokens + work.memory_tokens > 0.9 * MEMORY_TOKENS
            cost = placing.estimate_cost(work, load, event_seconds)
            if variant.hears_slowdowns and self.slow_heard[number] <= self.now:
                cost += placing.SLOWDOWN_COST_SECONDS * self.runners[number].is_slow
            if (is_full, cost) < best_cost:
                best, best_cost = number, (is_full, cost)
            if not is_full:
                sampled += 1
        return best

    def compute_figures(self) -> Figures:
        """Figures of all requests that arrived after the warm-up."""
        counted = [item for item in self.outcomes if item.arrival.at > WARM_UP_SECONDS]
        long = [item for item in counted if item.arrival.events >= LONG_EVENTS]
        short = [item for item in counted if item.arrival.events < LONG_EVENTS]
        starts = collections.Counter(self.placed.get(id(item.arrival), 0.0) for item in long)
        spans = [
            (item.total_seconds - item.first_seconds) / (item.arrival.events - 1)
            for item in long
            if item.total_seconds < math.inf
        ]
        return Figures(
            statistics.fmean(item.max_gap > PAUSE_OBJECTIVE_SECONDS for item in long),
            statistics.fmean(item.first_seconds > LONG_OBJECTIVE_SECONDS for item in long),
            statistics.fmean(item.first_seconds > SHORT_OBJECTIVE_SECONDS for item in short),
            statistics.fmean(spans) * 1000,
            {factor: number / len(long) for factor, number in sorted(starts.items())},
            statistics.fmean(self.errors),
        )


def play(scene: Scene, variant: Variant, seed: int) -> Figures:
    """Simulate a load."""
    rng = random.Random(seed)
    arrivals = engine_play.sample_arrivals(
        rng,
        scene.seconds,
        {"long": (scene.long_rate, 3_079, 187.0), "short": (scene.short_rate, 2_550, 2.0)},
    )
    fleet = _Fleet(scene, variant, seed)
    fleet.run(arrivals)
    return fleet.compute_figures()
