"""Distributions of output lengths, estimated for each workspace, class and model.

A distribution is an exponentially decaying histogram with buckets in geometric progression.  It
is queried conditionally: given that a generation has written ``w`` tokens, the probability that it
writes ``t`` more.  A key with few samples is smoothed by its class's distribution, and a new class
by a broad prior.
"""

import dataclasses
import math

__all__ = ["HORIZONS", "LengthModel", "LengthModels", "Survival"]

_BUCKET_RATIO = 2 ** (1 / 4)
_MAX_LENGTH = 262_144
_BUCKET_COUNT = math.ceil(math.log(_MAX_LENGTH, _BUCKET_RATIO)) + 1
_DECAY = 0.995
"""Factor on older samples at each new one: an effective window of about 200 samples."""
_PRIOR_MEDIAN = 200.0
_PRIOR_LOG_DEVIATION = 1.3
_PRIOR_WEIGHT = 2.0
"""Number of samples that the base distribution counts for."""

HORIZONS = (0, 8, 16, 32, 64, 128, 256, 512, 1_024, 2_048, 4_096, 8_192, 16_384, 32_768)
"""Numbers of further tokens at which a batch's memory is forecast."""


def _find_bucket(length: float) -> int:
    if length <= 1:
        return 0
    return min(_BUCKET_COUNT - 1, int(math.log(length) / math.log(_BUCKET_RATIO)))


_EDGES = [_BUCKET_RATIO**index for index in range(_BUCKET_COUNT + 1)]


def _build_prior() -> list[float]:
    def compute_cdf(length: float) -> float:
        deviation = (math.log(length) - math.log(_PRIOR_MEDIAN)) / _PRIOR_LOG_DEVIATION
        return 0.5 * (1 + math.erf(deviation / math.sqrt(2)))

    weights = [
        compute_cdf(_EDGES[index + 1]) - compute_cdf(_EDGES[index])
        for index in range(_BUCKET_COUNT)
    ]
    total = sum(weights)
    return [weight / total for weight in weights]


_PRIOR = _build_prior()


@dataclasses.dataclass(frozen=True, slots=True)
class Survival:
    """Predicted remaining length of a generation, given what it has written.

    Attributes
    ----------
    expected_left : float
        Expected tokens still to be written.
    alive : tuple of float
        Probability that it is still running at each of `HORIZONS`.
    """

    expected_remaining: float
    alive: tuple[float, ...]


class LengthModel:
    """Decaying histogram of lengths, smoothed by a base distribution."""

    def __init__(self, base: "LengthModel | None" = None) -> None:
        self._base = base
        self._weights = [0.0] * _BUCKET_COUNT
        self._total = 0.0
        self.samples = 0
        self._tail: list[float] | None = None
        self._tail_base_samples = 0

    def add(self, length: int) -> None:
        """Record the length of an output that ended with a stop."""
        for index in range(_BUCKET_COUNT):
            self._weights[index] *= _DECAY
        self._weights[_find_bucket(length)] += 1.0
        self._total = self._total * _DECAY + 1.0
        self.samples += 1
        self._tail = None

    def _compute_probabilities(self) -> list[float]:
        base = self._base._compute_probabilities() if self._base is not None else _PRIOR
        total = self._total + _PRIOR_WEIGHT
        return [
            (own + _PRIOR_WEIGHT * other) / total
            for own, other in zip(self._weights, base, strict=True)
        ]

    def _get_tail(self) -> list[float]:
        """Probability of a length of at least each bucket's lower edge."""
        if self._tail is None or (
            self._base is not None and self._base.samples != self._tail_base_samples
        ):
            probabilities = self._compute_probabilities()
            tail = [0.0] * (_BUCKET_COUNT + 1)
            for index in range(_BUCKET_COUNT - 1, -1, -1):
                tail[index] = tail[index + 1] + probabilities[index]
            self._tail = tail
            self._tail_base_samples = self._base.samples if self._base is not None else 0
        return self._tail

    def compute_survival(self, length: float) -> float:
        """Probability that an output is longer than `length` tokens."""
        if length < 1:
            return 1.0
        tail = self._get_tail()
        index = _find_bucket(length)
        low, high = _EDGES[index], _EDGES[index + 1]
        fraction = (length - low) / (high - low)
        return max(1e-12, tail[index] + (tail[index + 1] - tail[index]) * fraction)

    def predict_remaining(self, written: int, limit: int) -> Survival:
        """Remaining length, given `written` tokens so far and at most `limit` in all."""
        current = self.compute_survival(written)
        alive = tuple(
            self.compute_survival(written + ahead) / current if written + ahead < limit else 0.0
            for ahead in HORIZONS
        )
        expected = 0.0
        for index in range(1, len(HORIZONS)):
            width = min(HORIZONS[index], max(0, limit - written)) - min(
                HORIZONS[index - 1], max(0, limit - written)
            )
            expected += width * (alive[index - 1] + alive[index]) / 2
        return Survival(max(1.0, expected), alive)


class LengthModels:
    """Distributions by (workspace, class, model), each smoothed by that of its class."""

    MAX_KEYS = 4_096
    """Keys retained; the least recently used is evicted first."""

    def __init__(self) -> None:
        self._classes: dict[tuple[str, str], LengthModel] = {}
        self._models: dict[tuple[str, str, str], LengthModel] = {}

    def get(self, workspace: str, class_name: str, model: str) -> LengthModel:
        """Distribution of a key, created if it is missing."""
        key = (workspace, class_name, model)
        found = self._models.pop(key, None)
        if found is None:
            base = self._classes.setdefault((class_name, model), LengthModel())
            found = LengthModel(base)
            while len(self._models) >= self.MAX_KEYS:
                self._models.pop(next(iter(self._models)))
        self._models[key] = found
        return found

    def add(self, workspace: str, class_name: str, model: str, length: int) -> None:
        """Record the length of an output."""
        self.get(workspace, class_name, model).add(length)
        self._classes.setdefault((class_name, model), LengthModel()).add(length)
