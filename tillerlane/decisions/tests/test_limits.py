"""Shares of a cold target's rate: what all entries together send within any second."""

import random
import unittest
from collections.abc import Callable

from hypothesis import given, strategies

from tillerlane.decisions import limits
from tillerlane.testing import profiles

SECONDS = 3.0
STEP_SECONDS = 0.05
TARGETS = 100

MaySend = Callable[[int, list[float], float], bool]
"""(entry, times of its sends, now) gives whether it may send."""


def count_peak(times: list[float]) -> int:
    """Most sends within any second."""
    ordered = sorted(times)
    most, first = 0, 0
    for last, at in enumerate(ordered):
        while ordered[first] <= at - 1.0:
            first += 1
        most = max(most, last - first + 1)
    return most


def play_entries(entries: int, may_send: MaySend, begin_with: float) -> list[float]:
    """Times of all sends to one target by entries that have something to send all the time.

    They begin together at a moment, as when a data hall comes back in the middle of a rush.
    """
    sent: list[list[float]] = [[] for _ in range(entries)]
    now = begin_with
    while now < begin_with + SECONDS:
        for entry in range(entries):
            while may_send(entry, sent[entry], now):
                sent[entry].append(now)
        now += STEP_SECONDS
    return [at for times in sent for at in times]


def build_shares(rate: limits.WindowQuota, entries: int, rng: random.Random) -> MaySend:
    """The decision as entries take it, with their lots for one target."""
    shares = [limits.compute_share(rate, entries, rng.random()) for _ in range(entries)]

    def may_send(entry: int, times: list[float], now: float) -> bool:
        return sum(at > now - 1.0 for at in times) < shares[entry]

    return may_send


def build_savings(rate: limits.WindowQuota, entries: int) -> MaySend:
    """The other way: each entry saves its share of the rate, up to one request."""
    each = rate.desired / entries

    def may_send(entry: int, times: list[float], now: float) -> bool:
        return not times or now - times[-1] >= 1 / each

    return may_send


class ShareTest(unittest.TestCase):
    """All entries together."""

    def play_targets(self, wished: float, over: float, slack: float, entries: int) -> float:
        """Assert the bound for many targets; the mean number of sends a second."""
        rate = limits.WindowQuota(wished, wished * over + slack)
        rng = random.Random(1)
        total = 0.0
        for _ in range(TARGETS):
            times = play_entries(entries, build_shares(rate, entries, rng), 0.0)
            self.assertLessEqual(count_peak(times), rate.maximum)
            total += len(times) / SECONDS
        return total / TARGETS

    def test_no_second_above_the_bound_and_most_of_the_rate_used(self) -> None:
        """Share of the rate that is used where there is always something to send."""
        for wished, entries, least in (
            (5.0, 68, 0.75),
            (34.0, 68, 0.9),
            (34.0, 22, 0.9),
            (5.0, 22, 0.75),
            (5.0, 4, 0.9),
            (0.5, 22, 0.5),
        ):
            with self.subTest(wished=wished, entries=entries):
                used = self.play_targets(wished, 1.5, 5.0, entries)
                self.assertGreater(used, least * wished)
                self.assertLess(used, 1.2 * wished)

    def test_savings_break_the_bound(self) -> None:
        """What is not chosen: 68 in the first second with a rate of 5 and a bound of 12.5."""
        rate = limits.WindowQuota(5.0, 12.5)
        times = play_entries(68, build_savings(rate, 68), 0.0)
        self.assertGreater(count_peak(times), rate.maximum)

    def test_entry_that_does_not_know_the_fleets_size_sends_nothing(self) -> None:
        self.assertEqual(limits.compute_share(limits.WindowQuota(34.0, 56.0), 0, 0.99), 0)

    @profiles.choose(200)
    @given(
        strategies.floats(0.1, 200.0),
        strategies.floats(1.0, 3.0),
        strategies.floats(0.0, 20.0),
        strategies.integers(1, 500),
    )
    def test_mean_of_the_shares_is_the_aim(
        self, wished: float, over: float, slack: float, entries: int
    ) -> None:
        rate = limits.WindowQuota(wished, wished * over + slack)
        aim = limits.compute_expected_requests(rate, entries)
        self.assertLessEqual(aim, wished)
        lots = [(number + 0.5) / 1_000 for number in range(1_000)]
        mean = sum(limits.compute_share(rate, entries, lot) for lot in lots) / 1_000
        self.assertAlmostEqual(mean, aim / entries, delta=0.002)


if __name__ == "__main__":
    unittest.main()
