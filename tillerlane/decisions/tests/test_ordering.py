"""Order of waiting requests, and how long they wait."""

import dataclasses
import unittest

from hypothesis import given, strategies

from tillerlane.decisions import ordering, room
from tillerlane.testing import profiles

RATE = 7_000
SHORT = ordering.Waiting(100.0, 100.0, 1.5, 106.0, 0, 2_550, 2_554, False)
LONG = ordering.Waiting(100.0, 100.0, 4.0, 139.0, 2, 3_079, 3_379, True)
ITEMS = strategies.builds(
    ordering.Waiting,
    arrived=strategies.just(100.0),
    first_arrived=strategies.floats(90.0, 100.0),
    objective_seconds=strategies.floats(0.5, 5.0),
    deadline=strategies.floats(105.0, 139.0),
    priority=strategies.integers(0, 9),
    prompt_tokens=strategies.integers(1, 7_000),
    memory_tokens=strategies.integers(1, 7_000),
    is_long=strategies.booleans(),
    debt_tokens=strategies.floats(0, 1e6),
)


class OrderingTest(unittest.TestCase):
    """Keys of waiting requests, the lowest first."""

    def compute_key(self, item: ordering.Waiting, now: float = 100.0) -> tuple[float, int, float]:
        """Key of a request."""
        return ordering.compute_key(item, now, RATE)

    def test_long_prompt_goes_before_a_short_one_of_the_same_age(self) -> None:
        """Large requests bore the delay of all, since small ones filled each gap first."""
        large = dataclasses.replace(SHORT, prompt_tokens=6_000)
        self.assertLess(self.compute_key(large), self.compute_key(SHORT))

    def test_late_request_goes_behind_those_that_can_be_in_time(self) -> None:
        """Guards against a late request that makes others late too."""
        newer = dataclasses.replace(LONG, arrived=102.0, first_arrived=102.0)
        self.assertLess(self.compute_key(newer, 102.0), self.compute_key(SHORT, 102.0))

    def test_returning_request_goes_before_equal_ones_that_arrived_later(self) -> None:
        returning = dataclasses.replace(SHORT, arrived=100.5, first_arrived=99.0)
        self.assertLess(self.compute_key(returning, 100.5), self.compute_key(SHORT, 100.5))

    def test_debt_puts_a_workspace_behind_and_urgency_decides_between_equals(self) -> None:
        debtor = dataclasses.replace(SHORT, debt_tokens=20_000.0)
        self.assertLess(self.compute_key(SHORT), self.compute_key(debtor))
        urgent = dataclasses.replace(SHORT, priority=0)
        relaxed = dataclasses.replace(SHORT, priority=5)
        self.assertLess(self.compute_key(urgent), self.compute_key(relaxed))

    @profiles.choose(100)
    @given(ITEMS, ITEMS)
    def test_no_request_starves(self, item: ordering.Waiting, later: ordering.Waiting) -> None:
        """A request goes before all that arrive 25 s later, whatever they are."""
        later = dataclasses.replace(
            later, arrived=125.0, first_arrived=125.0, deadline=later.deadline + 25, debt_tokens=0.0
        )
        self.assertLess(self.compute_key(item, 125.0), self.compute_key(later, 125.0))


class RoomTest(unittest.TestCase):
    """Whether a request waits on."""

    def decide(
        self, item: ordering.Waiting, now: float, forecast: float | None = None
    ) -> room.Decision:
        """Decision on a request."""
        return room.decide(item, now, forecast, RATE)

    def test_waits_while_it_can_be_in_time(self) -> None:
        """Guards against refusals of requests that could still be in time."""
        self.assertIs(self.decide(SHORT, 100.8), room.Decision.WAIT)
        self.assertIs(self.decide(SHORT, 100.9), room.Decision.REFUSE)

    def test_late_answer_of_a_long_run_has_value(self) -> None:
        self.assertIs(self.decide(LONG, 110.0), room.Decision.WAIT)
        self.assertIs(self.decide(LONG, 120.0), room.Decision.REFUSE)

    def test_forecast_refuses_early_or_not_at_all(self) -> None:
        """A refusal after a quarter of the objective leaves no time for the caller's retry."""
        self.assertIs(self.decide(SHORT, 100.1, 3.0), room.Decision.REFUSE)
        self.assertIs(self.decide(SHORT, 100.5, 3.0), room.Decision.WAIT)
        self.assertIs(self.decide(SHORT, 100.1, 0.3), room.Decision.WAIT)

    def test_retry_time_is_the_forecast_within_what_callers_obey(self) -> None:
        self.assertAlmostEqual(room.compute_retry_after(SHORT, 100.1, 0.8), 0.8)
        self.assertAlmostEqual(room.compute_retry_after(SHORT, 101.0, 9.0), 0.3 * 5.0)

    def test_entries_together_take_what_is_free(self) -> None:
        """All entries took all of it at the same time."""
        part = room.compute_part(9_000, 3_000, 81_000, 0.1, 0.1)
        self.assertAlmostEqual(part * 27, 9_000)
        self.assertEqual(room.compute_part(9_000, 3_000, 6_000, 0.01, 0.1), float("inf"))

    def test_forecast_counts_what_waits_ahead(self) -> None:
        forecast = room.Forecast(4_000, 12_000, 5_000.0)
        self.assertAlmostEqual(forecast.estimate_seconds(2_000) or 0.0, 2.0)
        self.assertIsNone(room.Forecast(0, 0, None).estimate_seconds(1))


if __name__ == "__main__":
    unittest.main()
