"""Turns of refused callers, with many entries that give them out."""

import random
import unittest

from tillerlane.decisions import returns

ENTRIES = 27
TOKENS = 3_000
RATE = 30_000.0
"""Tokens a second that become free: ten requests'."""
REPORT_SECONDS = 0.05
DEADLINE_SECONDS = 20.0


def count_peak(turns: list[float], seconds: float = 1.0) -> int:
    """Largest number of turns within any window."""
    return max(sum(turn <= other < turn + seconds for other in turns) for turn in turns)


def give_turns(refused: int, *, is_shared: bool, share: float = 1.0) -> list[float]:
    """Turns of callers that are refused within 0.5 s, at random entries."""
    rng = random.Random(1)
    turns: list[tuple[float, int, float]] = []
    for number in range(refused):
        now, entry = 0.5 * number / refused, rng.randrange(ENTRIES)
        known = [
            turn
            for given_at, giver, turn in turns
            if giver == entry or (is_shared and now - given_at >= REPORT_SECONDS)
        ]
        outstanding = sum(turn > now for turn in known)
        turn = returns.schedule(outstanding, now, TOKENS, RATE * share, DEADLINE_SECONDS)
        turns.append((now, entry, turn))
    return [turn for *_, turn in turns]


class ScheduleTest(unittest.TestCase):
    """Retry times that follow the rate at which memory becomes free."""

    def test_turns_of_one_entry_follow_the_rate(self) -> None:
        """Guards against callers that return before memory is free for them."""
        turns = [
            round(returns.schedule(item, 1.0, TOKENS, RATE, DEADLINE_SECONDS), 6)
            for item in range(10)
        ]
        self.assertEqual(turns, [round(1.0 + 0.1 * item, 6) for item in range(1, 11)])

    def test_turns_of_all_entries_follow_the_rate(self) -> None:
        """Guards against entries that each use the whole rate: all their callers return at once."""
        peaks = {
            "alone": count_peak(give_turns(40, is_shared=False)),
            "shared": count_peak(give_turns(40, is_shared=True)),
        }
        self.assertGreater(peaks["alone"], 30)
        self.assertLessEqual(peaks["shared"], 20)

    def test_delay_stays_within_what_callers_obey(self) -> None:
        """Guards against retry times that callers ignore, and those of unknown rates."""
        for rate in (0.0, 1.0):
            turn = returns.schedule(500, 10.0, TOKENS, rate, 3.0)
            self.assertAlmostEqual(turn, 10.0 + 3.0 * returns.MAX_DELAY_SHARE)
        self.assertEqual(returns.schedule(0, 10.0, TOKENS, RATE, -1.0), 10.0)


if __name__ == "__main__":
    unittest.main()
