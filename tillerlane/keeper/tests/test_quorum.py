"""View of the quorum, and the log lines about it."""

import unittest

from tillerlane.keeper import commands, quorum
from tillerlane.testing import gateway_scenes
from tillerlane.timeline import clock as clocks
from tillerlane.timeline import core as timelines

VOTERS = {name: commands.Voter(f"10.0.0.{name}:7000", f"disk-{name}") for name in "abcde"}


class ViewTest(unittest.TestCase):
    """Counting of voters."""

    def build(self, alive: str, *, own: str = "a", **other: str) -> quorum.QuorumView:
        """Build a keeper's view of live others, with the disks on record except for `other`."""
        disks = {name: f"disk-{name}" for name in alive}
        return quorum.build_view(own, f"disk-{own}", "b", VOTERS, {**disks, **other})

    def test_five_live_voters_tolerate_two_losses(self) -> None:
        view = self.build("bcde")
        self.assertEqual((view.bears, view.votes, view.waiting), (2, True, ()))

    def test_one_loss_is_tolerated_with_a_lost_voter_and_a_new_keeper_without_a_vote(self) -> None:
        view = self.build("bcdf")
        self.assertEqual((view.bears, view.live, view.waiting), (1, ("a", "b", "c", "d"), ("f",)))

    def test_disk_that_is_not_on_record_does_not_count(self) -> None:
        view = self.build("bc", d="disk-new")
        self.assertEqual((view.bears, view.other_disk), (0, ("d",)))

    def test_without_a_quorum_the_number_of_missing_voters_is_negative(self) -> None:
        self.assertEqual(self.build("b").bears, -1)

    def test_new_keeper_knows_that_it_has_no_vote(self) -> None:
        view = quorum.build_view("f", "disk-f", "", {}, {"a": "disk-a"})
        self.assertEqual((view.votes, view.waiting, view.voters), (False, ("a", "f"), ()))


class MonitorTest(unittest.TestCase):
    """Logging of the view."""

    def setUp(self) -> None:
        gateway_scenes.drop_log_lines()
        self.now = 100.0
        self.timeline = timelines.Timeline("a", clocks.HybridClock(lambda: self.now))
        self.monitor = quorum.QuorumMonitor(self.timeline, 2, lambda: self.now)

    def update(self, alive: str, after: float) -> int:
        """Update the view some seconds later, and return the number of events so far."""
        self.now += after
        disks = {name: f"disk-{name}" for name in alive}
        self.monitor.update(quorum.build_view("a", "disk-a", "b", VOTERS, disks))
        return len(self.timeline.read())

    def test_changes_are_logged_once(self) -> None:
        self.assertEqual([self.update("bcde", 0.4) for _ in range(50)][-1], 1)
        self.assertEqual(self.update("bcd", 0.4), 2)

    def test_degraded_view_is_logged_repeatedly_but_rarely(self) -> None:
        for _ in range(250):
            count = self.update("bcd", 0.4)
        self.assertEqual(count, 1 + int(100 / (quorum.REPEAT_INTERVAL_SECONDS + 0.2)))
        self.assertAlmostEqual(self.monitor.compute_degraded_seconds(), 99.6)

    def test_degraded_time_ends_when_the_quorum_recovers(self) -> None:
        self.update("bcd", 0.4)
        self.update("bcde", 3.0)
        self.assertEqual(self.monitor.compute_degraded_seconds(), 0.0)


if __name__ == "__main__":
    unittest.main()
