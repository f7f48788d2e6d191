"""Workspace limits over all entries together, and the retry budget."""

import unittest

from hypothesis import given, strategies

from tillerlane.config import documents
from tillerlane.entry import limits
from tillerlane.testing import profiles


class LimitsTest(unittest.TestCase):
    """Shares of entries, token buckets, concurrency and the retry budget."""

    def test_two_entries_together_enforce_the_limit(self) -> None:
        configured = documents.Limits(requests_per_second=10)
        entries = [limits.WorkspaceLimits() for _ in range(2)]
        granted = 0
        for step in range(1_000):
            for entry in entries:
                fault = entry.admit("w", configured, 2, 0, step * 0.1)
                if fault is None:
                    granted += 1
                    entry.release("w", 0, step * 0.1)
        self.assertAlmostEqual(granted / 100, 10, delta=0.5)

    def test_concurrency(self) -> None:
        entry_limits = limits.WorkspaceLimits()
        configured = documents.Limits(concurrent=4)
        self.assertIsNone(entry_limits.admit("w", configured, 2, 0, 0.0))
        self.assertIsNone(entry_limits.admit("w", configured, 2, 0, 0.0))
        fault = entry_limits.admit("w", configured, 2, 0, 0.0)
        self.assertEqual(fault.kind.value, "over_limit")
        entry_limits.release("w", 0, 0.0)
        self.assertIsNone(entry_limits.admit("w", configured, 2, 0, 0.0))

    def test_written_tokens_are_charged(self) -> None:
        entry_limits = limits.WorkspaceLimits()
        configured = documents.Limits(tokens_per_minute=600)
        self.assertIsNone(entry_limits.admit("w", configured, 1, 10, 0.0))
        entry_limits.release("w", 1_000, 0.0)
        fault = entry_limits.admit("w", configured, 1, 10, 1.0)
        self.assertGreater(fault.retry_after, 30)
        self.assertIsNone(entry_limits.admit("w", configured, 1, 10, 1.0 + fault.retry_after + 0.1))

    @profiles.choose(200)
    @given(
        strategies.floats(0.5, 50),
        strategies.lists(strategies.floats(0, 5), min_size=1, max_size=60),
    )
    def test_admitted_never_exceed_rate_and_burst(self, rate: float, gaps: list[float]) -> None:
        configured = documents.Limits(requests_per_second=rate)
        entry_limits = limits.WorkspaceLimits()
        now = 0.0
        granted = 0
        for gap in gaps:
            now += gap
            granted += entry_limits.admit("w", configured, 1, 0, now) is None
        burst = max(1.0, rate * limits.BURST_SECONDS)
        self.assertLessEqual(granted, rate * now + burst + 1e-6)

    def test_retry_budget(self) -> None:
        budget = limits.RetryBudget()
        retried = 0
        for _ in range(1_000):
            budget.record_request("pool", 0.1)
            retried += budget.try_acquire("pool")
        self.assertLessEqual(retried, 102)
        self.assertGreaterEqual(retried, 99)


if __name__ == "__main__":
    unittest.main()
