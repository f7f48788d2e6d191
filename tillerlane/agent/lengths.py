"""Distributions of answer lengths, learnt for each workspace, class and model.

A distribution is a decaying histogram over lengths in steps of a fixed ratio.  What matters is
always conditional: given that a generation has written ``w`` tokens, how likely is it to write
``t`` more.  A key with few samples borrows from its class, and a new class from a broad prior.
"""

import dataclasses
import math

__all__ = ["HORIZONS", "LengthModel", "LengthModels", "Survival"]

_RATIO = 2 ** (1 / 4)
_LONGEST = 262_144
_BUCKETS = math.ceil(math.log(_LONGEST, _RATIO)) + 1
_DECAY = 0.995
"""Weight of the past after each sample: about the last 200 count."""
_PRIOR_MEDIAN = 200.0
_PRIOR_SPREAD = 1.3
_PRIOR_WEIGHT = 2.0
"""Samples that the distribution borrowed from counts for."""

HORIZONS = (0, 8, 16, 32, 64, 128, 256, 512, 1_024, 2_048, 4_096, 8_192, 16_384, 32_768)
"""Tokens ahead at which the batch's memory is forecast."""


def _bucket(length: float) -> int:
    if length <= 1:
        return 0
    return min(_BUCKETS - 1, int(math.log(length) / math.log(_RATIO)))


_EDGES = [_RATIO**index for index in range(_BUCKETS + 1)]


def _build_prior() -> list[float]:
    def below(length: float) -> float:
        deviation = (math.log(length) - math.log(_PRIOR_MEDIAN)) / _PRIOR_SPREAD
        return 0.5 * (1 + math.erf(deviation / math.sqrt(2)))

    weights = [below(_EDGES[index + 1]) - below(_EDGES[index]) for index in range(_BUCKETS)]
    total = sum(weights)
    return [weight / total for weight in weights]


_PRIOR = _build_prior()


@dataclasses.dataclass(frozen=True, slots=True)
class Survival:
    """What is left of a generation, given what it has written.

    Attributes
    ----------
    expected_left : float
        Expected tokens still to be written.
    alive : tuple of float
        Chance that it still runs at each of `HORIZONS`.
    """

    expected_remaining: float
    alive: tuple[float, ...]


class LengthModel:
    """Decaying histogram of lengths, on top of one that it borrows from."""

    def __init__(self, base: "LengthModel | None" = None) -> None:
        self._base = base
        self._weights = [0.0] * _BUCKETS
        self._total = 0.0
        self.samples = 0
        self._tail: list[float] | None = None
        self._tail_age = 0

    def add(self, length: int) -> None:
        """Learn the length of an answer that ended by itself."""
        for index in range(_BUCKETS):
            self._weights[index] *= _DECAY
        self._weights[_bucket(length)] += 1.0
        self._total = self._total * _DECAY + 1.0
        self.samples += 1
        self._tail = None

    def _shares(self) -> list[float]:
        borrowed = self._base._shares() if self._base is not None else _PRIOR
        total = self._total + _PRIOR_WEIGHT
        return [
            (own + _PRIOR_WEIGHT * other) / total
            for own, other in zip(self._weights, borrowed, strict=True)
        ]

    def _get_tail(self) -> list[float]:
        """Chance of a length of at least each bucket's lower edge."""
        if self._tail is None or (self._base is not None and self._base.samples != self._tail_age):
            shares = self._shares()
            tail = [0.0] * (_BUCKETS + 1)
            for index in range(_BUCKETS - 1, -1, -1):
                tail[index] = tail[index + 1] + shares[index]
            self._tail = tail
            self._tail_age = self._base.samples if self._base is not None else 0
        return self._tail

    def compute_survival(self, length: float) -> float:
        """Chance that an answer is longer than `length` tokens."""
        if length < 1:
            return 1.0
        tail = self._get_tail()
        index = _bucket(length)
        low, high = _EDGES[index], _EDGES[index + 1]
        part = (length - low) / (high - low)
        return max(1e-12, tail[index] + (tail[index + 1] - tail[index]) * part)

    def predict_remaining(self, written: int, longest: int) -> Survival:
        """What is left, given `written` tokens and that it ends at `longest` at the latest."""
        now = self.compute_survival(written)
        alive = tuple(
            self.compute_survival(written + ahead) / now if written + ahead < longest else 0.0
            for ahead in HORIZONS
        )
        expected = 0.0
        for index in range(1, len(HORIZONS)):
            width = min(HORIZONS[index], max(0, longest - written)) - min(
                HORIZONS[index - 1], max(0, longest - written)
            )
            expected += width * (alive[index - 1] + alive[index]) / 2
        return Survival(max(1.0, expected), alive)


class LengthModels:
    """Distributions for each (workspace, class, model), each borrowing from its class."""

    MAX_KEYS = 4_096
    """Keys kept; the least recently used goes first."""

    def __init__(self) -> None:
        self._classes: dict[tuple[str, str], LengthModel] = {}
        self._models: dict[tuple[str, str, str], LengthModel] = {}

    def get(self, workspace: str, class_name: str, model: str) -> LengthModel:
        """Distribution of a key."""
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
        """Learn the length of an answer."""
        self.get(workspace, class_name, model).add(length)
        self._classes.setdefault((class_name, model), LengthModel()).add(length)
