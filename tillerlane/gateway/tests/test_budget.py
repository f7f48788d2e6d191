"""The retry budget of all entries together, whatever becomes of single ones.

Guards against repeats beyond the bound after an entry has started again, while entries know only
some of the others, and when demand moves between them.
"""

import dataclasses
import random
import unittest
from collections.abc import Callable

from tillerlane.gateway import budget as budgets
from tillerlane.testing import repeats

BOUNDS = budgets.RetryBounds(ratio=0.2, window_seconds=10.0, allowance=52.0)
STEP_SECONDS = 0.02
START_SECONDS = 100.0
"""Entries have run for long, and have been told of each other."""


@dataclasses.dataclass(slots=True)
class Fleet:
    """Entries all of whose requests fail at first, and are sent again as far as they may be."""

    budgets: list[budgets.RetryBudget]
    now: float = START_SECONDS
    sent_at: list[float] = dataclasses.field(default_factory=list)
    arrivals: list[repeats.Arrival] = dataclasses.field(default_factory=list)

    def send(self, number: int) -> None:
        """Send one request to an entry."""
        entry, name = self.budgets[number], f"r{len(self.sent_at)}"
        self.sent_at.append(self.now)
        entry.record_request("pool", self.now)
        for _ in range(1 + entry.try_acquire("pool", self.now)):
            self.arrivals.append(repeats.Arrival(name, "t1", self.now, True, False, None))

    def restart(self, number: int) -> None:
        """Replace an entry by one that has just started."""
        entries = self.budgets[number].entries
        self.budgets[number] = budgets.RetryBudget(BOUNDS, entries=0, started_at=self.now)
        self.budgets[number].record_entries(entries, self.now)


def build_fleet(entries: int) -> Fleet:
    """Build a fleet of entries that know of each other."""
    fleet = Fleet([budgets.RetryBudget(BOUNDS, entries=0) for _ in range(entries)])
    for budget in fleet.budgets:
        budget.record_entries(entries, 0.0)
    return fleet


class FleetBudgetTest(unittest.TestCase):
    """Repeats at one pool."""

    def play(
        self,
        fleet: Fleet,
        seconds: float,
        rate: Callable[[int, float], float],
        change: Callable[[float], None] = lambda elapsed: None,
    ) -> None:
        """Send requests at `rate` (entry, elapsed seconds) a second each, and check the repeats."""
        rng = random.Random(1)
        while fleet.now < START_SECONDS + seconds:
            elapsed = fleet.now - START_SECONDS
            change(elapsed)
            for number in range(len(fleet.budgets)):
                if rng.random() < rate(number, elapsed) * STEP_SECONDS:
                    fleet.send(number)
            fleet.now += STEP_SECONDS
        self.assertGreater(len(fleet.arrivals), len(fleet.sent_at) + 20)
        self.assertIsNone(repeats.find_excess(fleet.sent_at, fleet.arrivals, BOUNDS))

    def test_entries_started_again_within_a_window(self) -> None:
        for gap in (0.0, 1.3):
            with self.subTest(gap=gap):
                fleet = build_fleet(4)
                due = [(5.0 + gap * number, number) for number in range(4)]

                def change(elapsed: float, fleet: Fleet = fleet, due: list = due) -> None:
                    while due and elapsed >= due[0][0]:
                        fleet.restart(due.pop(0)[1])

                self.play(fleet, 20.0, lambda number, elapsed: 5.5, change)

    def test_entries_that_know_only_some_of_the_others(self) -> None:
        fleet = build_fleet(4)

        def change(elapsed: float) -> None:
            if 2.0 <= elapsed < 20.0:
                for budget in fleet.budgets:
                    budget.record_entries(1, fleet.now)

        self.play(fleet, 30.0, lambda number, elapsed: 5.5, change)

    def test_demand_that_moves_from_one_entry_to_another(self) -> None:
        fleet = build_fleet(2)

        def rate(number: int, elapsed: float) -> float:
            return 45.0 if number == int(elapsed / 10.0) % 2 else 0.0

        # The first entry's targets fail only just before demand moves.
        fleet.budgets[0].try_acquire, kept = lambda pool, now: False, fleet.budgets[0].try_acquire

        def change(elapsed: float) -> None:
            if elapsed >= 8.0:
                fleet.budgets[0].try_acquire = kept

        self.play(fleet, 18.0, rate, change)

    def test_new_entries_join(self) -> None:
        fleet = build_fleet(2)

        def change(elapsed: float) -> None:
            if elapsed >= 4.0 and len(fleet.budgets) < 6:
                joined = budgets.RetryBudget(BOUNDS, entries=0, started_at=fleet.now)
                joined.record_entries(1, fleet.now)
                fleet.budgets.append(joined)
            if elapsed >= 5.0:
                for budget in fleet.budgets:
                    budget.record_entries(len(fleet.budgets), fleet.now)

        self.play(fleet, 25.0, lambda number, elapsed: 5.5, change)

    def test_smaller_fleet_gets_the_whole_allowance_in_the_end(self) -> None:
        budget = budgets.RetryBudget(BOUNDS, entries=0)
        budget.record_entries(4, 0.0)
        budget.record_entries(1, 1.0)
        until = budgets.COUNT_RETENTION_WINDOWS * BOUNDS.window_seconds
        self.assertEqual(sum(budget.try_acquire("pool", until - 1) for _ in range(60)), 9)
        self.assertEqual(sum(budget.try_acquire("pool", until + 20) for _ in range(60)), 36)
