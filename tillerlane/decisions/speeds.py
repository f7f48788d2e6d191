"""Estimates how fast each runner of a pool is, and how likely a run pauses for too long there.

The load is a pool whose runners differ in speed by factors of up to 2.7, leave and are replaced
after seconds, and turn slow for some tenths of a second at random.  A runner's speed must be known
after the first few requests anywhere in the fleet, and a long run must not go where one slow moment
during a prefill already exceeds its route's longest pause.

Speeds are estimated as logarithms of the factor by which a runner is slower than its pool.  Decode
(seconds per event) and prefill (seconds per prompt token) have a factor each.  The spread of both
over the pool, and how far one tells the other, are learned from the pool; a runner that nobody has
observed counts with that spread.  Where runners are equal the spread is 0 and all factors are 1.
"""

import dataclasses
import math
import operator
from collections.abc import Iterable, Sequence

__all__ = [
    "MIN_GAPS",
    "NEUTRAL",
    "PoolSpeeds",
    "Seen",
    "Slowness",
    "Speeds",
    "Tail",
    "build_tail",
    "compute_pause_probability",
    "estimate_pause_risk",
    "estimate_pool",
    "estimate_slowness",
    "estimate_speeds",
    "find_ratio_step",
    "list_long_gap_shares",
]

EVENT_VARIANCE = 0.3
"""Variance of the logarithm of a single gap at a runner of known speed, from prefill beside it and
slow moments.  Only its order of magnitude matters: it decides after how many events a runner's own
figure outweighs its pool's."""
EVENTS_PER_OBSERVATION = 8.0
"""Consecutive events that share one such deviation: a prefill of 3,000 tokens takes ten events."""
PREFILL_VARIANCE = 0.1
"""The same for the time from a send to its first event, relative to the tokens prefilled."""
TOKENS_PER_OBSERVATION = 3_000.0
"""Prompt tokens prefilled before one first event, about: a prompt and what was queued ahead."""
LOAD_VARIANCE = 0.01
"""Variance of a runner's mean that any number of observations leaves: with its load, which is not
its speed, a runner's events take a tenth longer or shorter than the pool's."""
MAX_CORRELATION = 0.9
"""Bound on how far one factor tells the other: from few runners they appear to be the same."""
MIN_RUNNERS = 3
"""Observed runners from which their differences are told apart from noise."""
MIN_GAPS = 200
"""Gaps from which a pool's distribution is used: about one run's."""
RATIO_STEPS_PER_DOUBLING = 4
MAX_RATIO_STEP = 24
"""A distribution of gaps has a value for each ratio of 2 ** (n / 4), up to 64 times the mean."""
_DEVIATIONS = (-math.sqrt(1.5), 0.0, math.sqrt(1.5))
"""Three equally likely deviations that have the variance of a normal distribution.  Pools have few
kinds of hosts; Gauss-Hermite points (1.73 deviations, weight 1/6) understate how many are slow."""


@dataclasses.dataclass(frozen=True, slots=True)
class Seen:
    """Recent observations of a runner, summed over the fleet.

    Attributes
    ----------
    events, event_ms : int
        Events of streams, and the milliseconds waited for them.
    read_tokens, read_ms : int
        Prompt tokens prefilled before first events, and the milliseconds that they took.
    """

    events: int = 0
    event_ms: int = 0
    read_tokens: int = 0
    read_ms: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class Slowness:
    """Factor by which a runner is slower than its pool, and the variance of its logarithm."""

    factor: float = 1.0
    variance: float = 0.0


@dataclasses.dataclass(frozen=True, slots=True)
class Speeds:
    """A runner's slowness in decoding and in prefilling."""

    decode: Slowness = Slowness()
    prefill: Slowness = Slowness()


NEUTRAL = Speeds()
"""Speeds of a runner in a pool without observations."""


@dataclasses.dataclass(frozen=True, slots=True)
class PoolSpeeds:
    """A pool's mean speeds, and the distribution of its runners' factors.

    Attributes
    ----------
    event_seconds, token_seconds : float
        Mean seconds per event and per prompt token; 0 without observations.
    decode_mean, prefill_mean : float
        Mean logarithm of the runners' factors: a mean over events counts fast runners more often.
    decode_variance, prefill_variance, covariance : float
        How far the runners' factors differ, as logarithms.
    """

    event_seconds: float = 0.0
    token_seconds: float = 0.0
    decode_mean: float = 0.0
    prefill_mean: float = 0.0
    decode_variance: float = 0.0
    prefill_variance: float = 0.0
    covariance: float = 0.0


def estimate_pool(observed: Sequence[Seen]) -> PoolSpeeds:
    """Estimate a pool's speeds and the spread of its runners' factors from all observations.

    The spread between runners is what their means differ by beyond the noise of each (the moment
    estimator of DerSimonian and Laird for random effects).
    """
    event_seconds = _divide(
        sum(seen.event_ms for seen in observed) / 1000, sum(seen.events for seen in observed)
    )
    token_seconds = _divide(
        sum(seen.read_ms for seen in observed) / 1000, sum(seen.read_tokens for seen in observed)
    )
    decode = [_observe_decode(seen, event_seconds) for seen in observed]
    prefill = [_observe_prefill(seen, token_seconds) for seen in observed]
    decode_mean, decode_variance = _estimate_spread([item for item in decode if item])
    prefill_mean, prefill_variance = _estimate_spread([item for item in prefill if item])
    products = weights = 0.0
    for one, other in zip(decode, prefill, strict=True):
        if one is None or other is None:
            continue
        weight = 1 / math.sqrt((decode_variance + one[1]) * (prefill_variance + other[1]))
        products += weight * (one[0] - decode_mean) * (other[0] - prefill_mean)
        weights += weight
    bound = MAX_CORRELATION * math.sqrt(decode_variance * prefill_variance)
    covariance = max(-bound, min(bound, _divide(products, weights)))
    return PoolSpeeds(
        event_seconds,
        token_seconds,
        decode_mean,
        prefill_mean,
        decode_variance,
        prefill_variance,
        covariance,
    )


def estimate_speeds(seen: Seen, pool: PoolSpeeds) -> Speeds:
    """Estimate a runner's speeds: the pool's distribution, updated by the runner's observations.

    This is a Kalman update of two correlated values, so that a first event, which shows the prefill
    speed, also tells about decoding where both go together in this pool.
    """
    decode = pool.decode_mean, pool.decode_variance
    prefill = pool.prefill_mean, pool.prefill_variance
    covariance = pool.covariance
    observed = _observe_decode(seen, pool.event_seconds)
    if observed is not None:
        decode, prefill, covariance = _update(decode, prefill, covariance, observed)
    observed = _observe_prefill(seen, pool.token_seconds)
    if observed is not None:
        prefill, decode, covariance = _update(prefill, decode, covariance, observed)
    return Speeds(
        Slowness(math.exp(decode[0]), decode[1]), Slowness(math.exp(prefill[0]), prefill[1])
    )


def _update(
    own: tuple[float, float],
    other: tuple[float, float],
    covariance: float,
    observed: tuple[float, float],
) -> tuple[tuple[float, float], tuple[float, float], float]:
    """Update two correlated values, each a mean and a variance, by an observation of the first."""
    mean, variance = own
    if variance <= 0:
        return own, other, covariance
    total = variance + observed[1]
    surprise = (observed[0] - mean) / total
    return (
        (mean + variance * surprise, variance - variance * variance / total),
        (other[0] + covariance * surprise, other[1] - covariance * covariance / total),
        covariance - variance * covariance / total,
    )


def estimate_slowness(seen: Seen, pool: PoolSpeeds) -> Slowness:
    """Estimate a runner's slowness in decoding; see `estimate_speeds`."""
    return estimate_speeds(seen, pool).decode


def _divide(total: float, number: float) -> float:
    return total / number if number > 0 else 0.0


def _observe_decode(seen: Seen, event_seconds: float) -> tuple[float, float] | None:
    """The logarithm of a runner's observed factor, and its variance; None without any."""
    if seen.events <= 0 or seen.event_ms <= 0 or event_seconds <= 0:
        return None
    factor = seen.event_ms / 1000 / seen.events / event_seconds
    variance = EVENT_VARIANCE * EVENTS_PER_OBSERVATION / seen.events
    return math.log(factor), min(EVENT_VARIANCE, variance) + LOAD_VARIANCE


def _observe_prefill(seen: Seen, token_seconds: float) -> tuple[float, float] | None:
    if seen.read_tokens <= 0 or seen.read_ms <= 0 or token_seconds <= 0:
        return None
    factor = seen.read_ms / 1000 / seen.read_tokens / token_seconds
    variance = PREFILL_VARIANCE * TOKENS_PER_OBSERVATION / seen.read_tokens
    return math.log(factor), variance + LOAD_VARIANCE


def _estimate_spread(observed: Sequence[tuple[float, float]]) -> tuple[float, float]:
    """The mean of the runners' logarithms and their variance beyond their own noise."""
    if len(observed) < MIN_RUNNERS:
        return 0.0, 0.0
    weights = [1 / variance for _, variance in observed]
    total = sum(weights)
    values = [value for value, _ in observed]
    mean = sum(map(operator.mul, weights, values)) / total
    squares = sum(
        weight * (value - mean) ** 2 for weight, value in zip(weights, values, strict=True)
    )
    scale = total - sum(weight * weight for weight in weights) / total
    spread = max(0.0, (squares - (len(observed) - 1)) / scale)
    if spread <= 0:
        return 0.0, 0.0
    weights = [1 / (spread + variance) for _, variance in observed]
    return sum(map(operator.mul, weights, values)) / sum(weights), spread


@dataclasses.dataclass(frozen=True, slots=True)
class Tail:
    """Distribution of a pool's gaps relative to their runner's mean.

    Attributes
    ----------
    shares : tuple of float
        Share of the gaps of at least 2 ** (n / `RATIO_STEPS_PER_DOUBLING`) times the mean.
    """

    shares: tuple[float, ...]

    def compute_share(self, ratio: float) -> float:
        """Share of the gaps that are longer than `ratio` times their runner's mean."""
        if ratio <= 1.0:
            return self.shares[0]
        position = math.log2(ratio) * RATIO_STEPS_PER_DOUBLING
        step = int(position)
        if step + 1 >= len(self.shares):
            return self.shares[-1]
        lower, upper = self.shares[step], self.shares[step + 1]
        return lower + (upper - lower) * (position - step)


def find_ratio_step(ratio: float) -> int:
    """Number of the largest ratio of a distribution that a gap reaches; below 0 if none."""
    if ratio < 1.0:
        return -1
    return min(MAX_RATIO_STEP, int(math.log2(ratio) * RATIO_STEPS_PER_DOUBLING))


def build_tail(counts: Iterable[float], total: float) -> Tail | None:
    """Build a distribution from the gaps counted at each step; None with too few of them."""
    if total < MIN_GAPS:
        return None
    shares, above = [], 0.0
    for count in reversed(list(counts)):
        above += count
        shares.append(min(1.0, above / total))
    return Tail(tuple(reversed(shares)))


def estimate_pause_risk(
    event_seconds: float,
    events: float,
    pause_objective_seconds: float,
    tail: Tail | None,
    variance: float = 0.0,
) -> float:
    """Estimate the probability that a run pauses for longer than its route's longest pause.

    Parameters
    ----------
    event_seconds : float
        Mean time between events at the runner.
    events : float
        Events that the run still writes.
    pause_objective_seconds : float
        The route's longest pause that meets its objective.
    tail : Tail or None
        Distribution of the pool's gaps; without one no risk is counted.
    variance : float
        Variance of the logarithm of `event_seconds`: a runner that is hardly known counts with the
        mean risk over the speeds that it may have.
    """
    if tail is None or events <= 0 or pause_objective_seconds <= 0 or event_seconds <= 0:
        return 0.0
    shares = list_long_gap_shares(event_seconds, pause_objective_seconds, tail, variance)
    return compute_pause_probability(shares, events)


def list_long_gap_shares(
    event_seconds: float, pause_objective_seconds: float, tail: Tail, variance: float
) -> tuple[float, ...]:
    """Shares of the gaps over a bound at each of the equally likely speeds of a runner.

    They depend on the runner alone, so that callers may keep them for several runs.
    """
    ratio = pause_objective_seconds / event_seconds
    if variance <= 0:
        return (tail.compute_share(ratio),)
    deviation = math.sqrt(variance)
    return tuple(
        tail.compute_share(ratio * math.exp(-offset * deviation)) for offset in _DEVIATIONS
    )


def compute_pause_probability(shares: Sequence[float], events: float) -> float:
    """Probability that a run of that many events has a gap over the bound."""
    return 1 - sum((1 - share) ** events for share in shares) / len(shares)
