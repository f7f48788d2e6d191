"""Choices by estimated speeds in a simulated pool of unequal runners that leave and turn slow."""

import statistics
import unittest

from tillerlane.decisions import placing, speeds
from tillerlane.testing import speed_play

SEEDS = range(1, 9)
TODAY = speed_play.Variant()
ALL = speed_play.Variant(
    speeds.estimate_speeds, placing.PAUSE_COST_SECONDS, knows_prefill=True, hears_slowdowns=True
)
HALF_LOAD = {"long_rate": 11.9, "short_rate": 13.4}
"""Half of the prefill capacity of 20 runners."""


class SpeedPlayTest(unittest.TestCase):
    """All of the estimates together against a fixed weight of 20 events."""

    def play(self, scene: speed_play.Scene, variant: speed_play.Variant) -> dict[str, float]:
        """Mean figures over all seeds."""
        found = [speed_play.play(scene, variant, seed) for seed in SEEDS]
        names = ("paused", "late_long", "late_short", "event_ms", "error")
        return {name: statistics.fmean(getattr(item, name) for item in found) for name in names}

    def test_fewer_long_runs_pause_and_fewer_first_events_are_late(self) -> None:
        """Long runs with a pause 0.057 -> 0.041; late first events 0.035 and 0.062 -> 0.020, 0.049.

        Fails if the pause risk is not counted or slow runners' prefill counts as average.
        """
        scene = speed_play.Scene(**HALF_LOAD)
        before, after = self.play(scene, TODAY), self.play(scene, ALL)
        self.assertLess(after["paused"], 0.85 * before["paused"])
        self.assertLess(after["late_long"], before["late_long"])
        self.assertLess(after["late_short"], before["late_short"])
        self.assertLess(after["event_ms"], before["event_ms"])

    def test_equal_runners_are_not_told_apart(self) -> None:
        """Differences of load must not be taken for speed: error 0.09 with the fixed weight."""
        scene = speed_play.Scene(**HALF_LOAD, factors=speed_play.EQUAL, slow_share=0.0)
        before, after = self.play(scene, TODAY), self.play(scene, ALL)
        self.assertLess(after["error"], 0.03)
        self.assertLess(after["late_short"], before["late_short"] + 0.02)
        self.assertLess(after["event_ms"], before["event_ms"] + 0.5)


if __name__ == "__main__":
    unittest.main()
