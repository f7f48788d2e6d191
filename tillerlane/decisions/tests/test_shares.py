"""Levels and debts: what is lent, what is bounded, and what holds for any load."""

import math
import unittest

from hypothesis import given, strategies

from tillerlane.decisions import shares
from tillerlane.testing import profiles

TOKENS = strategies.one_of(strategies.just(0.0), strategies.floats(1, 1e6))
ACCOUNTS = strategies.lists(
    strategies.builds(shares.Account, TOKENS, TOKENS, strategies.floats(0.1, 10)),
    min_size=1,
    max_size=30,
)


def compute_debts(accounts: list[shares.Account]) -> list[float]:
    level = shares.compute_level(accounts)
    return [shares.compute_debt(item.served, item.weight, level) for item in accounts]


class LevelTest(unittest.TestCase):
    """The max-min fair level."""

    def test_unused_share_is_lent(self) -> None:
        """Guards against a workspace that is held to an equal part of what nobody else wants."""
        accounts = [shares.Account(900.0, 500.0), *[shares.Account(10.0, 0.0)] * 10]
        self.assertEqual(compute_debts(accounts), [0.0] * 11)

    def test_lent_share_is_due_once_its_owner_waits(self) -> None:
        """Guards against a loan that is kept while its owner waits."""
        accounts = [shares.Account(900.0, 500.0), shares.Account(10.0, 60.0)]
        self.assertEqual(compute_debts(accounts), [60.0, 0.0])

    def test_nothing_that_waits_is_no_debt(self) -> None:
        """Guards against debts where there is capacity for all."""
        self.assertEqual(shares.compute_level([shares.Account(900.0, 0.0)]), math.inf)

    @profiles.choose(200)
    @given(ACCOUNTS)
    def test_shares_add_up_to_what_was_served(self, accounts: list[shares.Account]) -> None:
        """Guards against levels that give away more or less than there was."""
        if not any(item.waiting for item in accounts):
            return
        level = shares.compute_level(accounts)
        parts = sum(min(item.served + item.waiting, item.weight * level) for item in accounts)
        total = sum(item.served for item in accounts)
        self.assertAlmostEqual(parts, total, delta=1e-6 * (total + 1))

    @profiles.choose(200)
    @given(ACCOUNTS)
    def test_debts_are_bounded_by_what_the_others_wait_for(
        self, accounts: list[shares.Account]
    ) -> None:
        """Guards against a workspace that is in debt while nobody else waits."""
        for number, debt in enumerate(compute_debts(accounts)):
            others = sum(item.waiting for item in accounts) - accounts[number].waiting
            self.assertLessEqual(debt, others + 1e-6 * (others + accounts[number].served + 1))
            self.assertLessEqual(debt, accounts[number].served)


class DeficitTest(unittest.TestCase):
    """The variant with deficits."""

    def test_deficits_are_bounded_and_end_with_the_wait(self) -> None:
        """Guards against a comparison with a variant that saves up credit."""
        waiting = {"a": 1.0, "b": 1.0}
        deficits = shares.advance_deficits({}, {"a": 900.0}, waiting, 300.0)
        self.assertEqual(deficits, {"a": -300.0, "b": 300.0})
        self.assertEqual(shares.advance_deficits(deficits, {}, {"a": 1.0}, 300.0), {"a": -300.0})


if __name__ == "__main__":
    unittest.main()
