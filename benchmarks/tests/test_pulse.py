"""What is served after a pulse of load with callers that repeat."""

import unittest

from benchmarks import pulse
from tillerlane.testing import gateway_scenes

RECOVERY_SECONDS = 3


class PulseTest(unittest.TestCase):
    """Targets shed by their own load and ask for seconds of back-off."""

    def setUp(self) -> None:
        """Keep log lines out of the output."""
        gateway_scenes.drop_log_lines()

    def test_little_is_served_for_long_after_a_pulse(self) -> None:
        load = pulse.simulate("3")
        since = pulse.BEFORE_SECONDS + pulse.PULSE_SECONDS + RECOVERY_SECONDS
        seconds = range(since, since + pulse.AFTER_SECONDS - RECOVERY_SECONDS)
        started = sum(load.started[second] for second in seconds)
        served = sum(load.served[second] for second in seconds)
        self.assertGreaterEqual(served, 0.95 * started)


if __name__ == "__main__":
    unittest.main()
