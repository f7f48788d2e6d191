"""Checks that the results of a short run in virtual time stay within the committed bounds.

The run is deterministic, so the tolerance only allows for small changes of the rules.
``python -m benchmarks.tests.test_bounds --write`` updates the bounds.
"""

import json
import pathlib
import sys
import unittest
from typing import Any

from benchmarks import policies

BOUNDS = pathlib.Path(__file__).resolve().parents[1] / "bounds.json"
LOAD = 1.1
TOLERANCE_FACTOR = 1.25
UPPER_BOUNDED = ("preemptions", "stall_total", "gap_p999", "urgent_first_p99", "refused")
LOWER_BOUNDED = ("long_tokens_a_second", "tokens_a_second")


def run_short(mix: str, rule: str) -> dict[str, Any]:
    """Run 50 seconds of virtual time."""
    policies.WARM_UP_SECONDS = 10.0
    policies.MEASURE_SECONDS = 40.0
    policies.GRACE_SECONDS = 60.0
    return policies.run_case(policies.Case(mix, LOAD, "steady", rule, 1))


class BoundsTest(unittest.TestCase):
    """Both users' mixes."""

    def check_mix(self, mix: str) -> None:
        bounds = json.loads(BOUNDS.read_text())[mix]
        figures = run_short(mix, "tillerlane")
        self.assertEqual(figures["wrong"], 0)
        self.assertEqual(figures["refused"], figures["refused_not_run"])
        for name in UPPER_BOUNDED:
            self.assertLessEqual(figures[name], bounds[name] * TOLERANCE_FACTOR + 1e-9, name)
        for name in LOWER_BOUNDED:
            self.assertGreaterEqual(figures[name], bounds[name] / TOLERANCE_FACTOR, name)

    def test_brattvik(self) -> None:
        self.check_mix("brattvik")

    def test_kaarna(self) -> None:
        self.check_mix("kaarna")

    def test_arrival_order_preempts_more(self) -> None:
        """The preemption bound can fail: a baseline exceeds it by more than the tolerance."""
        bounds = json.loads(BOUNDS.read_text())["kaarna"]
        figures = run_short("kaarna", "arrival-order")
        self.assertGreater(figures["preemptions"], 2 * bounds["preemptions"])


if __name__ == "__main__":
    if "--write" in sys.argv:
        measured = {mix: run_short(mix, "tillerlane") for mix in policies.MIXES}
        bounds = {
            mix: {name: figures[name] for name in (*UPPER_BOUNDED, *LOWER_BOUNDED)}
            for mix, figures in measured.items()
        }
        BOUNDS.write_text(json.dumps(bounds, indent=1) + "\n")
    else:
        unittest.main()
