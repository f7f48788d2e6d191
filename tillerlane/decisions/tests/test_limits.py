"""Hash-based shares of a cold target's rate: all entries' sends within any second."""

import random
import unittest
from collections.abc import Callable

from hypothesis import given, strategies

from tillerlane.decisions import limits
from tillerlane.testing import profiles

SECONDS = 3.0
STEP_SECONDS = 0.05
TARGETS = 100

CanSend = Callable[[int, list[float], float], bool]
"""(entry, times of its sends, now) to whether it may send."""


def count_peak(times: list[float]) -> int:
    """Return the maximum number of sends within any second."""
    ordered = sorted(times)
    maximum, first = 0, 0
    for last, at in enumerate(ordered):
        while ordered[first] <= at - 1.0:
            first += 1
        maximum = max(maximum, last - first + 1)
    return maximum


def simulate_entries(entries: int, can_send: CanSend, start_at: float) -> list[float]:
    """Return the times of all sends to one target by entries that always have something to send.

    All start at the same moment, as when a data hall comes back during a burst.
    """
    sent: list[list[float]] = [[] for _ in range(entries)]
    now = start_at
    while now < start_at + SECONDS:
        for entry in range(entries):
            while can_send(entry, sent[entry], now):
                sent[entry].append(now)
        now += STEP_SECONDS
    return [at for times in sent for at in times]


def build_shares(quota: limits.WindowQuota, entries: int, rng: random.Random) -> CanSend:
    """Return the decision of entries with their hash-based shares for one target."""
    shares = [limits.compute_share(quota, entries, rng.random()) for _ in range(entries)]

    def can_send(entry: int, times: list[float], now: float) -> bool:
        return sum(at > now - 1.0 for at in times) < shares[entry]

    return can_send


def build_accumulating(quota: limits.WindowQuota, entries: int) -> CanSend:
    """Return the rejected alternative: each entry accumulates its share, up to one request."""
    each = quota.desired / entries

    def can_send(entry: int, times: list[float], now: float) -> bool:
        return not times or now - times[-1] >= 1 / each

    return can_send


class ShareTest(unittest.TestCase):
    """All entries together."""

    def simulate_targets(self, desired: float, over: float, slack: float, entries: int) -> float:
        """Assert the maximum for many targets, and return the mean number of sends per second."""
        quota = limits.WindowQuota(desired, desired * over + slack)
        rng = random.Random(1)
        total = 0.0
        for _ in range(TARGETS):
            times = simulate_entries(entries, build_shares(quota, entries, rng), 0.0)
            self.assertLessEqual(count_peak(times), quota.maximum)
            total += len(times) / SECONDS
        return total / TARGETS

    def test_maximum_is_kept_in_every_second_and_rate_is_mostly_used(self) -> None:
        """Checks the used share of the rate while there is always something to send."""
        for desired, entries, min_share in (
            (5.0, 68, 0.75),
            (34.0, 68, 0.9),
            (34.0, 22, 0.9),
            (5.0, 22, 0.75),
            (5.0, 4, 0.9),
            (0.5, 22, 0.5),
        ):
            with self.subTest(desired=desired, entries=entries):
                used = self.simulate_targets(desired, 1.5, 5.0, entries)
                self.assertGreater(used, min_share * desired)
                self.assertLess(used, 1.2 * desired)

    def test_accumulated_shares_exceed_the_maximum(self) -> None:
        """The rejected alternative: 68 sends in the first second at a rate of 5, maximum 12.5."""
        quota = limits.WindowQuota(5.0, 12.5)
        times = simulate_entries(68, build_accumulating(quota, 68), 0.0)
        self.assertGreater(count_peak(times), quota.maximum)

    def test_entry_without_the_fleet_size_sends_nothing(self) -> None:
        self.assertEqual(limits.compute_share(limits.WindowQuota(34.0, 56.0), 0, 0.99), 0)

    @profiles.choose(200)
    @given(
        strategies.floats(0.1, 200.0),
        strategies.floats(1.0, 3.0),
        strategies.floats(0.0, 20.0),
        strategies.integers(1, 500),
    )
    def test_mean_share_is_the_expected_one(
        self, desired: float, over: float, slack: float, entries: int
    ) -> None:
        quota = limits.WindowQuota(desired, desired * over + slack)
        expected = limits.compute_expected_requests(quota, entries)
        self.assertLessEqual(expected, desired)
        fractions = [(number + 0.5) / 1_000 for number in range(1_000)]
        mean = sum(limits.compute_share(quota, entries, fraction) for fraction in fractions) / 1_000
        self.assertAlmostEqual(mean, expected / entries, delta=0.002)


if __name__ == "__main__":
    unittest.main()
