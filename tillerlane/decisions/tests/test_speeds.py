"""Estimates of runners' speeds and of the risk of a long pause."""

import math
import random
import unittest

from tillerlane.decisions import speeds

FACTORS = (0.6, 1.0, 1.6)
EVENT_SECONDS = 0.042
TOKEN_SECONDS = 1 / 7_000
PAUSE_SECONDS = 0.18
LONG_EVENTS = 187


def build_seen(factor: float, events: int, prefills: int) -> speeds.Seen:
    """Observations of a runner without any noise."""
    tokens = prefills * 3_000
    return speeds.Seen(
        events,
        round(events * EVENT_SECONDS * factor * 1000),
        tokens,
        round(tokens * TOKEN_SECONDS * factor * 1000),
    )


def build_tail() -> speeds.Tail:
    """Distribution of gaps: a sixth are prefills, of which a sixth meet a slow moment."""
    counts = [0.0] * (speeds.MAX_RATIO_STEP + 1)
    counts[speeds.find_ratio_step(1.5)] = 140
    counts[speeds.find_ratio_step(3.7)] = 28
    tail = speeds.build_tail(counts, 1_000)
    assert tail is not None
    return tail


class SpeedsTest(unittest.TestCase):
    """Factors of a pool's runners."""

    def setUp(self) -> None:
        """Observe nine runners of three speeds for long."""
        self.observed = [build_seen(factor, 500, 10) for factor in FACTORS * 3]
        self.pool = speeds.estimate_pool(self.observed)

    def get_ratio(self, seen: speeds.Seen, base: speeds.Seen) -> float:
        """How much slower one runner is estimated to be than another."""
        one, other = (speeds.estimate_speeds(item, self.pool).decode for item in (seen, base))
        return one.factor / other.factor

    def test_well_known_runners_are_told_apart(self) -> None:
        self.assertAlmostEqual(self.get_ratio(self.observed[2], self.observed[0]), 2.67, delta=0.3)

    def test_three_first_events_tell_the_decode_speed_to_a_fifth(self) -> None:
        """With the weight of 20 events, a runner without events would count as average."""
        new = build_seen(1.6, 0, 3)
        ratio = self.get_ratio(new, self.observed[1])
        self.assertAlmostEqual(math.log(ratio), math.log(1.6), delta=0.2)

    def test_unobserved_runner_has_the_spread_of_its_pool(self) -> None:
        unknown = speeds.estimate_slowness(speeds.Seen(), self.pool)
        self.assertGreater(unknown.variance, 0.1)
        known = speeds.estimate_slowness(self.observed[0], self.pool)
        self.assertLess(known.variance, 0.2 * unknown.variance)

    def test_equal_runners_have_exactly_equal_factors(self) -> None:
        """Noise must not be taken for speed, or choices would change in a pool of equal runners."""
        rng = random.Random(1)
        observed = [build_seen(rng.gauss(1.0, 0.08), 200, 5) for _ in range(20)]
        pool = speeds.estimate_pool(observed)
        for seen in (*observed, speeds.Seen()):
            self.assertEqual(speeds.estimate_speeds(seen, pool), speeds.NEUTRAL)

    def test_pool_without_observations(self) -> None:
        pool = speeds.estimate_pool([speeds.Seen(), speeds.Seen()])
        self.assertEqual(speeds.estimate_speeds(speeds.Seen(), pool), speeds.NEUTRAL)


class PauseRiskTest(unittest.TestCase):
    """Probability of a pause above the objective."""

    def estimate(self, factor: float, events: float = LONG_EVENTS, variance: float = 0.0) -> float:
        """Risk at a runner."""
        return speeds.estimate_pause_risk(
            EVENT_SECONDS * factor, events, PAUSE_SECONDS, build_tail(), variance
        )

    def test_slow_runners_break_long_runs_and_others_do_not(self) -> None:
        self.assertGreater(self.estimate(1.6), 0.9)
        self.assertLess(self.estimate(1.0), 0.05)
        self.assertEqual(self.estimate(0.6), 0.0)
        self.assertLess(self.estimate(1.6, events=2), 0.1)

    def test_unknown_runner_is_between_safe_and_slow_ones(self) -> None:
        unknown = self.estimate(1.0, variance=0.16)
        self.assertGreater(unknown, self.estimate(1.0) + 0.05)
        self.assertLess(unknown, self.estimate(1.6))

    def test_no_risk_without_an_objective_or_with_few_gaps(self) -> None:
        self.assertEqual(speeds.estimate_pause_risk(0.07, 187, 0.0, build_tail()), 0.0)
        self.assertIsNone(speeds.build_tail([10.0], speeds.MIN_GAPS - 1))
        self.assertEqual(speeds.estimate_pause_risk(0.07, 187, PAUSE_SECONDS, None), 0.0)


if __name__ == "__main__":
    unittest.main()
