"""Forecast of a batch's memory, from the predicted remaining length of each generation.

At each horizon the memory of the batch is a sum of independent terms: a generation that is still
running holds its present memory plus the tokens generated since, one that has ended holds nothing.
Means and variances add up, and the probability of exceeding the memory is taken from a normal
distribution.

References
----------
``docs/design/memory.md`` compares the alternatives and gives the measurements.
"""

import math
from collections.abc import Iterable

from tillerlane.agent import generation as generations
from tillerlane.agent import lengths

__all__ = ["BatchForecast"]

_HORIZON_COUNT = len(lengths.HORIZONS)


class BatchForecast:
    """Mean and variance of a batch's memory at each horizon, in tokens."""

    __slots__ = ("_means", "_variances")

    def __init__(self, batch: Iterable[generations.Generation] = ()) -> None:
        self._means = [0.0] * _HORIZON_COUNT
        self._variances = [0.0] * _HORIZON_COUNT
        for generation in batch:
            self.add(generation)

    def copy(self, other: "BatchForecast") -> None:
        """Replace the sums by those of another forecast."""
        self._means = list(other._means)
        self._variances = list(other._variances)

    def add(self, generation: generations.Generation) -> None:
        """Add a generation to the batch."""
        survival = generation.predict_remaining().alive
        memory = generation.memory
        for index, ahead in enumerate(lengths.HORIZONS):
            probability = survival[index]
            if probability <= 0.0:
                break
            size = memory + ahead
            mean = probability * size
            self._means[index] += mean
            self._variances[index] += mean * size - mean * mean

    def risk(self, capacity: float) -> float:
        """Largest probability, over the horizons, that the batch exceeds `capacity` tokens."""
        worst = 0.0
        for mean, variance in zip(self._means, self._variances, strict=True):
            if mean <= 0.0:
                continue
            if variance <= 0.0:
                worst = max(worst, 1.0 if mean > capacity else 0.0)
                continue
            deviation = (capacity - mean) / math.sqrt(2.0 * variance)
            worst = max(worst, 0.5 * math.erfc(deviation))
        return worst

    def expected_peak(self) -> float:
        """Largest mean over the horizons."""
        return max(self._means)
