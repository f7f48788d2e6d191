"""Connections that an overloaded entry closes unread."""

import unittest

from tillerlane.decisions import accepting


def play(seconds: float, lag: float, sample: float) -> float:
    """Average lateness after some time with the same lateness of each timer."""
    for _ in range(int(seconds / accepting.LAG_INTERVAL_SECONDS)):
        lag = accepting.update_lag(lag, sample)
    return lag


class AcceptingTest(unittest.TestCase):
    """Share of the connections refused."""

    def test_idle_entry_refuses_none(self) -> None:
        self.assertEqual(accepting.compute_refused_share(play(10.0, 0.0, 0.02)), 0.0)

    def test_overloaded_entry_refuses_most_within_a_second_and_never_all(self) -> None:
        share = accepting.compute_refused_share(play(1.0, 0.0, 0.5))
        self.assertGreater(share, 0.8)
        self.assertLess(accepting.compute_refused_share(play(60.0, 0.0, 5.0)), 1.0)

    def test_entry_accepts_all_again_soon_after_the_overload(self) -> None:
        lag = play(10.0, 0.0, 0.5)
        self.assertEqual(accepting.compute_refused_share(play(1.0, lag, 0.0)), 0.0)

    def test_one_suspension_refuses_none(self) -> None:
        self.assertEqual(accepting.compute_refused_share(accepting.update_lag(0.0, 30.0)), 0.0)


if __name__ == "__main__":
    unittest.main()
