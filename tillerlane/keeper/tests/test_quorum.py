"""What a keeper tells of the quorum."""

import unittest

from tillerlane.keeper import commands, quorum
from tillerlane.testing import gateway_scenes
from tillerlane.timeline import clock as clocks
from tillerlane.timeline import core as timelines

VOTERS = {name: commands.Voter(f"10.0.0.{name}:7000", f"disk-{name}") for name in "abcde"}


class ViewTest(unittest.TestCase):
    """Whom a keeper counts."""

    def build(self, heard: str, *, own: str = "a", **other: str) -> quorum.QuorumView:
        """View of a keeper that hears others with the disks that are on record, but for some."""
        disks = {name: f"disk-{name}" for name in heard}
        return quorum.build_view(own, f"disk-{own}", "b", VOTERS, {**disks, **other})

    def test_five_live_voters_bear_two_losses(self) -> None:
        view = self.build("bcde")
        self.assertEqual((view.bears, view.votes, view.waiting), (2, True, ()))

    def test_lost_voter_and_a_newcomer_without_a_vote_bear_one(self) -> None:
        view = self.build("bcdf")
        self.assertEqual((view.bears, view.live, view.waiting), (1, ("a", "b", "c", "d"), ("f",)))

    def test_disk_that_is_not_on_record_does_not_count(self) -> None:
        view = self.build("bc", d="disk-new")
        self.assertEqual((view.bears, view.other_disk), (0, ("d",)))

    def test_without_a_quorum_it_tells_how_many_are_missing(self) -> None:
        self.assertEqual(self.build("b").bears, -1)

    def test_newcomer_knows_that_it_has_no_vote(self) -> None:
        view = quorum.build_view("f", "disk-f", "", {}, {"a": "disk-a"})
        self.assertEqual((view.votes, view.waiting, view.voters), (False, ("a", "f"), ()))


class MonitorTest(unittest.TestCase):
    """When it is told."""

    def setUp(self) -> None:
        gateway_scenes.drop_log_lines()
        self.now = 100.0
        self.timeline = timelines.Timeline("a", clocks.HybridClock(lambda: self.now))
        self.monitor = quorum.QuorumMonitor(self.timeline, 2, lambda: self.now)

    def note(self, heard: str, after: float) -> int:
        """Take a view some seconds later; gives how many events there are."""
        self.now += after
        disks = {name: f"disk-{name}" for name in heard}
        self.monitor.update(quorum.build_view("a", "disk-a", "b", VOTERS, disks))
        return len(self.timeline.read())

    def test_changes_are_told_once(self) -> None:
        self.assertEqual([self.note("bcde", 0.4) for _ in range(50)][-1], 1)
        self.assertEqual(self.note("bcd", 0.4), 2)

    def test_what_is_short_is_told_again_and_again_but_seldom(self) -> None:
        for _ in range(250):
            count = self.note("bcd", 0.4)
        self.assertEqual(count, 1 + int(100 / (quorum.REPEAT_INTERVAL_SECONDS + 0.2)))
        self.assertAlmostEqual(self.monitor.compute_degraded_seconds(), 99.6)

    def test_nothing_is_short_once_it_is_whole_again(self) -> None:
        self.note("bcd", 0.4)
        self.note("bcde", 3.0)
        self.assertEqual(self.monitor.compute_degraded_seconds(), 0.0)


if __name__ == "__main__":
    unittest.main()
