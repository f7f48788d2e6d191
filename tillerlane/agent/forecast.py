"""Forecast of a batch's memory over its life, from what is left of each generation.

At each horizon the memory of the batch is a sum of independent terms: a generation that still
runs then holds what it holds now and all that it wrote since, one that has ended holds nothing.
Mean and variance add up, and the chance of outgrowing memory is that of a normal distribution.

References
----------
``docs/design/memory.md`` gives the ways weighed and what was measured.
"""

import math
from collections.abc import Iterable

from tillerlane.agent import generation as generations
from tillerlane.agent import lengths

__all__ = ["BatchForecast"]

_COUNT = len(lengths.HORIZONS)


class BatchForecast:
    """Mean and variance of a batch's memory at each horizon, in tokens."""

    __slots__ = ("_means", "_variances")

    def __init__(self, batch: Iterable[generations.Generation] = ()) -> None:
        self._means = [0.0] * _COUNT
        self._variances = [0.0] * _COUNT
        for generation in batch:
            self.add(generation)

    def copy(self, other: "BatchForecast") -> None:
        """Take over another forecast's sums."""
        self._means = list(other._means)
        self._variances = list(other._variances)

    def add(self, generation: generations.Generation) -> None:
        """Add a generation to the batch."""
        alive = generation.predict_remaining().alive
        memory = generation.memory
        for index, ahead in enumerate(lengths.HORIZONS):
            chance = alive[index]
            if chance <= 0.0:
                break
            size = memory + ahead
            mean = chance * size
            self._means[index] += mean
            self._variances[index] += mean * size - mean * mean

    def risk(self, room: float) -> float:
        """Chance that the batch needs more than `room` tokens at some horizon."""
        worst = 0.0
        for mean, variance in zip(self._means, self._variances, strict=True):
            if mean <= 0.0:
                continue
            if variance <= 0.0:
                worst = max(worst, 1.0 if mean > room else 0.0)
                continue
            score = (room - mean) / math.sqrt(2.0 * variance)
            worst = max(worst, 0.5 * math.erfc(score))
        return worst

    def expected_peak(self) -> float:
        """Largest mean over the horizons."""
        return max(self._means)
