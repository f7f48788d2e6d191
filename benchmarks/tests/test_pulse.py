"""Throughput after a load pulse, with callers that retry."""

import unittest

from benchmarks import pulse
from tillerlane.testing import gateway_scenes

RECOVERY_SECONDS = 3


class PulseTest(unittest.TestCase):
    """Targets shed load on their own and state back-offs of some seconds."""

    def setUp(self) -> None:
        """Suppress log lines in the output."""
        gateway_scenes.drop_log_lines()

    def test_throughput_recovers_after_a_pulse(self) -> None:
        load = pulse.simulate("3")
        since = pulse.BEFORE_SECONDS + pulse.PULSE_SECONDS + RECOVERY_SECONDS
        seconds = range(since, since + pulse.AFTER_SECONDS - RECOVERY_SECONDS)
        started = sum(load.started[second] for second in seconds)
        served = sum(load.served[second] for second in seconds)
        self.assertGreaterEqual(served, 0.95 * started)


if __name__ == "__main__":
    unittest.main()
